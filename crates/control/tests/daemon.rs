//! Control nodes as processes: first start, orders, invalid requests, a replaced machine, shutdown.

mod support;

use support::daemons::{Daemon, KEY, free_addresses, start_three, wait_for};
use support::http;

const DOCUMENT: &str = r#"{"routes":[{"name":"r","match":{"model":"m"},"pool":"p","repeatable":true,"deadline_ms":1000}],"pools":[{"name":"p","selector":{"model":"m"},"drain_ms":1000}],"tenants":[]}"#;

fn order(base: u64, id: &str) -> String {
    format!(r#"{{"base_revision":{base},"order_id":"{id}","document":{DOCUMENT}}}"#)
}

fn wait_until_ready(nodes: &[Daemon]) {
    for node in nodes {
        wait_for("readiness", || node.is_ready());
    }
}

#[test]
fn a_cluster_accepts_orders_across_the_loss_and_replacement_of_a_machine() {
    let mut nodes = start_three();
    wait_until_ready(&nodes);
    let accepted = nodes[2].request("PUT", "/v1/config", &order(0, "one"));
    assert_eq!(
        accepted.json(),
        serde_json::json!({"revision": 1, "repeated": false})
    );
    let resent = nodes[0].request("PUT", "/v1/config", &order(0, "one"));
    assert_eq!(
        resent.json(),
        serde_json::json!({"revision": 1, "repeated": true})
    );
    let conflict = nodes[1].request("PUT", "/v1/config", &order(0, "two"));
    assert_eq!((conflict.status, conflict.code()), (409, 4002));
    assert_eq!(conflict.json()["revision"], 1);

    nodes[0].kill();
    let addresses = free_addresses(2);
    let seeds: Vec<String> = nodes.iter().map(|node| node.internal.clone()).collect();
    let mut replacement = Daemon::new(&addresses[0], &addresses[1], &seeds);
    replacement.start();
    wait_for("the replacement's readiness", || replacement.is_ready());
    nodes[1].kill();
    wait_for("service by the two remaining nodes", || {
        replacement.request("GET", "/v1/config", "").status == 200
    });
    assert_eq!(
        replacement.request("GET", "/v1/config", "").json()["revision"],
        1
    );
    let accepted = nodes[2].request("PUT", "/v1/config", &order(1, "three"));
    assert_eq!(accepted.json()["revision"], 2);
}

#[test]
fn a_rolling_and_a_full_restart_keep_the_configuration_and_sigterm_exits_with_status_0() {
    let mut nodes = start_three();
    wait_until_ready(&nodes);
    assert_eq!(
        nodes[0]
            .request("PUT", "/v1/config", &order(0, "one"))
            .status,
        200
    );
    for node in &mut nodes {
        assert!(node.terminate().success(), "SIGTERM exits with status 0");
        node.start();
        wait_for("readiness after a restart", || node.is_ready());
    }
    for node in &mut nodes {
        node.kill();
    }
    for node in &mut nodes {
        node.start();
    }
    wait_until_ready(&nodes);
    let config = nodes[1].request("GET", "/v1/config", "").json();
    assert_eq!(config["revision"], 1);
    assert_eq!(config["document"]["routes"][0]["name"], "r");
}

#[test]
fn every_path_is_served_and_invalid_requests_get_their_result_codes() {
    let nodes = start_three();
    wait_until_ready(&nodes);
    let node = &nodes[0];
    assert_eq!(
        node.request("PUT", "/v1/config", &order(0, "one")).status,
        200
    );
    let plan = node.request(
        "POST",
        "/v1/plan",
        r#"{"document":{"routes":[],"pools":[],"tenants":[]}}"#,
    );
    assert_eq!(plan.status, 200, "{}", plan.body);
    assert_eq!(plan.json()["plan"]["routes"][0]["change"], "removed");
    let status: millford_api::operator::StatusReply =
        serde_json::from_str(&node.request("GET", "/v1/status", "").body).expect("a status");
    assert_eq!((status.members.len(), status.shards.len()), (3, 7));
    let metrics = node.request("GET", "/metrics", "");
    assert!(
        metrics.body.contains("millford_control_in_touch 1"),
        "{}",
        metrics.body
    );

    check_invalid_requests(node, &status.node);
    check_credentials_and_headers(&node.operator);
    assert!(node.is_ready(), "the node still serves");
}

/// Checks the HTTP status and the result code of requests that are refused; `own` is the identity
/// of the node.
fn check_invalid_requests(node: &Daemon, own: &str) {
    let survivors =
        format!(r#"{{"survivors":["{own}"],"confirm":"I accept that orders may be lost"}}"#);
    let drain = "/v1/services/p/backends/b/drain";
    let long = "x".repeat(200);
    let cases: &[(&str, &str, &str, u16, u64)] = &[
        ("PUT", "/v1/config", "", 400, 1001),
        ("PUT", "/v1/config", "{", 400, 1001),
        ("PUT", "/v1/config", "[]", 400, 1002),
        ("PUT", "/v1/config", "{}", 400, 1002),
        (
            "PUT",
            "/v1/config",
            r#"{"base_revision":-1,"document":{}}"#,
            400,
            1002,
        ),
        (
            "PUT",
            "/v1/config",
            r#"{"base_revision":"1","document":{}}"#,
            400,
            1002,
        ),
        ("PUT", "/v1/config", r#"{"base_revision":1}"#, 400, 1002),
        (
            "PUT",
            "/v1/config",
            r#"{"base_revision":1,"document":{"lanes":[]}}"#,
            400,
            1002,
        ),
        (
            "PUT",
            "/v1/config",
            r#"{"base_revision":1,"document":{},"extra":1}"#,
            400,
            1002,
        ),
        (
            "PUT",
            "/v1/config",
            r#"{"base_revision":1,"document":{"routes":[{"name":"a","pool":"none"}]}}"#,
            400,
            4001,
        ),
        ("PUT", "/v1/config", &order(1, &long), 400, 1002),
        ("PUT", "/v1/config", &order(0, "other"), 409, 4002),
        ("PUT", "/v1/config", &order(7, "later"), 409, 4002),
        ("PUT", "/v1/config", &order(5, "one"), 409, 4003),
        ("POST", "/v1/config", "{}", 405, 1010),
        ("DELETE", "/v1/config", "", 405, 1010),
        ("GET", "/v1/plan", "", 405, 1010),
        ("POST", "/v1/plan", "{}", 400, 1002),
        ("POST", "/v1/plan", r#"{"document":3}"#, 400, 1002),
        ("POST", "/v1/plan", r#"{"document":{},"more":1}"#, 400, 1002),
        (
            "POST",
            "/v1/plan",
            r#"{"document":{"routes":[{"name":""}]}}"#,
            400,
            4001,
        ),
        ("POST", drain, "{}", 400, 1002),
        ("POST", drain, r#"{"drain":1}"#, 400, 1002),
        ("POST", drain, r#"{"drain":true,"x":1}"#, 400, 1002),
        ("POST", drain, r#"{"drain":true}"#, 404, 4005),
        ("GET", drain, "", 405, 1010),
        ("POST", "/v1/recovery", "{}", 400, 1002),
        (
            "POST",
            "/v1/recovery",
            r#"{"survivors":["zz"],"confirm":"I accept that orders may be lost"}"#,
            400,
            1002,
        ),
        (
            "POST",
            "/v1/recovery",
            r#"{"survivors":["1"],"confirm":"yes"}"#,
            400,
            1002,
        ),
        (
            "POST",
            "/v1/recovery",
            r#"{"survivors":["1"],"confirm":"I accept that orders may be lost"}"#,
            409,
            4009,
        ),
        ("POST", "/v1/recovery", &survivors, 409, 4009),
        ("GET", "/v1", "", 404, 1009),
        ("GET", "/", "", 404, 1009),
        ("GET", "/v1/config/", "", 404, 1009),
        ("GET", "/v2/config", "", 404, 1009),
        ("POST", "/healthz", "{}", 405, 1010),
        ("PUT", "/metrics", "{}", 405, 1010),
    ];
    for (method, path, body, status, code) in cases {
        let answer = node.request(method, path, body);
        let got = (answer.status, answer.code());
        assert_eq!(
            got,
            (*status, *code),
            "{method} {path} {body}: {}",
            answer.body
        );
    }
}

fn check_credentials_and_headers(address: &str) {
    let json = "Content-Type: application/json";
    let key = format!("Authorization: Bearer {KEY}");
    let wrong_keys = [
        "X-Nothing: 1",
        "Authorization: Bearer wrong",
        "Authorization: Bearer ",
        "Authorization: Basic dGVzdA==",
    ];
    for wrong in wrong_keys {
        let answer = http::request(address, "GET", "/v1/config", &[wrong], "");
        assert_eq!((answer.status, answer.code()), (401, 4004), "{wrong}");
    }
    let answer = http::request(address, "PUT", "/v1/config", &[&key], "{}");
    assert_eq!((answer.status, answer.code()), (415, 1013));
    let text = "Content-Type: text/plain";
    let answer = http::request(address, "PUT", "/v1/config", &[&key, text], "{}");
    assert_eq!((answer.status, answer.code()), (415, 1013));
    let large = "x".repeat(17 * 1024 * 1024);
    let answer = http::request(address, "PUT", "/v1/config", &[&key, json], &large);
    assert_eq!((answer.status, answer.code()), (413, 1007));
    // Neither of these is valid HTTP: the connection is closed and the process keeps running.
    let _ = http::raw(address, b"\x00\x01\x02 nonsense\r\n\r\n");
    let _ = http::raw(address, b"GET /v1/config HTTP/9.9\r\n\r\n");
    let healthy = http::request(address, "GET", "/healthz", &[], "");
    assert_eq!(healthy.status, 200);
}
