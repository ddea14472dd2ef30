//! Claims of idempotency keys: at most one dispatch for each key of a workspace.
//!
//! The holder of a key's slot decides in a [`ClaimTable`]. A claim counts once it is kept in two
//! places: in the table, and either in a group of records on the platform ([`Groups`]) or in the
//! memory of the slot's standby ([`Replica`]). The holder must then check that it still holds the slot
//! before it answers; so every claim that was ever granted is found by the next holder.

mod attempt;
mod copies;
mod groups;
mod record;
mod table;

pub use attempt::Attempt;
pub use copies::Handover;
pub use copies::Replica;
pub use copies::ReplicationMessage;
pub use groups::GroupContent;
pub use groups::GroupWrite;
pub use groups::Groups;
pub use record::ClaimKey;
pub use record::Outcome;
pub use record::OutcomeHeader;
pub use record::Record;
pub use record::RecordState;
pub use record::Stamp;
pub use record::slot_of;
pub use table::ClaimAttempt;
pub use table::ClaimDecision;
pub use table::ClaimProgress;
pub use table::ClaimSettings;
pub use table::ClaimTable;
