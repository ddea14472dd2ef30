//! Reload of the settings file, on SIGHUP and when the file has changed without a signal.

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

// Time between two looks at the file: half of the shortest time in which operators expect a change
// to be in force, and next to nothing in system calls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// What tells one state of a file from the next.
#[plain]
#[derive(Copy, Default, Eq)]
struct FileState {
    inode: u64,
    length_bytes: u64,
    modified: Option<SystemTime>,
}

impl FileState {
    // Returns the state, empty if the file can't be looked at: a load then says why.
    fn of(file: &Path) -> Self {
        let state = |metadata: Metadata| Self {
            inode: metadata.ino(),
            length_bytes: metadata.len(),
            modified: metadata.modified().ok(),
        };
        std::fs::metadata(file).map(state).unwrap_or_default()
    }
}

/// Puts changed settings in force that don't need a new process, for as long as the process lives:
/// bounds and time limits. A file that can't be read or is wrong changes nothing.
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
