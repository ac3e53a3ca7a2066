//! Costs of models, learned from the traffic of the nodes.

pub mod bandwidth_attribution;
pub mod cost_model;
pub mod line_fit;
pub mod model_cost;

pub use bandwidth_attribution::{BandwidthAttribution, BandwidthObservation};
pub use cost_model::CostModel;
pub use line_fit::LineFit;
pub use model_cost::ModelCost;
