//! The client.

/// Client of the object API.
pub struct Client {}
