//! The command line.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

const DEPLOYMENTS: [&str; 2] = ["kovacevic", "quentao"];
const POLICIES: [&str; 3] = ["reserve", "least-loaded", "round-robin"];

/// Arguments of the command line.
pub struct Arguments {
    /// Deployments to run.
    pub deployments: Vec<String>,
    /// Policies to compare.
    pub policies: Vec<String>,
    /// Seeds, one run each.
    pub seeds: Vec<u64>,
    /// Fault under load.
    pub fault: Fault,
    /// Demand within rates, in percent of the capacity.
    pub load_percent: u64,
    /// Time before the measured part.
    pub warm_up: Duration,
    /// Measured time.
    pub duration: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// Whether to run each workspace within its rate alone as well.
    pub alone: bool,
    /// File to which the figures are written as JSON.
    pub json: Option<PathBuf>,
    /// The `dogwoodpier` program.
    pub node_program: PathBuf,
    /// Directory of the stand-ins' programs.
    pub stand_ins: PathBuf,
    /// Additional TOML for each node's settings, for example another tuning.
    pub node_settings: String,
}

/// Fault that is injected after a third of the measured time.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    None,
    /// One node is killed for good.
    NodeKilled,
    /// One decode engine is killed and started again after a third of the time.
    EngineKilled,
    /// The platform is unavailable for a third of the time.
    PlatformOut,
}

/// Parameters of one run.
#[plain]
pub struct Run {
    /// Deployment.
    pub deployment: String,
    /// Policy of the nodes.
    pub policy: String,
    /// Seed of the load.
    pub seed: u64,
    /// Fault under load.
    pub fault: Fault,
    /// Demand within rates, in percent of the capacity.
    pub load_percent: u64,
    /// The only workspace with load, if not all have it.
    pub alone: Option<String>,
}

impl fmt::Display for Run {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} {} seed {} load {}% fault {:?}",
            self.deployment, self.policy, self.seed, self.load_percent, self.fault
        )?;
        match &self.alone {
            Some(workspace) => write!(formatter, " alone {workspace}"),
            None => Ok(()),
        }
    }
}

impl Arguments {
    /// Reads the command line.
    pub fn read() -> anyhow::Result<Self> {
        let matches = command().get_matches();
        let examples = std::env::current_exe()?;
        let examples = examples.parent().context("no directory of examples")?;
        let profile = examples.parent().context("no directory of programs")?;
        let node_program = matches.get_one::<PathBuf>("node-program").cloned();
        Ok(Self {
            deployments: strings(&matches, "deployment"),
            policies: strings(&matches, "policy"),
            seeds: matches
                .get_many::<u64>("seed")
                .unwrap_or_default()
                .copied()
                .collect(),
            fault: parse_fault(&matches),
            load_percent: number(&matches, "load-percent"),
            warm_up: Duration::from_secs(number(&matches, "warm-up-s")),
            duration: Duration::from_secs(number(&matches, "duration-s").max(3)),
            nodes: usize::try_from(number(&matches, "nodes"))?,
            alone: matches.get_flag("alone"),
            json: matches.get_one::<PathBuf>("json").cloned(),
            node_program: node_program.unwrap_or_else(|| profile.join("dogwoodpier")),
            stand_ins: examples.to_owned(),
            node_settings: strings(&matches, "node-settings").join("\n"),
        })
    }

    /// Returns the runs in order.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for deployment in &self.deployments {
            for seed in &self.seeds {
                for policy in &self.policies {
                    let run = Run {
                        deployment: deployment.clone(),
                        policy: policy.clone(),
                        seed: *seed,
                        fault: self.fault,
                        load_percent: self.load_percent,
                        alone: None,
                    };
                    runs.push(run.clone());
                    if self.alone {
                        runs.extend(alone_runs(&run));
                    }
                }
            }
        }
        runs
    }
}

fn alone_runs(run: &Run) -> Vec<Run> {
    crate::deployment::Deployment::named(&run.deployment, run.load_percent)
        .workspaces
        .iter()
        .filter(|workspace| workspace.is_within_rate())
        .map(|workspace| Run {
            alone: Some(workspace.name.to_owned()),
            ..run.clone()
        })
        .collect()
}

fn command() -> Command {
    Command::new("load")
        .about("Loads a fleet on this host and prints what its users measure")
        .arg(
            list("deployment", "Deployment, may be repeated")
                .value_parser(DEPLOYMENTS)
                .default_values(DEPLOYMENTS),
        )
        .arg(
            list("policy", "Policy of the nodes, may be repeated")
                .value_parser(POLICIES)
                .default_values(POLICIES),
        )
        .arg(
            list("seed", "Seed of the load, may be repeated")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .help("What fails under load")
                .value_parser(["none", "node-killed", "engine-killed", "platform-out"])
                .default_value("none"),
        )
        .arg(integer(
            "load-percent",
            "Demand within rates, in percent of capacity",
            "130",
        ))
        .arg(integer(
            "warm-up-s",
            "Seconds before the measured part",
            "6",
        ))
        .arg(integer("duration-s", "Measured seconds", "30"))
        .arg(integer("nodes", "Number of nodes", "8"))
        .arg(
            Arg::new("alone")
                .long("alone")
                .help("Run each workspace within its rate alone as well")
                .action(ArgAction::SetTrue),
        )
        .arg(path("json", "Write the figures as JSON"))
        .arg(path(
            "node-program",
            "The dogwoodpier program, by default of the same build",
        ))
        .arg(list(
            "node-settings",
            "TOML for each node's settings, may be repeated",
        ))
}

fn list(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .action(ArgAction::Append)
        .value_delimiter(',')
}

fn integer(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

fn strings(matches: &ArgMatches, name: &str) -> Vec<String> {
    matches
        .get_many::<String>(name)
        .unwrap_or_default()
        .cloned()
        .collect()
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn parse_fault(matches: &ArgMatches) -> Fault {
    match matches.get_one::<String>("fault").map(String::as_str) {
        Some("node-killed") => Fault::NodeKilled,
        Some("engine-killed") => Fault::EngineKilled,
        Some("platform-out") => Fault::PlatformOut,
        _ => Fault::None,
    }
}
