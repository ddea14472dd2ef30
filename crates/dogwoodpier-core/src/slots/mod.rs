//! Slots: numbered rights to act, held by one node at a time.

pub mod lease;
