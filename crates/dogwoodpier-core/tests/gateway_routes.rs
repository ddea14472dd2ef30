//! Routes by host and longest prefix, targets by weight, keys.

use std::sync::Arc;

use dogwoodpier_core::gateway::routes::ClientLimits;
use dogwoodpier_core::gateway::routes::Configuration;
use dogwoodpier_core::gateway::routes::QuotaUnit;
use dogwoodpier_core::gateway::routes::RetryPolicy;
use dogwoodpier_core::gateway::routes::Route;
use dogwoodpier_core::gateway::routes::Target;
use dogwoodpier_core::gateway::routes::Workspace;

fn configuration() -> Configuration {
    let limits = ClientLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    Configuration::new(1, limits)
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        retry_policy: RetryPolicy::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 300,
        priority: 1,
        max_attempts: 2,
        public: false,
        targets: vec![Target {
            service: "desk".into(),
            weight: 1,
        }],
    }
}

fn found(configuration: &Configuration, host: &str, path: &str) -> Option<Arc<str>> {
    configuration
        .route(host, path)
        .map(|route| route.name.clone())
}

#[test]
fn longest_prefix() {
    let mut configuration = configuration();
    for (name, prefix) in [("short", "/a/"), ("long", "/a/b/"), ("other", "/c/")] {
        configuration.add_route(route(name, "x.example", prefix));
    }
    assert_eq!(
        found(&configuration, "x.example", "/a/b/c").as_deref(),
        Some("long")
    );
    assert_eq!(
        found(&configuration, "x.example", "/a/bc").as_deref(),
        Some("short")
    );
    assert_eq!(found(&configuration, "x.example", "/a"), None);
    assert_eq!(found(&configuration, "y.example", "/a/b/c"), None);
}

#[test]
fn host_forms() {
    let mut configuration = configuration();
    configuration.add_route(route("only", "x.example", "/a/"));
    assert!(found(&configuration, "X.Example", "/a/").is_some());
    assert!(found(&configuration, "x.example:8080", "/a/").is_some());
}

#[test]
fn split_by_weight() {
    let mut split = route("split", "x.example", "/a/");
    split.targets = vec![
        Target {
            service: "old".into(),
            weight: 90,
        },
        Target {
            service: "new".into(),
            weight: 10,
        },
    ];
    let of_new = (0..1_000)
        .filter(|draw| {
            split
                .target(*draw)
                .is_some_and(|service| &**service == "new")
        })
        .count();
    assert_eq!(of_new, 100);
    split
        .targets
        .iter_mut()
        .for_each(|target| target.weight = 0);
    assert_eq!(split.target(7), None);
}

#[test]
fn keys_of_workspaces() {
    let mut configuration = configuration();
    let workspace = Workspace {
        name: "firm".into(),
        priority: None,
        unit: QuotaUnit::Requests,
        rate_per_s: 0,
        burst: 0,
    };
    configuration.add_workspace(workspace, ["one".into(), "two".into()]);
    let holder = configuration
        .workspace_of("two")
        .map(|holder| holder.name.clone());
    assert_eq!(holder.as_deref(), Some("firm"));
    assert!(configuration.workspace_of("three").is_none());
}
