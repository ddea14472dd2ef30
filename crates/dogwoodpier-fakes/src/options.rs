//! Command-line options of the example programs that run the stand-ins.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::engine::EngineOptions;
use crate::engine::EngineRole;
use crate::platform::PlatformOptions;
use crate::service::ServiceOptions;

const DEFAULT_ADDRESS: &str = "127.0.0.1:0";
const DEFAULT_INSTANCES_LAG_MS: &str = "500";
const DEFAULT_WORK_MS: &str = "5";

/// Returns the command-line definition of the platform program.
pub fn platform_command() -> Command {
    Command::new("platform")
        .about("Stand-in for the platform's object API")
        .arg(
            option("address", "IP:PORT", "Address to listen on, port 0 for any")
                .default_value(DEFAULT_ADDRESS),
        )
        .arg(
            option(
                "instances-lag-ms",
                "MS",
                "Delay until a change of the instance list is published",
            )
            .default_value(DEFAULT_INSTANCES_LAG_MS),
        )
}

/// Parses the options of the platform program.
pub fn platform_options(matches: &ArgMatches) -> anyhow::Result<PlatformOptions> {
    Ok(PlatformOptions {
        address: address(matches)?,
        instances_lag_ms: parse_or(matches, "instances-lag-ms", 0)?,
    })
}

/// Returns the command-line definition of the service program.
pub fn service_command() -> Command {
    Command::new("service")
        .about("Stand-in for a plain service")
        .arg(
            option("address", "IP:PORT", "Address to listen on, port 0 for any")
                .default_value(DEFAULT_ADDRESS),
        )
        .arg(option("work-ms", "MS", "Time that each call takes").default_value(DEFAULT_WORK_MS))
}

/// Parses the options of the service program.
pub fn service_options(matches: &ArgMatches) -> anyhow::Result<ServiceOptions> {
    Ok(ServiceOptions {
        address: address(matches)?,
        work_ms: parse_or(matches, "work-ms", 0)?,
    })
}

/// Returns the command-line definition of the engine program.
pub fn engine_command() -> Command {
    let command = Command::new("engine")
        .about("Stand-in for a model engine")
        .arg(
            option("address", "IP:PORT", "Address to listen on, port 0 for any")
                .default_value(DEFAULT_ADDRESS),
        )
        .arg(
            option("role", "ROLE", "Stages that the engine serves")
                .value_parser(["prefill", "decode", "both"])
                .default_value("both"),
        );
    let numbers = [
        (
            "max-sequences",
            "Maximum number of concurrent decode sequences",
        ),
        ("max-pieces", "Maximum number of KV pieces"),
        ("tokens-per-piece", "Tokens in a KV piece"),
        (
            "prefill-tokens-per-s",
            "Prefill throughput, shared by all queued prefills",
        ),
        (
            "token-gap-us",
            "Base time of a decode step, excluding the time per sequence",
        ),
        (
            "token-gap-per-sequence-us",
            "Time that each sequence of the batch adds to a decode step",
        ),
        (
            "prefill-ttl-ms",
            "Time until an unfetched prefill result expires",
        ),
        (
            "bytes-per-piece",
            "Bytes that a transfer sends for a KV piece",
        ),
        ("link-bytes-per-s", "Link bandwidth, in each direction"),
        ("load-interval-ms", "Interval between load reports"),
        ("cache-lag-ms", "Delay until a cache event is published"),
        (
            "cache-loss-percent",
            "Percentage of cache events that are lost",
        ),
        ("seed", "Seed of the random losses of cache events"),
    ];
    numbers.into_iter().fold(command, |command, (name, help)| {
        command.arg(option(name, "NUMBER", help))
    })
}

/// Parses the options of the engine program.
pub fn engine_options(matches: &ArgMatches) -> anyhow::Result<EngineOptions> {
    let role = match matches.get_one::<String>("role").map(String::as_str) {
        Some("prefill") => EngineRole::Prefill,
        Some("decode") => EngineRole::Decode,
        _ => EngineRole::Both,
    };
    let default = EngineOptions::new(role);
    Ok(EngineOptions {
        address: address(matches)?,
        role,
        max_sequences: parse_or(matches, "max-sequences", default.max_sequences)?,
        max_pieces: parse_or(matches, "max-pieces", default.max_pieces)?,
        tokens_per_piece: parse_or(matches, "tokens-per-piece", default.tokens_per_piece)?,
        prefill_tokens_per_s: parse_or(
            matches,
            "prefill-tokens-per-s",
            default.prefill_tokens_per_s,
        )?,
        token_gap_us: parse_or(matches, "token-gap-us", default.token_gap_us)?,
        token_gap_per_sequence_us: parse_or(
            matches,
            "token-gap-per-sequence-us",
            default.token_gap_per_sequence_us,
        )?,
        prefill_ttl_ms: parse_or(matches, "prefill-ttl-ms", default.prefill_ttl_ms)?,
        bytes_per_piece: parse_or(matches, "bytes-per-piece", default.bytes_per_piece)?,
        link_bytes_per_s: parse_or(matches, "link-bytes-per-s", default.link_bytes_per_s)?,
        load_interval_ms: parse_or(matches, "load-interval-ms", default.load_interval_ms)?,
        cache_lag_ms: parse_or(matches, "cache-lag-ms", default.cache_lag_ms)?,
        cache_loss_percent: parse_or(matches, "cache-loss-percent", default.cache_loss_percent)?,
        seed: parse_or(matches, "seed", default.seed)?,
    })
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn address(matches: &ArgMatches) -> anyhow::Result<SocketAddr> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    parse_or(matches, "address", any_port)
}

fn parse_or<T>(matches: &ArgMatches, name: &str, default: T) -> anyhow::Result<T>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    match matches.get_one::<String>(name) {
        Some(text) => Ok(text.parse()?),
        None => Ok(default),
    }
}
