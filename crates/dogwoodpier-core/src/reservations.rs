//! Reservations at one decode engine, as its coordinator counts them.
//!
//! The book is soft state: it may be wrong about the engine, whose own refusal decides. Audits of
//! what the engine really holds correct it.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::Tokens;
use crate::fair_queue::FairQueue;
use crate::fair_queue::Waiting;
use crate::holds::HoldId;

// A place in the queue is lost if its owner doesn't ask again within this time.
const PLACE_MS: u64 = 2_000;
// A reservation that the engine doesn't show this long after it was granted was never used.
const UNUSED_MS: u64 = 3_000;
// A request that is next but too large for the free room lets smaller ones pass for this long.
const BYPASS_MS: u64 = 500;
// The mean time of a reservation moves by one part in this many with each release.
const MEAN_WEIGHT: u64 = 16;

/// Room at an engine.
#[plain]
#[derive(Copy, Default, Eq)]
pub struct EngineCapacity {
    /// Decode sequences.
    pub sequences: u32,
    /// KV pieces.
    pub pieces: u32,
}

impl EngineCapacity {
    fn plus(self, other: Self) -> Self {
        Self {
            sequences: self.sequences.saturating_add(other.sequences),
            pieces: self.pieces.saturating_add(other.pieces),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            sequences: self.sequences.saturating_sub(other.sequences),
            pieces: self.pieces.saturating_sub(other.pieces),
        }
    }

    /// Returns whether `other` fits in this room.
    pub fn fits(self, other: Self) -> bool {
        self.sequences >= other.sequences && self.pieces >= other.pieces
    }
}

/// A request for a reservation.
#[plain]
pub struct ReservationRequest {
    /// Tag of the reservation; asking again with it changes nothing.
    pub hold: HoldId,
    /// Workspace that it is for.
    pub workspace: Arc<str>,
    /// Share of the workspace in a full queue.
    pub weight: u32,
    /// Service that the request will get.
    pub cost_tokens: Tokens,
    /// Room that it needs.
    pub capacity: EngineCapacity,
    /// Time after which a reservation is of no use.
    pub deadline_ms: TimeMs,
    /// Whether to wait in the queue if the engine is full.
    pub may_wait: bool,
}

/// Answer to a [`ReservationRequest`].
#[plain]
#[derive(Copy, Eq)]
pub enum ReservationDecision {
    /// The room is reserved.
    Reserved,
    /// The request has a place in the queue and must ask again to keep it.
    Waiting,
    /// The engine is full, and waiting is of no use or not wanted.
    Full {
        /// Estimated wait.
        wait_ms: u64,
    },
    /// The engine could not hold the request even if it were empty.
    TooLarge,
}

/// What an engine keeps for a hold, as the engine says.
#[plain]
#[derive(Copy, Eq)]
pub struct EngineHold {
    /// Tag.
    pub hold: HoldId,
    /// Room in use.
    pub capacity: EngineCapacity,
}

#[plain]
struct Reservation {
    room: EngineCapacity,
    granted_ms: TimeMs,
}

#[plain]
struct Blocked {
    hold: HoldId,
    bypass_deadline_ms: TimeMs,
}

#[derive(Clone, Debug)]
struct Place {
    hold: HoldId,
    room: EngineCapacity,
    lapses_ms: TimeMs,
}

/// Reservations and queue of one decode engine.
#[derive(Debug, Default)]
pub struct EngineReservations {
    capacity: EngineCapacity,
    reserved: BTreeMap<HoldId, Reservation>,
    // Holds at the engine that are not in the book.
    foreign: BTreeMap<HoldId, EngineCapacity>,
    queue: FairQueue<Place>,
    // The request that is next but has no room, and until when smaller ones may pass it.
    blocked: Option<Blocked>,
    mean_hold_ms: u64,
}

impl EngineReservations {
    /// Returns an empty book of an engine.
    pub fn new(capacity: EngineCapacity) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Sets the engine's size.
    pub fn set_capacity(&mut self, capacity: EngineCapacity) {
        self.capacity = capacity;
    }

    /// Answers a request for a reservation.
    pub fn request(&mut self, ask: ReservationRequest, now: TimeMs) -> ReservationDecision {
        if self.reserved.contains_key(&ask.hold) {
            return ReservationDecision::Reserved;
        }
        if !self.capacity.fits(ask.capacity) {
            return ReservationDecision::TooLarge;
        }
        self.grant(now);
        if self.reserved.contains_key(&ask.hold) {
            return ReservationDecision::Reserved;
        }
        if self.keep_place(ask.hold, now) {
            return ReservationDecision::Waiting;
        }
        // Whatever waits and may pass has passed already.
        if self.may_bypass(now) && self.free().fits(ask.capacity) {
            self.queue
                .charge(&ask.workspace, ask.weight, ask.cost_tokens);
            self.reserve(ask.hold, ask.capacity, now);
            return ReservationDecision::Reserved;
        }
        let wait_ms = self.estimate_wait_ms(&ask.workspace, ask.weight, ask.deadline_ms);
        if !ask.may_wait || wait_ms > ask.deadline_ms.remaining(now) {
            return ReservationDecision::Full { wait_ms };
        }
        self.queue.push(Waiting {
            workspace: ask.workspace,
            weight: ask.weight,
            cost_tokens: ask.cost_tokens,
            deadline_ms: ask.deadline_ms,
            item: Place {
                hold: ask.hold,
                room: ask.capacity,
                lapses_ms: now.after(PLACE_MS),
            },
        });
        ReservationDecision::Waiting
    }

    /// Takes a reservation or a place in the queue back.
    pub fn release(&mut self, hold: HoldId, now: TimeMs) {
        self.foreign.remove(&hold);
        if let Some(reservation) = self.reserved.remove(&hold) {
            let held_ms = now.since(reservation.granted_ms);
            self.mean_hold_ms = if self.mean_hold_ms == 0 {
                held_ms
            } else {
                (self.mean_hold_ms * (MEAN_WEIGHT - 1) + held_ms) / MEAN_WEIGHT
            };
        } else {
            self.queue.remove_where(|waiting| waiting.item.hold == hold);
        }
        self.grant(now);
    }

    /// Moves requests from the queue to reservations while there is room, and drops those that are
    /// past their deadline or that nobody asks for any more.
    pub fn grant(&mut self, now: TimeMs) {
        self.queue
            .remove_where(|waiting| waiting.deadline_ms <= now || waiting.item.lapses_ms <= now);
        while let Some(next) = self.queue.peek() {
            let next_hold = next.item.hold;
            let free = self.free();
            let granted = if free.fits(next.item.room) {
                self.blocked = None;
                self.queue.pop()
            } else {
                self.note_blocked(next_hold, now);
                if !self.may_bypass(now) {
                    return;
                }
                self.queue.pop_where(|waiting| free.fits(waiting.item.room))
            };
            let Some(granted) = granted else {
                return;
            };
            self.reserve(granted.item.hold, granted.item.room, now);
        }
        self.blocked = None;
    }

    /// Takes in what the engine holds, as of some moment before `now`. Reservations that were
    /// granted well before and are not there have ended without word.
    pub fn reconcile(&mut self, held: &[EngineHold], now: TimeMs) {
        self.foreign = held
            .iter()
            .filter(|entry| !self.reserved.contains_key(&entry.hold))
            .map(|entry| (entry.hold, entry.capacity))
            .collect();
        self.reserved.retain(|hold, reservation| {
            now.since(reservation.granted_ms) < UNUSED_MS
                || held.iter().any(|entry| entry.hold == *hold)
        });
        self.grant(now);
    }

    /// Returns the room that is free by this book.
    pub fn free(&self) -> EngineCapacity {
        let used = self
            .reserved
            .values()
            .map(|reservation| reservation.room)
            .chain(self.foreign.values().copied())
            .fold(EngineCapacity::default(), EngineCapacity::plus);
        self.capacity.minus(used)
    }

    /// Returns the number of reservations and of requests that wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.reserved.len(), self.queue.len())
    }

    /// Returns an estimate of the wait of a request that joins the queue now.
    pub fn estimate_wait_ms(&self, workspace: &str, weight: u32, deadline_ms: TimeMs) -> u64 {
        let ahead = self.queue.ahead(workspace, weight, deadline_ms);
        // Pieces may run out before sequences do, so what runs now is what frees room.
        let running = (self.reserved.len() + self.foreign.len()).max(1) as u64;
        (ahead + 1) * self.mean_hold_ms / running
    }

    fn note_blocked(&mut self, hold: HoldId, now: TimeMs) {
        if self
            .blocked
            .as_ref()
            .is_none_or(|blocked| blocked.hold != hold)
        {
            self.blocked = Some(Blocked {
                hold,
                bypass_deadline_ms: now.after(BYPASS_MS),
            });
        }
    }

    // Whether a request may be served although others wait.
    fn may_bypass(&self, now: TimeMs) -> bool {
        match &self.blocked {
            Some(blocked) => now < blocked.bypass_deadline_ms,
            None => self.queue.is_empty(),
        }
    }

    fn reserve(&mut self, hold: HoldId, room: EngineCapacity, now: TimeMs) {
        let reservation = Reservation {
            room,
            granted_ms: now,
        };
        self.reserved.insert(hold, reservation);
    }

    fn keep_place(&mut self, hold: HoldId, now: TimeMs) -> bool {
        let lapses_ms = now.after(PLACE_MS);
        self.queue.find_mut(|place| {
            let found = place.hold == hold;
            if found {
                place.lapses_ms = lapses_ms;
            }
            found
        })
    }
}
