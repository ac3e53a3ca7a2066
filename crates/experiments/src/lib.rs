//! Experiments under simulated time: routing, placement, transitions, retries, with reports and plots.
