//! Runs the stand-in for a plain service as a process.

use dogwoodpier_fakes::crash::Crash;
use dogwoodpier_fakes::options;
use dogwoodpier_fakes::service::Service;

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let options = options::service_options(&options::service_command().get_matches())?;
    let server = Service::start(options, Crash::ExitProcess).await?;
    println!("listening {}", server.address());
    std::future::pending().await
}
