//! Takes the tokens of a request from the limit of its workspace, and returns those not used.

use std::sync::Arc;

use dogwoodpier_core::Refusal;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;

use crate::clock;
use crate::limits::Permit;
use crate::state::SharedNode;

/// Tokens taken for a request. Dropping it settles them with the tokens that were used.
pub struct Admission {
    node: SharedNode,
    permit: Option<Permit>,
    prompt_tokens: Tokens,
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
        prompt_tokens: Tokens(0),
        used_tokens: Tokens(0),
    })
}

impl Admission {
    /// Sets the number of prompt tokens that an upstream has, or may have, processed. A prompt
    /// counts once, however often it was sent.
    pub fn set_prompt_tokens(&mut self, tokens: Tokens) {
        self.prompt_tokens = tokens;
    }

    /// Adds tokens that an upstream has processed besides the prompt.
    pub fn add_used_tokens(&mut self, tokens: Tokens) {
        self.used_tokens = self.used_tokens + tokens;
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let actual_tokens = self.prompt_tokens + self.used_tokens;
        if let Some(permit) = self.permit.take() {
            self.node
                .limits
                .settle(&self.node, permit, actual_tokens, clock::now());
        }
    }
}
