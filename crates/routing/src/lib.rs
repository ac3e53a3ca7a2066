//! Pure routing decisions: matching, affinity, choice of a backend, admission, retry budget.
