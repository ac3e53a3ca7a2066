//! Scale runs: hollow nodes beside real control nodes, and the slopes they give.
