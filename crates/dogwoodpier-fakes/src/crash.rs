//! Simulated crashes of a stand-in.

use std::future;

use tokio::sync::watch;

/// Stops a stand-in as a crash would: its connections close without an answer.
#[derive(Clone, Debug)]
pub enum Crash {
    /// The process exits.
    ExitProcess,
    /// The server inside this process stops listening and drops its connections.
    StopServer(watch::Sender<bool>),
}

impl Crash {
    /// Returns a crash that stops the server and leaves the process running.
    pub fn stop_server() -> Self {
        Self::StopServer(watch::Sender::new(false))
    }

    /// Triggers the crash.
    pub fn now(&self) {
        match self {
            Self::ExitProcess => std::process::exit(101),
            Self::StopServer(stop) => {
                stop.send_replace(true);
            }
        }
    }

    /// Waits until the crash is triggered.
    pub async fn wait(&self) {
        match self {
            Self::ExitProcess => future::pending().await,
            Self::StopServer(stop) => {
                // `self` owns the sender, so the channel can't close during the wait.
                let _ = stop.subscribe().wait_for(|stopped| *stopped).await;
            }
        }
    }
}
