//! Parsing and formatting of values.

use std::time::Duration;

/// Units of durations in milliseconds, in ascending order.
const UNITS: [(&str, u64); 5] = [
    ("ms", 1),
    ("s", 1000),
    ("m", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];

/// Parses a duration such as `250ms`: an integer directly followed by a unit.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let (_, length) = UNITS.into_iter().find(|(name, _)| *name == unit)?;
    number.checked_mul(length).map(Duration::from_millis)
}

/// Formats a duration in the largest unit that gives an integer.
pub(super) fn format_duration(duration: Duration) -> String {
    let millis = duration.as_millis() as u64;
    let (name, length) = UNITS
        .into_iter()
        .rev()
        .find(|(_, length)| millis.is_multiple_of(*length))
        .unwrap_or(UNITS[0]);
    format!("{}{name}", millis / length)
}

/// Parses `yes` or `no`.
pub(super) fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

/// Returns whether `text` is a name: one or more ASCII letters, digits, `-`, `_` or `.`.
pub(super) fn is_valid_name(text: &str) -> bool {
    let permitted = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !text.is_empty() && text.chars().all(permitted)
}
