//! Reading and checking of configuration orders: base revision, order id and document.

use millford_api::command::PutConfig;
use millford_api::config::Document;
use millford_core::ResultCode;
use serde::Deserialize;
use serde_json::Value;

use super::canonical::digest;
use super::check::check;
use super::fault::Fault;
use super::limits::MAX_ORDER_ID_LENGTH;
use super::parse::{document_faults, misplaced_lists_in, read};

/// Body of `PUT /v1/config`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Configuration revision on which the document is based; the order is refused when it is not
    /// the current one.
    pub base_revision: u64,
    /// Id that the operator chooses, so that a resent order is recognized; empty when absent.
    #[serde(default)]
    pub order_id: String,
    /// The complete configuration.
    pub document: Document,
}

/// Reads and checks an order. Returns the command to propose, which includes the document's digest.
///
/// # Errors
/// Returns all faults of the order and its document; paths in the document begin with `document`.
pub fn parse_order(json: &[u8]) -> Result<PutConfig, Vec<Fault>> {
    let order: Order = read(json, "").map_err(|first| read_faults(json, first))?;
    let mut faults = misplaced_lists_in(json);
    faults.extend(check_order_id(&order.order_id));
    faults.extend(check(&order.document).into_iter().map(with_document_prefix));
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(PutConfig {
        base_revision: order.base_revision,
        order_id: order.order_id,
        digest: digest(&order.document),
        document: Some(order.document),
        revision: 0,
        source: Vec::new(),
    })
}

fn read_faults(json: &[u8], first: Fault) -> Vec<Fault> {
    let value: Value = serde_json::from_slice(json).unwrap_or(Value::Null);
    let mut faults = match value.get("document") {
        Some(document) => document_faults(document, "document"),
        None => Vec::new(),
    };
    if !first.path.starts_with("document") || faults.is_empty() {
        faults.insert(0, first);
    }
    faults
}

fn check_order_id(order_id: &str) -> Vec<Fault> {
    let readable = order_id.bytes().all(|byte| byte.is_ascii_graphic());
    if readable && order_id.len() <= MAX_ORDER_ID_LENGTH {
        return Vec::new();
    }
    vec![Fault {
        path: "order_id".to_owned(),
        code: ResultCode::BadField,
        text: format!("at most {MAX_ORDER_ID_LENGTH} visible ASCII characters are allowed"),
    }]
}

fn with_document_prefix(mut fault: Fault) -> Fault {
    fault.path = format!("document.{}", fault.path);
    fault
}
