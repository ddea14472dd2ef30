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

const START_LIMIT: Duration = Duration::from_secs(30);
const LOG_TAIL_BYTES: usize = 4_000;

/// A child process. It is killed when dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program whose output goes to a log file.
    pub fn start(program: &Path, arguments: &[String], log: PathBuf) -> anyhow::Result<Self> {
        let output = log_file(&log)?;
        Self::spawn(program, arguments, Stdio::from(output), log)
    }

    /// Starts a program whose output goes to a pipe that nobody reads.
    pub fn start_blocked(
        program: &Path,
        arguments: &[String],
        log: PathBuf,
    ) -> anyhow::Result<Self> {
        Self::spawn(program, arguments, Stdio::piped(), log)
    }

    /// Starts a stand-in and waits until it says where it listens.
    pub async fn start_stand_in(
        program: &Path,
        arguments: &[String],
        log: PathBuf,
    ) -> anyhow::Result<(Self, SocketAddr)> {
        let mut process = Self::spawn(program, arguments, Stdio::piped(), log)?;
        let output = process.child.stdout.take().context("output is piped")?;
        let mut lines = BufReader::new(output).lines();
        let line = tokio::time::timeout(START_LIMIT, lines.next_line())
            .await
            .context("stand-in doesn't start")??
            .with_context(|| format!("{} ended: {}", program.display(), process.log_tail()))?;
        let address = line
            .strip_prefix("listening ")
            .with_context(|| format!("unexpected output {line:?}"))?
            .parse()?;
        Ok((process, address))
    }

    fn spawn(
        program: &Path,
        arguments: &[String],
        output: Stdio,
        log: PathBuf,
    ) -> anyhow::Result<Self> {
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::from(log_file(&log)?))
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("can't start {}", program.display()))?;
        Ok(Self { child, log })
    }

    /// Returns the process id, `None` once the process has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal, if the process hasn't ended.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let Some(id) = self.child.id() else {
            return Ok(());
        };
        let pid = Pid::from_raw(i32::try_from(id)?).context("process id is zero")?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill().await?;
        Ok(())
    }

    /// Waits for the process to end by itself.
    pub async fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        Ok(self.child.wait().await?)
    }

    /// Returns the end of what the process logged.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read(&self.log).unwrap_or_default();
        let start = text.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&text[start..]).into_owned()
    }
}

fn log_file(path: &Path) -> anyhow::Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("can't write {}", path.display()))
}
