//! Names and formats of a deployment: headers, paths and the entries in the store.
//!
//! An adapter supplies these structs; no other code knows the names.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderMap;
use http::HeaderName;
use serde_json::Value;
use thiserror::Error;

use dogwoodpier_core::gateway::routes::Configuration;
use dogwoodpier_core::gateway::speed::StatedLoad;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_derive::plain;
use dogwoodpier_platform::Protocol;

/// Why an entry can't be decoded.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{field}: {problem}")]
pub struct DecodeError {
    /// Field that is invalid.
    pub field: String,
    /// What is wrong with the field.
    pub problem: String,
}

impl DecodeError {
    /// Returns an error about a field.
    pub fn new<F, P>(field: F, problem: P) -> Self
    where
        F: Into<String>,
        P: Into<String>,
    {
        Self {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

/// Names of the headers that the gateway reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies a request; upstreams repeat it in their responses.
    pub request_id: HeaderName,
    /// Milliseconds that the sender of a request will still wait.
    pub remaining_ms: HeaderName,
    /// Name of the workspace, set by the gateway.
    pub workspace: HeaderName,
    /// Id of the upstream that is to run a request; any other upstream rejects it.
    pub expected_upstream: HeaderName,
    /// Signature by which an upstream confirms that a response is its own.
    pub signature: HeaderName,
    /// Present in the responses of an upstream that is leaving.
    pub leaving: HeaderName,
    /// Requests per second that an upstream accepts from all instances together, a decimal number.
    pub rate_limit: HeaderName,
    /// Present in the response of an upstream that has not run the request.
    pub not_executed: HeaderName,
    /// Asks an engine for only one stage of the work.
    pub stage: HeaderName,
    /// Names the engine and the KV cache to decode from.
    pub cache_source: HeaderName,
    /// Last event that a client has received, after which an engine is to resume.
    pub last_event_id: HeaderName,
    /// Names the attempt of the client that brought the first event of the stream to be resumed.
    pub resumes: HeaderName,
    /// Headers that describe the request itself and are always forwarded to the upstream.
    pub end_to_end: Vec<HeaderName>,
    /// Headers that only the gateway may set; they are dropped from clients' requests.
    pub gateway_only: Vec<HeaderName>,
}

/// The time for which an upstream states that it stays cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdRemaining {
    /// The time, bounded if it was out of range; `None` if the value is no number of milliseconds.
    pub remaining_ms: Option<u64>,
    /// What is wrong with the value, if anything.
    pub problem: Option<String>,
}

/// Size of a generation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Limit on the tokens to generate.
    pub max_output_tokens: u64,
    /// Number of tokens that the client expects, if stated.
    pub expected_output_tokens: Option<u64>,
}

impl PromptSize {
    /// Returns the number of output tokens that the request states: as many as the client expects,
    /// up to the limit.
    pub fn output_tokens(&self) -> u64 {
        let expected = self.expected_output_tokens;
        expected.map_or(self.max_output_tokens, |expected| {
            expected.min(self.max_output_tokens)
        })
    }
}

/// The KV cache of a prompt that one engine holds for another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheHandle {
    /// Identifies the cache at the engine.
    pub id: String,
}

/// Kinds and names of objects in the store.
#[derive(Clone, Copy, Debug)]
pub struct ObjectNames {
    /// Kind of the configuration.
    pub config_kind: &'static str,
    /// Name of the configuration's object.
    pub config_name: &'static str,
    /// Kind of the evacuations, each named after its data centre.
    pub evacuation_kind: &'static str,
    /// Kind of the upstreams' entries.
    pub upstream_kind: &'static str,
    /// Kind of the instances' own registrations.
    pub instance_kind: &'static str,
    /// Kind of the services' default software versions, each named after its service.
    pub version_kind: &'static str,
    /// Kind of the records of streams, each named after the attempt that began it.
    pub stream_kind: &'static str,
}

/// Optional behaviour that a deployment calls for.
#[plain]
#[derive(Copy, Default, Eq)]
pub struct Features {
    /// Whether requests wait in order for room at a plain service that is full.
    pub queue_plain_requests: bool,
}

/// Names and formats of a deployment.
pub struct Dialect {
    /// Header names.
    pub headers: HeaderNames,
    /// Path at which a balancer asks whether the instance is ready.
    pub readiness_path: &'static str,
    /// Authentication scheme of a key in the `Authorization` header, with the trailing space.
    pub key_prefix: &'static str,
    /// Objects in the store.
    pub objects: ObjectNames,
    /// Protocol of the store.
    pub store: &'static Protocol,
    /// Value of the stage header for a request that is only prefilled.
    pub prefill_stage: &'static str,
    /// Path at which an engine reports its load. A report needs no slot.
    pub engine_report_path: &'static str,
    /// Decodes the names of features in the settings. Unknown names are ignored.
    pub decode_features: fn(&[Arc<str>]) -> Features,
    /// Decodes a configuration.
    pub decode_configuration: fn(&Value) -> Result<Configuration, DecodeError>,
    /// Decodes an upstream from the name and the value of its entry.
    pub decode_upstream: fn(&str, &Value) -> Result<Upstream, DecodeError>,
    /// Decodes the load that an upstream states in a response. `None` if it states none.
    pub decode_load: fn(&HeaderMap) -> Option<Result<StatedLoad, DecodeError>>,
    /// Reads for how long an upstream stays cold from its entry, `None` if that is not stated.
    pub decode_cold_entry: fn(&Value) -> Option<ColdRemaining>,
    /// The same from the headers of a response.
    pub decode_cold_response: fn(&HeaderMap) -> Option<ColdRemaining>,
    /// Reads the size of a generation request from its headers.
    pub decode_prompt_size: fn(&HeaderMap) -> Option<PromptSize>,
    /// Reads the ids of the parts of a generation request's prompt that other requests may share, in
    /// the order of the prompt. Empty if there are none.
    pub decode_shared_parts: fn(&HeaderMap) -> Vec<u64>,
    /// Decodes the response to a request that was only prefilled.
    pub decode_cache_handle: fn(&[u8]) -> Option<CacheHandle>,
    /// Returns the value of the cache source header for a cache at an engine's address.
    pub cache_source: fn(SocketAddr, &CacheHandle) -> String,
}
