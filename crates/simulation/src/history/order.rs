//! Orders of operators: requests to change the configuration.

/// An order; a resend has the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber(pub u64);

/// Answer of a control node to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is accepted, by this request or an earlier one.
    Accepted {
        /// Configuration revision that the order created.
        revision: u64,
        /// Whether the answer says that the order was already accepted before.
        repeated: bool,
    },
    /// Another order changed the base revision first.
    Conflict {
        /// Current configuration revision.
        present: u64,
    },
    /// The outcome is open: there was no leader, or no answer in time.
    Undecided,
    /// The order was refused for another reason, given by its result code.
    Refused(u32),
}
