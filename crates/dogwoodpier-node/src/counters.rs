//! Names of the node's metrics. Each name ends in its unit.

/// Requests by outcome.
pub const REQUESTS_TOTAL: &str = "dogwoodpier_requests_total";
/// Refusals by reason and workspace.
pub const REFUSALS_TOTAL: &str = "dogwoodpier_refusals_total";
/// Bytes sent to peers by message.
pub const PEER_SENT_BYTES_TOTAL: &str = "dogwoodpier_peer_sent_bytes_total";
/// Bytes received from peers by message.
pub const PEER_RECEIVED_BYTES_TOTAL: &str = "dogwoodpier_peer_received_bytes_total";
/// Calls to peers by message and result.
pub const PEER_CALLS_TOTAL: &str = "dogwoodpier_peer_calls_total";
/// Calls to the platform by operation and result.
pub const PLATFORM_CALLS_TOTAL: &str = "dogwoodpier_platform_calls_total";
