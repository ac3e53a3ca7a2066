//! Operators' orders.

/// An order of an operator; a resend is the same order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber(pub u64);

/// What a control node answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Accepted, now or before.
    Accepted {
        /// Its revision.
        revision: u64,
        /// Whether the answer says that it had been accepted before.
        repeated: bool,
    },
    /// Another order won.
    Conflict {
        /// Revision in force.
        present: u64,
    },
    /// Not decided: no leader, no answer in time.
    Undecided,
    /// Refused for another reason, with its number.
    Refused(u32),
}
