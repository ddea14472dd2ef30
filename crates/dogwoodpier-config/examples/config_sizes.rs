//! Prints what configurations of several sizes cost: the bytes stored, the bytes written for a change
//! of one key, and the time to split, join and resolve the declarations.

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
const WORKSPACE_COUNTS: [usize; 4] = [100, 500, 1_900, 5_000];
const KEYS_PER_WORKSPACE: usize = 5;
// One workspace in this many has an exception from the defaults.
const WORKSPACES_PER_EXCEPTION: usize = 20;

fn main() {
    println!(
        "workspaces  keys  parts  total bytes  root bytes  one-key change  split  join+resolve"
    );
    for workspaces in WORKSPACE_COUNTS {
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
        let joined = storage::join(&root, |hash| texts.get(hash).cloned())
            .expect("all parts are present and valid");
        resolve::resolve(&joined, 1).expect("declarations are valid");
        let join_and_resolve = started.elapsed();
        let root_bytes = serde_json::to_string(&root).expect("a root is JSON").len();
        let total_bytes: usize = parts.iter().map(|part| part.text.len()).sum();
        println!(
            "{workspaces:>10} {:>5} {:>6} {total_bytes:>12} {root_bytes:>11} {:>15} {split:>6.1?} {join_and_resolve:>13.1?}",
            declarations.keys.len(),
            parts.len(),
            root_bytes + change_bytes(declarations, &texts),
        );
    }
}

// Returns the size of the parts that a change of one key replaces.
fn change_bytes(mut declarations: Declarations, stored: &BTreeMap<&str, Arc<str>>) -> usize {
    declarations.keys.pop_first();
    storage::split(&declarations)
        .iter()
        .filter(|part| !stored.contains_key(&*part.hash))
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
        for key in 0..KEYS_PER_WORKSPACE {
            let name = format!("key-{index}-{key}");
            let entry = KeyEntry {
                workspace: workspace.clone(),
                sha256: keys::hash_key(&name),
            };
            declarations.keys.insert(name.into(), entry);
        }
        if index % WORKSPACES_PER_EXCEPTION == 0 {
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
