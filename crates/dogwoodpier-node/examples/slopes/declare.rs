//! Generates the declarations of a fleet of given sizes.

use sha2::Digest;
use sha2::Sha256;

/// Pool of prefill engines.
pub const PREFILL_POOL: &str = "prefill";
/// Pool of decode engines.
pub const DECODE_POOL: &str = "decode";
/// Pool of the plain service.
pub const SERVICE_POOL: &str = "service";
/// Path that the plain service serves.
pub const LOOKUP_PATH: &str = "/stock/1";

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Number of nodes.
    pub nodes: u32,
    /// Number of workspaces, each with one key.
    pub workspaces: u32,
    /// Number of engines.
    pub upstreams: u32,
    /// Number of slots.
    pub slots: u32,
    /// Lookups a second over all nodes.
    pub requests_per_s: u32,
}

/// Returns the key of a workspace.
pub fn key(workspace: u32) -> String {
    format!("key-{workspace}")
}

/// Returns the declarations of a fleet.
pub fn declarations(sizes: &Sizes) -> String {
    let mut toml = format!(
        "[fleet]\nslot_count = {}\n\
         [defaults.workspaces]\nrate_tokens_per_s = 1_000_000\nburst_tokens = 2_000_000\n\
         [pools.{PREFILL_POOL}]\nkind = \"prefill\"\n\
         [pools.{DECODE_POOL}]\nkind = \"decode\"\n\
         [pools.{SERVICE_POOL}]\nkind = \"service\"\n\
         [models.quotes]\nprefill_pool = \"{PREFILL_POOL}\"\ndecode_pool = \"{DECODE_POOL}\"\n\
         [routes.stock]\npath_prefix = \"/stock\"\npool = \"{SERVICE_POOL}\"\nidempotent = true\n",
        sizes.slots
    );
    for workspace in 0..sizes.workspaces {
        let hash = hex::encode(Sha256::digest(key(workspace)));
        toml += &format!(
            "[workspaces.w{workspace}]\n\
             [keys.k{workspace}]\nworkspace = \"w{workspace}\"\nsha256 = \"{hash}\"\n"
        );
    }
    toml
}
