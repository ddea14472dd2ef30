//! The handling of a client's request from admission to the response.

use std::sync::Arc;

use http::Request;
use http::Response;
use hyper::body::Incoming;

use dogwoodpier_core::TimeMs;
use dogwoodpier_process::clock;

use crate::admission;
use crate::body::ResponseBody;
use crate::counters;
use crate::engines;
use crate::plain;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::state::SharedGateway;

/// Serves a request of a client.
pub async fn serve(gateway: SharedGateway, request: Request<Incoming>) -> Response<ResponseBody> {
    let received_ms = clock::now();
    let in_flight = gateway.drain.admit();
    let id = request
        .headers()
        .get(&gateway.dialect.headers.request_id)
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let admitted = match &in_flight {
        Some(_) => admission::admit(&gateway, request, received_ms).await,
        None => Err(Rejection::shutting_down()),
    };
    let result = match admitted {
        Ok(request) => forward(&gateway, &Arc::new(request)).await,
        Err(rejection) => Err(rejection),
    };
    log_result(&gateway, &id, &result, received_ms);
    let mut response = result.unwrap_or_else(Rejection::response);
    if let Some(in_flight) = in_flight {
        response.body_mut().hold_in_flight(in_flight);
    }
    response
}

async fn forward(
    gateway: &SharedGateway,
    request: &Arc<ClientRequest>,
) -> Result<Response<ResponseBody>, Rejection> {
    let now = clock::now();
    let settings = gateway.settings.load_full();
    gateway
        .state()
        .retries
        .count_request(&request.service.name, &settings.retries, now);
    match &request.service.engine {
        Some(_) => engines::generate(gateway, request).await,
        None => plain::forward(gateway, request).await,
    }
}

fn log_result(
    gateway: &SharedGateway,
    id: &str,
    result: &Result<Response<ResponseBody>, Rejection>,
    received_ms: TimeMs,
) {
    let elapsed_ms = clock::now().since(received_ms);
    metrics::histogram!(counters::FIRST_BYTE_MS).record(elapsed_ms as f64);
    match result {
        Ok(response) => {
            metrics::counter!(counters::REQUESTS_TOTAL, "outcome" => "answered").increment(1);
            gateway.events.write(
                "answered",
                serde_json::json!({
                    "request_id": id,
                    "status": response.status().as_u16(),
                    "elapsed_ms": elapsed_ms,
                }),
            );
        }
        Err(rejection) => {
            let reason = rejection.reason.as_str();
            metrics::counter!(counters::REQUESTS_TOTAL, "outcome" => "rejected").increment(1);
            metrics::counter!(counters::REJECTED_TOTAL, "reason" => reason).increment(1);
            gateway.events.write(
                "rejected",
                serde_json::json!({
                    "request_id": id,
                    "reason": reason,
                    "status": rejection.reason.status().as_u16(),
                    "retry_after_ms": rejection.retry_after_ms,
                    "elapsed_ms": elapsed_ms,
                }),
            );
        }
    }
}
