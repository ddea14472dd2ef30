//! A node that runs as a child process.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;

use anyhow::Context;
use bytes::Bytes;
use http::Request;
use http::StatusCode;
use rustix::process::Signal;
use serde_json::Value;

use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;

use crate::control;
use crate::fleet::plan::NodePlan;
use crate::fleet::ports;
use crate::fleet::ports::ReservedAddress;
use crate::fleet::process::Process;
use crate::relay::Relay;
use crate::wait;

const CALL_TIMEOUT_MS: u64 = 2_000;

/// A node that runs as a child process. It is killed when dropped.
pub struct NodeProcess {
    /// Name of the instance.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address that the node advertises to its peers.
    pub peer_address: SocketAddr,
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    process: Process,
    _reserved: [ReservedAddress; 3],
    _peer_relay: Option<Relay>,
}

impl NodeProcess {
    /// Writes a node's settings file and starts the node.
    ///
    /// Unless `peer_delay_ms` is zero, peers connect over a relay that delays bytes in both
    /// directions by that time.
    pub async fn start(
        plan: &NodePlan,
        program: &Path,
        directory: &Path,
        platform_address: SocketAddr,
        peer_delay_ms: u64,
        extra_settings: &str,
    ) -> anyhow::Result<Self> {
        let reserved = [
            ports::reserve_address()?,
            ports::reserve_address()?,
            ports::reserve_address()?,
        ];
        let [caller_address, operator_address, peer_address] =
            reserved.each_ref().map(|reserved| reserved.address);
        let peer_relay = match peer_delay_ms {
            0 => None,
            _ => Some(Relay::start(peer_address).await?),
        };
        if let Some(relay) = &peer_relay {
            relay.set_delay_ms(peer_delay_ms);
        }
        let advertised_address = peer_relay.as_ref().map_or(peer_address, Relay::address);
        let settings = format!(
            "instance = \"{}\"\n\
             data_centre = \"{}\"\n\
             caller_address = \"{caller_address}\"\n\
             operator_address = \"{operator_address}\"\n\
             peer_address = \"{peer_address}\"\n\
             advertised_peer_address = \"{advertised_address}\"\n\
             platform_address = \"{platform_address}\"\n\
             {extra_settings}\n{}\n",
            plan.name, plan.data_centre, plan.settings,
        );
        let settings_file = directory.join(format!("{}.toml", plan.name));
        std::fs::write(&settings_file, settings)?;
        let log_file = directory.join(format!("{}.log", plan.name));
        let process = spawn(program, &settings_file, &log_file)?;
        Ok(Self {
            name: plan.name.clone(),
            data_centre: plan.data_centre.clone(),
            caller_address,
            operator_address,
            peer_address: advertised_address,
            program: program.to_owned(),
            settings_file,
            log_file,
            process,
            _reserved: reserved,
            _peer_relay: peer_relay,
        })
    }

    /// Waits until the node's `/ready` answers 200.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        wait::until("the node is ready", || async {
            self.operator_status("/ready").await == Some(StatusCode::OK)
        })
        .await
        .with_context(|| self.describe())
    }

    // Describes the process for the message of a failed wait.
    fn describe(&self) -> String {
        let state = self.process.system_state();
        format!(
            "{}, {state}; end of its log: {}",
            self.name,
            self.log_tail()
        )
    }

    /// Waits until `condition` returns true for the node's state dump.
    pub async fn wait_for<C>(&self, description: &str, condition: C) -> anyhow::Result<()>
    where
        C: Fn(&Value) -> bool,
    {
        wait::until(description, || async {
            self.dump().await.is_ok_and(|dump| condition(&dump))
        })
        .await
        .with_context(|| self.describe())
    }

    /// Sends a GET request to the operators' address and returns the status, or `None` if there is
    /// no answer.
    pub async fn operator_status(&self, path: &str) -> Option<StatusCode> {
        let pool = Pool::new(PoolOptions {
            address: self.operator_address,
            connect_timeout_ms: CALL_TIMEOUT_MS,
        });
        let request = Request::get(path).body(Bytes::new()).ok()?;
        let answer = pool
            .send_on_new_connection(request, CALL_TIMEOUT_MS)
            .await
            .ok()?;
        Some(answer.status)
    }

    /// Returns the node's state dump.
    pub async fn dump(&self) -> anyhow::Result<Value> {
        Ok(control::get(self.operator_address, "/dump").await?)
    }

    /// Returns the node's metrics as pairs of name and value. The name contains the labels, as in
    /// the text format.
    pub async fn metrics(&self) -> anyhow::Result<Vec<(String, f64)>> {
        let text = control::get_text(self.operator_address, "/metrics").await?;
        Ok(text
            .lines()
            .filter(|line| !line.starts_with('#'))
            .filter_map(|line| {
                let (name, value) = line.rsplit_once(' ')?;
                Some((name.to_owned(), value.parse().ok()?))
            })
            .collect())
    }

    /// Returns the process id, or `None` after the process has exited.
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        self.process.kill().await
    }

    /// Suspends the process with SIGSTOP, to simulate a paused host.
    pub fn pause(&self) -> anyhow::Result<()> {
        self.process.signal(Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.process.signal(Signal::CONT)
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.process.signal(Signal::TERM)
    }

    /// Waits for the process to exit.
    pub async fn wait_exit(&mut self) -> anyhow::Result<ExitStatus> {
        self.process.wait().await
    }

    /// Starts the process again with the same settings. The old process must have exited.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.process = spawn(&self.program, &self.settings_file, &self.log_file)?;
        Ok(())
    }

    /// Returns the end of the node's log.
    pub fn log_tail(&self) -> String {
        self.process.log_tail()
    }
}

fn spawn(program: &Path, settings_file: &Path, log_file: &Path) -> anyhow::Result<Process> {
    let settings_file = settings_file.to_str().context("path is not UTF-8")?;
    let arguments = ["run", "--settings", settings_file].map(str::to_owned);
    Process::start(program, &arguments, log_file.to_owned())
}
