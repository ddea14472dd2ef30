//! Tasks that last as long as the process.

use std::future::Future;
use std::time::Duration;

use crate::events::EventLog;

// Pause before a task is started again: one that fails at once must not take the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs a task for as long as the process lives. One that panics is logged and started again, so that
/// a single unexpected error doesn't silently end what the process lives by.
pub fn supervise<S, F>(events: EventLog, name: &'static str, start: S)
where
    S: Fn() -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            let Err(error) = tokio::spawn(start()).await else {
                return;
            };
            events.write(
                "task_failed",
                serde_json::json!({ "task": name, "problem": error.to_string() }),
            );
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    });
}
