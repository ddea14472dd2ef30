//! Problems of a file: their line and field, and what is expected instead.

use std::error::Error;
use std::fmt;

use dogwoodpier_derive::plain;

/// A problem of declarations or settings, located by the path of its field.
#[plain]
pub struct Finding {
    /// Path of the field, for example `workspaces.order-desk.allowed`.
    pub path: String,
    /// What is wrong and what is expected instead.
    pub message: String,
}

impl Finding {
    /// Returns a finding about the field at `path`.
    pub fn new<P, M>(path: P, message: M) -> Self
    where
        P: Into<String>,
        M: Into<String>,
    {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)
    }
}

/// A problem of a file, located by line and field.
#[plain]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line, counted from one.
    pub line: usize,
    /// Path of the field, empty if the file can't be read or isn't valid TOML.
    pub path: String,
    /// What is wrong and what is expected instead.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.file, self.line)?;
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        formatter.write_str(&self.message)
    }
}

/// All problems of a file, in order of lines.
#[plain]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{problem}")?;
        }
        Ok(())
    }
}

impl Error for Problems {}
