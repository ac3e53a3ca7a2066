//! Drives the agent.
