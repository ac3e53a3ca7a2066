//! JSON form of byte strings: lower-case hexadecimal.

use serde::{Deserialize, Deserializer, Serializer};

/// Serializes the bytes as lower-case hexadecimal.
///
/// # Errors
///
/// Fails when the serializer fails.
pub fn serialize<S: Serializer>(value: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&hex::encode(value))
}

/// Deserializes hexadecimal digits of either case.
///
/// # Errors
///
/// Fails when the text has an odd length or a character that is no hexadecimal digit.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    hex::decode(text).map_err(serde::de::Error::custom)
}
