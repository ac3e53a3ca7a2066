//! The OpenAPI files and the code describe the same interface.

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

fn file(name: &str) -> Value {
    let path = format!("{}/openapi/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the OpenAPI file");
    serde_json::from_str(&text).expect("JSON")
}

fn keys(value: &Value) -> BTreeSet<String> {
    let fields = value.as_object().expect("an object");
    fields.keys().cloned().collect()
}

/// One value of every type, with every optional field there, by the name of its schema.
struct Samples(BTreeMap<&'static str, Value>);

impl Samples {
    fn add(&mut self, schema: &'static str, value: impl Serialize) {
        let value = serde_json::to_value(value).expect("JSON");
        self.0.insert(schema, value);
    }

    fn of_documents(&mut self) {
        self.add("Document", Document::default());
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

    fn of_orders(&mut self) {
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

    fn of_errors(&mut self) {
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

    fn of_plans(&mut self) {
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

    fn of_status(&mut self) {
        self.add("StatusReply", StatusReply::default());
        self.add("MemberBody", MemberBody::default());
        self.add("ShardBody", ShardBody::default());
        self.add("SessionBody", SessionBody::default());
        self.add("PlacementBody", PlacementBody::default());
        self.add("ReplicaBody", ReplicaBody::default());
    }

    fn all() -> BTreeMap<&'static str, Value> {
        let mut samples = Self(BTreeMap::new());
        samples.of_documents();
        samples.of_orders();
        samples.of_errors();
        samples.of_plans();
        samples.of_status();
        samples.0
    }
}

/// Every `$ref` below a value.
fn references(value: &Value, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (field, value) in fields {
                match (field.as_str(), value) {
                    ("$ref", Value::String(target)) => {
                        found.insert(target.clone());
                    }
                    _ => references(value, found),
                }
            }
        }
        Value::Array(entries) => entries.iter().for_each(|entry| references(entry, found)),
        _ => {}
    }
}

/// Each operation of a file.
fn operations(file: &Value) -> Vec<&Value> {
    let paths = file["paths"].as_object().expect("paths");
    let methods = paths
        .values()
        .flat_map(|path| path.as_object().expect("methods").values());
    methods.collect()
}

/// Numbers of four digits in a text.
fn codes_in(text: &str) -> Vec<u32> {
    text.split(|character: char| !character.is_ascii_digit())
        .filter(|word| word.len() == 4)
        .filter_map(|word| word.parse().ok())
        .collect()
}

#[test]
fn the_operators_paths_are_those_of_the_code() {
    let expected: BTreeSet<String> = OPERATOR_PATHS.map(str::to_owned).into();
    assert_eq!(keys(&file("operator.json")["paths"]), expected);
}

#[test]
fn every_type_has_a_schema_with_the_same_fields() {
    let operator = file("operator.json");
    let schemas = &operator["components"]["schemas"];
    for (name, sample) in Samples::all() {
        assert_eq!(keys(&schemas[name]["properties"]), keys(&sample), "{name}");
    }
}

#[test]
fn every_schema_has_a_type() {
    let operator = file("operator.json");
    let mut expected: BTreeSet<String> = Samples::all().keys().map(|&name| name.into()).collect();
    expected.extend(["Resume".to_owned(), "ChangeKind".to_owned()]);
    assert_eq!(keys(&operator["components"]["schemas"]), expected);
}

#[test]
fn fields_that_the_code_refuses_are_refused_by_the_schema() {
    let operator = file("operator.json");
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
fn enumerations_have_the_values_of_the_code() {
    let operator = file("operator.json");
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
fn every_reference_leads_to_a_schema() {
    for name in ["operator.json", "caller.json"] {
        let whole = file(name);
        let mut found = BTreeSet::new();
        references(&whole, &mut found);
        assert!(!found.is_empty());
        for reference in found {
            let pointer = reference.trim_start_matches('#');
            assert!(whole.pointer(pointer).is_some(), "{name}: {reference}");
        }
    }
}

#[test]
fn codes_stand_under_the_status_that_they_have() {
    for name in ["operator.json", "caller.json"] {
        let whole = file(name);
        for operation in operations(&whole) {
            for (status, response) in operation["responses"].as_object().expect("responses") {
                let text = response["description"].as_str().expect("a description");
                let foremost = text.split(". Nothing was").next().expect("a sentence");
                for number in codes_in(foremost) {
                    let code = ResultCode::from_number(number).expect("a known code");
                    let expected = http_status(code).to_string();
                    assert_eq!(*status, expected, "{name}: {number} in {text}");
                }
            }
        }
    }
}

#[test]
fn operations_are_named_once_and_described() {
    for name in ["operator.json", "caller.json"] {
        let whole = file(name);
        let mut names = BTreeSet::new();
        for operation in operations(&whole) {
            let id = operation["operationId"].as_str().expect("an id");
            assert!(names.insert(id.to_owned()), "{id} stands twice");
            assert!(
                operation["summary"]
                    .as_str()
                    .is_some_and(|text| text.ends_with('.'))
            );
        }
    }
}

#[test]
fn errors_are_the_same_for_callers_and_operators() {
    let operator = file("operator.json");
    let caller = file("caller.json");
    for schema in ["ErrorBody", "ErrorDetail", "FaultBody"] {
        let pointer = format!("/components/schemas/{schema}");
        assert_eq!(operator.pointer(&pointer), caller.pointer(&pointer));
        assert!(operator.pointer(&pointer).is_some());
    }
}
