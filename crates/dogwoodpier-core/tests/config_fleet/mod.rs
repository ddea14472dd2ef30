//! A few nodes that follow the configuration of a simulated platform and use the real decision
//! logic.
//!
//! The platform, operators, links and pauses are simulated. Time advances in ticks, without
//! sleeping.

mod oracle;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::freshness::Freshness;
use dogwoodpier_core::freshness::KeyValidity;
use dogwoodpier_core::freshness::NEVER_CONTACTED_AGE_MS;
use dogwoodpier_core::freshness::REVIEWS_PER_PERIOD;
use dogwoodpier_core::freshness::VersionReport;
use dogwoodpier_core::versions::Versions;

pub const NODES: usize = 5;
pub const OPERATORS: usize = 2;
pub const LIMIT_MS: u64 = 3_000;
/// Maximum number of nodes that may be cut off from the platform while it is up, less than a
/// majority.
pub const MAX_CUT_OFF_NODES: usize = (NODES - 1) / 2;
/// Maximum time from the acceptance of a version to the last use of a key that it withdrew.
pub const WITHDRAWAL_BOUND_MS: u64 =
    LIMIT_MS + LIMIT_MS / 3 + REVIEW_MS + OUTDATED_READ_MS + 2 * TICK_MS;
/// Time without faults after which all nodes must have recovered.
pub const RECOVERY_MS: u64 = 7_000;

const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 500;
const WATCH_MS: u64 = 500;
const REVIEW_MS: u64 = LIMIT_MS / REVIEWS_PER_PERIOD;
const PLATFORM_TIMEOUT_MS: u64 = 2_000;
const PEER_TIMEOUT_MS: u64 = 1_000;
const RETRY_MS: u64 = 300;
const OUTDATED_READ_MS: u64 = 400;
const FETCH_MS: u64 = 100;
// Index of the first node with an old program, which can read only the keys of some versions.
const FIRST_OLD_NODE: usize = NODES - 2;

/// A step of a test.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes.
    Wait(u64),
    /// An operator reads the version in force.
    Read(usize),
    /// An operator applies a change to the version that it read.
    Apply(usize),
    /// The platform fails for all nodes, or recovers.
    Outage(bool),
    /// The platform starts or stops answering with outdated versions.
    OutdatedReads(bool),
    /// A node's link to the platform is cut or restored.
    CutPlatform(usize, bool),
    /// The link from one node to another is cut or restored, in this direction only.
    CutPeer(usize, usize, bool),
    /// A node loses all its links.
    CutAll(usize),
    /// All links of a node are restored.
    RestoreAll(usize),
    /// A node's answers are delayed by this time in milliseconds from now on.
    Slow(usize, u64),
    /// A node's process is paused or continues.
    Pause(usize, bool),
    /// A node is replaced by a new process without any state.
    Replace(usize),
}

struct Reply {
    from: usize,
    deliver_ms: u64,
    asked_ms: u64,
    version: u64,
    contact_age_ms: u64,
    attests_outage: bool,
}

struct PlatformRequest {
    sent_ms: u64,
    read_version: u64,
    // The version that the platform answered, and the time of the answer.
    answer: Option<(u64, u64)>,
}

// A version in transit to a node. Fetches may overtake each other.
struct Fetch {
    deliver_ms: u64,
    version: u64,
}

struct Node {
    runs_old_program: bool,
    versions: Versions,
    freshness: Freshness,
    is_paused: bool,
    has_platform: bool,
    reply_delay_ms: u64,
    request: Option<PlatformRequest>,
    replies: Vec<Reply>,
    fetches: Vec<Fetch>,
    next_request_ms: u64,
    next_heartbeat_ms: u64,
    next_review_ms: u64,
    last_heartbeat_ms: Option<u64>,
    highest_in_force: u64,
    // The versions that the node learned of, with the time of each, in order.
    observed: Vec<(u64, u64)>,
}

/// The fleet, its platform and the state of the oracle.
pub struct Fleet {
    now_ms: u64,
    nodes: Vec<Node>,
    links: [[bool; NODES]; NODES],
    has_outage: bool,
    has_outdated_reads: bool,
    // Time at which each version was accepted. The first entry is version 1.
    accepted_ms: Vec<u64>,
    read_versions: [u64; OPERATORS],
    up_since_ms: u64,
    last_fault_ms: u64,
    // Whether each node has had no fault of its own since before the outage.
    is_steady: [bool; NODES],
    // Highest version whose withdrawals must be in force on every node with valid keys.
    required_version: u64,
}

impl Node {
    fn new(index: usize, now_ms: u64) -> Self {
        Self {
            runs_old_program: index >= FIRST_OLD_NODE,
            versions: Versions::default(),
            freshness: Freshness::new(LIMIT_MS, LIMIT_MS),
            is_paused: false,
            has_platform: true,
            reply_delay_ms: 0,
            request: None,
            replies: Vec::new(),
            fetches: Vec::new(),
            next_request_ms: now_ms,
            next_heartbeat_ms: now_ms,
            next_review_ms: now_ms,
            last_heartbeat_ms: None,
            highest_in_force: 0,
            observed: Vec::new(),
        }
    }

    fn activate(&mut self, version: u64) {
        if self.runs_old_program && version.is_multiple_of(3) && self.versions.in_force() > 0 {
            self.versions.activate_keys(version);
        } else {
            self.versions.activate(version);
        }
        self.freshness.apply_pending(&mut self.versions);
    }

    fn handle_version_report(&mut self, version: u64, contact_ms: u64) {
        let contact_ms = TimeMs(contact_ms);
        let report = VersionReport {
            version,
            contact_ms,
        };
        self.freshness
            .handle_version_report(report, &mut self.versions);
    }
}

impl Fleet {
    pub fn new() -> Self {
        Self {
            now_ms: 1_000_000,
            nodes: (0..NODES)
                .map(|index| Node::new(index, 1_000_000))
                .collect(),
            links: [[true; NODES]; NODES],
            has_outage: false,
            has_outdated_reads: false,
            accepted_ms: vec![1_000_000],
            read_versions: [0; OPERATORS],
            up_since_ms: 1_000_000,
            last_fault_ms: 1_000_000,
            is_steady: [false; NODES],
            required_version: 0,
        }
    }

    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait(wait_ms) => {
                for _ in 0..wait_ms / TICK_MS {
                    self.tick();
                }
                return;
            }
            Step::Read(operator) => self.read_versions[operator] = self.accepted(),
            Step::Apply(operator) => {
                // The write is conditional on the version read, so only one of two racing operators
                // succeeds.
                if !self.has_outage && self.read_versions[operator] == self.accepted() {
                    self.accepted_ms.push(self.now_ms);
                }
            }
            Step::Outage(has_outage) => {
                if self.has_outage && !has_outage {
                    self.up_since_ms = self.now_ms;
                }
                if !self.has_outage && has_outage {
                    self.is_steady = std::array::from_fn(|node| self.is_healthy(node));
                }
                self.has_outage = has_outage;
                self.last_fault_ms = self.now_ms;
            }
            Step::OutdatedReads(has_outdated_reads) => self.has_outdated_reads = has_outdated_reads,
            Step::CutPlatform(node, cut) => self.set_platform_cut(node, cut),
            Step::CutAll(node) => self.set_all_cut(node, true),
            Step::RestoreAll(node) => self.set_all_cut(node, false),
            Step::CutPeer(from, to, cut) => {
                self.links[from][to] = !cut;
                self.record_fault(from);
                self.record_fault(to);
            }
            Step::Slow(node, delay_ms) => {
                self.nodes[node].reply_delay_ms = delay_ms;
                self.record_fault(node);
            }
            Step::Pause(node, paused) => {
                self.nodes[node].is_paused = paused;
                self.record_fault(node);
            }
            Step::Replace(node) => {
                let has_platform = self.nodes[node].has_platform;
                self.nodes[node] = Node::new(node, self.now_ms);
                self.nodes[node].has_platform = has_platform;
                self.record_fault(node);
            }
        }
        self.check_invariants();
    }

    fn set_platform_cut(&mut self, node: usize, cut: bool) {
        let cut_off = self.nodes.iter().filter(|node| !node.has_platform).count();
        if !cut || cut_off < MAX_CUT_OFF_NODES {
            self.nodes[node].has_platform = !cut;
        }
        self.record_fault(node);
    }

    fn record_fault(&mut self, node: usize) {
        self.is_steady[node] = false;
        self.last_fault_ms = self.now_ms;
    }

    // Returns whether a node has no fault and a recent report of the version in force.
    fn is_healthy(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let is_linked = (0..NODES).all(|peer| self.links[index][peer] && self.links[peer][index]);
        let validity = node
            .freshness
            .key_validity(&node.versions, TimeMs(self.now_ms));
        let is_whole = node.versions.in_force() == node.versions.highest_seen();
        let is_prompt = !node.is_paused && node.reply_delay_ms == 0 && node.has_platform;
        is_linked && is_prompt && is_whole && validity == KeyValidity::Fresh
    }

    fn set_all_cut(&mut self, node: usize, cut: bool) {
        self.set_platform_cut(node, cut);
        for peer in 0..NODES {
            self.links[node][peer] = !cut;
            self.links[peer][node] = !cut;
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.answer_requests();
        for index in 0..NODES {
            if !self.nodes[index].is_paused {
                self.activate_fetched(index);
                self.handle_replies(index);
                self.call_platform(index);
                self.send_heartbeats(index);
                self.review(index);
            }
        }
        if !self.has_outage && self.now_ms - self.up_since_ms >= WITHDRAWAL_BOUND_MS {
            self.required_version = self.accepted_by(self.now_ms - WITHDRAWAL_BOUND_MS);
        }
        self.check_invariants();
    }

    // The platform answers whether or not the process that sent the request is paused.
    fn answer_requests(&mut self) {
        let read_ms = self.now_ms
            - if self.has_outdated_reads {
                OUTDATED_READ_MS
            } else {
                0
            };
        let version = self.accepted_by(read_ms);
        for node in &mut self.nodes {
            if let Some(request) = &mut node.request
                && request.answer.is_none()
                && node.has_platform
                && !self.has_outage
            {
                let waited = self.now_ms - request.sent_ms >= WATCH_MS;
                if version > request.read_version || waited {
                    request.answer = Some((version, self.now_ms));
                }
            }
        }
    }

    fn call_platform(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(request) = &node.request {
            if let Some((version, _)) = request.answer {
                let sent_ms = request.sent_ms;
                node.request = None;
                node.next_request_ms = self.now_ms;
                node.freshness.record_response();
                node.handle_version_report(version, sent_ms);
                if node.versions.observe(version) {
                    let deliver_ms = self.now_ms + FETCH_MS;
                    node.fetches.push(Fetch {
                        deliver_ms,
                        version,
                    });
                }
            } else if self.now_ms - request.sent_ms >= PLATFORM_TIMEOUT_MS {
                node.request = None;
                node.next_request_ms = self.now_ms + RETRY_MS;
            }
        }
        let node = &mut self.nodes[index];
        if node.request.is_none() && self.now_ms >= node.next_request_ms {
            node.freshness.record_request();
            node.request = Some(PlatformRequest {
                sent_ms: self.now_ms,
                read_version: node.versions.keys(),
                answer: None,
            });
        }
    }

    fn send_heartbeats(&mut self, index: usize) {
        if self.now_ms < self.nodes[index].next_heartbeat_ms {
            return;
        }
        self.nodes[index].next_heartbeat_ms = self.now_ms + HEARTBEAT_MS;
        self.nodes[index].last_heartbeat_ms = Some(self.now_ms);
        for peer in 0..NODES {
            if peer == index || !self.links[index][peer] || self.nodes[peer].is_paused {
                continue;
            }
            let version = self.nodes[index].versions.in_force();
            self.observe_peer_version(peer, index, version);
            if self.links[peer][index] {
                let responder = &self.nodes[peer];
                let is_whole = responder.versions.keys() == responder.versions.in_force();
                let contact_age_ms = if is_whole {
                    responder.freshness.contact_age_ms(TimeMs(self.now_ms))
                } else {
                    NEVER_CONTACTED_AGE_MS
                };
                let reply = Reply {
                    from: peer,
                    deliver_ms: self.now_ms + responder.reply_delay_ms,
                    asked_ms: self.now_ms,
                    version: responder.versions.in_force(),
                    contact_age_ms,
                    attests_outage: responder
                        .freshness
                        .reports_outage(&responder.versions, TimeMs(self.now_ms)),
                };
                self.nodes[index].replies.push(reply);
            }
        }
    }

    fn activate_fetched(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        let fetches = std::mem::take(&mut node.fetches);
        for fetch in fetches {
            if fetch.deliver_ms <= now_ms {
                node.activate(fetch.version);
            } else {
                node.fetches.push(fetch);
            }
        }
    }

    // Replies that arrived while the process was paused are read when it continues, however late.
    fn handle_replies(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let replies = std::mem::take(&mut self.nodes[index].replies);
        let (due, later): (Vec<Reply>, Vec<Reply>) = replies
            .into_iter()
            .partition(|reply| reply.deliver_ms <= now_ms);
        self.nodes[index].replies = later;
        for reply in due {
            if reply.deliver_ms - reply.asked_ms > PEER_TIMEOUT_MS {
                continue;
            }
            let node = &mut self.nodes[index];
            if reply.contact_age_ms < reply.asked_ms {
                node.handle_version_report(reply.version, reply.asked_ms - reply.contact_age_ms);
            }
            let instance = format!("node-{}", reply.from);
            node.freshness.handle_outage_report(
                &instance,
                reply.attests_outage,
                TimeMs(reply.asked_ms),
            );
            self.observe_peer_version(index, reply.from, reply.version);
        }
    }

    // A node learns of a peer's version and fetches it from the peer if it is higher than its own.
    fn observe_peer_version(&mut self, index: usize, peer: usize, version: u64) {
        let reaches = self.links[index][peer] && self.links[peer][index];
        if self.nodes[index].versions.observe(version) && reaches && !self.nodes[peer].is_paused {
            let responder = &self.nodes[peer];
            let fetch = Fetch {
                deliver_ms: self.now_ms + responder.reply_delay_ms,
                version: responder.versions.in_force(),
            };
            self.nodes[index].fetches.push(fetch);
        }
    }

    fn review(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        if now_ms < node.next_review_ms {
            return;
        }
        node.next_review_ms = now_ms + REVIEW_MS;
        let called_recently = node
            .last_heartbeat_ms
            .is_some_and(|last_heartbeat_ms| now_ms - last_heartbeat_ms <= LIMIT_MS);
        let called_peers = if called_recently { NODES - 1 } else { 0 };
        node.freshness.review(called_peers, TimeMs(now_ms));
    }
}
