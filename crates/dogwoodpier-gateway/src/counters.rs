//! Names of the metrics.

/// Requests by outcome.
pub const REQUESTS_TOTAL: &str = "dogwoodpier_gateway_requests_total";
/// Rejections by the gateway, by reason.
pub const REJECTED_TOTAL: &str = "dogwoodpier_gateway_rejected_total";
/// Sends to upstreams by result.
pub const SENDS_TOTAL: &str = "dogwoodpier_gateway_sends_total";
/// Sends to upstreams that have named a rate limit, by result.
pub const LIMITED_SENDS_TOTAL: &str = "dogwoodpier_gateway_limited_sends_total";
/// Decisions on permits for upstreams that have named a rate limit, by result.
pub const PERMITS_TOTAL: &str = "dogwoodpier_gateway_permits_total";
/// Decisions on permits for cold upstreams, by result; included in the above.
pub const COLD_PERMITS_TOTAL: &str = "dogwoodpier_gateway_cold_permits_total";
/// Sends to upstreams that are cold or were until recently, by result.
pub const COLD_SENDS_TOTAL: &str = "dogwoodpier_gateway_cold_sends_total";
/// Rejected requests of services whose upstreams are all cold.
pub const COLD_REJECTED_TOTAL: &str = "dogwoodpier_gateway_cold_rejected_total";
/// Upstreams that were found to be cold, by how this instance learned it.
pub const COLD_UPSTREAMS_TOTAL: &str = "dogwoodpier_gateway_cold_upstreams_total";
/// Remaining cold times that were invalid or out of range.
pub const INVALID_COLD_TOTAL: &str = "dogwoodpier_gateway_invalid_cold_times_total";
/// Number of evacuated data centres.
pub const EVACUATED: &str = "dogwoodpier_gateway_evacuated_data_centres";
/// Crashes of upstreams, counted for each request that was in flight there.
pub const CRASHES_TOTAL: &str = "dogwoodpier_gateway_crashes_total";
/// Number of parts of prompts, or sets of them, whose requests are rejected.
pub const QUARANTINED_PARTS: &str = "dogwoodpier_gateway_quarantined_parts";
/// Attempts that resume a stream, by how the version that began it was found.
pub const RESUMED_STREAMS_TOTAL: &str = "dogwoodpier_gateway_resumed_streams_total";
/// 1 if this instance reaches upstreams over its own links, 0 if it has lost all of them.
pub const UPSTREAMS_REACHABLE: &str = "dogwoodpier_gateway_upstreams_reachable";
/// New connections to upstreams.
pub const CONNECTIONS_TOTAL: &str = "dogwoodpier_gateway_upstream_connections_total";
/// Time in the queue for an engine.
pub const WAIT_MS: &str = "dogwoodpier_gateway_wait_ms";
/// Requests to plain services that waited for capacity, by workspace and cause.
pub const PLAIN_WAITS_TOTAL: &str = "dogwoodpier_gateway_plain_waits_total";
/// Milliseconds for which requests to plain services waited for capacity, by workspace and cause.
pub const PLAIN_WAIT_MS_TOTAL: &str = "dogwoodpier_gateway_plain_wait_ms_total";
/// Requests that this instance may have at the upstreams of a plain service; 0 without a limit.
pub const PLAIN_WINDOW: &str = "dogwoodpier_gateway_plain_window";
/// Requests rejected because a plain service is full, by decision.
pub const PLAIN_REJECTED_TOTAL: &str = "dogwoodpier_gateway_plain_rejected_total";
/// Time from the head of a request to the head of its response.
pub const FIRST_BYTE_MS: &str = "dogwoodpier_gateway_first_byte_ms";
/// Time from a send to the head of the response.
pub const SEND_MS: &str = "dogwoodpier_gateway_send_ms";
/// Loads that upstreams have stated, by whether they could be decoded.
pub const STATED_LOADS_TOTAL: &str = "dogwoodpier_gateway_stated_loads_total";
/// Messages with samples of the speed of engines, by direction.
pub const SPEED_MESSAGES_TOTAL: &str = "dogwoodpier_gateway_speed_messages_total";
/// Selections of upstreams by their expected finish, by kind of work and by whether one was usable.
pub const COST_PLACEMENTS_TOTAL: &str = "dogwoodpier_gateway_cost_placements_total";
/// Version of the configuration in force.
pub const CONFIG_VERSION: &str = "dogwoodpier_gateway_config_version";
/// Entries of the store that can't be decoded.
pub const UNREADABLE_TOTAL: &str = "dogwoodpier_gateway_unreadable_entries_total";
/// Connections of clients that were closed before the client closed them, by server and cause.
pub const CLIENT_CLOSED_TOTAL: &str = "dogwoodpier_gateway_client_closed_total";
/// Connections of clients that were refused since none of the others could be closed, by server.
pub const CLIENT_REFUSED_TOTAL: &str = "dogwoodpier_gateway_client_refused_total";
/// Bytes of requests or responses that found no room, counted once for each attempt, by purpose.
pub const BYTES_DENIED_TOTAL: &str = "dogwoodpier_gateway_bytes_denied_total";
/// Bytes held for clients, by purpose.
pub const HELD_BYTES: &str = "dogwoodpier_gateway_held_bytes";
/// Open connections of clients.
pub const CLIENT_CONNECTIONS: &str = "dogwoodpier_gateway_client_connections";
/// Log lines lost because standard output was too slow.
pub const LOG_LINES_LOST: &str = "dogwoodpier_gateway_log_lines_lost";
/// Calls to the store that failed.
pub const STORE_FAILURES_TOTAL: &str = "dogwoodpier_gateway_store_failures_total";
/// Reports to peers that had just become known.
pub const GREETINGS_TOTAL: &str = "dogwoodpier_gateway_greetings_total";
/// Times in which the process did not run for a second or more.
pub const STANDSTILLS_TOTAL: &str = "dogwoodpier_gateway_standstills_total";
/// Requests for units of a workspace that arrived again and were not charged again.
pub const QUOTA_REPEATS_TOTAL: &str = "dogwoodpier_gateway_quota_repeats_total";
