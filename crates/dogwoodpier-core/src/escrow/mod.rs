//! Limits by escrow: every slot owns a fixed part of each workspace's rate and burst.
//!
//! The argument of safety, for one workspace with rate `R` and burst `B`:
//!
//! - The [`floors`] of all slots sum to exactly `R` and `B`, and one node at most may act on a slot
//!   at a time (see [`crate::slots`]).
//! - A node's [`bucket`] covers the slots on which it may act. Its level and the loans that it has
//!   outstanding together never exceed the bursts of these slots, and it accrues no faster than
//!   their rates. So all tokens that any node could spend are never more than `B`, and grow by no
//!   more than `R` a second. Tokens run in an interval are the spendable ones at its start, plus
//!   accrual, less those left at its end: at most `B + R * interval`.
//! - One bucket for several slots is as sound as one for each, since only these two sums matter. It
//!   refuses less, since a request may draw on all of them.
//! - Tokens on loan count in the lender's bucket until the loan is settled or its deadline has passed
//!   by the lender's clock; the borrower stops spending before. What a borrower holds adds to
//!   nobody's sum but the lender's. A loan ends before the right to the slots behind it.
//! - Tokens given back by a request enter a bucket only as far as they would be in it had they never
//!   been taken, see [`headroom`].
//! - While nodes apply different versions of a limit, each slot's floor is at most its floor under
//!   the larger one, since floors grow with the limit. So the sum never exceeds the largest limit in
//!   force anywhere, without an agreement on the moment of change.

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
