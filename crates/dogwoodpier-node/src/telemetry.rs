//! Set-up of the node's logs.

use std::str::FromStr;
use std::time::SystemTime;

use anyhow::Context;
use log::LevelFilter;

use crate::settings::LogSettings;

/// Name of the format of log lines that programs read.
pub const FORMAT_JSON: &str = "json";

/// Sends log lines to standard error, in the format of the settings.
pub fn start_logs(settings: &LogSettings, instance: &str) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level)
        .with_context(|| format!("unknown log level {:?}", settings.level))?;
    let json = &*settings.format == FORMAT_JSON;
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .level(level)
        // Below this level the server logs a line for each request, which metrics count already.
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
        .context("a logger is already set")
}
