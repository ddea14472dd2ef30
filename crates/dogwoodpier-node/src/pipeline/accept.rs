//! Parses the head of a request: its target, its key, and the headers and query to forward.

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

/// Header with the caller's time limit for the request, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const BEARER_PREFIX: &str = "bearer ";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// The head of a request.
#[derive(Debug)]
pub struct Head {
    /// Random id, unique over the fleet.
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
    /// Time limit of the caller, from [`DEADLINE_HEADER`].
    pub requested_timeout_ms: Option<u64>,
    /// Time at which the head was read.
    pub accepted_ms: TimeMs,
    /// Model API or route that the request is addressed to.
    pub target: Target,
}

/// What a request is addressed to.
#[derive(Clone, Debug)]
pub enum Target {
    /// A model API, with the route that operators have declared for its path, if any.
    Model(Api, Option<Route>),
    /// A plain service.
    Route(Route),
}

/// Parses the head of a request.
pub fn accept(parts: &Parts, config: &EffectiveConfig, now: TimeMs) -> Result<Head, Refusal> {
    let path = parts.uri.path();
    let target = resolve_target(&parts.method, path, config)?;
    let key = extract_key(&parts.headers)?;
    let path_and_query = secrets::strip_query(path, parts.uri.query(), key.as_deref());
    if secrets::contains_key(path.as_bytes(), key.as_deref()) {
        return Err(invalid_request("the path must not contain the key"));
    }
    Ok(Head {
        id: format!("{:032x}", rand::random::<u128>()).into(),
        method: parts.method.clone(),
        path_and_query: path_and_query.into(),
        headers: strip_headers(&parts.headers, key.as_deref()),
        idempotency_key: extract_idempotency_key(&parts.headers)?,
        requested_timeout_ms: parse_timeout_ms(&parts.headers)?,
        accepted_ms: now,
        key,
        target,
    })
}

/// Returns the refusal of a malformed request.
pub fn invalid_request<M>(message: M) -> Refusal
where
    M: Into<Arc<str>>,
{
    Refusal::not_run(RefusalReason::InvalidRequest, message)
}

fn resolve_target(
    method: &Method,
    path: &str,
    config: &EffectiveConfig,
) -> Result<Target, Refusal> {
    let route = config.route(method.as_str(), path);
    if let Some(api) = Api::from_path(path) {
        if method != Method::POST {
            return Err(invalid_request("this path takes only POST"));
        }
        return Ok(Target::Model(api, route.cloned()));
    }
    route
        .cloned()
        .map(Target::Route)
        .ok_or_else(|| Refusal::not_run(RefusalReason::NoRoute, "no route matches method and path"))
}

fn extract_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let bearer = match headers.get(header::AUTHORIZATION) {
        Some(value) => {
            let text = value
                .to_str()
                .map_err(|_| invalid_request("the authorization header is not valid text"))?;
            let is_bearer = text
                .get(..BEARER_PREFIX.len())
                .is_some_and(|scheme| scheme.eq_ignore_ascii_case(BEARER_PREFIX));
            is_bearer.then(|| text[BEARER_PREFIX.len()..].trim())
        }
        None => None,
    };
    let api_key = match headers.get(secrets::KEY_HEADER) {
        Some(value) => Some(
            value
                .to_str()
                .map_err(|_| invalid_request("the x-api-key header is not valid text"))?
                .trim(),
        ),
        None => None,
    };
    match (bearer, api_key) {
        (Some(bearer), Some(api_key)) if bearer != api_key => Err(invalid_request(
            "authorization and x-api-key carry different keys",
        )),
        (bearer, api_key) => Ok(bearer
            .or(api_key)
            .filter(|key| !key.is_empty())
            .map(Arc::from)),
    }
}

fn extract_idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(text.into()))
        }
        _ => Err(invalid_request(
            "idempotency-key must be 1 to 255 characters of visible ASCII",
        )),
    }
}

fn parse_timeout_ms(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    match value.to_str().ok().and_then(|text| text.parse().ok()) {
        Some(timeout_ms) if timeout_ms > 0 => Ok(Some(timeout_ms)),
        _ => Err(invalid_request(
            "x-deadline-ms must be a positive whole number",
        )),
    }
}

fn strip_headers(headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    end_to_end(headers)
        .iter()
        .filter(|(name, _)| {
            **name != DEADLINE_HEADER
                && **name != header::HOST
                && secrets::is_forwardable(headers, name, key)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
