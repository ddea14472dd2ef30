//! Prints what a configuration of some sizes costs: bytes stored, bytes of a change of one key, and the
//! time to divide, join and resolve it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use dogwoodpier_config::Declarations;
use dogwoodpier_config::declarations::Exception;
use dogwoodpier_config::declarations::KeyEntry;
use dogwoodpier_config::declarations::WorkspaceEntry;
use dogwoodpier_config::keys;
use dogwoodpier_config::parse;
use dogwoodpier_config::resolve;
use dogwoodpier_config::storage;
use dogwoodpier_config::storage::Part;
use dogwoodpier_config::storage::Root;

const EXAMPLE: &str = include_str!("../../../examples/declarations.toml");
const WORKSPACES: [usize; 4] = [100, 500, 1_900, 5_000];
const KEYS_EACH: usize = 5;
// One workspace in so many deviates from the defaults.
const EXCEPTION_EVERY: usize = 20;

fn main() {
    println!(
        "workspaces  keys  parts  total bytes  root bytes  one-key change  split  join+resolve"
    );
    for workspaces in WORKSPACES {
        let declarations = declarations(workspaces);
        let started = Instant::now();
        let parts = storage::split(&declarations);
        let split = started.elapsed();
        let root = root(&parts);
        let texts: BTreeMap<&str, Arc<str>> = parts
            .iter()
            .map(|part| (&*part.hash, Arc::from(part.text.as_str())))
            .collect();
        let started = Instant::now();
        let joined =
            storage::join(&root, |hash| texts.get(hash).cloned()).expect("parts are whole");
        resolve::resolve(&joined, 1).expect("declarations are valid");
        let resolved = started.elapsed();
        let root_bytes = serde_json::to_string(&root).expect("a root is JSON").len();
        let total_bytes: usize = parts.iter().map(|part| part.text.len()).sum();
        println!(
            "{workspaces:>10} {:>5} {:>6} {total_bytes:>12} {root_bytes:>11} {:>15} {split:>6.1?} {resolved:>13.1?}",
            declarations.keys.len(),
            parts.len(),
            root_bytes + change_bytes(declarations, &texts),
        );
    }
}

// Returns the bytes of the parts that a change of one key renews.
fn change_bytes(mut declarations: Declarations, known: &BTreeMap<&str, Arc<str>>) -> usize {
    declarations.keys.pop_first();
    storage::split(&declarations)
        .iter()
        .filter(|part| !known.contains_key(&*part.hash))
        .map(|part| part.text.len())
        .sum()
}

fn declarations(workspaces: usize) -> Declarations {
    let mut declarations = parse::parse("example", EXAMPLE).expect("the example is valid");
    for index in 0..workspaces {
        let workspace: Arc<str> = format!("workspace-{index}").into();
        declarations
            .workspaces
            .insert(workspace.clone(), WorkspaceEntry::default());
        for key in 0..KEYS_EACH {
            let name = format!("key-{index}-{key}");
            let entry = KeyEntry {
                workspace: workspace.clone(),
                sha256: keys::hash_key(&name),
            };
            declarations.keys.insert(name.into(), entry);
        }
        if index % EXCEPTION_EVERY == 0 {
            declarations.exceptions.push(Exception {
                change: format!("workspaces.{workspace}.rate_tokens_per_s").into(),
                value: 50_000,
                reason: "A large customer by contract.".into(),
            });
        }
    }
    declarations
}

fn root(parts: &[Part]) -> Root {
    Root {
        generation: 1,
        parts: parts.iter().map(|part| part.hash.clone()).collect(),
        message: "sizes".into(),
        author: "example".into(),
        applied_unix_s: 0,
        write_id: "".into(),
    }
}
