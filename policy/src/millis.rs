//! Serde support for durations as a number of milliseconds.

use serde::{Deserialize, Deserializer, Serializer};
use std::time::Duration;

/// Serializes a duration as milliseconds with microsecond precision.
///
/// # Errors
///
/// Returns the error of the serializer.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(duration.as_micros() as f64 / 1e3)
}

/// Deserializes a duration from a number of milliseconds.
///
/// # Errors
///
/// Fails if the value is not a number, or is negative or too large.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let millis = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(millis / 1e3).map_err(serde::de::Error::custom)
}

/// Serde support for optional durations as a number of milliseconds.
pub mod option {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    /// Serializes a duration as milliseconds, or `None` as null.
    ///
    /// # Errors
    ///
    /// Returns the error of the serializer.
    pub fn serialize<S: Serializer>(
        duration: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match duration {
            Some(duration) => super::serialize(duration, serializer),
            None => serializer.serialize_none(),
        }
    }

    /// Deserializes a duration from a number of milliseconds, or `None` from null.
    ///
    /// # Errors
    ///
    /// Fails if the value is neither null nor a number, or is negative or too large.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        Option::<f64>::deserialize(deserializer)?
            .map(|millis| Duration::try_from_secs_f64(millis / 1e3))
            .transpose()
            .map_err(serde::de::Error::custom)
    }
}
