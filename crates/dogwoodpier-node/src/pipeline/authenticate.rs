//! Finds the workspace that a key belongs to, and ends requests whose key is withdrawn.

use std::sync::Arc;
use std::time::Duration;

use dogwoodpier_config::effective::Workspace;
use dogwoodpier_core::Execution;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;

use crate::clock;
use crate::state::SharedNode;

use super::accept::Head;
use super::accept::Target;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
// Checks in a row that must find the node's knowledge of keys too old, since a node that was
// paused looks cut off until its next heartbeat.
const STALE_CHECKS: u32 = 2;

/// The workspace of a request.
#[derive(Clone, Debug)]
pub struct Authenticated {
    /// Name.
    pub name: Arc<str>,
    /// Limits and rights.
    pub workspace: Workspace,
    /// Key that came with the request.
    pub key: Arc<str>,
}

/// Returns the workspace of the request, or `None` on a route open to all.
pub fn authenticate(node: &SharedNode, head: &Head) -> Result<Option<Authenticated>, Refusal> {
    if matches!(&head.target, Target::Route(route) if route.open) {
        return Ok(None);
    }
    let Some(key) = &head.key else {
        return Err(Refusal::not_run(
            RefusalReason::InvalidKey,
            "send a key as bearer token or in x-api-key",
        ));
    };
    let name = node.config.authenticate(key, clock::now())?;
    let config = node.config.current();
    let Some(workspace) = config.workspaces.get(&name) else {
        return Err(Refusal::not_run(
            RefusalReason::InvalidKey,
            "the key's workspace no longer exists",
        ));
    };
    Ok(Some(Authenticated {
        name,
        workspace: workspace.clone(),
        key: key.clone(),
    }))
}

/// Refuses a model or route that the workspace may not use.
pub fn authorize(authenticated: &Authenticated, target: &str) -> Result<(), Refusal> {
    let allowed = &authenticated.workspace.allowed;
    if allowed.is_empty() || allowed.iter().any(|name| **name == *target) {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalReason::Forbidden,
        format!("workspace {} may not use {target}", authenticated.name),
    ))
}

/// Ends with a refusal once the key no longer stands for the workspace, or once the node can't
/// tell any more. `execution` of the refusal is for the caller of this function to set.
pub async fn key_ended(node: &SharedNode, authenticated: &Authenticated) -> Refusal {
    let mut stale_checks = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        match node.config.authenticate(&authenticated.key, clock::now()) {
            Ok(name) if name == authenticated.name => stale_checks = 0,
            Ok(_) => return withdrawn(),
            Err(refusal) if refusal.reason == RefusalReason::KeysStale => {
                stale_checks += 1;
                if stale_checks >= STALE_CHECKS {
                    return refusal;
                }
            }
            Err(_) => return withdrawn(),
        }
    }
}

fn withdrawn() -> Refusal {
    Refusal::new(
        RefusalReason::InvalidKey,
        Execution::Unknown,
        "the key was withdrawn while the request ran",
    )
}
