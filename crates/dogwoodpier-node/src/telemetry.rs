//! Set-up of logs and metrics of the process.

use std::str::FromStr;
use std::sync::OnceLock;
use std::time::SystemTime;

use anyhow::Context;
use log::LevelFilter;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::settings::LogSettings;

/// Format of log lines for programs.
pub const FORMAT_JSON: &str = "json";

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Sends log lines to standard error, in the format of the settings.
pub fn start_logs(settings: &LogSettings, instance: &str) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level)
        .with_context(|| format!("log level {:?}", settings.level))?;
    let json = &*settings.format == FORMAT_JSON;
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .level(level)
        // Requests are counted by metrics; a line each would be noise.
        .level_for("dropshot::server", level.min(LevelFilter::Warn))
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let target = record.target();
            let level = record.level();
            if json {
                let line = serde_json::json!({
                    "time": time.to_string(),
                    "level": level.as_str(),
                    "instance": instance,
                    "target": target,
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                out.finish(format_args!(
                    "{time} {level:5} {instance} {target}: {message}"
                ));
            }
        })
        .chain(std::io::stderr())
        .apply()
        .context("a logger is set already")
}

/// Installs the recorder that keeps the metrics.
pub fn start_metrics() -> anyhow::Result<()> {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .context("a metrics recorder is installed already")?;
    // Only this function sets it, and the recorder can be installed once.
    let _ = METRICS.set(handle);
    Ok(())
}

/// Returns all metrics in the Prometheus text format, empty if no recorder is installed.
pub fn render_metrics() -> String {
    let Some(handle) = METRICS.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
