//! The operator key. It is never read from the command line, which other users of the machine can see.

use std::fmt;
use std::path::Path;

use millford_core::ResultCode;

use crate::failure::Failure;

/// Name of the environment variable with the operator key.
pub const KEY_VARIABLE: &str = "MILLFORD_OPERATOR_KEY";

/// An operator key; its `Debug` form hides the value.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorKey(String);

impl OperatorKey {
    /// Reads the key from `file` or, if there is none, takes `environment`, the value of
    /// [`KEY_VARIABLE`].
    ///
    /// # Errors
    /// [`ResultCode::BadArgument`] when there is no key, the file cannot be read or the key has
    /// characters that are not allowed in a header.
    pub fn find(file: Option<&Path>, environment: Option<String>) -> Result<Self, Failure> {
        let text = match file {
            Some(file) => read(file)?,
            None => environment.unwrap_or_default(),
        };
        let key = text.trim();
        if key.is_empty() {
            return Err(invalid_key(
                "no operator key: use --key-file or MILLFORD_OPERATOR_KEY",
            ));
        }
        if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(invalid_key(
                "the operator key contains characters that are not allowed in an HTTP header",
            ));
        }
        Ok(Self(key.to_owned()))
    }

    /// Returns the value of the `Authorization` header.
    #[must_use]
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("OperatorKey(hidden)")
    }
}

fn read(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file)
        .map_err(|error| invalid_key(format!("{}: {error}", file.display())))
}

fn invalid_key(message: impl Into<String>) -> Failure {
    Failure::with_message(ResultCode::BadArgument, message)
}
