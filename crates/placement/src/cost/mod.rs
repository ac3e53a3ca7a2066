//! Costs of models, learned from the requests that the nodes report.

pub mod bandwidth_attribution;
pub mod cost_model;
pub mod line_fit;
pub mod model_cost;

pub use bandwidth_attribution::{BandwidthAttribution, BandwidthObservation};
pub use cost_model::CostModel;
pub use line_fit::LineFit;
pub use model_cost::ModelCost;
