//! Binary encoding of messages between instances.

use thiserror::Error;

use crate::peer_messages::Message;

// The first byte of a message is the version of the encoding.
const VERSION: u8 = 2;

/// A message that can't be decoded.
#[derive(Debug, Error, PartialEq)]
pub enum CodecError {
    /// The message comes from an instance with another version of the encoding.
    #[error("message has version {found}, expected {VERSION}")]
    Version {
        /// Version of the message.
        found: u8,
    },
    /// Bytes follow the message.
    #[error("{count} extra bytes after the message")]
    Rest {
        /// Number of these bytes.
        count: usize,
    },
    /// The message has no bytes.
    #[error("message is empty")]
    Empty,
    /// The bytes are not a message.
    #[error(transparent)]
    Format(#[from] postcard::Error),
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the message contains a value that has no binary encoding.
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_extend(message, vec![VERSION])?)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the bytes are not exactly one message of this version.
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
