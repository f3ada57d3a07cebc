//! Hash maps with a fast hasher.

/// `Map` is a hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;
/// `Set` is a hash set with a fast hasher.
pub type Set<T> = rustc_hash::FxHashSet<T>;
