//! Finds the workspace that a key belongs to, and watches the keys of running requests.

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
// Consecutive checks that must find the node's keys stale before a request is ended: a node that
// was paused appears to be disconnected until its next heartbeat.
const MAX_STALE_CHECKS: u32 = 2;

/// The authenticated workspace of a request.
#[derive(Clone, Debug)]
pub struct Authenticated {
    /// Name.
    pub name: Arc<str>,
    /// Limits and permissions.
    pub workspace: Workspace,
    /// Key that came with the request.
    pub key: Arc<str>,
}

/// Returns the workspace of the request, or `None` on a route that needs no key.
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

/// Waits until the key no longer belongs to the workspace or the node's keys have become stale, and
/// returns the refusal. The caller of this function sets its `execution`.
pub async fn wait_until_key_invalid(node: &SharedNode, authenticated: &Authenticated) -> Refusal {
    let mut stale_checks = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        match node.config.authenticate(&authenticated.key, clock::now()) {
            Ok(name) if name == authenticated.name => stale_checks = 0,
            Ok(_) => return key_withdrawn(),
            Err(refusal) if refusal.reason == RefusalReason::KeysStale => {
                stale_checks += 1;
                if stale_checks >= MAX_STALE_CHECKS {
                    return refusal;
                }
            }
            Err(_) => return key_withdrawn(),
        }
    }
}

fn key_withdrawn() -> Refusal {
    Refusal::new(
        RefusalReason::InvalidKey,
        Execution::Unknown,
        "the key was withdrawn while the request ran",
    )
}
