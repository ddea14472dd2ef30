//! Polling for a condition in tests.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns true, for at most a minute. The error contains
/// `description`, which names the awaited state.
pub async fn until<C, F>(description: &str, condition: C) -> anyhow::Result<()>
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + TIMEOUT;
    while !condition().await {
        anyhow::ensure!(
            Instant::now() < deadline,
            "timed out after {} s waiting until {description}",
            TIMEOUT.as_secs()
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
