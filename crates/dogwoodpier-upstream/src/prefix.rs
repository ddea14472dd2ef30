//! Sizes and prefix hashes of prompts, computed in the same way as by the engines.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens of a text.
pub fn count_tokens(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the number of KV pieces that hold a number of tokens.
pub fn count_pieces(tokens: u64, tokens_per_piece: u32) -> u32 {
    let pieces = tokens.div_ceil(u64::from(tokens_per_piece.max(1)));
    u32::try_from(pieces).unwrap_or(u32::MAX)
}

/// Returns one hash for each complete piece of a prompt. Each hash covers the model and the text
/// from the start of the prompt to the end of its piece, so two prompts share as many leading
/// pieces as hashes.
pub fn prefix_hashes(model: &str, prompt: &str, tokens_per_piece: u32) -> Vec<u64> {
    let piece_bytes = (tokens_per_piece.max(1) as usize) * BYTES_PER_TOKEN;
    let mut hash = xxh3_64(model.as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(piece_bytes)
        .map(|piece| {
            hash = xxh3_64_with_seed(piece, hash);
            hash
        })
        .collect()
}
