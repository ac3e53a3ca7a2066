//! Threads and input and output of the control node.
