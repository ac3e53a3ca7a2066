//! Sessions of agents and control nodes, and the members of the control cluster.
