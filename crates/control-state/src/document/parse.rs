//! Reading of a document from JSON. Unknown fields are reported with their path.

use millford_api::config::{Document, ForwardRoute, HttpLimits, Pool, Route, Tenant};
use millford_core::ResultCode;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::fault::Fault;

/// Fields whose value is a list; every other field of a document has a single value.
const LIST_FIELDS: [&str; 6] = [
    "routes",
    "forward_routes",
    "pools",
    "tenants",
    "key_hashes",
    "adapters",
];

/// Type of JSON value, other than a scalar, that is allowed at a position in a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    List,
    Object,
}

impl Expected {
    fn of_field(field: &str) -> Self {
        if LIST_FIELDS.contains(&field) {
            Self::List
        } else {
            Self::Object
        }
    }
}

/// Reads a document without checking its rules; see [`super::check()`].
///
/// # Errors
/// Returns the first fault of each route, forwarding route, pool and tenant, and of the HTTP
/// limits, that cannot be read.
pub fn parse(json: &[u8]) -> Result<Document, Vec<Fault>> {
    let document = read(json, "").map_err(|first| {
        let all = match serde_json::from_slice::<Value>(json) {
            Ok(value) => document_faults(&value, ""),
            Err(_) => Vec::new(),
        };
        // Reading entry by entry does not find every fault, for instance not a duplicate field.
        // Such a fault is reported alone.
        if all.is_empty() { vec![first] } else { all }
    })?;
    let misplaced = misplaced_lists_in(json);
    if misplaced.is_empty() {
        Ok(document)
    } else {
        Err(misplaced)
    }
}

/// Finds lists where an object is expected. serde would read such a list as the object's fields by
/// position, which no operator intends.
pub(super) fn misplaced_lists_in(json: &[u8]) -> Vec<Fault> {
    let mut faults = Vec::new();
    if let Ok(value) = serde_json::from_slice::<Value>(json) {
        find_misplaced_lists("", &value, Expected::Object, &mut faults);
    }
    faults
}

fn find_misplaced_lists(path: &str, value: &Value, expected: Expected, faults: &mut Vec<Fault>) {
    match value {
        Value::Array(_) if expected == Expected::Object => {
            faults.push(bad_field(path, "expected an object"));
        }
        Value::Array(entries) => {
            for (index, entry) in entries.iter().enumerate() {
                let entry_path = format!("{path}[{index}]");
                find_misplaced_lists(&entry_path, entry, Expected::Object, faults);
            }
        }
        Value::Object(fields) => {
            for (field, value) in fields {
                let expected = Expected::of_field(field);
                find_misplaced_lists(&join(path, field), value, expected, faults);
            }
        }
        _ => {}
    }
}

/// Reads a value of any type from JSON text; `prefix` is prepended to the path of a fault.
pub(super) fn read<T: DeserializeOwned>(json: &[u8], prefix: &str) -> Result<T, Fault> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let value =
        serde_path_to_error::deserialize(&mut reader).map_err(|error| to_fault(prefix, &error))?;
    reader.end().map_err(|error| Fault {
        path: prefix.to_owned(),
        code: ResultCode::BadJson,
        text: error.to_string(),
    })?;
    Ok(value)
}

/// Returns a fault for each entry of a document that cannot be read; `prefix` is prepended to the
/// paths.
pub(super) fn document_faults(document: &Value, prefix: &str) -> Vec<Fault> {
    let Value::Object(fields) = document else {
        return vec![bad_field(prefix, "expected an object")];
    };
    let mut faults = Vec::new();
    for (field, value) in fields {
        let path = join(prefix, field);
        match field.as_str() {
            "routes" => faults.extend(list_faults::<Route>(&path, value)),
            "forward_routes" => faults.extend(list_faults::<ForwardRoute>(&path, value)),
            "http_limits" => faults.extend(value_faults::<Option<HttpLimits>>(&path, value)),
            "pools" => faults.extend(list_faults::<Pool>(&path, value)),
            "tenants" => faults.extend(list_faults::<Tenant>(&path, value)),
            _ => faults.push(bad_field(
                &path,
                "unknown field, expected one of `routes`, `pools`, `tenants`, `forward_routes`, \
                 `http_limits`",
            )),
        }
    }
    faults
}

fn list_faults<T: DeserializeOwned>(path: &str, value: &Value) -> Vec<Fault> {
    let Value::Array(entries) = value else {
        return vec![bad_field(path, "expected a list")];
    };
    let mut faults = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        faults.extend(value_faults::<T>(&format!("{path}[{index}]"), entry));
    }
    faults
}

fn value_faults<T: DeserializeOwned>(path: &str, value: &Value) -> Option<Fault> {
    let read = serde_path_to_error::deserialize::<_, T>(value);
    read.err().map(|error| to_fault(path, &error))
}

fn to_fault(prefix: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> Fault {
    let inner = error.inner();
    let code = if inner.is_data() {
        ResultCode::BadField
    } else {
        ResultCode::BadJson
    };
    let relative = error.path().to_string();
    let path = match relative.as_str() {
        // "?" means that the position is unknown because the JSON is malformed; the error text
        // contains the line.
        "." | "?" => prefix.to_owned(),
        _ => join(prefix, &relative),
    };
    Fault {
        path,
        code,
        text: inner.to_string(),
    }
}

fn bad_field(path: &str, text: &str) -> Fault {
    Fault {
        path: path.to_owned(),
        code: ResultCode::BadField,
        text: text.to_owned(),
    }
}

fn join(prefix: &str, field: &str) -> String {
    if prefix.is_empty() || field.starts_with('[') {
        return format!("{prefix}{field}");
    }
    format!("{prefix}.{field}")
}
