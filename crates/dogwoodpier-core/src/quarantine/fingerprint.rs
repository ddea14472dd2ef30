//! Fingerprints by which repeats of a request are recognized.

use xxhash_rust::xxh3::Xxh3;

/// Returns a hash of the content of a request. A repeat has the same hash, even if its caller sends
/// it with a new identity.
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
        // Hashing the length of each part makes different splits of the same bytes hash
        // differently.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
