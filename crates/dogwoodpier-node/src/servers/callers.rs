//! The server for callers.
