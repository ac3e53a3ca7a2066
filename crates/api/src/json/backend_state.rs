//! JSON form of [`crate::state::BackendState`]: the name of the value in snake case.

use crate::state::BackendState;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Serializes the enum value with this number as its name.
///
/// # Errors
///
/// Fails when the number is no [`BackendState`] or the serializer fails.
pub fn serialize<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    let value = BackendState::try_from(*value).map_err(serde::ser::Error::custom)?;
    value.serialize(serializer)
}

/// Deserializes the name of a value to its number.
///
/// # Errors
///
/// Fails when the text is not the name of a [`BackendState`]; the error lists the valid names.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
    Ok(BackendState::deserialize(deserializer)? as i32)
}
