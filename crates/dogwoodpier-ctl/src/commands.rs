//! The commands of `dogwoodpierctl`.

use std::fmt::Write;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use clap::ArgMatches;
use serde_json::Value;

use dogwoodpier_config::Declarations;
use dogwoodpier_config::diff;
use dogwoodpier_config::diff::Change;
use dogwoodpier_config::keys;
use dogwoodpier_config::parse;
use dogwoodpier_config::storage::Root;
use dogwoodpier_platform::Client;
use dogwoodpier_platform::ClientOptions;

use crate::apply;
use crate::apply::ApplyRequest;
use crate::apply::Outcome;
use crate::cli;
use crate::error::Error;
use crate::error::Result;
use crate::explain;
use crate::nodes;
use crate::nodes::NodeAddress;
use crate::nodes::NodeStatus;
use crate::store;

// Nodes filter keys out of what they send to upstreams only if the keys have at least this length.
const MIN_KEY_BYTES: usize = 8;
const UNKNOWN_AUTHOR: &str = "unknown";

/// Runs the command given by the matches of [`cli::command`], and returns its output.
pub async fn run(matches: &ArgMatches) -> Result<String> {
    match matches.subcommand() {
        Some(("validate", matches)) => validate(matches),
        Some(("plan", matches)) => plan(matches).await,
        Some(("apply", matches)) => apply(matches).await,
        Some(("get", matches)) => get(matches).await,
        Some(("history", matches)) => history(matches).await,
        Some(("status", matches)) => status(matches).await,
        Some(("dump", matches)) => dump(matches).await,
        Some(("explain", matches)) => explain_request(matches),
        Some(("hash-key", _)) => hash_key(),
        _ => Err(Error::Argument("no such command".to_owned())),
    }
}

fn explain_request(matches: &ArgMatches) -> Result<String> {
    let request_id = matches
        .get_one::<String>("request-id")
        .ok_or_else(|| Error::Argument("name a request".to_owned()))?;
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    explain::explain(request_id, files.map(PathBuf::as_path))
}

fn validate(matches: &ArgMatches) -> Result<String> {
    let declarations = read_file(matches)?;
    Ok(format!(
        "valid: {} workspaces, {} keys, {} pools, {} models, {} routes, {} exceptions\n",
        declarations.workspaces.len(),
        declarations.keys.len(),
        declarations.pools.len(),
        declarations.models.len(),
        declarations.routes.len(),
        declarations.exceptions.len(),
    ))
}

async fn plan(matches: &ArgMatches) -> Result<String> {
    let after = read_file(matches)?;
    let client = client(matches)?;
    let Some(current) = store::read_current(&client).await? else {
        let changes = diff::diff(&Declarations::default(), &after);
        return Ok(format_plan(0, &changes));
    };
    let before = store::read_declarations(&client, &current.root).await?;
    let changes = diff::diff(&before, &after);
    apply::check_slots(&before, &after)?;
    Ok(format_plan(current.root.generation, &changes))
}

async fn apply(matches: &ArgMatches) -> Result<String> {
    let request = ApplyRequest {
        declarations: read_file(matches)?,
        expect_version: number(matches, "expect-version").unwrap_or_default(),
        message: text(matches, "message").unwrap_or_default().into(),
        author: text(matches, "author")
            .or_else(|| std::env::var("USER").ok())
            .unwrap_or_else(|| UNKNOWN_AUTHOR.to_owned())
            .into(),
    };
    match apply::apply(&client(matches)?, &request).await? {
        Outcome::Applied { version, changes } => Ok(format!(
            "{}version {version} applied; `dogwoodpierctl status` shows where it is in force\n",
            format_changes(&changes)
        )),
        Outcome::Same { version } => Ok(format!(
            "nothing to change: version {version} has the same declarations\n"
        )),
    }
}

async fn get(matches: &ArgMatches) -> Result<String> {
    let client = client(matches)?;
    let root = match number(matches, "version") {
        Some(version) => store::read_version(&client, version).await?,
        None => match store::read_current(&client).await? {
            Some(current) => current.root,
            None => return Ok("# nothing was applied yet\n".to_owned()),
        },
    };
    let declarations = store::read_declarations(&client, &root).await?;
    let text = toml::to_string(&declarations)
        .map_err(|error| Error::Argument(format!("can't be written as TOML: {error}")))?;
    Ok(format!("# {}\n\n{text}", format_root(&root)))
}

async fn history(matches: &ArgMatches) -> Result<String> {
    let roots = store::read_history(&client(matches)?).await?;
    let mut output = String::new();
    for root in roots {
        let _ = writeln!(output, "{} (write {})", format_root(&root), root.write_id);
    }
    Ok(output)
}

async fn status(matches: &ArgMatches) -> Result<String> {
    let addresses: Vec<NodeAddress> = matches
        .get_many::<SocketAddr>("node")
        .unwrap_or_default()
        .map(|address| NodeAddress {
            instance: "".into(),
            address: *address,
        })
        .collect();
    let mut output = String::new();
    let nodes = if addresses.is_empty() {
        let client = client(matches)?;
        if let Some(current) = store::read_current(&client).await? {
            let _ = writeln!(output, "platform: {}", format_root(&current.root));
        }
        nodes::registered(&client).await?
    } else {
        addresses
    };
    for status in nodes::status(nodes, timeout_ms(matches)).await {
        let _ = writeln!(output, "{}", format_status(&status));
    }
    Ok(output)
}

async fn dump(matches: &ArgMatches) -> Result<String> {
    let Some(address) = matches.get_one::<SocketAddr>("node") else {
        return Err(Error::Argument("--node is missing".to_owned()));
    };
    let dump = nodes::dump(*address, timeout_ms(matches)).await?;
    Ok(format!("{dump:#}\n"))
}

fn hash_key() -> Result<String> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .map_err(|source| Error::Input {
            what: "the key on standard input".to_owned(),
            source,
        })?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.len() < MIN_KEY_BYTES || key.contains(char::is_whitespace) {
        let message = format!("give one key of at least {MIN_KEY_BYTES} characters without spaces");
        return Err(Error::Argument(message));
    }
    Ok(format!("{}\n", keys::hash_key(key)))
}

fn read_file(matches: &ArgMatches) -> Result<Declarations> {
    let file = cli::file_of(matches).map_or(Path::new(""), |file| file.as_path());
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|source| Error::Input {
        what: name.clone(),
        source,
    })?;
    Ok(parse::parse(&name, &text)?)
}

fn client(matches: &ArgMatches) -> Result<Client> {
    let Some(address) = matches.get_one::<SocketAddr>("platform") else {
        let message = "--platform is missing: give the address of the platform's object API";
        return Err(Error::Argument(message.to_owned()));
    };
    Ok(Client::new(ClientOptions {
        address: *address,
        timeout_ms: timeout_ms(matches),
    }))
}

fn timeout_ms(matches: &ArgMatches) -> u64 {
    number(matches, "timeout-ms").unwrap_or_default()
}

fn number(matches: &ArgMatches, name: &str) -> Option<u64> {
    matches.get_one::<u64>(name).copied()
}

fn text(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<String>(name).cloned()
}

fn format_plan(version: u64, changes: &[Change]) -> String {
    if changes.is_empty() {
        return format!("version {version} is in force, nothing would change\n");
    }
    format!(
        "version {version} is in force; this would change:\n{}\
         apply with --expect-version {version}\n",
        format_changes(changes)
    )
}

fn format_changes(changes: &[Change]) -> String {
    let mut output = String::new();
    for change in changes {
        let _ = writeln!(output, "  {change}");
    }
    output
}

fn format_root(root: &Root) -> String {
    let time = UNIX_EPOCH + Duration::from_secs(root.applied_unix_s);
    format!(
        "version {} of {} by {}: {}",
        root.generation,
        humantime::format_rfc3339_seconds(time),
        root.author,
        root.message
    )
}

fn format_status(status: &NodeStatus) -> String {
    let node = format!("{} {}", status.node.instance, status.node.address);
    let config = match &status.config {
        Ok(config) => config,
        Err(error) => return format!("{node}: no answer: {error}"),
    };
    let mut output = format!(
        "{node}: version {}, keys {}",
        config["version"],
        config["key_trust"]
            .as_str()
            .unwrap_or("unknown")
            .to_lowercase()
    );
    if let Value::Object(rejected) = &config["rejected"] {
        let reason = rejected["reason"].as_str().unwrap_or_default();
        let _ = write!(
            output,
            ", can't take version {}: {reason}",
            rejected["version"]
        );
    }
    output
}
