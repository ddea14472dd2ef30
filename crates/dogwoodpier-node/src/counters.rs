//! Names of the node's metrics. Each name ends in its unit.

/// Requests, by outcome.
pub const REQUESTS_TOTAL: &str = "dogwoodpier_requests_total";
/// Refusals, by reason and workspace.
pub const REFUSALS_TOTAL: &str = "dogwoodpier_refusals_total";
/// Bytes sent to peers, by call.
pub const PEER_SENT_BYTES_TOTAL: &str = "dogwoodpier_peer_sent_bytes_total";
/// Bytes received from peers, by call.
pub const PEER_RECEIVED_BYTES_TOTAL: &str = "dogwoodpier_peer_received_bytes_total";
/// Calls to peers, by call and result.
pub const PEER_CALLS_TOTAL: &str = "dogwoodpier_peer_calls_total";
/// Calls to the platform, by operation and result.
pub const PLATFORM_CALLS_TOTAL: &str = "dogwoodpier_platform_calls_total";
/// Cancellations of holds sent to engines, by result.
pub const HOLD_CANCELS_TOTAL: &str = "dogwoodpier_hold_cancels_total";
/// Orphaned holds, whose requests no longer exist, found and cancelled by an audit.
pub const HOLD_ORPHANS_TOTAL: &str = "dogwoodpier_hold_orphans_total";
/// Requests for a decode reservation, by verdict.
pub const RESERVATIONS_TOTAL: &str = "dogwoodpier_reservations_total";
/// Prompt tokens sent to prefill engines and computed there.
pub const PREFILL_TOKENS_TOTAL: &str = "dogwoodpier_prefill_tokens_total";
/// Prompt tokens that were computed by a prefill whose result was not used.
pub const PREFILL_WASTED_TOKENS_TOTAL: &str = "dogwoodpier_prefill_wasted_tokens_total";
/// Decodes that were resumed on another stream.
pub const DECODE_RESUMES_TOTAL: &str = "dogwoodpier_decode_resumes_total";
/// Output tokens sent to callers.
pub const OUTPUT_TOKENS_TOTAL: &str = "dogwoodpier_output_tokens_total";
/// Events of decode streams that were ignored because they belong to another request.
pub const IGNORED_EVENTS_TOTAL: &str = "dogwoodpier_ignored_events_total";
/// Version of the configuration in force.
pub const CONFIG_VERSION: &str = "dogwoodpier_config_version";
/// Configurations put in force, by source.
pub const CONFIGS_TAKEN_TOTAL: &str = "dogwoodpier_configs_taken_total";
/// Configurations that this node could not put in force, by reason.
pub const CONFIGS_REJECTED_TOTAL: &str = "dogwoodpier_configs_rejected_total";
/// Age of the newest contact with the platform that the node knows of.
pub const PLATFORM_CONTACT_AGE_MS: &str = "dogwoodpier_platform_contact_age_ms";
/// 1 while the node accepts requests with keys, 0 while it can't know which keys are withdrawn.
pub const KEYS_TRUSTED_STATE: &str = "dogwoodpier_keys_trusted_state";
/// Slots that this node holds at present.
pub const SLOTS_HELD_COUNT: &str = "dogwoodpier_slots_held_count";
/// Writes of slots to the platform, by result.
pub const SLOT_WRITES_TOTAL: &str = "dogwoodpier_slot_writes_total";
/// Tokens lent to peers.
pub const LENT_TOKENS_TOTAL: &str = "dogwoodpier_lent_tokens_total";
/// Tokens borrowed from peers.
pub const BORROWED_TOKENS_TOTAL: &str = "dogwoodpier_borrowed_tokens_total";
/// Tokens requested, by whether they were admitted.
pub const LIMIT_TOKENS_TOTAL: &str = "dogwoodpier_limit_tokens_total";
/// Claims of idempotency keys, by verdict.
pub const CLAIMS_TOTAL: &str = "dogwoodpier_claims_total";
/// Writes of claims to the platform, by whether they were answered.
pub const CLAIM_WRITES_TOTAL: &str = "dogwoodpier_claim_writes_total";
/// Requests that were running at an upstream when it crashed, by whether they ran alone.
pub const CRASHES_TOTAL: &str = "dogwoodpier_crashed_requests_total";
