//! Checks that split declarations join to the same declarations, that a small change replaces few
//! parts, and that missing or altered parts are detected.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodpier_config::Declarations;
use dogwoodpier_config::declarations::KeyEntry;
use dogwoodpier_config::declarations::WorkspaceEntry;
use dogwoodpier_config::keys;
use dogwoodpier_config::storage;
use dogwoodpier_config::storage::Part;
use dogwoodpier_config::storage::Root;
use dogwoodpier_config::storage::StorageError;

fn declarations(workspaces: usize, keys_per_workspace: usize) -> Declarations {
    let mut declarations = Declarations::default();
    for index in 0..workspaces {
        let workspace: Arc<str> = format!("workspace-{index}").into();
        declarations
            .workspaces
            .insert(workspace.clone(), WorkspaceEntry::default());
        for key in 0..keys_per_workspace {
            let name = format!("key-{index}-{key}");
            let entry = KeyEntry {
                workspace: workspace.clone(),
                sha256: keys::hash_key(&name),
            };
            declarations.keys.insert(name.into(), entry);
        }
    }
    declarations
}

fn root(parts: &[Part]) -> Root {
    Root {
        generation: 1,
        parts: parts.iter().map(|part| part.hash.clone()).collect(),
        message: "".into(),
        author: "".into(),
        applied_unix_s: 0,
        write_id: "".into(),
    }
}

#[test]
fn split_declarations_join_to_the_same_declarations() {
    for (workspaces, keys_per_workspace) in [(0, 0), (5, 2), (300, 10)] {
        let original = declarations(workspaces, keys_per_workspace);
        let parts = storage::split(&original);
        let texts: BTreeMap<&str, &str> = parts
            .iter()
            .map(|part| (&*part.hash, &*part.text))
            .collect();
        let joined = storage::join(&root(&parts), |hash| {
            texts.get(hash).map(|text| Arc::from(*text))
        });
        assert_eq!(joined.unwrap(), original);
    }
}

#[test]
fn removed_key_changes_one_part() {
    let before = declarations(1_900, 10);
    let mut after = before.clone();
    after.keys.remove("key-700-3");
    let hashes = |parts: &[Part]| -> BTreeSet<Arc<str>> {
        parts.iter().map(|part| part.hash.clone()).collect()
    };
    let parts = storage::split(&after);
    let new: Vec<Arc<str>> = hashes(&parts)
        .difference(&hashes(&storage::split(&before)))
        .cloned()
        .collect();
    assert_eq!(new.len(), 1);
    assert!(parts.iter().all(|part| part.text.len() < 64 * 1024));
}

#[test]
fn altered_and_missing_parts_are_rejected() {
    let parts = storage::split(&declarations(3, 1));
    let joined = storage::join(&root(&parts), |_| Some("{}".into()));
    assert!(matches!(joined, Err(StorageError::Corrupt(_))));
    let joined = storage::join(&root(&parts), |_| None);
    assert!(matches!(joined, Err(StorageError::Missing(_))));
}
