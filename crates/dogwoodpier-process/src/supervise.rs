//! Supervised tasks, which run as long as the process.

use std::future::Future;
use std::time::Duration;

use crate::events::EventLog;

// Pause before a task is restarted, so that one that fails at once doesn't use a whole processor.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs a task in the background. If it panics, the panic is logged and the task restarted, so that an
/// unexpected error doesn't silently end a task that the process depends on. A task that returns is not
/// restarted.
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
