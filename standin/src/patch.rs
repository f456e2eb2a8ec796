//! Change of some members of a settings value by a JSON object.

use serde::{
    Serialize,
    de::{DeserializeOwned, Error},
};
use serde_json::Value;

/// Returns `settings` with the members that the JSON object in `bytes` names replaced.
///
/// # Errors
///
/// Fails if `bytes` is no JSON object, or if it names an unknown member or an invalid value.
pub fn apply<T>(settings: &T, bytes: &[u8]) -> Result<T, serde_json::Error>
where
    T: Serialize + DeserializeOwned,
{
    let patch: serde_json::Map<String, Value> = serde_json::from_slice(bytes)?;
    let mut whole = serde_json::to_value(settings)?;
    for (member, value) in patch {
        match whole.get_mut(&member) {
            Some(known) => *known = value,
            None => return Err(Error::custom(format_args!("unknown setting `{member}`"))),
        }
    }
    serde_json::from_value(whole)
}
