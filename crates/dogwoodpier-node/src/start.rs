//! Starting and stopping a node.

use crate::settings::Settings;

/// Runs a node until it is told to stop.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    anyhow::bail!("{} can't start yet", settings.instance)
}
