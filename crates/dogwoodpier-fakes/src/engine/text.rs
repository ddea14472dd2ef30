//! Deterministic output text. Each token is a function of the text before it, so that a resumed
//! decode continues with exactly the same tokens.

use dogwoodpier_derive::wire;

/// A prompt that contains this text crashes the engine that prefills it.
pub const CRASH_MARKER: &str = "#crash#";
/// A prompt that contains this text crashes the engine that decodes it.
pub const CRASH_DECODE_MARKER: &str = "#crash-decode#";
/// A prompt that contains `#stop=N#` gets an answer of `N` tokens, or fewer if the request allows
/// fewer.
const STOP_MARKER: &str = "#stop=";

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const LETTERS: u64 = 26;
const LETTERS_PER_TOKEN: u32 = 3;

/// State from which a decode continues a text. It is transferred together with the KV cache.
#[wire]
#[derive(Copy, Eq)]
pub struct TextState {
    /// Hash of the text so far.
    hash: u64,
    /// Length of the answer in tokens, if the prompt contains the marker for it.
    pub stop_after: Option<u64>,
    /// True if the decode crashes the engine that runs it.
    pub crashes_decode: bool,
}

impl TextState {
    /// Returns the state after a text.
    pub fn after(text: &str) -> Self {
        Self {
            hash: extend(FNV_OFFSET, text),
            stop_after: stop_after(text),
            crashes_decode: text.contains(CRASH_DECODE_MARKER),
        }
    }

    /// Returns the next token, which is four bytes of text, and advances the state by it.
    pub fn next_token(&mut self) -> String {
        // The low bits of an FNV hash are poorly mixed, so the high bits are folded in.
        let mut mixed = self.hash ^ (self.hash >> 32);
        let mut token = String::new();
        for _ in 0..LETTERS_PER_TOKEN {
            let letter = u8::try_from(mixed % LETTERS).unwrap_or_default();
            token.push(char::from(b'a' + letter));
            mixed /= LETTERS;
        }
        token.push(' ');
        self.hash = extend(self.hash, &token);
        token
    }
}

/// Returns the whole answer to a prompt.
pub fn expected_answer(prompt: &str, max_tokens: u64) -> String {
    let mut state = TextState::after(prompt);
    let tokens = state.stop_after.unwrap_or(max_tokens).min(max_tokens);
    (0..tokens).map(|_| state.next_token()).collect()
}

fn extend(hash: u64, text: &str) -> u64 {
    text.bytes().fold(hash, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

fn stop_after(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once(STOP_MARKER)?;
    let (number, _) = rest.split_once('#')?;
    number.parse().ok()
}
