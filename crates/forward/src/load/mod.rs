//! The load of each backend over all nodes. A backend's owners sum it, and nodes query them before each choice.

pub mod owned_loads;
pub mod shared_load;

pub use owned_loads::OwnedLoads;
pub use shared_load::SharedLoad;
