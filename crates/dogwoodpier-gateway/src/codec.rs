//! The binary form of messages between instances.

use thiserror::Error;

use crate::exchange::Message;

// Instances of other versions of the messages are told apart by the first byte.
const VERSION: u8 = 2;

/// A message that can't be read.
#[derive(Debug, Error, PartialEq)]
pub enum CodecError {
    /// It comes from an instance that speaks another version.
    #[error("message has version {found}, expected {VERSION}")]
    Version {
        /// Version that was found.
        found: u8,
    },
    /// There are bytes behind the message.
    #[error("{count} extra bytes after the message")]
    Rest {
        /// Number of these bytes.
        count: usize,
    },
    /// The message has no bytes.
    #[error("message is empty")]
    Empty,
    /// The bytes are no message.
    #[error(transparent)]
    Format(#[from] postcard::Error),
}

/// Returns the bytes of a message.
///
/// # Errors
///
/// Fails if the message holds something that has no binary form.
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_extend(message, vec![VERSION])?)
}

/// Reads a message.
///
/// # Errors
///
/// Fails if the bytes aren't exactly one message of this version.
pub fn decode(bytes: &[u8]) -> Result<Message, CodecError> {
    match bytes.split_first() {
        None => Err(CodecError::Empty),
        Some((&VERSION, rest)) => match postcard::take_from_bytes(rest)? {
            (message, []) => Ok(message),
            (_, rest) => Err(CodecError::Rest { count: rest.len() }),
        },
        Some((&found, _)) => Err(CodecError::Version { found }),
    }
}
