//! The server for operators: metrics, health, readiness and dump.
