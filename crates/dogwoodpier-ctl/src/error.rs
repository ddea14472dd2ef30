//! Errors of the operators' tool. Each message tells the operator what to do.

use std::fmt;

use thiserror::Error;

use dogwoodpier_config::Problems;
use dogwoodpier_config::diff::Change;
use dogwoodpier_config::storage::Root;
use dogwoodpier_config::storage::StorageError;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The declarations are not valid.
    #[error("{0}\nNothing was applied.")]
    Declarations(#[from] Problems),
    /// A file or the standard input can't be read.
    #[error("{what}: {source}")]
    Input {
        /// What was read.
        what: String,
        /// The cause.
        source: std::io::Error,
    },
    /// An argument is missing or not valid.
    #[error("{0}")]
    Argument(String),
    /// Another version is in force than the one that the operator read.
    #[error("{0}")]
    Conflict(Box<Conflict>),
    /// The change is not allowed.
    #[error("{0}\nNothing was applied.")]
    Refused(String),
    /// The platform failed before anything took effect.
    #[error("{0}\nNo new version was written. Try again when the platform answers.")]
    Platform(dogwoodpier_platform::Error),
    /// The write of a new version may or may not have taken effect.
    #[error(
        "the platform's answer was lost, and version {generation} may or may not be in force: \
         {source}\nRun `dogwoodpierctl history`: if it shows write {write_id}, the change was \
         applied; if not, plan and apply it again."
    )]
    Unknown {
        /// Version that was to be written.
        generation: u64,
        /// Id of the write.
        write_id: String,
        /// The cause.
        source: dogwoodpier_platform::Error,
    },
    /// The stored declarations can't be read.
    #[error(
        "{0}\nNothing was applied. If the part is of a newer program, use that one's dogwoodpierctl; \
         if it is lost, apply your file or a former version (`dogwoodpierctl get --version N`)."
    )]
    Stored(#[from] StorageError),
    /// A root on the platform can't be read.
    #[error("the root on the platform can't be read by this program, use a newer one: {0}")]
    Root(serde_json::Error),
    /// A version is no longer on the platform, or never was.
    #[error("version {0} is not on the platform; `dogwoodpierctl history` lists those that are")]
    NoVersion(u64),
    /// A node didn't answer with a valid dump.
    #[error("node at {address}: {cause}; is it running, and is this its address for operators?")]
    Node {
        /// Address for operators.
        address: String,
        /// The cause.
        cause: String,
    },
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Details of a conflict: the root that is in force, and what changed since the version that the
/// operator read.
#[derive(Debug)]
pub struct Conflict {
    /// Version that the operator read.
    pub expected: u64,
    /// Root in force, absent if there is none.
    pub current: Option<Root>,
    /// Changes from the version read to the one in force, or why they can't be told.
    pub changes: Result<Vec<Change>>,
    /// Whether this write was in force before another one replaced it.
    pub was_in_force: bool,
}

impl fmt::Display for Conflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(current) = &self.current else {
            return write!(
                formatter,
                "conflict: you read version {}, but there is no configuration\n\
                 Nothing was applied. For the first version use --expect-version 0.",
                self.expected
            );
        };
        writeln!(
            formatter,
            "conflict: you read version {}, but version {} is in force, by {}: {}",
            self.expected, current.generation, current.author, current.message
        )?;
        match &self.changes {
            Ok(changes) if changes.is_empty() => writeln!(formatter, "No field differs.")?,
            Ok(changes) => {
                writeln!(formatter, "What changed meanwhile:")?;
                for change in changes {
                    writeln!(formatter, "  {change}")?;
                }
            }
            Err(Error::NoVersion(version)) => {
                writeln!(formatter, "Version {version} is not kept any more.")?;
            }
            Err(Error::Stored(cause @ StorageError::Missing(_))) => {
                writeln!(
                    formatter,
                    "What changed meanwhile is not kept any more: {cause}"
                )?;
            }
            Err(Error::Platform(cause)) => {
                writeln!(
                    formatter,
                    "What changed meanwhile can't be read now: {cause}"
                )?;
            }
            Err(Error::Stored(cause)) => write_unreadable(formatter, cause)?,
            Err(cause) => write_unreadable(formatter, cause)?,
        }
        if self.was_in_force {
            return write!(
                formatter,
                "Your change was in force as version {} before it was replaced.",
                self.expected + 1
            );
        }
        write!(
            formatter,
            "Nothing was applied. Take the changes into your file (`dogwoodpierctl get` prints what \
             is in force), run `dogwoodpierctl plan`, and apply with --expect-version {}.",
            current.generation
        )
    }
}

fn write_unreadable(formatter: &mut fmt::Formatter<'_>, cause: &dyn fmt::Display) -> fmt::Result {
    writeln!(
        formatter,
        "What changed meanwhile is stored, but unreadable: {cause}"
    )
}
