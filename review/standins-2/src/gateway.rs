//! Gateways as separate processes, with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;
use crate::store::Store;

// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/dogwoodpier";
const START_TIMEOUT: Duration = Duration::from_secs(15);
// Time after which a process whose addresses are taken has ended.
const START_PAUSE: Duration = Duration::from_millis(200);
const MAX_STARTS: usize = 5;

static STARTS: AtomicUsize = AtomicUsize::new(0);

/// Settings that differ between cases.
#[derive(Clone)]
pub struct Options {
    /// Memory of the machine.
    pub memory_mb: u32,
    /// Further lines before the table of retries.
    pub further: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            memory_mb: 110,
            further: String::new(),
        }
    }
}

/// A gateway process. It is killed when this is dropped.
pub struct Gateway {
    child: Child,
    folder: PathBuf,
    /// Address for clients.
    pub address: SocketAddr,
    /// Address of the readiness page.
    pub readiness: SocketAddr,
    /// Address of the metrics.
    pub operator: SocketAddr,
    /// Name of the instance.
    pub name: String,
}

// Returns addresses that are free now. Another program may take one of them before it is used.
fn free_addresses() -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

fn spawn(folder: &Path) -> Child {
    let mut options = File::options();
    let log = options.create(true).append(true).open(folder.join("log"));
    let log = log.expect("a log");
    let errors = log.try_clone().expect("a log");
    let child = Command::new(PROGRAM)
        .args(["gateway", "--settings"])
        .arg(folder.join("settings.toml"))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn();
    child.expect("the program of the deploy file starts")
}

impl Gateway {
    /// Starts a gateway.
    pub fn start(name: &str, store: &Store, options: &Options) -> Self {
        let mut gateway = Self::try_start(name, store, options);
        for _ in 1..MAX_STARTS {
            thread::sleep(START_PAUSE);
            if !gateway.has_ended() {
                break;
            }
            // One of its addresses was taken.
            gateway = Self::try_start(name, store, options);
        }
        gateway
    }

    fn try_start(name: &str, store: &Store, options: &Options) -> Self {
        let process = std::process::id();
        let number = STARTS.fetch_add(1, Ordering::Relaxed);
        let folder = format!("dogwoodpier-review-{process}-{number}");
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).expect("a folder");
        let [client, ready, operator, peer] = free_addresses();
        let text = format!(
            "instance = \"{name}\"\ndata_centre = \"a\"\nclient_address = \"{client}\"\n\
             readiness_address = \"{ready}\"\noperator_address = \"{operator}\"\n\
             peer_address = \"{peer}\"\nstore_address = \"{}\"\nmemory_mb = {}\n\
             max_descriptors = 4100\nprocessor_share = 0.25\ngrace_s = 8\nentry_grace_s = 2.0\n\
             quota_tolerance_units = 120000\nfeatures = [\"base\",\"drain\",\"config\",\"cost\",\
             \"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"tenants\",\"quota\",\
             \"platform\"]\n{}\n[retries]\nratio = 0.2\nallowance = 54\nwindow_s = 10\n",
            store.address, options.memory_mb, options.further
        );
        fs::write(folder.join("settings.toml"), text).expect("settings");
        Self {
            child: spawn(&folder),
            folder,
            address: client,
            readiness: ready,
            operator,
            name: name.to_owned(),
        }
    }

    /// Ends the process by a signal and starts it again with the same settings, as the platform does.
    pub fn restart(&mut self, signal: &str) {
        self.signal(signal);
        let _ = self.child.wait();
        self.child = spawn(&self.folder);
    }

    /// Waits until the gateway says that it is ready.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't.
    pub fn wait_ready(&mut self) {
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.is_ready() {
            // Ends all processes of the case, and the case with "not run".
            assert!(
                Instant::now() < deadline,
                "{} didn't become ready",
                self.name
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns whether the readiness page answers 200 within a second.
    pub fn is_ready(&self) -> bool {
        let Ok(mut reader) = http::connect(self.readiness, Duration::from_secs(1)) else {
            return false;
        };
        let call = "GET /dogwoodpier/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if reader.get_mut().write_all(call.as_bytes()).is_err() {
            return false;
        }
        let answer = http::read_message(&mut reader);
        answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", signal, &id]).status();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory in megabytes, 0 if the process has ended.
    pub fn resident_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }

    /// Kills the process if it exceeds its memory, as the platform does. Returns whether it has.
    pub fn kill_over_memory(&mut self, limit_mb: u32, record: &Record) -> bool {
        let resident_mb = self.resident_mb();
        if resident_mb <= f64::from(limit_mb) {
            return false;
        }
        record.say(format!(
            "{resident_mb:.1} MB of {limit_mb} MB: the platform kills the process"
        ));
        self.signal("KILL");
        true
    }

    /// Returns the lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
