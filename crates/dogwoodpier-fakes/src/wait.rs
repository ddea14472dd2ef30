//! Waiting for states in tests.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

/// Waits until `holds` returns true, at most a minute. The error names what was awaited.
pub async fn until<H, F>(awaited: &str, holds: H) -> anyhow::Result<()>
where
    H: Fn() -> F,
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + LIMIT;
    while !holds().await {
        anyhow::ensure!(
            Instant::now() < deadline,
            "not within {} s: {awaited}",
            LIMIT.as_secs()
        );
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}
