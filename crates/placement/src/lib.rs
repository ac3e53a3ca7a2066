//! Placement of model replicas from the work in flight: cost model, load picture, transition gate.
