//! The recorder of metrics, one a process.

use std::sync::OnceLock;

use anyhow::Context;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder that keeps the metrics.
pub fn start() -> anyhow::Result<()> {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .context("a metrics recorder is installed already")?;
    // Only this function sets it, and the recorder can be installed once.
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
