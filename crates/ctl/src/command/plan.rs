//! `plan`: prints what applying a document would change.

use std::fmt::Write;
use std::path::Path;

use hyper::Method;
use millford_api::config::Quota;
use millford_api::operator::{
    ChangeKind, NamedChange, Plan, PlanBody, PlanReply, QuotaMove, SessionMove,
};

use super::document_file::read_document;
use crate::client::{ControlClient, PLAN_PATH, Request};
use crate::failure::Failure;
use crate::report::Report;

/// Maximum number of lines per section of the text output. The JSON output is not limited.
const MAX_LINES_PER_SECTION: usize = 20;

/// Requests a plan of the changes that the document would make from a control node.
///
/// # Errors
/// A failure with all faults of the document, a rejection, or a failure of [`ControlClient::send`].
pub async fn plan(client: &ControlClient, file: &Path) -> Result<PlanReply, Failure> {
    let body = PlanBody {
        document: read_document(file)?,
    };
    let request = Request::with_json(Method::POST, PLAN_PATH, &body)?;
    client.send(&request).await
}

impl Report for PlanReply {
    fn text(&self) -> String {
        let plan = &self.plan;
        let mut text = format!(
            "compared with revision {}: {} items, {} bytes to every node\n",
            self.revision, plan.changed_items, plan.changed_bytes
        );
        write_section(&mut text, "routes", &named_lines(&plan.routes));
        write_section(&mut text, "pools", &named_lines(&plan.pools));
        write_section(&mut text, "tenants", &named_lines(&plan.tenants));
        write_section(&mut text, "keys", &key_lines(plan));
        write_section(
            &mut text,
            "quotas",
            &plan.quotas.iter().map(quota_line).collect::<Vec<_>>(),
        );
        write_section(&mut text, "replicas", &replica_lines(plan));
        write_section(
            &mut text,
            "session homes",
            &plan.sessions.iter().map(session_line).collect::<Vec<_>>(),
        );
        write_section(&mut text, "warnings", &warning_lines(plan));
        text
    }
}

fn write_section(text: &mut String, title: &str, lines: &[String]) {
    if lines.is_empty() {
        return;
    }
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{title} ({}):", lines.len());
    for line in lines.iter().take(MAX_LINES_PER_SECTION) {
        let _ = writeln!(text, "  {line}");
    }
    if lines.len() > MAX_LINES_PER_SECTION {
        let _ = writeln!(
            text,
            "  and {} more; use --json to print all",
            lines.len() - MAX_LINES_PER_SECTION
        );
    }
}

fn named_lines(changes: &[NamedChange]) -> Vec<String> {
    let line = |change: &NamedChange| {
        let fields = change.fields.join(", ");
        let sign = diff_sign(change.change);
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
            diff_sign(key.change),
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
                diff_sign(replica.change),
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

/// Returns the sign that marks the change, as in a diff.
fn diff_sign(change: ChangeKind) -> char {
    match change {
        ChangeKind::Added => '+',
        ChangeKind::Removed => '-',
        ChangeKind::Changed => '~',
    }
}
