//! Runs the stand-in for the platform as a process.

use dogwoodpier_fakes::crash::Crash;
use dogwoodpier_fakes::options;
use dogwoodpier_fakes::platform::Platform;

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let options = options::platform_options(&options::platform_command().get_matches())?;
    let server = Platform::start(options, Crash::ExitProcess).await?;
    println!("listening {}", server.address());
    std::future::pending().await
}
