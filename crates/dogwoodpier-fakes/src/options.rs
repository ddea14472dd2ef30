//! Command lines of the stand-ins' programs.

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

/// Returns the platform's command line.
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
                "Time until a change of the instance list shows",
            )
            .default_value(DEFAULT_INSTANCES_LAG_MS),
        )
}

/// Reads the platform's command line.
pub fn platform_options(matches: &ArgMatches) -> anyhow::Result<PlatformOptions> {
    Ok(PlatformOptions {
        address: address(matches)?,
        instances_lag_ms: parsed(matches, "instances-lag-ms", 0)?,
    })
}

/// Returns a plain service's command line.
pub fn service_command() -> Command {
    Command::new("service")
        .about("Stand-in for a plain service")
        .arg(
            option("address", "IP:PORT", "Address to listen on, port 0 for any")
                .default_value(DEFAULT_ADDRESS),
        )
        .arg(option("work-ms", "MS", "Time that each call takes").default_value(DEFAULT_WORK_MS))
}

/// Reads a plain service's command line.
pub fn service_options(matches: &ArgMatches) -> anyhow::Result<ServiceOptions> {
    Ok(ServiceOptions {
        address: address(matches)?,
        work_ms: parsed(matches, "work-ms", 0)?,
    })
}

/// Returns an engine's command line.
pub fn engine_command() -> Command {
    let command = Command::new("engine")
        .about("Stand-in for a model engine")
        .arg(
            option("address", "IP:PORT", "Address to listen on, port 0 for any")
                .default_value(DEFAULT_ADDRESS),
        )
        .arg(
            option("role", "ROLE", "What the engine does")
                .value_parser(["prefill", "decode", "both"])
                .default_value("both"),
        );
    let numbers = [
        ("max-sequences", "Most decode sequences"),
        ("max-pieces", "Most KV pieces"),
        ("tokens-per-piece", "Tokens in a KV piece"),
        ("prefill-tokens-per-s", "Prefill speed, shared by the queue"),
        ("token-gap-us", "Time between two tokens of a lone sequence"),
        (
            "token-gap-per-sequence-us",
            "Time that each sequence of a batch adds",
        ),
        ("prefill-ttl-ms", "Life of a prefill's result"),
        (
            "bytes-per-piece",
            "Bytes that a transfer sends for a KV piece",
        ),
        ("link-bytes-per-s", "Rate of the link, each way"),
        ("load-interval-ms", "Time between two load reports"),
        ("cache-lag-ms", "Time until a cache event is published"),
        ("cache-loss-percent", "Cache events that are lost"),
        ("seed", "Seed of the losses"),
    ];
    numbers.into_iter().fold(command, |command, (name, help)| {
        command.arg(option(name, "NUMBER", help))
    })
}

/// Reads an engine's command line.
pub fn engine_options(matches: &ArgMatches) -> anyhow::Result<EngineOptions> {
    let role = match matches.get_one::<String>("role").map(String::as_str) {
        Some("prefill") => EngineRole::Prefill,
        Some("decode") => EngineRole::Decode,
        _ => EngineRole::Both,
    };
    let usual = EngineOptions::new(role);
    Ok(EngineOptions {
        address: address(matches)?,
        role,
        max_sequences: parsed(matches, "max-sequences", usual.max_sequences)?,
        max_pieces: parsed(matches, "max-pieces", usual.max_pieces)?,
        tokens_per_piece: parsed(matches, "tokens-per-piece", usual.tokens_per_piece)?,
        prefill_tokens_per_s: parsed(matches, "prefill-tokens-per-s", usual.prefill_tokens_per_s)?,
        token_gap_us: parsed(matches, "token-gap-us", usual.token_gap_us)?,
        token_gap_per_sequence_us: parsed(
            matches,
            "token-gap-per-sequence-us",
            usual.token_gap_per_sequence_us,
        )?,
        prefill_ttl_ms: parsed(matches, "prefill-ttl-ms", usual.prefill_ttl_ms)?,
        bytes_per_piece: parsed(matches, "bytes-per-piece", usual.bytes_per_piece)?,
        link_bytes_per_s: parsed(matches, "link-bytes-per-s", usual.link_bytes_per_s)?,
        load_interval_ms: parsed(matches, "load-interval-ms", usual.load_interval_ms)?,
        cache_lag_ms: parsed(matches, "cache-lag-ms", usual.cache_lag_ms)?,
        cache_loss_percent: parsed(matches, "cache-loss-percent", usual.cache_loss_percent)?,
        seed: parsed(matches, "seed", usual.seed)?,
    })
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn address(matches: &ArgMatches) -> anyhow::Result<SocketAddr> {
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    parsed(matches, "address", unset)
}

fn parsed<T>(matches: &ArgMatches, name: &str, usual: T) -> anyhow::Result<T>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    match matches.get_one::<String>(name) {
        Some(text) => Ok(text.parse()?),
        None => Ok(usual),
    }
}
