//! Runs the stand-in for a model engine as a process.

use dogwoodpier_fakes::crash::Crash;
use dogwoodpier_fakes::engine::Engine;
use dogwoodpier_fakes::options;

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let options = options::engine_options(&options::engine_command().get_matches())?;
    let server = Engine::start(options, Crash::ExitProcess).await?;
    println!("listening {}", server.address());
    std::future::pending().await
}
