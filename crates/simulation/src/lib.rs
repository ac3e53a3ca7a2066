//! Whole fleet under simulated time: network, disk, callers, backends, checkers, scenarios.
