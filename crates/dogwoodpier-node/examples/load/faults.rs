//! Injects faults under load.

use std::time::Duration;

use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::platform::PlatformFaults;
use dogwoodpier_fakes::platform::faults::Outage;

use crate::arguments::Fault;

const KILLED_NODE: &str = "node-1";
const KILLED_ENGINE: &str = "decode-1";

/// Injects a fault and, if it is temporary, ends it after `duration`.
pub async fn inject(fleet: &mut Fleet, fault: Fault, duration: Duration) -> anyhow::Result<()> {
    match fault {
        Fault::None => Ok(()),
        Fault::NodeKilled => fleet.node_mut(KILLED_NODE).kill().await,
        Fault::EngineKilled => {
            fleet.kill_upstream(KILLED_ENGINE).await?;
            tokio::time::sleep(duration).await;
            fleet.restart_upstream(KILLED_ENGINE).await
        }
        Fault::PlatformOut => {
            let outage = PlatformFaults {
                outage: Some(Outage::Refuse),
                ..PlatformFaults::default()
            };
            fleet.set_platform_faults(&outage).await?;
            tokio::time::sleep(duration).await;
            fleet.set_platform_faults(&PlatformFaults::default()).await
        }
    }
}
