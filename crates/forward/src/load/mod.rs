//! The load of each backend, summed at its owners and queried before each choice.

pub mod owned_loads;
pub mod shared_load;

pub use owned_loads::OwnedLoads;
pub use shared_load::SharedLoad;
