use std::fmt;
use std::hash::{Hash, Hasher};

use bytes::Bytes;
use subtle::ConstantTimeEq;

use crate::errors::{Error, Result, value_error};

/// Maximum length of a key, in bytes, which leaves room for hundreds of keys in a record of the log.
const KEY_MAX_BYTES: usize = 512;

/// `Key` is the secret that callers of an account present. It appears in no text: its `Debug` form hides it, and the
/// time of a comparison tells nothing of how much matched.
#[derive(Clone)]
pub struct Key(Bytes);

impl TryFrom<Bytes> for Key {
    type Error = Error;

    fn try_from(text: Bytes) -> Result<Self> {
        if text.is_empty() {
            return Err(value_error("key", "is empty"));
        }
        if text.len() > KEY_MAX_BYTES {
            let problem = format!("is longer than {KEY_MAX_BYTES} bytes");
            return Err(value_error("key", problem));
        }
        Ok(Self(text))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key(hidden)")
    }
}

impl Eq for Key {}

impl PartialEq for Key {
    fn eq(&self, other: &Self) -> bool {
        bool::from(self.0.ct_eq(&other.0))
    }
}

impl Hash for Key {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.hash(hasher);
    }
}
