//! Hash maps and sets with a fast hasher.

/// `Map` is a hash map with the Fx hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;
/// `Set` is a hash set with the Fx hasher.
pub type Set<T> = rustc_hash::FxHashSet<T>;
