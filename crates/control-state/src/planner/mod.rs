//! What a change of configuration moves, worked out without applying it.
