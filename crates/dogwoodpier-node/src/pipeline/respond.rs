//! Turns refusals and model answers into HTTP responses.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dropshot::Body;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use metrics::counter;
use serde_json::Value;
use serde_json::json;

use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;

use crate::counters;

use super::model_call::Api;
use super::model_call::ModelCall;

/// Header with the execution status of a refused request.
pub const EXECUTION_HEADER: HeaderName = HeaderName::from_static("x-dogwoodpier-execution");
const RETRY_AFTER_MS_HEADER: HeaderName = HeaderName::from_static("retry-after-ms");
const MS_PER_S: u64 = 1_000;

/// A complete answer of a model.
pub struct CompleteAnswer {
    /// Text.
    pub text: String,
    /// Output tokens.
    pub completion_tokens: u64,
    /// Finish reason.
    pub finish_reason: String,
}

/// Returns the response with a refusal, and counts it.
pub fn refusal_response(refusal: &Refusal, workspace: &str) -> Response<Body> {
    count_refusal(refusal, workspace);
    let mut response = json_response(status(refusal.reason), &error_body(refusal));
    let headers = response.headers_mut();
    headers.insert(
        EXECUTION_HEADER,
        HeaderValue::from_static(refusal.execution.as_str()),
    );
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(retry_after_ms));
        let retry_after_s = retry_after_ms.div_ceil(MS_PER_S);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after_s));
    }
    if refusal.reason == RefusalReason::InvalidKey {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}

/// Counts a refusal in the metrics. [`refusal_response`] calls it itself.
pub fn count_refusal(refusal: &Refusal, workspace: &str) {
    counter!(
        counters::REFUSALS_TOTAL,
        "reason" => code(refusal.reason),
        "execution" => refusal.execution.as_str(),
        "workspace" => workspace.to_owned(),
    )
    .increment(1);
}

/// Returns the JSON error body of a refusal.
pub fn error_body(refusal: &Refusal) -> Value {
    json!({
        "error": {
            "message": refusal.message,
            "type": error_type(refusal.reason),
            "code": code(refusal.reason),
            "execution": refusal.execution.as_str(),
            "retry_after_ms": refusal.retry_after_ms,
        }
    })
}

/// Returns the response with a complete answer.
pub fn answer_response(id: &str, call: &ModelCall, answer: &CompleteAnswer) -> Response<Body> {
    let choice = match call.api {
        Api::Completions => json!({
            "index": 0,
            "text": answer.text,
            "logprobs": null,
            "finish_reason": answer.finish_reason,
        }),
        Api::Chat => json!({
            "index": 0,
            "message": { "role": "assistant", "content": answer.text },
            "finish_reason": answer.finish_reason,
        }),
    };
    let object = match call.api {
        Api::Completions => "text_completion",
        Api::Chat => "chat.completion",
    };
    let body = json!({
        "id": id,
        "object": object,
        "created": unix_time_s(),
        "model": call.model,
        "choices": [choice],
        "usage": usage(call, answer.completion_tokens),
    });
    json_response(StatusCode::OK, &body)
}

/// Returns the `usage` object of an answer.
pub fn usage(call: &ModelCall, completion_tokens: u64) -> Value {
    json!({
        "prompt_tokens": call.prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": call.prompt_tokens + completion_tokens,
    })
}

/// Returns the current Unix time in seconds.
pub fn unix_time_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}

/// Returns the status code of a refusal.
pub fn status(reason: RefusalReason) -> StatusCode {
    use RefusalReason as R;
    match reason {
        R::InvalidRequest => StatusCode::BAD_REQUEST,
        R::InvalidKey => StatusCode::UNAUTHORIZED,
        R::Forbidden => StatusCode::FORBIDDEN,
        R::NoRoute => StatusCode::NOT_FOUND,
        R::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
        R::ClaimPending => StatusCode::CONFLICT,
        R::TooLarge | R::AboveBurst => StatusCode::PAYLOAD_TOO_LARGE,
        R::ClaimMismatch | R::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        R::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        R::UpstreamFailed => StatusCode::BAD_GATEWAY,
        R::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        R::KeysStale | R::Overloaded | R::NoUpstream | R::ClaimUnavailable | R::ShuttingDown => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        R::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

fn error_type(reason: RefusalReason) -> &'static str {
    match status(reason) {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        StatusCode::SERVICE_UNAVAILABLE => "overloaded_error",
        _ => "api_error",
    }
}

fn code(reason: RefusalReason) -> String {
    match serde_json::to_value(reason) {
        Ok(Value::String(code)) => code,
        _ => String::new(),
    }
}

fn json_response(status: StatusCode, body: &Value) -> Response<Body> {
    let mut response = Response::new(Body::from(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
