//! JSON form of bytes: lower-case hexadecimal.

use serde::{Deserialize, Deserializer, Serializer};

/// Writes the bytes as lower-case hexadecimal.
///
/// # Errors
///
/// Where the serializer fails.
pub fn serialize<S: Serializer>(value: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&hex::encode(value))
}

/// Reads hexadecimal of either case.
///
/// # Errors
///
/// Where the text is not such a value.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    hex::decode(text).map_err(serde::de::Error::custom)
}
