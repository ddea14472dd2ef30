//! Invalid settings are reported all at once, each with its line, its field and what is expected.

use std::collections::BTreeSet;

use dogwoodpier_node::settings;
use dogwoodpier_node::settings::Tuning;

const EXAMPLE: &str = include_str!("../../../examples/node.toml");

fn messages(text: &str) -> Vec<String> {
    settings::parse("n.toml", text).map_or_else(
        |problems| problems.0.iter().map(ToString::to_string).collect(),
        |_| Vec::new(),
    )
}

#[test]
fn example_settings_are_the_defaults() {
    let found = settings::parse("n.toml", EXAMPLE).unwrap_or_else(|found| panic!("{found}"));
    assert_eq!(found.tuning, Tuning::default());
}

#[test]
fn example_lists_every_tuning_field() {
    let serde_json::Value::Object(fields) = serde_json::to_value(Tuning::default()).unwrap() else {
        panic!("tuning is a table");
    };
    let missing: BTreeSet<&String> = fields
        .keys()
        .filter(|field| !EXAMPLE.contains(&format!("\n{field} = ")))
        .collect();
    assert!(missing.is_empty(), "not in the example: {missing:?}");
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = EXAMPLE
        .replacen("instance = \"node-1\"", "instance = \"node 1\"", 1)
        .replacen("data_centre = \"dc-1\"\n", "\n", 1)
        .replacen("127.0.0.1:7082", "localhost:7082", 1)
        .replacen("loan_ms = 2_000", "loan_ms = -1", 1)
        .replacen("level = \"info\"", "level = \"loud\"", 1)
        .replacen("[log]", "[log]\ncolour = true", 1);
    let found = messages(&text);
    let expected = [
        "n.toml:1: data_centre: is missing: give a name",
        "n.toml:5: instance: \"node 1\" is no name",
        "n.toml:12: peer_address: \"localhost:7082\" is no address: give an IP address",
        "n.toml:26: tuning.loan_ms: must be a whole number from 10 to 3600000, not -1",
        "n.toml:43: log.colour: unknown field; known here: level, format",
        "n.toml:45: log.level: \"loud\" is not one of error, warn, info, debug, trace",
    ];
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found} instead of {expected}");
    }
}

#[test]
fn contradictory_settings_are_reported() {
    let text = EXAMPLE
        .replacen("127.0.0.1:7081", "127.0.0.1:7080", 1)
        .replacen("long_lease_ms = 4_500_000", "long_lease_ms = 3_600_000", 1)
        .replacen("promise_ms = 3_000", "promise_ms = 1_000", 1);
    let found = messages(&text);
    assert_eq!(
        found,
        [
            "n.toml:11: operator_address: is the same as caller_address: give each its own port",
            "n.toml:23: tuning.promise_ms: 1000 must be more than twice heartbeat_interval_ms, 1000",
            "n.toml:25: tuning.long_lease_ms: 3600000 must be more than claim_window_ms, 3600000",
        ]
    );
}
