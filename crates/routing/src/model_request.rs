//! Selection of a model by a request.

/// Model, version, stage and adapter that a request asks for. An empty field matches any value.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelRequest {
    /// Name of the model, without a version.
    pub model: String,
    /// Version of the model, compared as text.
    pub version: String,
    /// Stage, for instance `production` or `canary`.
    pub stage: String,
    /// Name of the adapter to apply to the model.
    pub adapter: String,
}

impl ModelRequest {
    /// Parses the `model` field of a request body: `name` or `name@version`.
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
