//! The HTTP server for operators: health, readiness, metrics and a dump of the state.

use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::endpoint;
use http::Response;
use http::StatusCode;
use http::header;
use slog::Drain;
use thiserror::Error;

use dogwoodpier_core::freshness::KeyValidity;
use dogwoodpier_process::recorder;

use crate::clock;
use crate::counters;
use crate::state::Node;
use crate::state::SharedNode;

const TEXT: &str = "text/plain; charset=utf-8";
const METRICS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";
const JSON: &str = "application/json";
// No endpoint takes a body.
const MAX_BODY_BYTES: usize = 1_024;

/// Why the server for operators could not start.
#[derive(Debug, Error)]
pub enum OperatorsError {
    /// An endpoint could not be registered.
    #[error("failed to register the operators' endpoints: {0}")]
    Api(#[from] dropshot::ApiDescriptionRegisterError),
    /// The server could not listen on its address.
    #[error("operators' address {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: Box<dropshot::BuildError>,
    },
}

/// Starts the server on the node's address for operators.
pub fn start(node: SharedNode) -> Result<HttpServer<SharedNode>, OperatorsError> {
    let mut api = ApiDescription::new();
    api.register(health)?;
    api.register(ready)?;
    api.register(metrics)?;
    api.register(dump)?;
    let address = node.settings.operator_address;
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let logger = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
    ServerBuilder::new(api, node, logger)
        .config(config)
        .start()
        .map_err(|source| OperatorsError::Listen {
            address,
            source: Box::new(source),
        })
}

/// Returns why the node should not get requests, or `None` if it is ready.
pub fn unready_reason(node: &Node) -> Option<&'static str> {
    if node.drain.is_draining() {
        return Some("draining");
    }
    if node.config.current().version == 0 {
        return Some("no configuration yet");
    }
    if node.config.key_validity(clock::now()) == KeyValidity::Stale {
        return Some("cut off from news of the platform, keyed requests are refused");
    }
    None
}

/// Reports that the process is running.
#[endpoint { method = GET, path = "/health" }]
async fn health(_context: RequestContext<SharedNode>) -> Result<Response<Body>, HttpError> {
    answer(StatusCode::OK, TEXT, "ok\n".to_owned())
}

/// Reports whether the node should get requests.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(context: RequestContext<SharedNode>) -> Result<Response<Body>, HttpError> {
    match unready_reason(context.context()) {
        None => answer(StatusCode::OK, TEXT, "ready\n".to_owned()),
        Some(reason) => answer(
            StatusCode::SERVICE_UNAVAILABLE,
            TEXT,
            format!("not ready: {reason}\n"),
        ),
    }
}

/// Returns all metrics.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: RequestContext<SharedNode>) -> Result<Response<Body>, HttpError> {
    for count in context.context().platform.call_counts() {
        let operation = count.operation.as_str();
        ::metrics::counter!(
            counters::PLATFORM_CALLS_TOTAL,
            "operation" => operation,
            "result" => count.result,
        )
        .absolute(count.calls);
    }
    answer(StatusCode::OK, METRICS_TEXT, recorder::render())
}

/// Returns the state of the process, without secrets.
#[endpoint { method = GET, path = "/dump" }]
async fn dump(context: RequestContext<SharedNode>) -> Result<Response<Body>, HttpError> {
    let node: &Arc<Node> = context.context();
    answer(StatusCode::OK, JSON, node.dump().to_string())
}

fn answer(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(Body::from(body))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
