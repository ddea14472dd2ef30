//! The slot tables of a few nodes, with a model of the platform's objects and of the network.

use std::collections::BTreeMap;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::slots::FleetView;
use dogwoodpier_core::slots::Grant;
use dogwoodpier_core::slots::HandOver;
use dogwoodpier_core::slots::Member;
use dogwoodpier_core::slots::PeerId;
use dogwoodpier_core::slots::SlotRecord;
use dogwoodpier_core::slots::SlotTable;
use dogwoodpier_core::slots::Timing;
use dogwoodpier_core::slots::Write;

use super::clock;
use super::steps::Step;

pub const NODES: usize = 3;
pub const SLOTS: u32 = 2;
pub const PROMISE_MS: u64 = 3_000;
pub const LONG_LEASE_MS: u64 = 60_000;
const HOUR_MS: u64 = 3_600_000;
const ROUND_MS: u64 = 100;
const DRIFTS_PPM: [i64; NODES] = [1_000, -1_000, 0];

struct Process {
    peer: PeerId,
    table: SlotTable,
    paused: bool,
}

#[derive(Clone)]
struct Object {
    version: u64,
    record: SlotRecord,
}

enum Message {
    Write {
        from: u64,
        write: Write,
    },
    WriteApplied {
        to: u64,
        write: Write,
        version: u64,
    },
    Conflict {
        to: u64,
        write: Write,
        sent_ms: TimeMs,
        current: Option<Object>,
    },
    Objects {
        to: u64,
        sent_ms: TimeMs,
        objects: Vec<Option<Object>>,
    },
    PromiseRequest {
        from: PeerId,
        to_node: usize,
        slot: u32,
        version: u64,
        sent_ms: TimeMs,
    },
    Promise {
        to: u64,
        standby: PeerId,
        grant: Grant,
        sent_ms: TimeMs,
    },
}

pub struct Fleet {
    true_ms: u64,
    processes: Vec<Option<Process>>,
    objects: Vec<Option<Object>>,
    network: Vec<Message>,
    outage: bool,
    next_version: u64,
    next_id: u64,
    // For each slot, the highest version at which a node acted, and the incarnation of that node.
    last_actors: Vec<(u64, u64)>,
}

impl Fleet {
    pub fn new() -> Self {
        let mut fleet = Self {
            true_ms: 10_000,
            processes: (0..NODES).map(|_| None).collect(),
            objects: vec![None; SLOTS as usize],
            network: Vec::new(),
            outage: false,
            next_version: 1,
            next_id: 1,
            last_actors: vec![(0, 0); SLOTS as usize],
        };
        for node in 0..NODES {
            fleet.start(node);
        }
        fleet
    }

    pub fn kill(&mut self, node: usize) {
        self.processes[node] = None;
    }

    pub fn start(&mut self, node: usize) {
        let peer = PeerId {
            instance: format!("node-{node}").into(),
            incarnation: self.new_id(),
            peer_address: format!("10.0.0.{node}:7000").into(),
        };
        let timing = Timing {
            promise_ms: PROMISE_MS,
            long_lease_ms: LONG_LEASE_MS,
            renew_ms: LONG_LEASE_MS / 15,
        };
        let mut table = SlotTable::new(member(&peer), timing, self.now(node));
        table.set_count(SLOTS);
        self.processes[node] = Some(Process {
            peer,
            table,
            paused: false,
        });
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Wait { ms } => self.true_ms += ms,
            Step::RunHealthy { ms } => self.run_healthy(ms),
            Step::Plan { node, members } => self.plan(node, members),
            Step::Heartbeat { node } => self.heartbeat(node),
            Step::Read { node, is_watch } => self.read(node, is_watch),
            Step::Deliver { index } => self.deliver(index),
            Step::Lose { index } => {
                if index < self.network.len() {
                    self.network.swap_remove(index);
                }
            }
            Step::TimeOutWrites { node } => self.time_out_writes(node),
            Step::FailPlatformContact { node } => {
                let now = self.now(node);
                if let Some(process) = self.running(node) {
                    process.table.handle_platform_unreachable(now);
                }
            }
            Step::TogglePause { node } => {
                if let Some(process) = &mut self.processes[node] {
                    process.paused ^= true;
                }
            }
            Step::Restart { node } => self.start(node),
            Step::HandOver { to, slot } => self.hand_over(to, slot),
            Step::ToggleOutage => self.outage ^= true,
        }
    }

    /// Runs all nodes with a network that delivers every message at once.
    pub fn run_healthy(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(ROUND_MS) {
            self.true_ms += ROUND_MS;
            for node in 0..NODES {
                self.read(node, false);
                self.heartbeat(node);
                self.deliver_all();
                self.plan(node, (1 << NODES) - 1);
                self.deliver_all();
                self.time_out_writes(node);
                self.check();
            }
        }
    }

    pub fn held_by(&self, node: usize) -> u32 {
        let held = self.processes[node]
            .as_ref()
            .map_or(0, |process| process.table.all_held(self.now(node)).len());
        u32::try_from(held).expect("a node holds at most SLOTS slots")
    }

    pub fn held_by_all(&self) -> u32 {
        (0..NODES).map(|node| self.held_by(node)).sum()
    }

    /// Returns the node that acts on a slot, then the others.
    pub fn nodes_from_actor(&self, slot: u32) -> [usize; NODES] {
        let actor = (0..NODES).find(|node| self.acts(*node, slot));
        let actor = actor.expect("every slot of a healthy fleet has an acting holder");
        [0, 1, 2].map(|step| (actor + step) % NODES)
    }

    pub fn acts(&self, node: usize, slot: u32) -> bool {
        let process = self.processes[node].as_ref();
        process.is_some_and(|process| process.table.held(slot, self.now(node)).is_some())
    }

    /// Returns whether the platform's object names the node as standby.
    pub fn is_standby(&self, slot: u32, node: usize) -> bool {
        let object = self.objects[slot as usize].as_ref();
        let standby = object.and_then(|object| object.record.standby.clone());
        let process = self.processes[node].as_ref();
        standby.is_some() && standby == process.map(|process| process.peer.clone())
    }

    /// Checks that at most one node acts on a slot, that only one node ever acts at a version and that
    /// the version never falls. Paused nodes count too, since they could resume at this moment.
    pub fn check(&mut self) {
        for node in 0..NODES {
            let now = self.now(node);
            let Some(process) = &self.processes[node] else {
                continue;
            };
            for held in process.table.all_held(now) {
                let incarnation = process.peer.incarnation;
                let (version, actor) = &mut self.last_actors[held.slot as usize];
                let is_newer = held.version > *version;
                assert!(
                    is_newer || (held.version == *version && incarnation == *actor),
                    "slot {}: {incarnation} acts at version {} after {actor} acted at version {version}",
                    held.slot,
                    held.version,
                );
                (*version, *actor) = (held.version, incarnation);
            }
        }
        for slot in 0..SLOTS {
            let actors: Vec<usize> = (0..NODES).filter(|node| self.acts(*node, slot)).collect();
            assert!(actors.len() <= 1, "nodes {actors:?} all act on slot {slot}");
        }
    }

    fn now(&self, node: usize) -> TimeMs {
        let offset_ms = HOUR_MS * (node as u64 + 1);
        TimeMs(clock::reading(self.true_ms, offset_ms, DRIFTS_PPM[node]))
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn running(&mut self, node: usize) -> Option<&mut Process> {
        self.processes[node]
            .as_mut()
            .filter(|process| !process.paused)
    }

    fn node_of(&self, incarnation: u64) -> Option<usize> {
        (0..NODES).find(|node| {
            let process = self.processes[*node].as_ref();
            process.is_some_and(|process| process.peer.incarnation == incarnation)
        })
    }

    fn plan(&mut self, node: usize, member_mask: usize) {
        let view = FleetView {
            members: (0..NODES)
                .filter(|other| *other != node && member_mask & (1 << other) != 0)
                .filter_map(|other| self.processes[other].as_ref())
                .map(|process| member(&process.peer))
                .collect(),
            draining: false,
            now: self.now(node),
        };
        let mut next_id = self.next_id;
        let Some(process) = self.running(node) else {
            return;
        };
        let new_id = || {
            next_id += 1;
            next_id
        };
        let from = process.peer.incarnation;
        let writes = process.table.plan(&view, 8, new_id);
        self.next_id = next_id;
        for write in writes {
            self.network.push(Message::Write { from, write });
        }
    }

    fn heartbeat(&mut self, node: usize) {
        let sent_ms = self.now(node);
        let Some(process) = self.running(node) else {
            return;
        };
        let from = process.peer.clone();
        let mut requests = Vec::new();
        for to_node in 0..NODES {
            for (slot, version) in process.table.promise_requests(&format!("node-{to_node}")) {
                requests.push(Message::PromiseRequest {
                    from: from.clone(),
                    to_node,
                    slot,
                    version,
                    sent_ms,
                });
            }
        }
        self.network.extend(requests);
    }

    fn read(&mut self, node: usize, is_watch: bool) {
        let objects = self.objects.clone();
        let outage = self.outage;
        let sent_ms = if is_watch { TimeMs(0) } else { self.now(node) };
        if let Some(process) = self.running(node)
            && !outage
        {
            let to = process.peer.incarnation;
            self.network.push(Message::Objects {
                to,
                sent_ms,
                objects,
            });
        }
    }

    // Times out all writes of the node that are in flight. The writes and answers may still arrive.
    fn time_out_writes(&mut self, node: usize) {
        let writes: Vec<Write> = self
            .network
            .iter()
            .filter_map(|message| match message {
                Message::Write { write, .. }
                | Message::WriteApplied { write, .. }
                | Message::Conflict { write, .. } => Some(write.clone()),
                _ => None,
            })
            .collect();
        if let Some(process) = self.running(node) {
            writes
                .iter()
                .for_each(|write| process.table.handle_write_unknown(write));
        }
    }

    fn hand_over(&mut self, to: usize, slot: u32) {
        let Some(successor) = self.processes[to].as_ref().map(|p| p.peer.clone()) else {
            return;
        };
        let write_id = self.new_id();
        for from in (0..NODES).filter(|from| *from != to) {
            let now = self.now(from);
            let view = FleetView {
                members: Vec::new(),
                draining: false,
                now,
            };
            let Some(process) = self.running(from) else {
                continue;
            };
            let standby = process.table.standby_after(slot, &successor, &view);
            let hand_over = HandOver {
                slot,
                successor: successor.clone(),
                standby,
                levels: BTreeMap::new(),
                write_id,
            };
            let from = process.peer.incarnation;
            let write = process.table.hand_over(hand_over, now);
            self.network
                .extend(write.map(|write| Message::Write { from, write }));
        }
    }

    /// Applies all writes in flight on the platform, and drops their answers and all other messages.
    pub fn apply_writes_without_answers(&mut self) {
        for message in std::mem::take(&mut self.network) {
            if let Message::Write { from, write } = message {
                self.apply_write(from, write);
            }
        }
        self.network.clear();
    }

    pub fn deliver_all(&mut self) {
        while !self.network.is_empty() {
            self.deliver(0);
        }
    }

    fn deliver(&mut self, index: usize) {
        if index >= self.network.len() {
            return;
        }
        match self.network.swap_remove(index) {
            Message::Write { from, write } => self.apply_write(from, write),
            Message::WriteApplied { to, write, version } => {
                self.with_process(to, |table, now| {
                    table.handle_write_applied(write, version, now);
                });
            }
            Message::Conflict {
                to,
                write,
                sent_ms,
                current,
            } => self.with_process(to, |table, now| {
                table.handle_write_rejected(&write);
                if let Some(object) = current {
                    table.handle_object(write.slot, object.version, object.record, sent_ms, now);
                }
            }),
            Message::Objects {
                to,
                sent_ms,
                objects,
            } => self.with_process(to, |table, now| {
                for (slot, object) in (0..).zip(objects) {
                    match object {
                        Some(object) => {
                            table.handle_object(slot, object.version, object.record, sent_ms, now);
                        }
                        None => table.handle_missing(slot, now),
                    }
                }
            }),
            Message::PromiseRequest {
                from,
                to_node,
                slot,
                version,
                sent_ms,
            } => {
                let now = self.now(to_node);
                let Some(process) = self.running(to_node) else {
                    return;
                };
                let standby = process.peer.clone();
                let grant = process.table.grant(&from, slot, version, now);
                let to = from.incarnation;
                self.network.extend(grant.map(|grant| Message::Promise {
                    to,
                    standby,
                    grant,
                    sent_ms,
                }));
            }
            Message::Promise {
                to,
                standby,
                grant,
                sent_ms,
            } => self.with_process(to, |table, _| table.handle_grant(&standby, grant, sent_ms)),
        }
    }

    // Handles a write that reaches the platform, perhaps long after its sender timed out or died.
    fn apply_write(&mut self, from: u64, write: Write) {
        if self.outage {
            return;
        }
        let object = &mut self.objects[write.slot as usize];
        let current = object.as_ref().map_or(0, |object| object.version);
        let answer = if current == write.if_version {
            self.next_version += 1;
            *object = Some(Object {
                version: self.next_version,
                record: write.record.clone(),
            });
            Message::WriteApplied {
                to: from,
                write,
                version: self.next_version,
            }
        } else {
            // The time of the request is unknown here, so the earliest possible one is given.
            Message::Conflict {
                to: from,
                write,
                sent_ms: TimeMs(0),
                current: object.clone(),
            }
        };
        self.network.push(answer);
    }

    fn with_process<F>(&mut self, incarnation: u64, update: F)
    where
        F: FnOnce(&mut SlotTable, TimeMs),
    {
        let Some(node) = self.node_of(incarnation) else {
            return;
        };
        let now = self.now(node);
        if let Some(process) = self.running(node) {
            update(&mut process.table, now);
        }
    }
}

fn member(peer: &PeerId) -> Member {
    Member {
        peer: peer.clone(),
        data_centre: "dc-1".into(),
    }
}
