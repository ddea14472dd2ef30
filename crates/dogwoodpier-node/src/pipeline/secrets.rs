//! Keeps callers' keys from upstreams.
//!
//! Fields that the API defines for keys are left out of headers and query, or refused in a body,
//! whatever they hold: it may be another key than the one that the caller is known by. The caller's
//! own key is kept back wherever it stands.

use http::HeaderMap;
use http::HeaderName;
use http::header;
use percent_encoding::percent_decode;
use serde_json::Value;

use dogwoodpier_core::Refusal;

use super::accept::invalid;

/// Header for keys besides `Authorization`.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");

// A shorter text is found in innocent places, and no configuration has such a key.
const MIN_KEY_BYTES: usize = 8;

// Headers that carry keys in this API or its like. None goes on to an upstream.
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
// A field `key` of a body is left to the service, which may mean something else by it.
const SECRET_FIELDS: [&str; 6] = [
    "api_key",
    "api-key",
    "apikey",
    "access_token",
    "x-api-key",
    "authorization",
];

/// Returns whether bytes contain the caller's key, as it is or percent-encoded.
pub fn contains_key(bytes: &[u8], key: Option<&str>) -> bool {
    let Some(key) = key.filter(|key| key.len() >= MIN_KEY_BYTES) else {
        return false;
    };
    let found = |bytes: &[u8]| {
        bytes
            .windows(key.len())
            .any(|window| window == key.as_bytes())
    };
    found(bytes) || (bytes.contains(&b'%') && found(&decoded(bytes)))
}

/// Returns whether a header may go on to an upstream.
pub fn may_pass(headers: &HeaderMap, name: &HeaderName, key: Option<&str>) -> bool {
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
        // Some services take a semicolon as a separator too.
        .filter(|pair| {
            !pair
                .split(';')
                .any(|part| is_named(part, &SECRET_PARAMETERS))
        })
        .collect();
    if kept.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{}", kept.join("&"))
}

/// Refuses a body for a plain service that carries a key in a field, as JSON or as a form, or the
/// caller's own key in an escaped form. Bodies go on byte by byte, so that nothing can be left out.
pub fn refuse_in_body(body: &[u8], key: Option<&str>) -> Result<(), Refusal> {
    if let Ok(value) = serde_json::from_slice::<Value>(body) {
        let secret = value
            .as_object()
            .and_then(|fields| fields.keys().find(|name| is_secret(name, &SECRET_FIELDS)));
        if let Some(name) = secret {
            let message = format!("the body must not carry a key, leave out {name:?}");
            return Err(invalid(message));
        }
        // An escaped key shows only now.
        if contains_key(value.to_string().as_bytes(), key) {
            return Err(invalid("the body must not contain the key"));
        }
        return Ok(());
    }
    let is_secret_form = body
        .split(|byte| matches!(byte, b'&' | b';'))
        .filter_map(|pair| std::str::from_utf8(pair).ok())
        .any(|pair| pair.contains('=') && is_named(pair, &SECRET_FIELDS));
    if is_secret_form {
        return Err(invalid("the body must not carry a key"));
    }
    Ok(())
}

fn is_named(pair: &str, names: &[&str]) -> bool {
    let name = pair.split('=').next().unwrap_or_default();
    let name = String::from_utf8_lossy(&decoded(name.as_bytes())).into_owned();
    is_secret(&name, names)
}

fn is_secret(name: &str, names: &[&str]) -> bool {
    names
        .iter()
        .any(|secret| secret.eq_ignore_ascii_case(name.trim()))
}

fn decoded(bytes: &[u8]) -> Vec<u8> {
    percent_decode(bytes).collect()
}
