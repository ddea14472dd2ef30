//! Child processes.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

const START_TIMEOUT: Duration = Duration::from_secs(30);
const LOG_TAIL_BYTES: usize = 4_000;

/// A child process. It is killed when dropped.
pub struct Process {
    child: Child,
    log_file: PathBuf,
}

impl Process {
    /// Starts a program with standard output and standard error appended to a log file.
    pub fn start(program: &Path, arguments: &[String], log_file: PathBuf) -> anyhow::Result<Self> {
        let output = open_log_file(&log_file)?;
        Self::spawn(program, arguments, Stdio::from(output), log_file)
    }

    /// Starts a program with standard output connected to a pipe that is never read, so that writes
    /// block once the pipe is full.
    pub fn start_blocked(
        program: &Path,
        arguments: &[String],
        log_file: PathBuf,
    ) -> anyhow::Result<Self> {
        Self::spawn(program, arguments, Stdio::piped(), log_file)
    }

    /// Starts a stand-in, waits until it prints the address that it listens on, and returns the
    /// address.
    pub async fn start_stand_in(
        program: &Path,
        arguments: &[String],
        log_file: PathBuf,
    ) -> anyhow::Result<(Self, SocketAddr)> {
        let mut process = Self::spawn(program, arguments, Stdio::piped(), log_file)?;
        let output = process
            .child
            .stdout
            .take()
            .context("standard output is not piped")?;
        let mut lines = BufReader::new(output).lines();
        let line = tokio::time::timeout(START_TIMEOUT, lines.next_line())
            .await
            .context("stand-in did not print its address in time")??
            .with_context(|| {
                format!(
                    "{} exited; end of its log: {}",
                    program.display(),
                    process.log_tail()
                )
            })?;
        let address = line
            .strip_prefix("listening ")
            .with_context(|| {
                format!("expected `listening ADDRESS` on standard output, got {line:?}")
            })?
            .parse()?;
        Ok((process, address))
    }

    fn spawn(
        program: &Path,
        arguments: &[String],
        output: Stdio,
        log_file: PathBuf,
    ) -> anyhow::Result<Self> {
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::from(open_log_file(&log_file)?))
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("failed to start {}", program.display()))?;
        Ok(Self { child, log_file })
    }

    /// Returns the process id, or `None` after the process has exited.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal. Does nothing after the process has exited.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let Some(id) = self.child.id() else {
            return Ok(());
        };
        let pid = Pid::from_raw(i32::try_from(id)?).context("process id is zero")?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Kills the process and waits for its exit.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill().await?;
        Ok(())
    }

    /// Waits for the process to exit.
    pub async fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        Ok(self.child.wait().await?)
    }

    /// Returns the state of the process as the system names it, such as `S (sleeping)` or
    /// `Z (zombie)` for one that has exited.
    pub fn system_state(&self) -> String {
        let Some(id) = self.id() else {
            return "exited".to_owned();
        };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let state = status.lines().find_map(|line| line.strip_prefix("State:"));
        state.map_or("gone", str::trim).to_owned()
    }

    /// Returns the last `LOG_TAIL_BYTES` of the process's log.
    pub fn log_tail(&self) -> String {
        let bytes = std::fs::read(&self.log_file).unwrap_or_default();
        let start = bytes.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&bytes[start..]).into_owned()
    }
}

fn open_log_file(path: &Path) -> anyhow::Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("failed to open log file {}", path.display()))
}
