//! Tests of the lookup of routes by host and longest prefix, of targets by weight, and of
//! workspaces by key.

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

fn find_route(configuration: &Configuration, host: &str, path: &str) -> Option<Arc<str>> {
    configuration
        .route(host, path)
        .map(|route| route.name.clone())
}

#[test]
fn longest_prefix_wins() {
    let mut configuration = configuration();
    for (name, prefix) in [("short", "/a/"), ("long", "/a/b/"), ("other", "/c/")] {
        configuration.add_route(route(name, "x.example", prefix));
    }
    assert_eq!(
        find_route(&configuration, "x.example", "/a/b/c").as_deref(),
        Some("long")
    );
    assert_eq!(
        find_route(&configuration, "x.example", "/a/bc").as_deref(),
        Some("short")
    );
    assert_eq!(find_route(&configuration, "x.example", "/a"), None);
    assert_eq!(find_route(&configuration, "y.example", "/a/b/c"), None);
}

#[test]
fn host_ignores_case_and_port() {
    let mut configuration = configuration();
    configuration.add_route(route("only", "x.example", "/a/"));
    assert!(find_route(&configuration, "X.Example", "/a/").is_some());
    assert!(find_route(&configuration, "x.example:8080", "/a/").is_some());
}

#[test]
fn requests_are_split_by_weight() {
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
    let new_count = (0..1_000)
        .filter(|draw| {
            split
                .target(*draw)
                .is_some_and(|service| &**service == "new")
        })
        .count();
    assert_eq!(new_count, 100);
    split
        .targets
        .iter_mut()
        .for_each(|target| target.weight = 0);
    assert_eq!(split.target(7), None);
}

#[test]
fn workspace_is_found_by_any_of_its_keys() {
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
