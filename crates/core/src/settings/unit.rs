//! Lengths of time and sizes with their units.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Shortest duration accepted where no other range is stated.
pub(super) const DURATION_MIN: Duration = Duration::from_millis(1);
/// Longest duration accepted where no other range is stated.
pub(super) const DURATION_MAX: Duration = Duration::from_hours(24);
/// Units that a duration may have, with their length, the longest first.
const DURATION_UNITS: [(&str, Duration); 4] = [
    ("h", Duration::from_hours(1)),
    ("m", Duration::from_mins(1)),
    ("ms", Duration::from_millis(1)),
    ("s", Duration::from_secs(1)),
];
/// Units that a size may have, with their bytes.
const SIZE_UNITS: [(&str, usize); 3] = [("MiB", 1024 * 1024), ("KiB", 1024), ("B", 1)];
/// What is wrong with a number that has no unit or an unknown one.
const NO_UNIT: &str = "not a whole number with a known unit";

/// Parses a duration such as `250ms` or `10 s`.
pub(super) fn duration(text: &str) -> Result<Duration, &'static str> {
    let (count, unit) = split(text, &DURATION_UNITS)?;
    let count = u32::try_from(count).map_err(|_| "number is too large")?;
    unit.checked_mul(count).ok_or("number is too large")
}

/// Parses a size such as `64KiB`.
pub(super) fn size(text: &str) -> Result<usize, &'static str> {
    let (count, unit) = split(text, &SIZE_UNITS)?;
    let count = usize::try_from(count).map_err(|_| "number is too large")?;
    unit.checked_mul(count).ok_or("number is too large")
}

/// Turns a small number that is not negative into thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is small and not negative"
)]
pub(super) fn thousandths(number: f64) -> u32 {
    (number * 1_000.0).round() as u32
}

/// Splits a whole number from its unit.
fn split<T: Copy>(text: &str, units: &[(&str, T)]) -> Result<(u64, T), &'static str> {
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(0);
    let (digits, unit) = text.split_at(end);
    let count = digits.parse().map_err(|_| NO_UNIT)?;
    let known = units.iter().find(|(name, _)| *name == unit.trim_start());
    known.map(|(_, size)| (count, *size)).ok_or(NO_UNIT)
}

/// Describes the durations of a range.
pub(super) fn duration_form(range: &RangeInclusive<Duration>) -> String {
    let (min, max) = (range.start(), range.end());
    format!("a length of time from {min:?} to {max:?} with its unit: ms, s, m or h")
}

/// Describes the sizes of a range.
pub(super) fn size_form(range: &RangeInclusive<usize>) -> String {
    let (min, max) = (range.start(), range.end());
    format!("a size from {min}B to {max}B with its unit: B, KiB or MiB")
}
