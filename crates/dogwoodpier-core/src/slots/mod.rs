//! Slots: numbered rights to act, held by one node at a time.
//!
//! A slot is an object on the platform that names its holder and the holder's standby. Its version is the
//! fencing number. The argument that one node at most acts on a slot:
//!
//! - Every change of holder is a write on condition of the version that the writer saw, and whoever
//!   makes it knows that the holder of that version has stopped, or will before the write is sent:
//!   - A holder that hands over stops before it sends the write, and starts again only after another
//!     write of its own, on the same condition, took effect, so that the first one no longer can.
//!   - The standby claims after every promise that it gave has run out. The holder acts only while it
//!     has a promise of its standby, and counts it from before it asked. Once the standby has sent a claim,
//!     it gives no promise for that version or an earlier one, whatever became of the claim. While
//!     a write that names another standby is under way, the holder needs both standbys' promises.
//!   - A next incarnation of the standby can't know what the earlier one promised, but that it gave no
//!     promise after it died, and that no promise is longer than [`lease::MAX_PROMISE_MS`].
//!   - Anybody may claim once they have seen the version stand still for the long lease. The holder
//!     counts its lease from before it sent the write that made the version.
//!   - A next incarnation of the holder may claim at once. It has bound the same peer address, which
//!     a process keeps for as long as it lives, paused or not; and instance names are unique. So the
//!     earlier incarnation is dead. Loans that it made may still be spent, so the new one counts the
//!     slot's floors only after [`lease::MAX_LOAN_MS`].
//! - A holder without a standby acts by its long lease alone, and others wait for that. When a second
//!   node joins, the holder first gets its promise and then names it by a conditional write; until
//!   that took effect nobody but the holder has any right, and after it the promise is in force.
//! - A write whose answer is lost may take effect at any later time, until the version moves. So it
//!   counts as possible until a newer version is seen, and is then known by its random id.

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
