//! JSON form of [`crate::config::Resume`]: its name in snake case.

use crate::config::Resume;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Writes the name of the value; an unknown number is an error.
///
/// # Errors
///
/// Where the serializer fails.
pub fn serialize<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    let value = Resume::try_from(*value).map_err(serde::ser::Error::custom)?;
    value.serialize(serializer)
}

/// Reads the name of the value; an unknown name is an error that lists the known ones.
///
/// # Errors
///
/// Where the text is not such a value.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
    Ok(Resume::deserialize(deserializer)? as i32)
}
