//! Metrics recorder, one per process.

use std::sync::OnceLock;

use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder. Fails if one is installed already.
pub fn start() -> anyhow::Result<()> {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .context("a metrics recorder is installed already")?;
    // Can't fail: only this function sets the handle, and installing a second recorder fails above.
    let _ = METRICS.set(handle);
    Ok(())
}

/// Returns all metrics in the Prometheus text format, empty if no recorder is installed.
pub fn render() -> String {
    let Some(handle) = METRICS.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
