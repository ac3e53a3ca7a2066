//! Stand-ins for what surrounds the deployment: the backend list, backends, the operator and clients.

pub mod backend;
pub mod backend_list;
pub mod client;
pub mod faulty_client;
pub mod http;
pub mod operator;
pub mod scripted_backend;

pub use backend::Backend;
pub use backend_list::BackendList;
pub use client::{ClientKind, Clients};
pub use faulty_client::ask_faulty;
pub use operator::Operator;
pub use scripted_backend::{ScriptedAnswer, ScriptedBackend};
