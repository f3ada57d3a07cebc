//! Durations and sizes with units.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Shortest duration accepted for keys without a range of their own.
pub(super) const DURATION_MIN: Duration = Duration::from_millis(1);
/// Longest duration accepted for keys without a range of their own.
pub(super) const DURATION_MAX: Duration = Duration::from_hours(24);
/// Units of durations, with their lengths.
const DURATION_UNITS: [(&str, Duration); 4] = [
    ("h", Duration::from_hours(1)),
    ("m", Duration::from_mins(1)),
    ("ms", Duration::from_millis(1)),
    ("s", Duration::from_secs(1)),
];
/// Units of sizes, with their numbers of bytes.
const SIZE_UNITS: [(&str, usize); 3] = [("MiB", 1024 * 1024), ("KiB", 1024), ("B", 1)];
/// Problem of a text that is not a whole number followed by a known unit.
const INVALID_NUMBER: &str = "not a whole number with a known unit";

/// Parses a duration such as `250ms` or `10 s`.
pub(super) fn parse_duration(text: &str) -> Result<Duration, &'static str> {
    let (count, unit) = split(text, &DURATION_UNITS)?;
    let count = u32::try_from(count).map_err(|_| "number is too large")?;
    unit.checked_mul(count).ok_or("number is too large")
}

/// Parses a size such as `64KiB`.
pub(super) fn parse_size(text: &str) -> Result<usize, &'static str> {
    let (count, unit) = split(text, &SIZE_UNITS)?;
    let count = usize::try_from(count).map_err(|_| "number is too large")?;
    unit.checked_mul(count).ok_or("number is too large")
}

/// Converts a small number that is not negative to thousandths, rounded to the nearest one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is small and not negative"
)]
pub(super) fn to_thousandths(number: f64) -> u32 {
    (number * 1_000.0).round() as u32
}

/// Splits a text into a whole number and its unit.
fn split<T: Copy>(text: &str, units: &[(&str, T)]) -> Result<(u64, T), &'static str> {
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(0);
    let (digits, unit) = text.split_at(end);
    let count = digits.parse().map_err(|_| INVALID_NUMBER)?;
    let unit = units.iter().find(|(name, _)| *name == unit.trim_start());
    unit.map(|(_, size)| (count, *size)).ok_or(INVALID_NUMBER)
}

/// Describes a range of durations, as findings state the accepted values.
pub(super) fn describe_duration_range(range: &RangeInclusive<Duration>) -> String {
    let (min, max) = (range.start(), range.end());
    format!("a duration from {min:?} to {max:?} with its unit: ms, s, m or h")
}

/// Describes a range of sizes, as findings state the accepted values.
pub(super) fn describe_size_range(range: &RangeInclusive<usize>) -> String {
    let (min, max) = (range.start(), range.end());
    format!("a size from {min}B to {max}B with its unit: B, KiB or MiB")
}
