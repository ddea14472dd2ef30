//! Forwards a request to a plain service.

use dogwoodpier_config::effective::Route;
use dogwoodpier_core::Execution;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;

use crate::state::SharedNode;

use super::request::Request;

/// Sends the request to an upstream of the route's pool and returns the answer. The caller lets it
/// run to its end even if the client has left.
pub async fn forward(
    _node: &SharedNode,
    _request: Request,
    _route: &Route,
) -> Result<http::Response<dropshot::Body>, Refusal> {
    Err(Refusal::new(
        RefusalReason::NoUpstream,
        Execution::NotRun,
        "no upstream",
    ))
}
