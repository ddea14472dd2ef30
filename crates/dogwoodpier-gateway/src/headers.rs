//! Selection of the headers that are forwarded to upstreams and clients.

use http::HeaderMap;
use http::HeaderName;
use http::header;

use crate::dialect::HeaderNames;

// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
];
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Returns the headers of a client's request that are forwarded to upstreams, without those that
/// the gateway sets on each send.
pub fn to_upstream(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut forwarded = without_hop_by_hop(headers, &names.end_to_end);
    // The body is sent with its own length, and a key never leaves the gateway.
    for name in [
        &header::CONTENT_LENGTH,
        &header::EXPECT,
        &header::AUTHORIZATION,
    ] {
        forwarded.remove(name);
    }
    for name in names.gateway_only.iter().chain([
        &names.workspace,
        &names.expected_upstream,
        &names.remaining_ms,
        &names.stage,
        &names.cache_source,
    ]) {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the headers of an upstream's response that are forwarded to a client.
pub fn to_client(headers: &HeaderMap) -> HeaderMap {
    without_hop_by_hop(headers, &[])
}

fn without_hop_by_hop(headers: &HeaderMap, keep: &[HeaderName]) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|option| option.trim().parse().ok())
        // A sender can't have these removed: they belong to the message, not to the connection.
        .filter(|name| *name != header::HOST && *name != header::CONTENT_TYPE)
        .filter(|name| !keep.contains(name))
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = HOP_BY_HOP.contains(name)
            || HOP_BY_HOP_NAMES.contains(&name.as_str())
            || connection_options.contains(name);
        if !dropped {
            kept.append(name, value.clone());
        }
    }
    kept
}
