//! How a stand-in dies.

use std::future;

use tokio::sync::watch;

/// Ends a stand-in as a crash would: its connections are cut without an answer.
#[derive(Clone, Debug)]
pub enum Crash {
    /// The process ends.
    ExitProcess,
    /// The server inside this process stops listening and drops its connections.
    StopServer(watch::Sender<bool>),
}

impl Crash {
    /// Returns a crash that stops only a server.
    pub fn stop_server() -> Self {
        Self::StopServer(watch::Sender::new(false))
    }

    /// Crashes.
    pub fn now(&self) {
        match self {
            Self::ExitProcess => std::process::exit(101),
            Self::StopServer(stop) => {
                stop.send_replace(true);
            }
        }
    }

    /// Waits for the crash.
    pub async fn wait(&self) {
        match self {
            Self::ExitProcess => future::pending().await,
            Self::StopServer(stop) => {
                // The sender lives as long as `self`, so the wait can't fail.
                let _ = stop.subscribe().wait_for(|stopped| *stopped).await;
            }
        }
    }
}
