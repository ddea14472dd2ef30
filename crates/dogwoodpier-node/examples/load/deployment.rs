//! The two deployments: their engines, workspaces and load.

use std::fmt::Write;
use std::ops::Range;

use dogwoodpier_config::keys::hash_key;
use dogwoodpier_derive::plain;
use dogwoodpier_fakes::engine::EngineOptions;
use dogwoodpier_fakes::engine::EngineRole;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::fleet::UpstreamKind;
use dogwoodpier_fakes::fleet::UpstreamPlan;

use crate::arguments::Arguments;
use crate::arguments::Run;

/// Name of the model that all workspaces use.
pub const MODEL: &str = "drafts";
/// Pool of prefill engines.
pub const PREFILL_POOL: &str = "drafts-prefill";
/// Pool of decode engines.
pub const DECODE_POOL: &str = "drafts-decode";
/// Pool of plain services.
pub const SERVICE_POOL: &str = "desk";
/// Tokens that a call to a plain service is charged with.
pub const CALL_TOKENS: u64 = 10;

const SLOTS_PER_NODE: usize = 4;
const SERVICE_WORK_MS: u64 = 5;
const TOKEN_GAP_TARGET_MS: u64 = 45;
const REQUEST_TIMEOUT_MS: u64 = 60_000;
/// Demand of a workspace that stays within its rate, in percent of the rate.
const DEFAULT_DEMAND_PERCENT: u64 = 90;
/// Size of a burst in seconds at the rate, unless `MIN_BURST_REQUESTS` need more.
const BURST_S: u64 = 5;
/// Number of the workspace's largest requests that always fit into a burst.
const MIN_BURST_REQUESTS: u64 = 4;

/// A deployment with its load.
#[plain]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of prefill engines.
    pub prefill_engines: usize,
    /// Number of decode engines.
    pub decode_engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Orders a second, each of which may run once.
    pub orders_per_s: f64,
    /// Lookups a second.
    pub lookups_per_s: f64,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
}

/// A workspace and its load.
#[plain]
pub struct Workspace {
    /// Name, also of its key.
    pub name: &'static str,
    /// Share of the demand within rates, in percent of all tokens.
    pub share_percent: u64,
    /// Tokens of a prompt.
    pub prompt_tokens: Range<u64>,
    /// Tokens of an answer.
    pub answer_tokens: Range<u64>,
    /// Target for the first token.
    pub first_token_target_ms: u64,
    /// Priority.
    pub priority: i32,
    /// Demand of the workspace, in percent of its rate.
    pub demand_percent: u64,
    /// Rate in tokens a second, derived from the capacity.
    pub rate_tokens_per_s: u64,
}

impl Workspace {
    /// Returns true if the workspace sends no more than its rate.
    pub fn is_within_rate(&self) -> bool {
        self.demand_percent <= 100
    }

    /// Returns the burst of the workspace.
    pub fn burst_tokens(&self) -> u64 {
        let largest = self.prompt_tokens.end + 2 * self.answer_tokens.end;
        (self.rate_tokens_per_s * BURST_S).max(largest * MIN_BURST_REQUESTS)
    }

    /// Returns the target for the time between two tokens.
    pub fn token_gap_target_ms(&self) -> u64 {
        TOKEN_GAP_TARGET_MS
    }

    /// Returns the mean tokens of a prompt and its answer together.
    fn mean_tokens(&self) -> f64 {
        mean(&self.prompt_tokens) + mean(&self.answer_tokens)
    }

    /// Returns the model requests a second that the workspace sends.
    pub fn requests_per_s(&self) -> f64 {
        let demand = self.rate_tokens_per_s as f64 * self.demand_percent as f64 / 100.0;
        demand / self.mean_tokens()
    }

    /// Returns the key that the callers of the workspace present.
    pub fn key(&self) -> String {
        format!("secret-key-of-{}", self.name)
    }
}

impl Deployment {
    /// Returns a deployment whose demand within rates is `load_percent` of its capacity.
    pub fn named(name: &str, load_percent: u64) -> Self {
        let mut deployment = if name == "quentao" {
            quentao()
        } else {
            kovacevic()
        };
        let demand = deployment.capacity_tokens_per_s() * load_percent as f64 / 100.0;
        for workspace in &mut deployment.workspaces {
            let demand = demand * workspace.share_percent as f64 / 100.0;
            let within_percent = workspace.demand_percent.min(100) as f64;
            workspace.rate_tokens_per_s = (demand * 100.0 / within_percent) as u64;
        }
        deployment
    }

    /// Returns the capacity of the engines for this mix without hits in prefix caches, in tokens a
    /// second of prompts and answers together: the minimum of what prefill, decode sequences and KV
    /// pieces allow.
    pub fn capacity_tokens_per_s(&self) -> f64 {
        let decode = engine(EngineRole::Decode);
        let gap_s = full_batch_gap_s(&decode);
        let mut prompt_tokens = 0.0;
        let mut answer_tokens = 0.0;
        let mut piece_s = 0.0;
        // The sums are per token of demand.
        for workspace in &self.workspaces {
            let requests = workspace.share_percent as f64 / 100.0 / workspace.mean_tokens();
            let prompt = mean(&workspace.prompt_tokens);
            let answer = mean(&workspace.answer_tokens);
            prompt_tokens += requests * prompt;
            answer_tokens += requests * answer;
            let pieces = (prompt + answer) / f64::from(decode.tokens_per_piece);
            piece_s += requests * answer * gap_s * pieces;
        }
        let all_pieces = self.decode_engines as f64 * f64::from(decode.max_pieces);
        let by_prefill = self.prefill_tokens_per_s() / prompt_tokens;
        let by_decode = self.decode_tokens_per_s() / answer_tokens;
        let by_pieces = all_pieces / piece_s;
        by_prefill.min(by_decode).min(by_pieces)
    }

    /// Returns the prompt tokens a second that all prefill engines compute.
    pub fn prefill_tokens_per_s(&self) -> f64 {
        let prefill = engine(EngineRole::Prefill);
        self.prefill_engines as f64 * prefill.prefill_tokens_per_s as f64
    }

    /// Returns the output tokens a second of all decode engines with full batches.
    pub fn decode_tokens_per_s(&self) -> f64 {
        let decode = engine(EngineRole::Decode);
        let batch_tokens_per_s = f64::from(decode.max_sequences) / full_batch_gap_s(&decode);
        self.decode_engines as f64 * batch_tokens_per_s
    }

    /// Returns the plan of a fleet that runs the deployment.
    pub fn plan(&self, arguments: &Arguments, run: &Run) -> FleetPlan {
        let mut plan = FleetPlan::new(&arguments.node_program, arguments.nodes, self.data_centres);
        plan.placement = dogwoodpier_fakes::fleet::Placement::Processes {
            directory: arguments.stand_ins.clone(),
        };
        let kinds = [
            ("prefill", PREFILL_POOL, self.prefill_engines),
            ("decode", DECODE_POOL, self.decode_engines),
            ("desk", SERVICE_POOL, self.services),
        ];
        for (name, pool, count) in kinds {
            for number in 0..count {
                plan.upstreams.push(UpstreamPlan {
                    name: format!("{name}-{}", number + 1),
                    data_centre: format!("dc-{}", number % self.data_centres + 1),
                    pool: pool.to_owned(),
                    kind: upstream_kind(pool, number),
                });
            }
        }
        plan.declarations = self.declarations(arguments.nodes);
        plan.node_settings = format!(
            "{}\n[routing]\npolicy = \"{}\"\n[log]\nlevel = \"warn\"\n",
            arguments.node_settings, run.policy
        );
        plan
    }

    fn declarations(&self, nodes: usize) -> String {
        let link_bytes_per_s = engine(EngineRole::Decode).link_bytes_per_s;
        let mut toml = format!(
            "[fleet]\nslot_count = {}\n\
             [defaults.workspaces]\nrate_tokens_per_s = 1000\nburst_tokens = 10000\n\
             token_gap_target_ms = {TOKEN_GAP_TARGET_MS}\n\
             request_timeout_ms = {REQUEST_TIMEOUT_MS}\n\
             [defaults.pools]\nlink_bytes_per_s = {link_bytes_per_s}\n\
             progress_timeout_ms = 2000\n\
             [defaults.routes]\ncost_tokens = {CALL_TOKENS}\ntimeout_ms = 5000\n\
             [pools.{PREFILL_POOL}]\nkind = \"prefill\"\n\
             [pools.{DECODE_POOL}]\nkind = \"decode\"\n\
             [pools.{SERVICE_POOL}]\nkind = \"service\"\n\
             [models.{MODEL}]\nprefill_pool = \"{PREFILL_POOL}\"\ndecode_pool = \"{DECODE_POOL}\"\n\
             [routes.orders]\npath_prefix = \"/orders\"\nmethods = [\"POST\"]\n\
             pool = \"{SERVICE_POOL}\"\nidempotent = false\n\
             [routes.lookups]\npath_prefix = \"/lookups\"\nmethods = [\"GET\"]\n\
             pool = \"{SERVICE_POOL}\"\nidempotent = true\n",
            nodes * SLOTS_PER_NODE
        );
        for workspace in &self.workspaces {
            workspace.write_declarations(&mut toml);
        }
        toml
    }
}

impl Workspace {
    fn write_declarations(&self, toml: &mut String) {
        let name = self.name;
        let hash = hash_key(&self.key());
        // Writing to a string can't fail.
        let _ = write!(
            toml,
            "[workspaces.{name}]\n\
             [keys.{name}]\nworkspace = \"{name}\"\nsha256 = \"{hash}\"\n"
        );
        let values = [
            ("rate_tokens_per_s", self.rate_tokens_per_s.to_string()),
            ("burst_tokens", self.burst_tokens().to_string()),
            (
                "first_token_target_ms",
                self.first_token_target_ms.to_string(),
            ),
            ("priority", self.priority.to_string()),
        ];
        for (field, value) in values {
            let _ = write!(
                toml,
                "[[exceptions]]\nchange = \"workspaces.{name}.{field}\"\nvalue = {value}\n\
                 reason = \"Its load differs.\"\n"
            );
        }
    }
}

fn engine(role: EngineRole) -> EngineOptions {
    EngineOptions {
        bytes_per_piece: 256,
        link_bytes_per_s: 4_000_000,
        ..EngineOptions::new(role)
    }
}

fn full_batch_gap_s(decode: &EngineOptions) -> f64 {
    let batch_us = decode.token_gap_per_sequence_us * u64::from(decode.max_sequences);
    (decode.token_gap_us + batch_us) as f64 / 1e6
}

fn upstream_kind(pool: &str, number: usize) -> UpstreamKind {
    let role = match pool {
        PREFILL_POOL => EngineRole::Prefill,
        DECODE_POOL => EngineRole::Decode,
        _ => {
            return UpstreamKind::Service {
                work_ms: SERVICE_WORK_MS,
            };
        }
    };
    UpstreamKind::Engine(EngineOptions {
        seed: number as u64,
        ..engine(role)
    })
}

fn mean(range: &Range<u64>) -> f64 {
    (range.start + range.end) as f64 / 2.0
}

fn workspace(
    name: &'static str,
    share_percent: u64,
    prompt_tokens: Range<u64>,
    answer_tokens: Range<u64>,
    first_token_target_ms: u64,
) -> Workspace {
    Workspace {
        name,
        share_percent,
        prompt_tokens,
        answer_tokens,
        first_token_target_ms,
        priority: 0,
        demand_percent: DEFAULT_DEMAND_PERCENT,
        rate_tokens_per_s: 0,
    }
}

/// Quotes from long tenders that sales staff wait for, and an order desk with a short latency
/// target.
fn kovacevic() -> Deployment {
    Deployment {
        name: "kovacevic",
        data_centres: 4,
        prefill_engines: 4,
        decode_engines: 5,
        services: 4,
        orders_per_s: 5.0,
        lookups_per_s: 20.0,
        workspaces: vec![
            workspace("sales", 38, 2_000..10_000, 120..320, 4_000),
            workspace("tenders", 27, 4_000..24_000, 150..400, 6_000),
            Workspace {
                priority: 10,
                ..workspace("order-desk", 12, 60..900, 30..120, 800)
            },
            workspace("farms", 10, 300..3_000, 60..200, 2_000),
            Workspace {
                demand_percent: 400,
                ..workspace("municipal", 13, 500..6_000, 80..240, 3_000)
            },
        ],
    }
}

/// Summaries of long season files that no user waits for, and requests of stores.
fn quentao() -> Deployment {
    Deployment {
        name: "quentao",
        data_centres: 3,
        prefill_engines: 5,
        decode_engines: 4,
        services: 3,
        orders_per_s: 8.0,
        lookups_per_s: 25.0,
        workspaces: vec![
            workspace("season-south", 36, 6_000..24_000, 80..200, 8_000),
            workspace("season-north", 24, 6_000..24_000, 80..200, 8_000),
            Workspace {
                priority: 5,
                ..workspace("pricing", 14, 100..1_500, 40..150, 1_000)
            },
            workspace("head-office", 12, 2_000..8_000, 100..240, 4_000),
            Workspace {
                demand_percent: 400,
                ..workspace("stores", 14, 500..5_000, 60..200, 3_000)
            },
        ],
    }
}
