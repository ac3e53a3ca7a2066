//! Checks that the OpenAPI files describe the same APIs as the code.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::config::{
    Document, ForwardRoute, Hedge, HttpLimits, Pool, Quota, Resume, Route, RouteMatch, Selector,
    Tenant, TokenQuota, WeightedPool,
};
use millford_api::http_status::http_status;
use millford_api::operator::{
    ChangeKind, ConfigReply, DrainBody, DrainReply, ErrorBody, ErrorDetail, FaultBody, KeyMove,
    MemberBody, NamedChange, OPERATOR_PATHS, PlacementBody, Plan, PlanBody, PlanReply, PlanWarning,
    PutConfigBody, PutConfigReply, QuotaMove, RecoveryBody, RecoveryReply, ReplicaBody,
    ReplicaMove, SessionBody, SessionMove, ShardBody, StatusReply,
};
use millford_core::{ResultCode, RunState};
use serde::Serialize;
use serde_json::Value;

fn read_openapi(name: &str) -> Value {
    let path = format!("{}/openapi/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the OpenAPI file");
    serde_json::from_str(&text).expect("JSON")
}

fn keys(value: &Value) -> BTreeSet<String> {
    let fields = value.as_object().expect("an object");
    fields.keys().cloned().collect()
}

/// One serialized value of every type, with all optional fields set, by the name of its schema.
struct Samples(BTreeMap<&'static str, Value>);

impl Samples {
    fn add(&mut self, schema: &'static str, value: impl Serialize) {
        let value = serde_json::to_value(value).expect("JSON");
        self.0.insert(schema, value);
    }

    fn add_documents(&mut self) {
        let document = Document {
            empty_tenant_list: true,
            ..Document::default()
        };
        self.add("Document", document);
        self.add("Route", Route::default());
        self.add("RouteMatch", RouteMatch::default());
        self.add("Hedge", Hedge::default());
        self.add("Pool", Pool::default());
        self.add("Selector", Selector::default());
        self.add("Tenant", Tenant::default());
        self.add("Quota", Quota::default());
        self.add("TokenQuota", TokenQuota::default());
        self.add("HttpLimits", HttpLimits::default());
        self.add("ForwardRoute", ForwardRoute::default());
        self.add("WeightedPool", WeightedPool::default());
    }

    fn add_orders(&mut self) {
        self.add(
            "PutConfigBody",
            PutConfigBody {
                base_revision: 1,
                order_id: String::new(),
                document: Document::default(),
            },
        );
        self.add(
            "PutConfigReply",
            PutConfigReply {
                revision: 2,
                repeated: false,
            },
        );
        self.add(
            "ConfigReply",
            ConfigReply {
                revision: 2,
                digest: String::new(),
                document: Document::default(),
                source: Vec::new(),
            },
        );
        self.add("DrainBody", DrainBody { drain: true });
        self.add(
            "DrainReply",
            DrainReply {
                pool: String::new(),
                backend_id: String::new(),
                drain: true,
            },
        );
        self.add(
            "RecoveryBody",
            RecoveryBody {
                survivors: Vec::new(),
                confirm: RecoveryBody::CONFIRMATION.to_owned(),
            },
        );
        self.add("RecoveryReply", RecoveryReply { shards: Vec::new() });
    }

    fn add_errors(&mut self) {
        let mut error = ErrorBody::new(ResultCode::DocumentInvalid);
        error.revision = Some(1);
        error.error.run = Some(RunState::NotRun);
        error.error.retry_after_ms = Some(1);
        let fault = FaultBody {
            path: String::new(),
            message: String::new(),
        };
        error.error.faults.push(fault.clone());
        let detail: ErrorDetail = error.error.clone();
        self.add("ErrorBody", error);
        self.add("ErrorDetail", detail);
        self.add("FaultBody", fault);
    }

    fn add_plans(&mut self) {
        let change = ChangeKind::Added;
        self.add("Plan", Plan::default());
        self.add(
            "PlanBody",
            PlanBody {
                document: Document::default(),
            },
        );
        self.add(
            "PlanReply",
            PlanReply {
                revision: 1,
                plan: Plan::default(),
            },
        );
        self.add(
            "NamedChange",
            NamedChange {
                name: String::new(),
                change,
                fields: Vec::new(),
            },
        );
        self.add(
            "KeyMove",
            KeyMove {
                tenant: String::new(),
                key_hash_prefix: String::new(),
                change,
            },
        );
        self.add(
            "QuotaMove",
            QuotaMove {
                tenant: String::new(),
                before: None,
                after: None,
            },
        );
        self.add(
            "ReplicaMove",
            ReplicaMove {
                pool: String::new(),
                backend_id: String::new(),
                change,
            },
        );
        self.add(
            "SessionMove",
            SessionMove {
                route: String::new(),
                from: String::new(),
                to: String::new(),
                moved: 0,
                sampled: 0,
            },
        );
        self.add(
            "PlanWarning",
            PlanWarning {
                path: String::new(),
                message: String::new(),
            },
        );
    }

    fn add_status(&mut self) {
        self.add("StatusReply", StatusReply::default());
        self.add("MemberBody", MemberBody::default());
        self.add("ShardBody", ShardBody::default());
        self.add("SessionBody", SessionBody::default());
        self.add("PlacementBody", PlacementBody::default());
        self.add("ReplicaBody", ReplicaBody::default());
    }

    fn all() -> BTreeMap<&'static str, Value> {
        let mut samples = Self(BTreeMap::new());
        samples.add_documents();
        samples.add_orders();
        samples.add_errors();
        samples.add_plans();
        samples.add_status();
        samples.0
    }
}

/// Collects the target of every `$ref` in a value.
fn collect_references(value: &Value, references: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (field, value) in fields {
                match (field.as_str(), value) {
                    ("$ref", Value::String(target)) => {
                        references.insert(target.clone());
                    }
                    _ => collect_references(value, references),
                }
            }
        }
        Value::Array(entries) => entries
            .iter()
            .for_each(|entry| collect_references(entry, references)),
        _ => {}
    }
}

/// Returns all operations of an OpenAPI file.
fn operations(openapi: &Value) -> Vec<&Value> {
    let paths = openapi["paths"].as_object().expect("paths");
    let methods = paths
        .values()
        .flat_map(|path| path.as_object().expect("methods").values());
    methods.collect()
}

/// Returns all four-digit numbers in a text: the result codes that it lists.
fn codes_in(text: &str) -> Vec<u32> {
    text.split(|character: char| !character.is_ascii_digit())
        .filter(|word| word.len() == 4)
        .filter_map(|word| word.parse().ok())
        .collect()
}

#[test]
fn operator_paths_match_the_code() {
    let expected: BTreeSet<String> = OPERATOR_PATHS.map(str::to_owned).into();
    assert_eq!(keys(&read_openapi("operator.json")["paths"]), expected);
}

#[test]
fn every_type_has_a_schema_with_the_same_fields() {
    let operator = read_openapi("operator.json");
    let schemas = &operator["components"]["schemas"];
    for (name, sample) in Samples::all() {
        assert_eq!(keys(&schemas[name]["properties"]), keys(&sample), "{name}");
    }
}

#[test]
fn every_schema_has_a_type_in_the_code() {
    let operator = read_openapi("operator.json");
    let mut expected: BTreeSet<String> = Samples::all().keys().map(|&name| name.into()).collect();
    expected.extend(["Resume".to_owned(), "ChangeKind".to_owned()]);
    assert_eq!(keys(&operator["components"]["schemas"]), expected);
}

#[test]
fn schemas_reject_unknown_fields_as_the_code_does() {
    let operator = read_openapi("operator.json");
    let schemas = operator["components"]["schemas"]
        .as_object()
        .expect("schemas");
    for (name, schema) in schemas {
        if schema["type"] == "object" {
            assert_eq!(schema["additionalProperties"], false, "{name}");
        }
    }
}

#[test]
fn enum_values_match_the_code() {
    let operator = read_openapi("operator.json");
    let schemas = &operator["components"]["schemas"];
    let resumes = [Resume::Never, Resume::FromStart, Resume::Continue];
    let changes = [ChangeKind::Added, ChangeKind::Removed, ChangeKind::Changed];
    let runs = [RunState::NotRun, RunState::MayHaveRun];
    let json = |value: Result<Value, _>| value.expect("JSON");
    assert_eq!(
        schemas["Resume"]["enum"],
        json(serde_json::to_value(resumes))
    );
    assert_eq!(
        schemas["ChangeKind"]["enum"],
        json(serde_json::to_value(changes))
    );
    let run = &schemas["ErrorDetail"]["properties"]["run"]["enum"];
    assert_eq!(*run, json(serde_json::to_value(runs)));
    let confirm = &schemas["RecoveryBody"]["properties"]["confirm"]["const"];
    assert_eq!(confirm, RecoveryBody::CONFIRMATION);
}

#[test]
fn every_reference_resolves_to_a_schema() {
    for name in ["operator.json", "caller.json"] {
        let openapi = read_openapi(name);
        let mut references = BTreeSet::new();
        collect_references(&openapi, &mut references);
        assert!(!references.is_empty());
        for reference in references {
            let pointer = reference.trim_start_matches('#');
            assert!(openapi.pointer(pointer).is_some(), "{name}: {reference}");
        }
    }
}

#[test]
fn codes_are_described_under_their_http_status() {
    for name in ["operator.json", "caller.json"] {
        let openapi = read_openapi(name);
        for operation in operations(&openapi) {
            for (status, response) in operation["responses"].as_object().expect("responses") {
                let text = response["description"].as_str().expect("a description");
                // The text after "Nothing was" may refer to codes with another status.
                let listed = text.split(". Nothing was").next().expect("a sentence");
                for number in codes_in(listed) {
                    let code = ResultCode::from_number(number).expect("a known code");
                    let expected = http_status(code).to_string();
                    assert_eq!(*status, expected, "{name}: {number} in {text}");
                }
            }
        }
    }
}

#[test]
fn operations_have_a_unique_id_and_a_summary() {
    for name in ["operator.json", "caller.json"] {
        let openapi = read_openapi(name);
        let mut ids = BTreeSet::new();
        for operation in operations(&openapi) {
            let id = operation["operationId"].as_str().expect("an id");
            assert!(ids.insert(id.to_owned()), "{id} is used twice");
            assert!(
                operation["summary"]
                    .as_str()
                    .is_some_and(|text| text.ends_with('.'))
            );
        }
    }
}

#[test]
fn error_schemas_are_the_same_for_callers_and_operators() {
    let operator = read_openapi("operator.json");
    let caller = read_openapi("caller.json");
    for schema in ["ErrorBody", "ErrorDetail", "FaultBody"] {
        let pointer = format!("/components/schemas/{schema}");
        assert_eq!(operator.pointer(&pointer), caller.pointer(&pointer));
        assert!(operator.pointer(&pointer).is_some());
    }
}
