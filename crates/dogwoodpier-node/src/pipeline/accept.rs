//! Reads the head of a request: its target, its key, and what may go on to an upstream.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header;
use http::request::Parts;

use dogwoodpier_config::EffectiveConfig;
use dogwoodpier_config::effective::Route;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_core::TimeMs;
use dogwoodpier_upstream::headers::end_to_end;

use super::model_call::Api;
use super::secrets;

/// Header with the time that the caller gives the request, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const BEARER: &str = "bearer ";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// The head of a request.
#[derive(Debug)]
pub struct Head {
    /// Random id.
    pub id: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query, without parameters that could carry a key.
    pub path_and_query: Arc<str>,
    /// Headers, without those that could carry a key.
    pub headers: HeaderMap,
    /// Key that the caller presented.
    pub key: Option<Arc<str>>,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<Arc<str>>,
    /// Time that the caller gives the request.
    pub wanted_ms: Option<u64>,
    /// When the head was read.
    pub accepted_ms: TimeMs,
    /// What the request is for.
    pub target: Target,
}

/// What a request is for.
#[derive(Clone, Debug)]
pub enum Target {
    /// A model; the route is set if operators declared one for the path.
    Model(Api, Option<Route>),
    /// A plain service.
    Route(Route),
}

/// Reads the head of a request.
pub fn accept(parts: &Parts, config: &EffectiveConfig, now: TimeMs) -> Result<Head, Refusal> {
    let path = parts.uri.path();
    let target = find_target(&parts.method, path, config)?;
    let key = find_key(&parts.headers)?;
    let path_and_query = secrets::strip_query(path, parts.uri.query(), key.as_deref());
    if secrets::contains_key(path.as_bytes(), key.as_deref()) {
        return Err(invalid("the path must not contain the key"));
    }
    Ok(Head {
        id: format!("{:032x}", rand::random::<u128>()).into(),
        method: parts.method.clone(),
        path_and_query: path_and_query.into(),
        headers: strip_headers(&parts.headers, key.as_deref()),
        idempotency_key: find_idempotency_key(&parts.headers)?,
        wanted_ms: find_wanted_ms(&parts.headers)?,
        accepted_ms: now,
        key,
        target,
    })
}

/// Returns a refusal of a malformed request.
pub fn invalid<M>(message: M) -> Refusal
where
    M: Into<Arc<str>>,
{
    Refusal::not_run(RefusalReason::InvalidRequest, message)
}

fn find_target(method: &Method, path: &str, config: &EffectiveConfig) -> Result<Target, Refusal> {
    let route = config.route(method.as_str(), path);
    if let Some(api) = Api::at(path) {
        if method != Method::POST {
            return Err(invalid("this path takes only POST"));
        }
        return Ok(Target::Model(api, route.cloned()));
    }
    route
        .cloned()
        .map(Target::Route)
        .ok_or_else(|| Refusal::not_run(RefusalReason::NoRoute, "no route matches method and path"))
}

fn find_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let bearer = match headers.get(header::AUTHORIZATION) {
        Some(value) => {
            let text = value
                .to_str()
                .map_err(|_| invalid("the authorization header is not valid text"))?;
            let is_bearer = text
                .get(..BEARER.len())
                .is_some_and(|scheme| scheme.eq_ignore_ascii_case(BEARER));
            is_bearer.then(|| text[BEARER.len()..].trim())
        }
        None => None,
    };
    let plain = match headers.get(secrets::KEY_HEADER) {
        Some(value) => Some(
            value
                .to_str()
                .map_err(|_| invalid("the x-api-key header is not valid text"))?
                .trim(),
        ),
        None => None,
    };
    match (bearer, plain) {
        (Some(one), Some(other)) if one != other => {
            Err(invalid("authorization and x-api-key carry different keys"))
        }
        (one, other) => Ok(one.or(other).filter(|key| !key.is_empty()).map(Arc::from)),
    }
}

fn find_idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(text.into()))
        }
        _ => Err(invalid(
            "idempotency-key must be 1 to 255 characters of visible ASCII",
        )),
    }
}

fn find_wanted_ms(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    match value.to_str().ok().and_then(|text| text.parse().ok()) {
        Some(wanted_ms) if wanted_ms > 0 => Ok(Some(wanted_ms)),
        _ => Err(invalid("x-deadline-ms must be a positive whole number")),
    }
}

fn strip_headers(headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    end_to_end(headers)
        .iter()
        .filter(|(name, _)| {
            **name != DEADLINE_HEADER
                && **name != header::HOST
                && secrets::may_pass(headers, name, key)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
