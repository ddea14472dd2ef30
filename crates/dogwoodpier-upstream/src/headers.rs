//! Headers that belong to one connection and aren't passed on.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Headers that describe the connection or the framing of one message.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Returns the headers that pass on to the next hop: all but those of one connection, those that
/// `Connection` names, and the framing.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(*name) && !named.contains(&name.as_str().into()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
