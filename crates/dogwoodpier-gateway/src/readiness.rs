//! HTTP pages for the balancer's readiness checks and for operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::Response;
use http::StatusCode;

use dogwoodpier_core::gateway::client_limits;
use dogwoodpier_process::clock;

use crate::body::ResponseBody;
use crate::client_budget::ConnectionTable;
use crate::newer_configuration;
use crate::operators;
use crate::server;
use crate::server::Connection;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::traffic::Traffic;

// Short enough for an operator who waits for a start.
const REPORT_INTERVAL: Duration = Duration::from_secs(3);

type Page = Response<ResponseBody>;

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

/// Starts a server of small pages at `address`. `name` names it in logs and metrics.
pub async fn start(
    gateway: SharedGateway,
    name: &'static str,
    address: SocketAddr,
    page: fn(&SharedGateway, &str) -> Page,
) -> anyhow::Result<()> {
    let listener = server::bind(address).with_context(|| format!("can't bind {address}"))?;
    let table = Arc::new(ConnectionTable::new(name));
    tokio::spawn(async move {
        loop {
            let stream = server::accept(&gateway, &listener, &table).await;
            let traffic = Traffic::new(clock::now());
            let descriptors = gateway.client_budget.descriptors(&gateway.settings.load());
            let max_connections = client_limits::max_page_connections(descriptors);
            let Some(open) = table.admit(&gateway, &traffic, max_connections) else {
                continue;
            };
            let connection = Connection {
                gateway: gateway.clone(),
                table: table.clone(),
                open,
                traffic,
                is_page: true,
            };
            tokio::spawn(connection.serve(stream, move |gateway, request| {
                let response = page(&gateway, request.uri().path());
                std::future::ready(response)
            }));
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
        "/metrics" => Response::new(ResponseBody::full(Bytes::from(operators::metrics(gateway)))),
        "/state" => Response::new(ResponseBody::full(Bytes::from(operators::state(gateway)))),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> Page {
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    *response.status_mut() = status;
    response
}
