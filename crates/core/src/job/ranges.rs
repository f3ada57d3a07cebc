use std::collections::BTreeMap;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_bytes::ByteBuf;

/// Bits of a number that a byte of its encoding holds; the highest bit tells that another byte follows.
const BITS_PER_BYTE: u32 = 7;

/// `Ranges` is a set of numbers, kept and encoded as the ranges without gaps that it consists of.
///
/// The encoding is a byte string: the gap before each range and the length of the range, as LEB128 numbers. Its size
/// depends on the number of ranges only.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Ranges {
    /// First number after each range, by its first number.
    ends: BTreeMap<u32, u32>,
}

impl Ranges {
    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    pub(super) fn contains(&self, number: u32) -> bool {
        let range = self.ends.range(..=number).next_back();
        range.is_some_and(|(_, end)| number < *end)
    }

    /// Adds a number below the largest one.
    pub(super) fn insert(&mut self, number: u32) {
        if self.contains(number) || number == u32::MAX {
            return;
        }
        let previous = self.ends.range(..number).next_back();
        let previous = previous.filter(|(_, end)| **end == number);
        let start = previous.map_or(number, |(start, _)| *start);
        let end = self.ends.remove(&(number + 1)).unwrap_or(number + 1);
        self.ends.insert(start, end);
    }

    /// Returns the first number from `number` on that is not in the set.
    pub(super) fn first_missing(&self, number: u32) -> u32 {
        let range = self.ends.range(..=number).next_back();
        range.map_or(number, |(_, end)| number.max(*end))
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut previous_end = 0;
        for (start, end) in &self.ends {
            push_number(&mut bytes, start - previous_end);
            push_number(&mut bytes, end - start);
            previous_end = *end;
        }
        bytes
    }

    /// Decodes ranges; returns `None` unless they are in order, not empty and not adjacent.
    fn decode(mut bytes: &[u8]) -> Option<Self> {
        let mut ends = BTreeMap::new();
        let mut previous_end = 0_u32;
        while !bytes.is_empty() {
            let gap = take_number(&mut bytes)?;
            let length = take_number(&mut bytes)?;
            if length == 0 || (gap == 0 && !ends.is_empty()) {
                return None;
            }
            let start = previous_end.checked_add(gap)?;
            previous_end = start.checked_add(length)?;
            ends.insert(start, previous_end);
        }
        Some(Self { ends })
    }
}

fn push_number(bytes: &mut Vec<u8>, mut number: u32) {
    while number >> BITS_PER_BYTE != 0 {
        bytes.push((number & 0x7f) as u8 | 0x80);
        number >>= BITS_PER_BYTE;
    }
    bytes.push((number & 0x7f) as u8);
}

fn take_number(bytes: &mut &[u8]) -> Option<u32> {
    let mut number = 0_u32;
    for shift in (0..u32::BITS).step_by(BITS_PER_BYTE as usize) {
        let (byte, rest) = bytes.split_first()?;
        *bytes = rest;
        let bits = u32::from(byte & 0x7f);
        number |= bits
            .checked_mul(1 << shift)
            .filter(|shifted| shifted >> shift == bits)?;
        if byte & 0x80 == 0 {
            return Some(number);
        }
    }
    None
}

impl Serialize for Ranges {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.encode())
    }
}

impl<'de> Deserialize<'de> for Ranges {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = ByteBuf::deserialize(deserializer)?;
        Self::decode(&bytes).ok_or_else(|| D::Error::custom("malformed ranges"))
    }
}
