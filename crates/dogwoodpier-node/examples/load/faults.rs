//! Faults under load.

use std::time::Duration;

use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::platform::PlatformFaults;
use dogwoodpier_fakes::platform::faults::Outage;

use crate::arguments::Fault;

const KILLED_NODE: &str = "node-1";
const KILLED_ENGINE: &str = "decode-1";

/// Strikes with a fault now, and mends it after `length` where it is to be mended.
pub async fn strike(fleet: &mut Fleet, fault: Fault, length: Duration) -> anyhow::Result<()> {
    match fault {
        Fault::None => Ok(()),
        Fault::NodeKilled => fleet.node_mut(KILLED_NODE).kill().await,
        Fault::EngineKilled => {
            fleet.kill_upstream(KILLED_ENGINE).await?;
            tokio::time::sleep(length).await;
            fleet.restart_upstream(KILLED_ENGINE).await
        }
        Fault::PlatformOut => {
            let out = PlatformFaults {
                outage: Some(Outage::Refuse),
                ..PlatformFaults::default()
            };
            fleet.set_platform_faults(&out).await?;
            tokio::time::sleep(length).await;
            fleet.set_platform_faults(&PlatformFaults::default()).await
        }
    }
}
