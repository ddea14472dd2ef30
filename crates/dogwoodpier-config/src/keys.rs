//! Hashes of callers' keys. Only hashes are declared, stored and compared.

use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

const HASH_HEX_LENGTH: usize = 64;

/// Advice for a key that was given in plain text.
pub const HASH_KEY_HELP: &str = "give `sha256`, the key's SHA-256 hash in lower-case hex: \
     `dogwoodpierctl hash-key` reads a key from standard input and prints it";

/// Returns the lower-case hex of a key's SHA-256 hash.
pub fn hash_key(key: &str) -> Arc<str> {
    hex::encode(Sha256::digest(key.as_bytes())).into()
}

/// Returns whether a text is formatted like the hash of a key.
pub fn is_key_hash(text: &str) -> bool {
    text.len() == HASH_HEX_LENGTH
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
