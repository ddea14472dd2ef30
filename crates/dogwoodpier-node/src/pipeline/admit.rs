//! Takes a request's tokens from its workspace's rate, and gives back what it did not use.

use std::sync::Arc;

use dogwoodpier_core::Refusal;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;

use crate::clock;
use crate::limits::Permit;
use crate::state::SharedNode;

/// Tokens taken for a request. Dropping it settles them.
pub struct Admission {
    node: SharedNode,
    permit: Option<Permit>,
    used_tokens: Tokens,
}

/// Takes the estimated cost of a request.
pub async fn admit(
    node: &SharedNode,
    workspace: &Arc<str>,
    cost_tokens: Tokens,
    deadline_ms: TimeMs,
) -> Result<Admission, Refusal> {
    let permit = node
        .limits
        .admit(node, workspace, cost_tokens, deadline_ms)
        .await?;
    Ok(Admission {
        node: node.clone(),
        permit: Some(permit),
        used_tokens: Tokens(0),
    })
}

impl Admission {
    /// Notes that an upstream has worked on this many of the tokens.
    pub fn use_tokens(&mut self, tokens: Tokens) {
        self.used_tokens = self.used_tokens + tokens;
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.node
                .limits
                .settle(&self.node, permit, self.used_tokens, clock::now());
        }
    }
}
