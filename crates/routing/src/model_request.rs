//! Which model a request names.

/// Model, version, stage and adapter that a request names. Empty fields were not named.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelRequest {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Stage, for instance `production` or `canary`.
    pub stage: String,
    /// Adapter to apply.
    pub adapter: String,
}

impl ModelRequest {
    /// Reads the `model` field of a body: `name` or `name@version`.
    #[must_use]
    pub fn from_model_field(field: &str) -> Self {
        let (model, version) = field.split_once('@').unwrap_or((field, ""));
        Self {
            model: model.to_owned(),
            version: version.to_owned(),
            ..Self::default()
        }
    }
}
