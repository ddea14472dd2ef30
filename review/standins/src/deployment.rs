//! A small deployment: gateways from the deploy file's program and template, and stand-ins.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::client::Call;
use crate::store::Store;
use crate::store::View;

const PROGRAM: &str = "target/release/dogwoodpier";
const TEMPLATE: &str = "deploy/gateway.toml";
const START_LIMIT: Duration = Duration::from_secs(15);
/// Events of a whole stream.
pub const EVENTS: u64 = 40;
/// Time between two events.
pub const GAP_MS: u64 = 100;

/// A gateway process.
pub struct Gateway {
    /// Name of the machine.
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    ip: String,
    ready: SocketAddr,
    process: Child,
}

/// A runner process.
pub struct Runner {
    /// Its address.
    pub address: SocketAddr,
    options: Value,
    process: Child,
}

/// Gateways, runners and the store.
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// The runners.
    pub runners: Vec<Runner>,
    directory: PathBuf,
    store_address: SocketAddr,
}

impl Deployment {
    /// Starts a store with a configuration.
    pub fn start(configuration: Value) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = now.map_or(0, |now| now.as_nanos());
        let name = format!("dogwoodpier-review-{}-{nanos}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a temporary folder");
        let store = Store::start();
        store.put("config", "main", configuration);
        Self {
            store_address: store.open(View::new()),
            store,
            gateways: Vec::new(),
            runners: Vec::new(),
            directory,
        }
    }

    /// Starts a runner. `changes` replaces some of its options.
    pub fn add_runner(&mut self, id: &str, service: &str, stage: &str, changes: Value) {
        let mut options = json!({
            "id": id,
            "service": service,
            "stage": stage,
            "version": "v1",
            "slots": 12,
            "framing": "chunked",
            "events": EVENTS,
            "gap_ms": GAP_MS,
            "work_ms": 60,
            "store": self.store_address.to_string(),
            "log": self.directory.join("runs").display().to_string(),
        });
        for (name, value) in changes.as_object().into_iter().flatten() {
            options[name] = value.clone();
        }
        self.runners.push(Runner::start(options));
    }

    /// Starts gateways that see the runners as `view` says.
    pub fn add_gateways(&mut self, names: &[&str], view: View) {
        let store = self.store.open(view);
        for name in names {
            let gateway = Gateway::start(&self.directory, name, store);
            self.gateways.push(gateway);
        }
    }

    /// Waits until all gateways are ready and know all runners and each other.
    pub fn wait_ready(&self) {
        let started = Instant::now();
        for gateway in &self.gateways {
            while !gateway.knows(self.runners.len(), self.gateways.len()) {
                if started.elapsed() > START_LIMIT {
                    crate::cannot_run(&format!("{} isn't ready in time", gateway.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // The owner of a service has read its default version by then.
        thread::sleep(Duration::from_secs(2));
    }

    /// Returns what the runners have logged.
    pub fn runs(&self) -> String {
        fs::read_to_string(self.directory.join("runs")).unwrap_or_default()
    }

    /// Returns what a gateway has logged.
    pub fn log_of(&self, name: &str) -> String {
        fs::read_to_string(self.directory.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        for runner in &mut self.runners {
            runner.kill();
        }
        if let Err(error) = fs::remove_dir_all(&self.directory) {
            eprintln!("the temporary folder stays: {error}");
        }
    }
}

impl Gateway {
    fn start(directory: &Path, name: &str, store: SocketAddr) -> Self {
        let ip = free_ip();
        let template = fs::read_to_string(TEMPLATE).expect("the template is readable");
        let port = |port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        let (front, ready) = (port(8_360), port(8_365));
        // The bounds are those of the users' small deployments.
        let values = [
            ("node-name", name.to_owned()),
            ("zone", "zg-a".to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip", ip.clone()),
            ("internal-ports.0", "7500".to_owned()),
            ("platform.address", store.to_string()),
            ("limits.memory-mb", "110".to_owned()),
            ("limits.cpu-share", "0.25".to_owned()),
            ("bounds.grace-s", "8".to_owned()),
            ("bounds.quota-slack", "120000".to_owned()),
            ("bounds.retry-budget-ratio", "0.2".to_owned()),
            ("bounds.budget-slack", "54".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
        ];
        let mut text = String::new();
        let mut left_out = false;
        for line in template.lines() {
            // Sections are rendered for values that these deployments lack.
            left_out |= line.starts_with("{{#");
            if !left_out {
                text.push_str(&format!("{line}\n"));
            }
            left_out &= !line.starts_with("{{/");
        }
        for (field, value) in &values {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        let settings = directory.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings are written");
        let log = File::create(directory.join(format!("{name}.log"))).expect("a log");
        let errors = log.try_clone().expect("a log");
        let process = Command::new(PROGRAM)
            .arg("gateway")
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let Ok(process) = process else {
            crate::cannot_run("the deploy file's program isn't built");
        };
        Self {
            name: name.to_owned(),
            front,
            ip,
            ready,
            process,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Returns the state page.
    pub fn state(&self) -> Value {
        let address = format!("{}:9464", self.ip).parse().expect("an address");
        let page = page("/state").send(address);
        serde_json::from_str(&page.body).unwrap_or_default()
    }

    fn knows(&self, runners: usize, gateways: usize) -> bool {
        let state = self.state().to_string();
        page("/dogwoodpier/ready").send(self.ready).status == 200
            && state.matches("\"success\"").count() == runners
            && state.contains(&format!("\"heard\":{gateways}"))
    }
}

fn page(path: &str) -> Call {
    Call {
        target: format!("GET {path}"),
        body: String::new(),
        ..Call::plain("page", path)
    }
}

impl Runner {
    fn start(options: Value) -> Self {
        let program = std::env::current_exe().expect("the own path");
        let mut process = Command::new(program)
            .arg("runner")
            .arg(options.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a runner starts");
        let output = process.stdout.take().expect("a pipe");
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        let address = line.trim().parse();
        let (Ok(_), Ok(address)) = (read, address) else {
            crate::cannot_run("a runner doesn't start");
        };
        Self {
            address,
            options,
            process,
        }
    }

    /// Gives the runner an order.
    pub fn order(&mut self, order: &str) {
        let input = self.process.stdin.as_mut().expect("a pipe");
        let written = input.write_all(format!("{order}\n").as_bytes());
        if let Err(error) = written {
            crate::cannot_run(&format!("a runner takes no order: {error}"));
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Kills the process and starts it again under its id and at its address, with `changes`.
    pub fn kill_and_restart(&mut self, pause: Duration, changes: Value) {
        self.kill();
        thread::sleep(pause);
        let mut options = self.options.clone();
        options["address"] = self.address.to_string().into();
        for (name, value) in changes.as_object().into_iter().flatten() {
            options[name] = value.clone();
        }
        *self = Self::start(options);
    }

    /// Returns the id.
    pub fn id(&self) -> &str {
        self.options["id"].as_str().unwrap_or_default()
    }
}

// Returns a loopback address of which no port that a gateway uses is taken.
fn free_ip() -> String {
    let mut random = [0; 3];
    for _ in 0..100 {
        let source = File::open("/dev/urandom");
        let read = source.and_then(|mut source| source.read_exact(&mut random));
        read.expect("random bytes");
        let ip = format!(
            "127.{}.{}.{}",
            random[0].max(1),
            random[1],
            random[2].max(2) & 0xfe
        );
        let ports = [8_360, 8_365, 9_464, 7_500];
        let is_free =
            |port: &u16| -> io::Result<TcpListener> { TcpListener::bind((ip.as_str(), *port)) };
        if ports.iter().all(|port| is_free(port).is_ok()) {
            return ip;
        }
    }
    crate::cannot_run("no loopback address is free")
}

/// Returns a configuration with a route for each kind of request. `changes` are made to its routes.
pub fn configuration(changes: Value) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        let is_plain = service == "order-desk";
        let mut route = json!({
            "name": name,
            "host": "desk.example",
            "path-prefix": format!("/{name}/"),
            "route-type": kind,
            "timeout-ms": if is_plain { 800 } else { 14_000 },
            "target-latency-ms": if is_plain { 300 } else { 900 },
            "priority": 1,
            "service": service,
            "max-attempts": 1,
            "public": false,
            "resumable": false,
            "sticky": !is_plain,
        });
        for (field, value) in changes[name].as_object().into_iter().flatten() {
            route[field] = value.clone();
        }
        route
    };
    json!({
        "version": 1,
        "routes": [
            route("digest", "streaming", "quote-llm"),
            route("summary", "streaming", "quote-llm"),
            route("order", "unsafe", "order-desk"),
        ],
        "services": [
            { "name": "order-desk", "health-check": "/health", "max-connections": 100 },
            {
                "name": "quote-llm",
                "health-check": "/health",
                "max-connections": 156,
                "engine": { "slots": 12, "kv-tokens": 106_421, "handle-ttl-s": 0.5 },
            },
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{ "name": "firm", "api-keys": ["key-one"], "unit": "generate", "plain-tokens": 200 }],
    })
}
