//! Errors of the object API.

use thiserror::Error;

use dogwoodpier_http::BodyError;
use dogwoodpier_http::SendError;

/// Error of a call that has no result.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// The call had no effect: the platform wasn't reached or reported so.
    #[error("the platform did nothing: {0}")]
    NotDone(String),
    /// The call may have taken effect: its response was lost or late.
    #[error("the platform's answer is lost, the call may have taken effect: {0}")]
    Unknown(String),
    /// The response isn't one that the API allows, for example that to a value that is too large.
    #[error("unexpected answer of the platform: {0}")]
    Protocol(String),
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

impl From<SendError> for Error {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(_) | SendError::NotConnected(_) => Self::NotDone(error.to_string()),
            SendError::Timeout { .. } | SendError::Cut(_) | SendError::Unreadable(_) => {
                Self::Unknown(error.to_string())
            }
        }
    }
}

impl From<BodyError> for Error {
    fn from(error: BodyError) -> Self {
        Self::Unknown(error.to_string())
    }
}
