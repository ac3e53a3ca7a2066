//! JSON form of [`crate::config::Resume`]: the name of the value in snake case.

use crate::config::Resume;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Serializes the enum value with this number as its name.
///
/// # Errors
///
/// Fails when the number is no [`Resume`] or the serializer fails.
pub fn serialize<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    let value = Resume::try_from(*value).map_err(serde::ser::Error::custom)?;
    value.serialize(serializer)
}

/// Deserializes the name of a value to its number.
///
/// # Errors
///
/// Fails when the text is not the name of a [`Resume`]; the error lists the valid names.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
    Ok(Resume::deserialize(deserializer)? as i32)
}
