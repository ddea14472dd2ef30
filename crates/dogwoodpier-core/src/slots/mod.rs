//! Slots: numbered rights to act, each held by at most one node at a time.
//!
//! A slot is an object on the platform that names its holder and the holder's standby. The object's
//! version is the fencing number. At most one node acts on a slot, for these reasons:
//!
//! - Every change of holder is a write that is conditional on the version that its author saw. The
//!   author knows that the holder of that version has stopped, or stops before the write is sent:
//!   - A holder that hands the slot over stops before it sends the write. It starts again only after
//!     another write of its own, conditional on the same version, took effect; the first one then no
//!     longer can.
//!   - The standby claims the slot after every promise that it gave has run out. The holder acts only
//!     while it has a promise of its standby, and counts the promise from before it sent the request.
//!     Once the standby has sent a claim, it gives no promise for that version or an earlier one,
//!     whether or not the claim took effect. While a write that names another standby is pending, the
//!     holder needs the promises of both standbys.
//!   - A later incarnation of the standby doesn't know what the earlier one promised. But the earlier
//!     one gave no promise after it died, and no promise is longer than [`lease::MAX_PROMISE_MS`].
//!   - Any node may claim the slot once it has seen the version unchanged for the long lease. The
//!     holder counts its lease from before it sent the write that made the version.
//!   - A later incarnation of the holder may claim the slot at once. It has bound the same peer
//!     address, which a process keeps until it ends, also while it is paused, and instance names are
//!     unique; so the earlier incarnation is dead. Loans that it made may still be spent, so the new
//!     one counts the slot's floors only after [`lease::MAX_LOAN_MS`].
//! - A holder without a standby acts by its long lease alone, and other nodes wait for that. When a
//!   second node joins, the holder first gets its promise and then names it by a conditional write.
//!   Until that write takes effect no node but the holder has any right, and from then on the promise
//!   is in force.
//! - A write whose answer is lost may take effect at any later time, as long as the version stays the
//!   same. So it counts as pending until a newer version is seen, and is then recognised by its random
//!   id.

pub mod lease;
pub mod promise;
pub mod record;
pub mod table;

mod plan;
mod slot;

pub use plan::FleetView;
pub use plan::Member;
pub use record::PeerId;
pub use record::SlotRecord;
pub use table::Acquired;
pub use table::Grant;
pub use table::HandOver;
pub use table::Held;
pub use table::SlotTable;
pub use table::StartLevel;
pub use table::Timing;
pub use table::Write;
