//! Scenarios: small text files with a topology, a workload, timed faults and expectations.

pub mod answer_fault;
pub mod definition;
pub mod disk_fault;
pub mod draw;
pub mod expectation;
pub mod fault;
pub mod fault_parser;
pub mod parse_error;
pub mod parser;
pub mod target;
pub mod tokens;
pub mod topology;
pub mod workload;

pub use answer_fault::AnswerFault;
pub use definition::Scenario;
pub use disk_fault::DiskFault;
pub use draw::{Draw, FaultClass};
pub use expectation::{Expectation, Figure};
pub use fault::{Fault, PartitionDirection, RollKind, TimedFault};
pub use parse_error::ParseError;
pub use target::{Choice, Target, TargetKind};
pub use topology::Topology;
pub use workload::Workload;
