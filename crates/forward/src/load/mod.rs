//! The load of each backend, counted at its owners and asked for before each choice.

pub mod owned_loads;
pub mod shared_load;

pub use owned_loads::OwnedLoads;
pub use shared_load::SharedLoad;
