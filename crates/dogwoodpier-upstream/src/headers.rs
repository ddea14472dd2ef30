//! Hop-by-hop headers, which belong to one connection and aren't passed on.

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

/// Returns the headers to pass on to the next hop: all but hop-by-hop headers, headers named by
/// `Connection`, and `Content-Length`, which is set anew for each message.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP.contains(*name) && !connection_options.contains(&name.as_str().into())
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
