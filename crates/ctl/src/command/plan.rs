//! `plan`: what a change would move.

use std::fmt::Write;
use std::path::Path;

use hyper::Method;
use millford_api::config::Quota;
use millford_api::operator::{
    ChangeKind, NamedChange, Plan, PlanBody, PlanReply, QuotaMove, SessionMove,
};
use millford_core::ResultCode;

use super::document_file::read_document;
use crate::client::{ControlClient, Request};
use crate::failure::Failure;
use crate::report::Report;

/// Most lines of one kind in the human output; JSON has them all.
const SHOWN_LINES: usize = 20;

/// Asks a control node what the document would move.
///
/// # Errors
/// Faults, a refusal, or no node in reach.
pub async fn plan(client: &ControlClient, file: &Path) -> Result<PlanReply, Failure> {
    let body = PlanBody {
        document: read_document(file)?,
    };
    let body = serde_json::to_vec(&body)
        .map_err(|error| Failure::with_message(ResultCode::BadJson, error.to_string()))?;
    let request = Request::with_body(Method::POST, "/v1/plan", body);
    client.send(&request).await
}

impl Report for PlanReply {
    fn text(&self) -> String {
        let plan = &self.plan;
        let mut text = format!(
            "against revision {}: {} items, {} bytes to every node\n",
            self.revision, plan.changed_items, plan.changed_bytes
        );
        add_lines(&mut text, "routes", named_lines(&plan.routes));
        add_lines(&mut text, "pools", named_lines(&plan.pools));
        add_lines(&mut text, "tenants", named_lines(&plan.tenants));
        add_lines(&mut text, "keys", key_lines(plan));
        add_lines(
            &mut text,
            "quotas",
            plan.quotas.iter().map(quota_line).collect(),
        );
        add_lines(&mut text, "replicas", replica_lines(plan));
        add_lines(
            &mut text,
            "session homes",
            plan.sessions.iter().map(session_line).collect(),
        );
        add_lines(&mut text, "warnings", warning_lines(plan));
        text
    }
}

fn add_lines(text: &mut String, title: &str, lines: Vec<String>) {
    if lines.is_empty() {
        return;
    }
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{title} ({}):", lines.len());
    for line in lines.iter().take(SHOWN_LINES) {
        let _ = writeln!(text, "  {line}");
    }
    if lines.len() > SHOWN_LINES {
        let _ = writeln!(
            text,
            "  and {} more; --json has all",
            lines.len() - SHOWN_LINES
        );
    }
}

fn named_lines(changes: &[NamedChange]) -> Vec<String> {
    let line = |change: &NamedChange| {
        let fields = change.fields.join(", ");
        let sign = sign(change.change);
        format!("{sign} {} {fields}", change.name)
            .trim_end()
            .to_owned()
    };
    changes.iter().map(line).collect()
}

fn key_lines(plan: &Plan) -> Vec<String> {
    let keys = plan.keys.iter();
    keys.map(|key| {
        format!(
            "{} {} {}…",
            sign(key.change),
            key.tenant,
            key.key_hash_prefix
        )
    })
    .collect()
}

fn quota_line(change: &QuotaMove) -> String {
    let before = quota_text(change.before.as_ref());
    let after = quota_text(change.after.as_ref());
    format!("{}: {before} -> {after}", change.tenant)
}

fn quota_text(quota: Option<&Quota>) -> String {
    let Some(quota) = quota else {
        return "none".to_owned();
    };
    format!(
        "{}/s burst {} streams {}",
        quota.requests_per_second, quota.burst, quota.concurrent_streams
    )
}

fn replica_lines(plan: &Plan) -> Vec<String> {
    let replicas = plan.replicas.iter();
    replicas
        .map(|replica| {
            format!(
                "{} {} {}",
                sign(replica.change),
                replica.pool,
                replica.backend_id
            )
        })
        .collect()
}

fn session_line(change: &SessionMove) -> String {
    let percent = change.moved as f64 * 100.0 / change.sampled.max(1) as f64;
    let or_none = |home: &str| if home.is_empty() { "none" } else { home }.to_owned();
    let (from, to) = (or_none(&change.from), or_none(&change.to));
    format!("{}: {percent:.1}% {from} -> {to}", change.route)
}

fn warning_lines(plan: &Plan) -> Vec<String> {
    let warnings = plan.warnings.iter();
    warnings
        .map(|warning| format!("{}: {}", warning.path, warning.message))
        .collect()
}

fn sign(change: ChangeKind) -> char {
    match change {
        ChangeKind::Added => '+',
        ChangeKind::Removed => '-',
        ChangeKind::Changed => '~',
    }
}
