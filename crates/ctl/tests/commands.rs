//! Runs the program against scripted control nodes: outcomes, exit statuses, resent orders.

mod support;

use std::io::Write;

use serde_json::Value;
use support::{
    ScriptedNode, ScriptedResponse, closed_address, ctl, error, program, stderr, stdout,
};
use tempfile::NamedTempFile;

const VALID_DOCUMENT: &str = r#"{"routes":[{"name":"captions","match":{"model":"saga"},"pool":"saga",
    "repeatable":true,"deadline_ms":30000}],"pools":[{"name":"saga","drain_ms":2000}],
    "tenants":[{"name":"library","quota":{"requests_per_second":10,"burst":20}}]}"#;

fn file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    file
}

fn path(file: &NamedTempFile) -> &str {
    file.path().to_str().expect("a path")
}

fn accepted(revision: u64, repeated: bool) -> ScriptedResponse {
    let body = format!("{{\"revision\":{revision},\"repeated\":{repeated}}}");
    ScriptedResponse::Respond(200, body)
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

fn config(revision: u64) -> ScriptedResponse {
    let body =
        format!("{{\"revision\":{revision},\"digest\":\"00\",\"document\":{VALID_DOCUMENT}}}");
    ScriptedResponse::Respond(200, body)
}

#[test]
fn check_requires_neither_a_node_nor_a_key() {
    let file = file(VALID_DOCUMENT);
    let output = program(&["check", path(&file)]).output().expect("runs");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains("1 routes, 1 pools, 1 tenants"));
}

#[test]
fn check_prints_every_fault_with_its_path() {
    let file = file(
        &VALID_DOCUMENT
            .replace("30000", "1")
            .replace("\"burst\":20", "\"burst\":0"),
    );
    let output = program(&["check", path(&file)]).output().expect("runs");
    assert_eq!(output.status.code(), Some(3));
    let report = stderr(&output);
    assert!(report.contains("routes[0].deadline_ms"), "{report}");
    assert!(report.contains("tenants[0].quota.burst"), "{report}");
    let output = program(&["--json", "check", path(&file)])
        .output()
        .expect("runs");
    let body = json(&stdout(&output));
    assert_eq!(body["error"]["code"], 4001);
    assert_eq!(body["error"]["faults"].as_array().map(Vec::len), Some(2));
}

#[test]
fn a_document_with_faults_is_not_sent() {
    let node = ScriptedNode::start(vec![accepted(1, false)]);
    let file = file("{\"lanes\":[]}");
    let output = ctl(&["-c", &node.address, "apply", path(&file)]);
    assert_eq!(output.status.code(), Some(3));
    assert!(node.received().is_empty());
}

#[test]
fn apply_without_base_uses_the_revision_in_force() {
    let node = ScriptedNode::start(vec![config(6), accepted(7, false)]);
    let file = file(VALID_DOCUMENT);
    let output = ctl(&["--json", "-c", &node.address, "apply", path(&file)]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(json(&stdout(&output))["revision"], 7);
    let received = node.received();
    assert!(received[0].request_line.starts_with("GET /v1/config"));
    assert!(received[1].request_line.starts_with("PUT /v1/config"));
    assert_eq!(received[1].authorization, "Bearer the-operator-key");
    assert_eq!(json(&received[1].body)["base_revision"], 6);
}

#[test]
fn an_order_with_a_lost_response_is_resent_until_acknowledged() {
    let node = ScriptedNode::start(vec![
        ScriptedResponse::CloseWithoutResponse,
        ScriptedResponse::Respond(504, error(4006, "OrderUncertain", "")),
        ScriptedResponse::Respond(503, error(5001, "NoLeader", "")),
        accepted(3, true),
    ]);
    let file = file(VALID_DOCUMENT);
    let output = ctl(&["-c", &node.address, "apply", "--base", "2", path(&file)]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains("revision 3 had been accepted before"));
    let received = node.received();
    assert_eq!(received.len(), 4);
    assert!(
        json(&received[0].body)["order_id"]
            .as_str()
            .is_some_and(|id| id.len() > 16)
    );
    assert!(
        received
            .iter()
            .all(|request| request.body == received[0].body)
    );
}

#[test]
fn an_unreachable_node_is_skipped() {
    let closed = closed_address();
    let node = ScriptedNode::start(vec![accepted(1, false)]);
    let file = file(VALID_DOCUMENT);
    let output = ctl(&[
        "-c",
        &closed,
        "-c",
        &node.address,
        "apply",
        "-b",
        "0",
        path(&file),
    ]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn a_conflict_reports_the_revision_in_force() {
    let body = error(4002, "RevisionConflict", ",\"revision\":9");
    let node = ScriptedNode::start(vec![ScriptedResponse::Respond(409, body)]);
    let file = file(VALID_DOCUMENT);
    let output = ctl(&[
        "--json",
        "-c",
        &node.address,
        "apply",
        "-b",
        "2",
        path(&file),
    ]);
    assert_eq!(output.status.code(), Some(4));
    assert_eq!(json(&stdout(&output))["revision"], 9);
    assert_eq!(node.received().len(), 1, "a conflict is final");
}

#[test]
fn an_order_with_an_uncertain_outcome_is_reported_with_its_id() {
    let node = ScriptedNode::start(vec![ScriptedResponse::CloseWithoutResponse]);
    let file = file(VALID_DOCUMENT);
    let arguments = [
        "-t",
        "600",
        "-c",
        &node.address,
        "apply",
        "-b",
        "2",
        "-o",
        "order-7",
    ];
    let output = ctl(&[&arguments[..], &[path(&file)]].concat());
    assert_eq!(output.status.code(), Some(6));
    let report = stderr(&output);
    assert!(report.contains("--order-id order-7"), "{report}");
    assert!(node.received().len() > 1);
}

#[test]
fn without_a_reachable_node_the_order_is_reported_as_not_sent() {
    let closed = closed_address();
    let file = file(VALID_DOCUMENT);
    let output = ctl(&["-t", "400", "-c", &closed, "apply", "-b", "2", path(&file)]);
    assert_eq!(output.status.code(), Some(5));
}

#[test]
fn faults_reported_by_the_node_are_printed() {
    let body = r#"{"error":{"code":4001,"name":"DocumentInvalid","message":"scripted",
        "faults":[{"path":"document.routes[0].pool","message":"no pool"}]}}"#;
    let node = ScriptedNode::start(vec![ScriptedResponse::Respond(400, body.to_owned())]);
    let file = file(VALID_DOCUMENT);
    let output = ctl(&["-c", &node.address, "apply", "-b", "2", path(&file)]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("document.routes[0].pool"));
}

#[test]
fn a_rejected_key_has_its_own_exit_status_and_is_not_printed() {
    let body = error(4004, "OperatorKeyWrong", "");
    let node = ScriptedNode::start(vec![ScriptedResponse::Respond(401, body)]);
    let output = ctl(&["-c", &node.address, "get"]);
    assert_eq!(output.status.code(), Some(7));
    assert!(!stderr(&output).contains("the-operator-key"));
}

#[test]
fn the_key_is_read_from_a_file() {
    let node = ScriptedNode::start(vec![config(1)]);
    let key = file("key-from-file\n");
    let arguments = ["-k", path(&key), "-c", &node.address, "get"];
    let output = program(&arguments).output().expect("runs");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(node.received()[0].authorization, "Bearer key-from-file");
}

#[test]
fn invalid_command_lines_are_rejected() {
    let file = file(VALID_DOCUMENT);
    let command_lines: [&[&str]; 14] = [
        &[],
        &["nonsense"],
        &["check"],
        &["check", "a", "b"],
        &["get", "extra"],
        &["--base", "x", "-c", "127.0.0.1:1", "apply", path(&file)],
        &["--base", "1", "get"],
        &["--undo", "status"],
        &["--unknown", "get"],
        &["-c", "localhost", "get"],
        &["drain", "pool"],
        &["recover"],
        &[
            "-c",
            "127.0.0.1:1",
            "-s",
            "a",
            "--confirm",
            "yes",
            "recover",
        ],
        &["check", "/nowhere/at/all.json"],
    ];
    for arguments in command_lines {
        let output = ctl(arguments);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{arguments:?}: {}",
            stderr(&output)
        );
    }
}

#[test]
fn without_key_or_address_no_request_is_sent() {
    let output = program(&["-c", "127.0.0.1:1", "get"])
        .output()
        .expect("runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("MILLFORD_OPERATOR_KEY"));
    assert_eq!(ctl(&["get"]).status.code(), Some(2));
}

#[test]
fn get_prints_a_document_that_can_be_applied_again() {
    let node = ScriptedNode::start(vec![config(4)]);
    let output = ctl(&["-c", &node.address, "get"]);
    let again = file(&stdout(&output));
    let checked = program(&["check", path(&again)]).output().expect("runs");
    assert_eq!(checked.status.code(), Some(0), "{}", stderr(&checked));
    let output = ctl(&["--json", "-c", &node.address, "get"]);
    assert_eq!(json(&stdout(&output))["revision"], 4);
}

#[test]
fn plan_prints_the_changes() {
    let body = r#"{"revision":4,"plan":{"changed_items":2,"changed_bytes":99,
        "routes":[{"name":"captions","change":"changed","fields":["pool"]}],
        "sessions":[{"route":"captions","from":"a","to":"b","moved":250,"sampled":1000}],
        "warnings":[{"path":"pools/saga","message":"no route refers to the pool"}]}}"#;
    let node = ScriptedNode::start(vec![ScriptedResponse::Respond(200, body.to_owned())]);
    let file = file(VALID_DOCUMENT);
    let output = ctl(&["-c", &node.address, "plan", path(&file)]);
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    for part in [
        "revision 4",
        "~ captions pool",
        "25.0% a -> b",
        "pools/saga",
    ] {
        assert!(text.contains(part), "{text}");
    }
    assert!(node.received()[0].request_line.starts_with("POST /v1/plan"));
}

#[test]
fn status_marks_disconnected_members_and_sessions_on_an_older_revision() {
    let body = r#"{"node":"0a","cluster":"0b","revision":5,"members":[{"node":"0a",
        "internal_address":"127.0.0.1:1","operator_address":"127.0.0.1:2","zone":"a",
        "in_touch":false}],"shards":[{"shard":0,"leader":"","term":2,"commit_index":9,
        "voters":["0a"],"learners":[]}],"sessions":[{"member":"agent-1","epoch":3,"zone":"a",
        "address":"127.0.0.1:3","shown_revision":4}],"placements":[]}"#;
    let node = ScriptedNode::start(vec![ScriptedResponse::Respond(200, body.to_owned())]);
    let output = ctl(&["-c", &node.address, "status"]);
    let text = stdout(&output);
    for part in ["NOT CONNECTED", "leader none", "revision 4 BEHIND"] {
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn drain_sends_the_backend_in_the_path() {
    let body = r#"{"pool":"saga","backend_id":"b1","drain":false}"#;
    let node = ScriptedNode::start(vec![ScriptedResponse::Respond(200, body.to_owned())]);
    let output = ctl(&["-c", &node.address, "drain", "--undo", "saga", "b1"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let received = node.received();
    assert!(
        received[0]
            .request_line
            .starts_with("POST /v1/services/saga/backends/b1/drain")
    );
    assert_eq!(received[0].body, "{\"drain\":false}");
    let rejected = ctl(&["-c", &node.address, "drain", "saga", "../b1"]);
    assert_eq!(rejected.status.code(), Some(2));
    assert_eq!(node.received().len(), 1);
}

#[test]
fn an_unknown_backend_is_rejected() {
    let body = error(4005, "BackendUnknown", "");
    let node = ScriptedNode::start(vec![ScriptedResponse::Respond(404, body)]);
    let output = ctl(&["-c", &node.address, "drain", "saga", "b1"]);
    assert_eq!(output.status.code(), Some(8));
}

#[test]
fn recovery_is_sent_to_one_node_once() {
    let node = ScriptedNode::start(vec![ScriptedResponse::CloseWithoutResponse]);
    let words = "I accept that orders may be lost";
    let two = [
        "-c",
        "127.0.0.1:1",
        "-c",
        &node.address,
        "-s",
        "0a",
        "--confirm",
        words,
        "recover",
    ];
    assert_eq!(ctl(&two).status.code(), Some(2));
    let one = [
        "-c",
        &node.address,
        "-s",
        "0a",
        "--confirm",
        words,
        "recover",
    ];
    assert_eq!(ctl(&one).status.code(), Some(6));
    assert_eq!(node.received().len(), 1);
}

#[test]
fn a_response_that_is_not_from_a_control_node_is_reported() {
    let node = ScriptedNode::start(vec![ScriptedResponse::Respond(200, "<html>".to_owned())]);
    let output = ctl(&["-c", &node.address, "get"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("5008"));
}

#[test]
fn help_and_version_are_printed() {
    let help = program(&["--help"]).output().expect("runs");
    assert_eq!(help.status.code(), Some(0));
    for command in [
        "check", "plan", "apply", "get", "status", "drain", "recover",
    ] {
        assert!(stdout(&help).contains(command));
    }
    let version = program(&["--version"]).output().expect("runs");
    assert!(stdout(&version).starts_with("millfordctl 0."));
}
