//! Rate limits by escrow: every slot owns a fixed part of each workspace's rate and burst.
//!
//! For a workspace with rate `R` and burst `B`, the limit holds for these reasons:
//!
//! - The [`floors`] of all slots sum to exactly `R` and `B`, and at most one node may act on a slot
//!   at a time (see [`crate::slots`]).
//! - A node's [`bucket`] covers the slots on which it may act. Its level and its outstanding loans
//!   together never exceed the bursts of these slots, and it accrues no faster than their rates. So
//!   the tokens that all nodes together could spend are never more than `B`, and grow by no more than
//!   `R` a second. The tokens consumed in an interval are those spendable at its start, plus accrual,
//!   minus those left at its end: at most `B + R * interval`.
//! - One bucket for several slots is as safe as one for each, since only these two sums matter. It
//!   rejects fewer requests, since a request may draw on all slots.
//! - Tokens on loan count in the lender's bucket until the loan is settled or its deadline has passed
//!   by the lender's clock; the borrower stops spending before that. Borrowed tokens add to the sum of
//!   the lender only. A loan ends no later than the lender's right to the slots that cover it.
//! - A refund enters a bucket only as far as its tokens would still be in the bucket if they had never
//!   been taken, see [`headroom`].
//! - While nodes apply different versions of a limit, each slot's floor is at most its floor under
//!   the larger one, since floors grow with the limit. So the sum never exceeds the largest limit in
//!   force at any node, and nodes need not agree on the time of a change.

pub mod account;
pub mod amount;
pub mod borrowed;
pub mod bucket;
pub mod demand;
pub mod floors;
pub mod headroom;

pub use account::Account;
pub use account::Admission;
pub use account::Charge;
pub use account::LoanRequest;
pub use amount::MicroTokens;
pub use borrowed::ReceivedLoan;
pub use borrowed::Settlement;
pub use bucket::LoanTerms;
pub use bucket::SlotBacking;
pub use floors::Limit;
pub use floors::share;
