//! JSON form of [`crate::state::ReplicaState`]: the name of the value in snake case.

use crate::state::ReplicaState;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Serializes the enum value with this number as its name.
///
/// # Errors
///
/// Fails when the number is no [`ReplicaState`] or the serializer fails.
pub fn serialize<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    let value = ReplicaState::try_from(*value).map_err(serde::ser::Error::custom)?;
    value.serialize(serializer)
}

/// Deserializes the name of a value to its number.
///
/// # Errors
///
/// Fails when the text is not the name of a [`ReplicaState`]; the error lists the valid names.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
    Ok(ReplicaState::deserialize(deserializer)? as i32)
}
