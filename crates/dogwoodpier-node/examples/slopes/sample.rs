//! Reads the processes and counters of the nodes, and computes the cost of a node between two
//! readings.

use std::fmt;
use std::fs;
use std::time::Instant;

use anyhow::Context;

use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::NodeProcess;

// Linux reports processor time in ticks of 10 ms on every platform that Rust's std supports.
const TICKS_PER_S: f64 = 100.0;
const PEER_SENT: &str = "dogwoodpier_peer_sent_bytes_total";
const PEER_RECEIVED: &str = "dogwoodpier_peer_received_bytes_total";

/// Totals over all nodes at one moment.
pub struct Reading {
    time: Instant,
    nodes: f64,
    cpu_s: f64,
    resident_bytes: f64,
    peer_bytes: f64,
    platform_calls: f64,
}

/// Mean cost of a node.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Share of a core in percent.
    cpu_percent: f64,
    /// Resident memory in megabytes.
    resident_mb: f64,
    /// Bytes of messages sent to peers as calls, and received as answers, a second.
    peer_bytes_per_s: f64,
    /// Calls to the platform a second.
    platform_calls_per_s: f64,
}

impl Reading {
    /// Reads all nodes.
    pub async fn take(fleet: &Fleet) -> anyhow::Result<Self> {
        let mut reading = Self {
            time: Instant::now(),
            nodes: fleet.nodes().len() as f64,
            cpu_s: 0.0,
            resident_bytes: 0.0,
            peer_bytes: 0.0,
            platform_calls: fleet
                .platform_calls()
                .await?
                .values()
                .map(|count| *count as f64)
                .sum(),
        };
        for node in fleet.nodes().values() {
            reading.add(node).await?;
        }
        Ok(reading)
    }

    async fn add(&mut self, node: &NodeProcess) -> anyhow::Result<()> {
        let process = node.id().context("the node has ended")?;
        self.cpu_s += cpu_s(process)?;
        self.resident_bytes += resident_bytes(process)?;
        let metrics = node.metrics().await?;
        let sum = |name: &str| -> f64 {
            let of_name = metrics
                .iter()
                .filter(|(metric, _)| metric.starts_with(name));
            of_name.map(|(_, value)| value).sum()
        };
        self.peer_bytes += sum(PEER_SENT) + sum(PEER_RECEIVED);
        Ok(())
    }
}

// Returns the processor time that a process has used, in user and kernel mode.
fn cpu_s(process: u32) -> anyhow::Result<f64> {
    const USER_TICKS: usize = 11;
    const KERNEL_TICKS: usize = 12;
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The process name may contain spaces, so fields are counted from its end.
    let (_, fields) = stat.rsplit_once(") ").context("no name in stat")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = |index: usize| -> anyhow::Result<f64> {
        Ok(fields.get(index).context("stat is too short")?.parse()?)
    };
    Ok((ticks(USER_TICKS)? + ticks(KERNEL_TICKS)?) / TICKS_PER_S)
}

fn resident_bytes(process: u32) -> anyhow::Result<f64> {
    const BYTES_PER_KB: f64 = 1_024.0;
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("no VmRSS")?;
    let kilobytes = line
        .split_whitespace()
        .nth(1)
        .context("no figure in VmRSS")?;
    Ok(kilobytes.parse::<f64>()? * BYTES_PER_KB)
}

impl Cost {
    /// Column headings.
    pub const HEADER: &'static str = " cpu %   MB resident   peer B/s   platform calls/s";

    /// Returns the mean cost of a node between two readings.
    pub fn between(before: &Reading, after: &Reading) -> Self {
        const BYTES_PER_MB: f64 = 1_048_576.0;
        let node_s = (after.time - before.time).as_secs_f64() * after.nodes;
        Self {
            cpu_percent: 100.0 * (after.cpu_s - before.cpu_s) / node_s,
            resident_mb: after.resident_bytes / after.nodes / BYTES_PER_MB,
            peer_bytes_per_s: (after.peer_bytes - before.peer_bytes) / node_s,
            platform_calls_per_s: (after.platform_calls - before.platform_calls) / node_s,
        }
    }

    /// Returns the slope of each cost by least squares.
    pub fn slope(points: &[(f64, Self)]) -> Self {
        let slope_of = |cost: fn(&Self) -> f64| {
            let count = points.len() as f64;
            let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
            let mean_y = points.iter().map(|(_, y)| cost(y)).sum::<f64>() / count;
            let covariance: f64 = points
                .iter()
                .map(|(x, y)| (x - mean_x) * (cost(y) - mean_y))
                .sum();
            let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
            covariance / variance
        };
        Self {
            cpu_percent: slope_of(|cost| cost.cpu_percent),
            resident_mb: slope_of(|cost| cost.resident_mb),
            peer_bytes_per_s: slope_of(|cost| cost.peer_bytes_per_s),
            platform_calls_per_s: slope_of(|cost| cost.platform_calls_per_s),
        }
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:>6.4} {:>13.4} {:>10.2} {:>18.4}",
            self.cpu_percent, self.resident_mb, self.peer_bytes_per_s, self.platform_calls_per_s
        )
    }
}
