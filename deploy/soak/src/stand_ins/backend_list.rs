//! The platform's list of backends.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use tokio::net::TcpListener;

use super::http::{AnswerBody, serve};
use crate::configuration::SERVICE;

/// Slots that each backend declares.
const SLOTS: u32 = 64;
/// Zone of every backend.
const ZONE: &str = "zone-a";

/// One backend as the list shows it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    id: String,
    service: &'static str,
    addr: SocketAddr,
    zone: &'static str,
    version: &'static str,
    slots: u32,
    state: &'static str,
    cold_left_ms: u32,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Page<'a> {
    instances: &'a [Entry],
    next_token: Option<String>,
}

/// Backends and their states.
#[derive(Clone, Debug, Default)]
pub struct BackendList(Arc<Mutex<Vec<Entry>>>);

impl BackendList {
    /// Adds a ready backend of the service that all permanent routes have.
    pub fn add(&self, id: &str, address: SocketAddr) {
        self.add_to(SERVICE, id, address);
    }

    /// Adds a ready backend of a service.
    pub fn add_to(&self, service: &'static str, id: &str, address: SocketAddr) {
        self.lock().push(Entry {
            id: id.to_owned(),
            service,
            addr: address,
            zone: ZONE,
            version: "v1",
            slots: SLOTS,
            state: "ready",
            cold_left_ms: 0,
        });
    }

    /// Shows a backend as draining.
    pub fn drain(&self, id: &str) {
        let mut entries = self.lock();
        for entry in entries.iter_mut().filter(|entry| entry.id == id) {
            entry.state = "draining";
        }
    }

    /// Removes a backend.
    pub fn remove(&self, id: &str) {
        self.lock().retain(|entry| entry.id != id);
    }

    /// Serves the list until the task is aborted.
    pub async fn serve(&self, listener: TcpListener) {
        let list = self.clone();
        serve(listener, move |_| {
            let page = list.page();
            async move { page }
        })
        .await;
    }

    fn page(&self) -> Response<AnswerBody> {
        let entries = self.lock();
        let page = Page {
            instances: &entries,
            next_token: None,
        };
        let text = serde_json::to_vec(&page).unwrap_or_default();
        let mut response = Response::new(Full::new(Bytes::from(text)).boxed());
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
