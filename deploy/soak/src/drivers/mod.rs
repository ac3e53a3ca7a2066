//! Play the plans, each on its own timeline.

pub mod backend_driver;
pub mod control_driver;
pub mod front_driver;

pub use backend_driver::{BackendDriver, start_backend};
pub use control_driver::drive_control;
pub use front_driver::drive_front;
