//! Prevents callers' keys from reaching upstreams.
//!
//! Headers and query parameters that the API defines for keys are removed, and such fields of a
//! body are refused, whatever their value: it may be a key other than the one that authenticated
//! the caller. The caller's own key is removed or refused wherever it occurs.

use http::HeaderMap;
use http::HeaderName;
use http::header;
use percent_encoding::percent_decode;
use serde_json::Value;

use dogwoodpier_core::Refusal;

use super::accept::invalid_request;

/// Header for a key, as an alternative to `Authorization`.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");

// Shorter texts also occur in data that is not a key, and no configuration has a key this short.
const MIN_KEY_BYTES: usize = 8;

// Headers that carry keys in this API or in similar ones. None is forwarded to an upstream.
const SECRET_HEADERS: [HeaderName; 6] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::COOKIE,
    KEY_HEADER,
    HeaderName::from_static("api-key"),
    HeaderName::from_static("x-goog-api-key"),
];
const SECRET_PARAMETERS: [&str; 6] = [
    "key",
    "api_key",
    "api-key",
    "apikey",
    "access_token",
    "x-api-key",
];
// Does not contain `key`: a service may use a field of that name for something else.
const SECRET_FIELDS: [&str; 6] = [
    "api_key",
    "api-key",
    "apikey",
    "access_token",
    "x-api-key",
    "authorization",
];

/// Returns whether bytes contain the caller's key, verbatim or percent-encoded.
pub fn contains_key(bytes: &[u8], key: Option<&str>) -> bool {
    let Some(key) = key.filter(|key| key.len() >= MIN_KEY_BYTES) else {
        return false;
    };
    let contains = |bytes: &[u8]| {
        bytes
            .windows(key.len())
            .any(|window| window == key.as_bytes())
    };
    contains(bytes) || (bytes.contains(&b'%') && contains(&percent_decoded(bytes)))
}

/// Returns whether a header may be forwarded to an upstream.
pub fn is_forwardable(headers: &HeaderMap, name: &HeaderName, key: Option<&str>) -> bool {
    !SECRET_HEADERS.contains(name)
        && !headers
            .get_all(name)
            .iter()
            .any(|value| contains_key(value.as_bytes(), key))
}

/// Returns path and query without the parameters that carry a key.
pub fn strip_query(path: &str, query: Option<&str>, key: Option<&str>) -> String {
    let kept: Vec<&str> = query
        .unwrap_or_default()
        .split('&')
        .filter(|pair| !pair.is_empty() && !contains_key(pair.as_bytes(), key))
        // Some services accept a semicolon as a separator too.
        .filter(|pair| {
            !pair
                .split(';')
                .any(|part| has_secret_name(part, &SECRET_PARAMETERS))
        })
        .collect();
    if kept.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{}", kept.join("&"))
}

/// Refuses a body for a plain service that has a field for keys, as JSON or as a form, or that
/// contains the caller's own key in escaped form. Bodies are forwarded unchanged, so fields cannot
/// be removed instead.
pub fn refuse_keys_in_body(body: &[u8], key: Option<&str>) -> Result<(), Refusal> {
    if let Ok(value) = serde_json::from_slice::<Value>(body) {
        let secret = value.as_object().and_then(|fields| {
            fields
                .keys()
                .find(|name| is_secret_name(name, &SECRET_FIELDS))
        });
        if let Some(name) = secret {
            let message = format!("the body must not carry a key, leave out {name:?}");
            return Err(invalid_request(message));
        }
        // A key with JSON escapes is visible only after parsing.
        if contains_key(value.to_string().as_bytes(), key) {
            return Err(invalid_request("the body must not contain the key"));
        }
        return Ok(());
    }
    let is_secret_form = body
        .split(|byte| matches!(byte, b'&' | b';'))
        .filter_map(|pair| std::str::from_utf8(pair).ok())
        .any(|pair| pair.contains('=') && has_secret_name(pair, &SECRET_FIELDS));
    if is_secret_form {
        return Err(invalid_request("the body must not carry a key"));
    }
    Ok(())
}

fn has_secret_name(pair: &str, names: &[&str]) -> bool {
    let name = pair.split('=').next().unwrap_or_default();
    let name = String::from_utf8_lossy(&percent_decoded(name.as_bytes())).into_owned();
    is_secret_name(&name, names)
}

fn is_secret_name(name: &str, names: &[&str]) -> bool {
    names
        .iter()
        .any(|secret| secret.eq_ignore_ascii_case(name.trim()))
}

fn percent_decoded(bytes: &[u8]) -> Vec<u8> {
    percent_decode(bytes).collect()
}
