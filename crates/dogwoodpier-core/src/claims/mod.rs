//! Claims of idempotency keys, which allow at most one dispatch for each key of a workspace.
//!
//! The holder of a key's slot decides on claims with its [`ClaimTable`]. A claim counts once it is
//! stored in two places: in the table, and either in a group of records on the platform ([`Groups`])
//! or in the memory of the slot's standby ([`Replica`]). The holder must check after that, and before
//! it answers, that it still holds the slot. So the next holder finds every claim that was ever
//! granted.

mod attempt;
mod groups;
mod record;
mod replication;
mod table;

pub use attempt::Attempt;
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
pub use replication::Handover;
pub use replication::Replica;
pub use replication::ReplicationMessage;
pub use table::ClaimAttempt;
pub use table::ClaimDecision;
pub use table::ClaimProgress;
pub use table::ClaimSettings;
pub use table::ClaimTable;
