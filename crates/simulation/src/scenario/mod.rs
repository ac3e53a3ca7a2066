//! Scenarios: text files with a topology, a workload, faults and expectations.

pub mod answer_fault;
pub mod definition;
pub mod disk_fault;
pub mod draw;
pub mod expectation;
pub mod fault;
mod fault_parser;
pub mod parse_error;
mod parser;
pub mod target;
mod tokens;
pub mod topology;
pub mod workload;

pub use answer_fault::AnswerFault;
pub use definition::Scenario;
pub use disk_fault::DiskFault;
pub use draw::{Draw, FaultClass};
pub use expectation::{Bound, Expectation, Figure};
pub use fault::{Fault, PartitionDirection, RollKind, TimedFault};
pub use parse_error::{ParseError, StatementError};
pub use target::{Choice, Target, TargetKind};
pub use topology::Topology;
pub use workload::Workload;
