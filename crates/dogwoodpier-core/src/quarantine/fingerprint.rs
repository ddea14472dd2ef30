//! What tells a repeated request from another one.

use xxhash_rust::xxh3::Xxh3;

/// Returns the hash of a request by which a repeat of it is recognized, whatever identity it comes with.
pub fn fingerprint(
    workspace: Option<&str>,
    method: &str,
    path_and_query: &str,
    body: &[u8],
) -> u64 {
    let mut hasher = Xxh3::new();
    let parts = [
        workspace.unwrap_or_default().as_bytes(),
        method.as_bytes(),
        path_and_query.as_bytes(),
        body,
    ];
    for part in parts {
        // The length keeps two different splits of the same bytes apart.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
