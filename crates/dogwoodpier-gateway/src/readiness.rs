//! HTTP pages for the balancer's readiness checks and for operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::newer_configuration;
use crate::operators;
use crate::state::Gateway;
use crate::state::SharedGateway;

// Short enough for an operator who waits for a start.
const REPORT_INTERVAL: Duration = Duration::from_secs(3);

type Page = Response<Full<Bytes>>;

/// Returns whether the instance accepts requests: it has read all it needs from the store and isn't
/// stopping.
pub fn is_ready(gateway: &Gateway) -> bool {
    unmet_conditions(gateway).is_empty()
}

/// Returns why the instance is not ready; empty if it is.
pub fn unmet_conditions(gateway: &Gateway) -> Vec<&'static str> {
    let upstreams_known = gateway.state().upstreams_known;
    let conditions = [
        ("configuration", gateway.configuration.load().is_some()),
        ("upstreams", upstreams_known),
        ("evacuations", knows_evacuations(gateway)),
        (
            "newer_configuration",
            !newer_configuration::is_awaited(gateway),
        ),
        ("not_stopping", !gateway.drain.is_draining()),
    ];
    let unmet = conditions.into_iter().filter(|(_, is_met)| !is_met);
    unmet.map(|(name, _)| name).collect()
}

/// Logs why the instance is not ready, until it stops.
pub async fn report(gateway: SharedGateway) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let unmet = unmet_conditions(&gateway);
        if !unmet.is_empty() && !gateway.drain.is_draining() {
            gateway
                .events
                .write("not_ready", serde_json::json!({ "missing": unmet }));
        }
    }
}

/// Returns whether the instance knows which data centres are evacuated. Always true if evacuations
/// are disabled.
pub fn knows_evacuations(gateway: &Gateway) -> bool {
    !gateway.settings.load().evacuations || gateway.state().upstreams.evacuations.are_known()
}

/// Starts a server of small pages at `address`.
pub async fn start(
    gateway: SharedGateway,
    address: SocketAddr,
    page: fn(&SharedGateway, &str) -> Page,
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("can't bind {address}"))?;
    tokio::spawn(async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("can't accept a connection at {address}: {error}");
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            let gateway = gateway.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let response = page(&gateway, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            tokio::spawn(async move {
                let served = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(error) = served {
                    log::debug!("serving a page failed: {error}");
                }
            });
        }
    });
    Ok(())
}

/// Returns the readiness page for the balancer.
pub fn balancer_page(gateway: &SharedGateway, path: &str) -> Page {
    if path != gateway.dialect.readiness_path {
        return status(StatusCode::NOT_FOUND);
    }
    if is_ready(gateway) {
        status(StatusCode::OK)
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Returns the pages for operators.
pub fn operator_page(gateway: &SharedGateway, path: &str) -> Page {
    match path {
        "/metrics" => Response::new(Full::new(Bytes::from(operators::metrics(gateway)))),
        "/state" => Response::new(Full::new(Bytes::from(operators::state(gateway)))),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> Page {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
