//! The load of each backend, counted at its owners and asked for before each choice.

pub mod shared_load;
pub mod work_ledger;

pub use shared_load::SharedLoad;
pub use work_ledger::WorkLedger;
