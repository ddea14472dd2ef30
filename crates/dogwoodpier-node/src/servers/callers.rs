//! The HTTP server for callers.

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::ApiEndpoint;
use dropshot::ApiEndpointVersions;
use dropshot::Body;
use dropshot::BuildError;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::Path;
use dropshot::RawRequest;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use http::Method;
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Drain;
use slog::Logger;
use thiserror::Error;

use crate::pipeline::serve;
use crate::state::SharedNode;

const METHODS: [Method; 7] = [
    Method::GET,
    Method::POST,
    Method::PUT,
    Method::DELETE,
    Method::PATCH,
    Method::HEAD,
    Method::OPTIONS,
];

/// Why the server for callers could not start.
#[derive(Debug, Error)]
pub enum CallersError {
    /// The routes could not be registered.
    #[error("failed to register the routes of the server for callers: {0}")]
    Register(#[from] ApiDescriptionRegisterError),
    /// The server could not listen on its address.
    #[error("failed to start the server for callers: {0}")]
    Build(#[from] BuildError),
}

/// Matches any path; the pipeline routes requests itself.
#[derive(Deserialize, JsonSchema)]
struct AnyPath {
    #[serde(rename = "path")]
    _path: Vec<String>,
}

/// Starts the server for callers.
pub fn start(node: SharedNode) -> Result<HttpServer<SharedNode>, CallersError> {
    let mut api = ApiDescription::new();
    for method in METHODS {
        let name = method.as_str().to_ascii_lowercase();
        let endpoint = ApiEndpoint::new(
            name,
            handle,
            method,
            "application/json",
            "/{path:.*}",
            ApiEndpointVersions::All,
        );
        api.register(endpoint.visible(false))?;
    }
    let config = ConfigDropshot {
        bind_address: node.settings.caller_address,
        // The pipeline reads bodies itself, with the same limit.
        default_request_body_max_bytes: node.settings.tuning.max_body_bytes,
        // If the caller disconnects, its handler is dropped with all resources of the request.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    Ok(ServerBuilder::new(api, node, logger())
        .config(config)
        .start()?)
}

async fn handle(
    context: RequestContext<SharedNode>,
    _path: Path<AnyPath>,
    request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    Ok(serve::serve(context.context(), request.into_inner()).await)
}

// Logs warnings and above only: a line per request would obscure those about changes of state.
fn logger() -> Logger {
    let drain = slog_stdlog::StdLog.filter_level(slog::Level::Warning);
    Logger::root(drain.fuse(), slog::o!())
}
