//! Resolves declarations to the effective configuration by applying defaults and exceptions.

use std::cmp::Reverse;

use dogwoodpier_core::Tokens;
use dogwoodpier_core::TokensPerSecond;

use crate::check;
use crate::check::Exceptions;
use crate::declarations::Declarations;
use crate::effective::EffectiveConfig;
use crate::effective::Pool;
use crate::effective::Route;
use crate::effective::Workspace;
use crate::problem::Finding;

/// Returns the effective configuration, or every problem of the declarations.
pub fn resolve(declarations: &Declarations, version: u64) -> Result<EffectiveConfig, Vec<Finding>> {
    let findings = check::validate(declarations);
    if !findings.is_empty() {
        return Err(findings);
    }
    let exceptions = Exceptions::new(declarations);
    Ok(EffectiveConfig {
        version,
        slot_count: declarations.fleet.slot_count,
        workspaces: declarations
            .workspaces
            .iter()
            .map(|(name, entry)| {
                let values = exceptions.workspace_values(name);
                let workspace = Workspace {
                    rate_tokens_per_s: TokensPerSecond(values.rate_tokens_per_s),
                    burst_tokens: Tokens(values.burst_tokens),
                    weight: values.weight,
                    priority: values.priority,
                    first_token_target_ms: values.first_token_target_ms,
                    token_gap_target_ms: values.token_gap_target_ms,
                    request_timeout_ms: values.request_timeout_ms,
                    allowed: entry.allowed.clone(),
                };
                (name.clone(), workspace)
            })
            .collect(),
        keys: declarations
            .keys
            .values()
            .map(|key| (key.sha256.clone(), key.workspace.clone()))
            .collect(),
        pools: declarations
            .pools
            .iter()
            .map(|(name, entry)| {
                let values = exceptions.pool_values(name);
                let pool = Pool {
                    kind: entry.kind,
                    link_bytes_per_s: values.link_bytes_per_s,
                    progress_timeout_ms: values.progress_timeout_ms,
                };
                (name.clone(), pool)
            })
            .collect(),
        models: declarations.models.clone(),
        routes: routes(declarations, &exceptions),
    })
}

fn routes(declarations: &Declarations, exceptions: &Exceptions<'_>) -> Vec<Route> {
    let mut routes: Vec<Route> = declarations
        .routes
        .iter()
        .map(|(name, entry)| {
            let values = exceptions.route_values(name);
            Route {
                name: name.clone(),
                path_prefix: entry.path_prefix.clone(),
                methods: entry.methods.clone(),
                pool: entry.pool.clone(),
                idempotent: entry.idempotent,
                open: entry.open,
                cost_tokens: Tokens(values.cost_tokens),
                timeout_ms: values.timeout_ms,
            }
        })
        .collect();
    routes.sort_by_key(|route| Reverse(route.path_prefix.len()));
    routes
}
