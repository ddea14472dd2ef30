//! A few nodes that follow the configuration of a modelled platform, with the real decisions.
//!
//! The platform, operators, links and pauses are a model. Time advances in ticks; nothing sleeps.

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
/// Most nodes that may be cut off from the platform while it is up, short of a majority.
pub const MAX_CUT_OFF: usize = (NODES - 1) / 2;
/// Time from the acceptance of a version to the last use of a key that it withdrew.
pub const BOUND_MS: u64 = LIMIT_MS + LIMIT_MS / 3 + REVIEW_MS + OLD_READ_MS + 2 * TICK_MS;
/// Time without faults after which everything is as it should be.
pub const CALM_MS: u64 = 7_000;

const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 500;
const WATCH_MS: u64 = 500;
const REVIEW_MS: u64 = LIMIT_MS / REVIEWS_PER_PERIOD;
const PLATFORM_TIMEOUT_MS: u64 = 2_000;
const PEER_TIMEOUT_MS: u64 = 1_000;
const RETRY_MS: u64 = 300;
const OLD_READ_MS: u64 = 400;
const FETCH_MS: u64 = 100;
// Nodes from here on run a program that can read only the keys of some versions.
const OLD_PROGRAMS: usize = NODES - 2;

/// What happens next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes.
    Wait(u64),
    /// An operator reads the version in force.
    Read(usize),
    /// An operator applies a change to the version that it read.
    Apply(usize),
    /// The platform goes out for all, or comes back.
    Outage(bool),
    /// The platform answers with what was some time ago, or no longer.
    OldReads(bool),
    /// A node's link to the platform is cut or mended.
    CutPlatform(usize, bool),
    /// The link from one node to another is cut or mended, in this direction only.
    CutPeer(usize, usize, bool),
    /// A node loses all its links.
    CutAll(usize),
    /// A node gets all its links back.
    MendAll(usize),
    /// A node's answers take so much longer from now on.
    Slow(usize, u64),
    /// A node's process is stopped or goes on.
    Pause(usize, bool),
    /// A node is replaced by a new process that knows nothing.
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

struct Question {
    sent_ms: u64,
    read_version: u64,
    // Set when the platform has answered, with the version that it answered.
    answer: Option<(u64, u64)>,
}

// A version on its way to a node, which may cross with another one.
struct Fetch {
    deliver_ms: u64,
    version: u64,
}

struct Member {
    runs_old_program: bool,
    versions: Versions,
    freshness: Freshness,
    is_paused: bool,
    has_platform: bool,
    reply_delay_ms: u64,
    question: Option<Question>,
    replies: Vec<Reply>,
    fetches: Vec<Fetch>,
    ask_ms: u64,
    beat_ms: u64,
    review_ms: u64,
    tried_ms: Option<u64>,
    highest_taken: u64,
    // The versions that the node got to know of, and when, in order.
    seen: Vec<(u64, u64)>,
}

/// The fleet, its platform and the oracle's records.
pub struct Fleet {
    now_ms: u64,
    nodes: Vec<Member>,
    links: [[bool; NODES]; NODES],
    is_out: bool,
    old_reads: bool,
    // When each version was accepted; the first is version 1.
    accepted_ms: Vec<u64>,
    read_by_operator: [u64; OPERATORS],
    up_since_ms: u64,
    calm_since_ms: u64,
    // Whether each node was without a fault of its own since before the outage.
    is_steady: [bool; NODES],
    // Highest version whose withdrawals must be in force wherever keys are relied on.
    due: u64,
}

impl Member {
    fn new(index: usize, now_ms: u64) -> Self {
        Self {
            runs_old_program: index >= OLD_PROGRAMS,
            versions: Versions::default(),
            freshness: Freshness::new(LIMIT_MS, LIMIT_MS),
            is_paused: false,
            has_platform: true,
            reply_delay_ms: 0,
            question: None,
            replies: Vec::new(),
            fetches: Vec::new(),
            ask_ms: now_ms,
            beat_ms: now_ms,
            review_ms: now_ms,
            tried_ms: None,
            highest_taken: 0,
            seen: Vec::new(),
        }
    }

    fn take(&mut self, version: u64) {
        if self.runs_old_program && version.is_multiple_of(3) && self.versions.in_force() > 0 {
            self.versions.activate_keys(version);
        } else {
            self.versions.activate(version);
        }
        self.freshness.apply_pending(&mut self.versions);
    }

    fn take_news(&mut self, version: u64, contact_ms: u64) {
        let contact_ms = TimeMs(contact_ms);
        let news = VersionReport {
            version,
            contact_ms,
        };
        self.freshness
            .handle_version_report(news, &mut self.versions);
    }
}

impl Fleet {
    pub fn new() -> Self {
        Self {
            now_ms: 1_000_000,
            nodes: (0..NODES)
                .map(|index| Member::new(index, 1_000_000))
                .collect(),
            links: [[true; NODES]; NODES],
            is_out: false,
            old_reads: false,
            accepted_ms: vec![1_000_000],
            read_by_operator: [0; OPERATORS],
            up_since_ms: 1_000_000,
            calm_since_ms: 1_000_000,
            is_steady: [false; NODES],
            due: 0,
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
            Step::Read(operator) => self.read_by_operator[operator] = self.accepted(),
            Step::Apply(operator) => {
                // Conditional on the version read, so one of two racing operators wins.
                if !self.is_out && self.read_by_operator[operator] == self.accepted() {
                    self.accepted_ms.push(self.now_ms);
                }
            }
            Step::Outage(is_out) => {
                if self.is_out && !is_out {
                    self.up_since_ms = self.now_ms;
                }
                if !self.is_out && is_out {
                    self.is_steady = std::array::from_fn(|node| self.is_sound(node));
                }
                self.is_out = is_out;
                self.calm_since_ms = self.now_ms;
            }
            Step::OldReads(old_reads) => self.old_reads = old_reads,
            Step::CutPlatform(node, cut) => self.cut_platform(node, cut),
            Step::CutAll(node) => self.cut_all(node, true),
            Step::MendAll(node) => self.cut_all(node, false),
            Step::CutPeer(from, to, cut) => {
                self.links[from][to] = !cut;
                self.disturb(from);
                self.disturb(to);
            }
            Step::Slow(node, delay_ms) => {
                self.nodes[node].reply_delay_ms = delay_ms;
                self.disturb(node);
            }
            Step::Pause(node, paused) => {
                self.nodes[node].is_paused = paused;
                self.disturb(node);
            }
            Step::Replace(node) => {
                let has_platform = self.nodes[node].has_platform;
                self.nodes[node] = Member::new(node, self.now_ms);
                self.nodes[node].has_platform = has_platform;
                self.disturb(node);
            }
        }
        self.check();
    }

    fn cut_platform(&mut self, node: usize, cut: bool) {
        let cut_off = self.nodes.iter().filter(|node| !node.has_platform).count();
        if !cut || cut_off < MAX_CUT_OFF {
            self.nodes[node].has_platform = !cut;
        }
        self.disturb(node);
    }

    fn disturb(&mut self, node: usize) {
        self.is_steady[node] = false;
        self.calm_since_ms = self.now_ms;
    }

    // A node that nothing is wrong with and that has had recent news.
    fn is_sound(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let is_linked = (0..NODES).all(|peer| self.links[index][peer] && self.links[peer][index]);
        let trust = node
            .freshness
            .key_validity(&node.versions, TimeMs(self.now_ms));
        let is_whole = node.versions.in_force() == node.versions.highest_seen();
        let is_prompt = !node.is_paused && node.reply_delay_ms == 0 && node.has_platform;
        is_linked && is_prompt && is_whole && trust == KeyValidity::Fresh
    }

    fn cut_all(&mut self, node: usize, cut: bool) {
        self.cut_platform(node, cut);
        for peer in 0..NODES {
            self.links[node][peer] = !cut;
            self.links[peer][node] = !cut;
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.answer_questions();
        for index in 0..NODES {
            if !self.nodes[index].is_paused {
                self.take_fetched(index);
                self.take_replies(index);
                self.ask_platform(index);
                self.beat(index);
                self.review(index);
            }
        }
        if !self.is_out && self.now_ms - self.up_since_ms >= BOUND_MS {
            self.due = self.accepted_before(self.now_ms - BOUND_MS);
        }
        self.check();
    }

    // The platform answers whether or not the asking process runs.
    fn answer_questions(&mut self) {
        let read_ms = self.now_ms - if self.old_reads { OLD_READ_MS } else { 0 };
        let version = self.accepted_before(read_ms);
        for node in &mut self.nodes {
            if let Some(question) = &mut node.question
                && question.answer.is_none()
                && node.has_platform
                && !self.is_out
            {
                let waited = self.now_ms - question.sent_ms >= WATCH_MS;
                if version > question.read_version || waited {
                    question.answer = Some((version, self.now_ms));
                }
            }
        }
    }

    fn ask_platform(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(question) = &node.question {
            if let Some((version, _)) = question.answer {
                let sent_ms = question.sent_ms;
                node.question = None;
                node.ask_ms = self.now_ms;
                node.freshness.record_response();
                node.take_news(version, sent_ms);
                if node.versions.observe(version) {
                    let deliver_ms = self.now_ms + FETCH_MS;
                    node.fetches.push(Fetch {
                        deliver_ms,
                        version,
                    });
                }
            } else if self.now_ms - question.sent_ms >= PLATFORM_TIMEOUT_MS {
                node.question = None;
                node.ask_ms = self.now_ms + RETRY_MS;
            }
        }
        let node = &mut self.nodes[index];
        if node.question.is_none() && self.now_ms >= node.ask_ms {
            node.freshness.record_request();
            node.question = Some(Question {
                sent_ms: self.now_ms,
                read_version: node.versions.keys(),
                answer: None,
            });
        }
    }

    fn beat(&mut self, index: usize) {
        if self.now_ms < self.nodes[index].beat_ms {
            return;
        }
        self.nodes[index].beat_ms = self.now_ms + HEARTBEAT_MS;
        self.nodes[index].tried_ms = Some(self.now_ms);
        for peer in 0..NODES {
            if peer == index || !self.links[index][peer] || self.nodes[peer].is_paused {
                continue;
            }
            let version = self.nodes[index].versions.in_force();
            self.hear(peer, index, version);
            if self.links[peer][index] {
                let answering = &self.nodes[peer];
                let is_whole = answering.versions.keys() == answering.versions.in_force();
                let contact_age_ms = if is_whole {
                    answering.freshness.contact_age_ms(TimeMs(self.now_ms))
                } else {
                    NEVER_CONTACTED_AGE_MS
                };
                let reply = Reply {
                    from: peer,
                    deliver_ms: self.now_ms + answering.reply_delay_ms,
                    asked_ms: self.now_ms,
                    version: answering.versions.in_force(),
                    contact_age_ms,
                    attests_outage: answering
                        .freshness
                        .reports_outage(&answering.versions, TimeMs(self.now_ms)),
                };
                self.nodes[index].replies.push(reply);
            }
        }
    }

    fn take_fetched(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        let fetches = std::mem::take(&mut node.fetches);
        for fetch in fetches {
            if fetch.deliver_ms <= now_ms {
                node.take(fetch.version);
            } else {
                node.fetches.push(fetch);
            }
        }
    }

    // Replies that came while the process was stopped are read when it goes on, however late.
    fn take_replies(&mut self, index: usize) {
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
                node.take_news(reply.version, reply.asked_ms - reply.contact_age_ms);
            }
            let instance = format!("node-{}", reply.from);
            node.freshness.handle_outage_report(
                &instance,
                reply.attests_outage,
                TimeMs(reply.asked_ms),
            );
            self.hear(index, reply.from, reply.version);
        }
    }

    // A node hears of a peer's version and fetches a higher one from it.
    fn hear(&mut self, index: usize, peer: usize, version: u64) {
        let reaches = self.links[index][peer] && self.links[peer][index];
        if self.nodes[index].versions.observe(version) && reaches && !self.nodes[peer].is_paused {
            let answering = &self.nodes[peer];
            let fetch = Fetch {
                deliver_ms: self.now_ms + answering.reply_delay_ms,
                version: answering.versions.in_force(),
            };
            self.nodes[index].fetches.push(fetch);
        }
    }

    fn review(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        if now_ms < node.review_ms {
            return;
        }
        node.review_ms = now_ms + REVIEW_MS;
        let tried_lately = node
            .tried_ms
            .is_some_and(|tried_ms| now_ms - tried_ms <= LIMIT_MS);
        let tried_peers = if tried_lately { NODES - 1 } else { 0 };
        node.freshness.review(tried_peers, TimeMs(now_ms));
    }
}
