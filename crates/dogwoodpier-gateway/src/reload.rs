//! Reload of the settings file, on SIGHUP or when the file has changed.

use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use dogwoodpier_derive::plain;

use crate::settings;
use crate::state::SharedGateway;

// Time between two checks of the file: half of the shortest time within which operators expect a
// change to be in force. The cost in system calls is negligible.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Metadata by which a changed file is recognized.
#[plain]
#[derive(Copy, Default, Eq)]
struct FileState {
    inode: u64,
    length_bytes: u64,
    modified: Option<SystemTime>,
}

impl FileState {
    // Returns the state of the file. It is empty if the metadata can't be read; loading the file
    // then reports the error.
    fn of(file: &Path) -> Self {
        let state = |metadata: Metadata| Self {
            inode: metadata.ino(),
            length_bytes: metadata.len(),
            modified: metadata.modified().ok(),
        };
        std::fs::metadata(file).map(state).unwrap_or_default()
    }
}

/// Applies changed settings that need no restart, such as limits and timeouts, for as long as the
/// process lives. A file that is unreadable or invalid changes nothing.
pub async fn run(gateway: SharedGateway, file: PathBuf) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!("can't listen for SIGHUP: {error}");
            return;
        }
    };
    let mut loaded = FileState::of(&file);
    loop {
        let is_signalled = tokio::select! {
            hangup = hangups.recv() => match hangup {
                Some(()) => true,
                None => return,
            },
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let found = FileState::of(&file);
        if is_signalled || found != loaded {
            loaded = found;
            load(
                &gateway,
                &file,
                if is_signalled {
                    "signal"
                } else {
                    "file changed"
                },
            );
        }
    }
}

fn load(gateway: &SharedGateway, file: &Path, cause: &str) {
    let outcome = match settings::load(file) {
        Ok(settings) => {
            let budget = &gateway.client_budget;
            budget.limit_idle_upstreams(&settings, &gateway.connections);
            gateway.settings.store(Arc::new(settings));
            "reloaded".to_owned()
        }
        Err(problems) => format!("kept the settings in force: {problems}"),
    };
    gateway.events.write(
        "settings",
        serde_json::json!({ "cause": cause, "outcome": outcome }),
    );
}
