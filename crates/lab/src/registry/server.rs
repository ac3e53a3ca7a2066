//! HTTP server of the registry stand-in.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_core::time::monotonic_now;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Json, WithStatus, json as json_reply, with_status};

use super::record::BackendRecord;
use super::store::{RegistryDelays, RegistryStore};

type SharedStore = Arc<Mutex<RegistryStore>>;

/// Body of `PUT /admin/backends/{id}/draining`.
#[derive(Clone, Copy, Debug, Deserialize)]
struct DrainingOrder {
    draining: bool,
}

/// A running registry stand-in. Dropping it stops the server.
#[derive(Debug)]
pub struct RegistryServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RegistryServer {
    /// Binds the address and starts to serve.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr, delays: RegistryDelays) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let store = Arc::new(Mutex::new(RegistryStore::new(delays)));
        let server = warp::serve(routes(store)).incoming(listener).run();
        Ok(Self {
            address,
            task: tokio::spawn(server),
        })
    }

    /// Returns the bound address, with the port that was picked if port 0 was requested.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for RegistryServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn routes(
    store: SharedStore,
) -> impl Filter<Extract = (WithStatus<Json>,), Error = warp::Rejection> + Clone + Send + Sync + 'static
{
    let with_store = warp::any().map(move || Arc::clone(&store));
    let list = warp::get()
        .and(warp::path!("v1" / "backends"))
        .and(with_store.clone())
        .map(|store: SharedStore| list(&store));
    let register = warp::put()
        .and(warp::path!("v1" / "backends" / String))
        .and(warp::body::json())
        .and(with_store.clone())
        .map(|id: String, record: BackendRecord, store: SharedStore| register(&id, record, &store));
    let deregister = warp::delete()
        .and(warp::path!("v1" / "backends" / String))
        .and(with_store.clone())
        .map(|id: String, store: SharedStore| deregister(&id, &store));
    let drain = warp::put()
        .and(warp::path!("admin" / "backends" / String / "draining"))
        .and(warp::body::json())
        .and(with_store)
        .map(|id: String, order: DrainingOrder, store: SharedStore| {
            set_draining(&id, order, &store)
        });
    list.or(register)
        .unify()
        .or(deregister)
        .unify()
        .or(drain)
        .unify()
}

fn list(store: &SharedStore) -> WithStatus<Json> {
    let list = lock(store).list(monotonic_now());
    with_status(json_reply(&list), StatusCode::OK)
}

fn register(id: &str, record: BackendRecord, store: &SharedStore) -> WithStatus<Json> {
    if id != record.id {
        let text = json!({"error": "the path names another backend than the body"});
        return with_status(json_reply(&text), StatusCode::BAD_REQUEST);
    }
    lock(store).register(monotonic_now(), record);
    known_reply(true)
}

fn deregister(id: &str, store: &SharedStore) -> WithStatus<Json> {
    known_reply(lock(store).deregister(monotonic_now(), id))
}

fn set_draining(id: &str, order: DrainingOrder, store: &SharedStore) -> WithStatus<Json> {
    known_reply(lock(store).set_draining(monotonic_now(), id, order.draining))
}

fn known_reply(known: bool) -> WithStatus<Json> {
    let status = if known {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    with_status(json_reply(&json!({"known": known})), status)
}

fn lock(store: &SharedStore) -> MutexGuard<'_, RegistryStore> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
