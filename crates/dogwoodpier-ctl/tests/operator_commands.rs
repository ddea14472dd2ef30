//! Checks the output of plan, apply, get and history, and their effects on each other.

use std::net::SocketAddr;
use std::path::Path;

use dogwoodpier_config::parse;
use dogwoodpier_ctl::Error;
use dogwoodpier_ctl::cli;
use dogwoodpier_ctl::commands;
use dogwoodpier_fakes::crash::Crash;
use dogwoodpier_fakes::platform::Platform;
use dogwoodpier_fakes::platform::PlatformOptions;
use dogwoodpier_fakes::server::Server;

const EXAMPLE: &str = include_str!("../../../examples/declarations.toml");

async fn start_platform() -> Server {
    let options = PlatformOptions {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        instances_lag_ms: 0,
    };
    Platform::start(options, Crash::stop_server())
        .await
        .expect("the platform starts")
}

async fn ctl(platform: &Server, arguments: &[&str]) -> Result<String, Error> {
    let address = platform.address().to_string();
    let mut line = vec!["dogwoodpierctl", "--platform", &address];
    line.extend(arguments);
    commands::run(&cli::command().get_matches_from(line)).await
}

fn write(directory: &Path, text: &str) -> String {
    let file = directory.join("d.toml");
    std::fs::write(&file, text).expect("the file is written");
    file.to_str().expect("the path is UTF-8").to_owned()
}

#[tokio::test]
async fn plan_apply_get_and_history_agree() {
    let platform = start_platform().await;
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let file = write(directory.path(), EXAMPLE);
    let apply = [
        "apply",
        &file,
        "--author",
        "ana",
        "-m",
        "first",
        "--expect-version",
    ];
    let with_version = |version: &'static str| [&apply[..], &[version]].concat();

    let planned = ctl(&platform, &["plan", &file]).await.unwrap();
    assert!(
        planned.contains("apply with --expect-version 0"),
        "{planned}"
    );
    let applied = ctl(&platform, &with_version("0")).await.unwrap();
    assert!(applied.contains("version 1 applied"), "{applied}");
    let again = ctl(&platform, &with_version("1")).await.unwrap();
    assert!(again.contains("nothing to change"), "{again}");
    let late = ctl(&platform, &with_version("0")).await.unwrap_err();
    assert!(matches!(late, Error::Conflict(_)), "{late}");

    let got = ctl(&platform, &["get"]).await.unwrap();
    assert!(got.starts_with("# version 1 of "), "{got}");
    let declarations = parse::parse("got.toml", &got).unwrap_or_else(|found| panic!("{found}"));
    assert_eq!(declarations, parse::parse("d.toml", EXAMPLE).unwrap());

    let file = write(
        directory.path(),
        &EXAMPLE.replacen("value = 60_000", "value = 70_000", 1),
    );
    let planned = ctl(&platform, &["plan", &file]).await.unwrap();
    let line = "~ exceptions[workspaces.franchises.rate_tokens_per_s]: 60000 (Season files of \
                all stores arrive in the same two weeks.) -> 70000 (Season files of all stores \
                arrive in the same two weeks.)";
    assert!(planned.contains(line), "{planned}");
    assert_eq!(planned.matches("\n  ").count(), 1, "{planned}");
    ctl(&platform, &with_version("1")).await.unwrap();
    let history = ctl(&platform, &["history"]).await.unwrap();
    let lines: Vec<&str> = history.lines().collect();
    assert_eq!(lines.len(), 2, "{history}");
    assert!(lines[0].starts_with("version 2 of "), "{history}");
    assert!(lines[1].contains(" by ana: first"), "{history}");
    let former = ctl(&platform, &["get", "--version", "1"]).await.unwrap();
    let former = parse::parse("former.toml", &former).unwrap();
    assert_eq!(former, declarations);
}

#[tokio::test]
async fn invalid_input_is_rejected_and_nothing_applied() {
    let platform = start_platform().await;
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let wrong = EXAMPLE.replacen("reason = \"Customers", "cause = \"Customers", 1);
    let file = write(directory.path(), &wrong);
    let line = ["apply", &file, "-m", "first", "--expect-version", "0"];
    let message = ctl(&platform, &line).await.unwrap_err().to_string();
    assert!(
        message.contains("d.toml:93: exceptions[1].cause: unknown field"),
        "{message}"
    );
    assert!(
        message.contains("exceptions[1].reason: is missing: say in a sentence why"),
        "{message}"
    );
    assert!(message.ends_with("Nothing was applied."), "{message}");
    let file = write(directory.path(), EXAMPLE);
    let line = ["apply", &file, "-m", "  ", "--expect-version", "0"];
    let message = ctl(&platform, &line).await.unwrap_err().to_string();
    assert!(message.contains("--message is empty"), "{message}");
    let got = ctl(&platform, &["get"]).await.unwrap();
    assert_eq!(got, "# nothing was applied yet\n");
}
