//! Reservations at one decode engine, as counted by its coordinator.
//!
//! The reservations are soft state and may differ from the engine, which makes the final decision
//! by accepting or refusing a request. Audits of what the engine really holds correct the
//! difference.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::Tokens;
use crate::fair_queue::FairQueue;
use crate::fair_queue::Waiting;
use crate::holds::HoldId;

// A queued request is dropped if its node doesn't repeat it within this time.
const QUEUED_REQUEST_MS: u64 = 2_000;
// A reservation is dropped if the engine doesn't report its hold this long after the grant, because
// it was never used or has ended.
const UNUSED_RESERVATION_MS: u64 = 3_000;
// Time for which smaller requests may bypass the next one while it doesn't fit the free capacity.
const BYPASS_MS: u64 = 500;
// Divisor of the moving average: each release moves the mean hold time by one part in this many.
const MEAN_HOLD_DIVISOR: u64 = 16;

/// Capacity of an engine, or a part of it.
#[plain]
#[derive(Copy, Default, Eq)]
pub struct EngineCapacity {
    /// Number of decode sequences.
    pub sequences: u32,
    /// Number of KV pieces.
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

    /// Returns whether `other` fits in this capacity.
    pub fn fits(self, other: Self) -> bool {
        self.sequences >= other.sequences && self.pieces >= other.pieces
    }
}

/// A request for a reservation.
#[plain]
pub struct ReservationRequest {
    /// Tag of the reservation. Repeating a request with the same tag has no further effect than to
    /// keep its place in the queue.
    pub hold: HoldId,
    /// Workspace of the request.
    pub workspace: Arc<str>,
    /// Weight of the workspace in the queue.
    pub weight: u32,
    /// Cost of the request, which is charged to its workspace.
    pub cost_tokens: Tokens,
    /// Capacity that the request needs.
    pub capacity: EngineCapacity,
    /// Time after which a reservation is no longer useful.
    pub deadline_ms: TimeMs,
    /// Whether the request may wait in the queue if the engine is full.
    pub may_wait: bool,
}

/// Answer to a [`ReservationRequest`].
#[plain]
#[derive(Copy, Eq)]
pub enum ReservationDecision {
    /// The capacity is reserved.
    Reserved,
    /// The request is queued and must be repeated to keep its place.
    Waiting,
    /// The engine is full, and the request may not wait or would miss its deadline.
    Full {
        /// Estimated wait.
        wait_ms: u64,
    },
    /// The engine could not hold the request even if it were empty.
    TooLarge,
}

/// What an engine keeps for a hold, as reported by the engine.
#[plain]
#[derive(Copy, Eq)]
pub struct EngineHold {
    /// Tag of the hold.
    pub hold: HoldId,
    /// Capacity in use.
    pub capacity: EngineCapacity,
}

#[plain]
struct Reservation {
    capacity: EngineCapacity,
    granted_ms: TimeMs,
}

#[plain]
struct BlockedRequest {
    hold: HoldId,
    bypass_deadline_ms: TimeMs,
}

#[derive(Clone, Debug)]
struct QueuedReservation {
    hold: HoldId,
    capacity: EngineCapacity,
    expires_ms: TimeMs,
}

/// Reservations and queue of one decode engine.
#[derive(Debug, Default)]
pub struct EngineReservations {
    capacity: EngineCapacity,
    reserved: BTreeMap<HoldId, Reservation>,
    // Holds that the engine reported and that have no reservation here.
    unreserved: BTreeMap<HoldId, EngineCapacity>,
    queue: FairQueue<QueuedReservation>,
    // The next request while it doesn't fit, with the time until which smaller ones may bypass it.
    blocked: Option<BlockedRequest>,
    mean_hold_ms: u64,
}

impl EngineReservations {
    /// Returns the state of an engine without reservations.
    pub fn new(capacity: EngineCapacity) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Sets the capacity of the engine.
    pub fn set_capacity(&mut self, capacity: EngineCapacity) {
        self.capacity = capacity;
    }

    /// Handles a request for a reservation.
    pub fn request(&mut self, request: ReservationRequest, now: TimeMs) -> ReservationDecision {
        if self.reserved.contains_key(&request.hold) {
            return ReservationDecision::Reserved;
        }
        if !self.capacity.fits(request.capacity) {
            return ReservationDecision::TooLarge;
        }
        self.grant(now);
        if self.reserved.contains_key(&request.hold) {
            return ReservationDecision::Reserved;
        }
        if self.renew_queued(request.hold, now) {
            return ReservationDecision::Waiting;
        }
        // `grant` has already served every waiting request that may be served now.
        if self.may_bypass(now) && self.free().fits(request.capacity) {
            self.queue
                .charge(&request.workspace, request.weight, request.cost_tokens);
            self.reserve(request.hold, request.capacity, now);
            return ReservationDecision::Reserved;
        }
        let wait_ms =
            self.estimate_wait_ms(&request.workspace, request.weight, request.deadline_ms);
        if !request.may_wait || wait_ms > request.deadline_ms.remaining(now) {
            return ReservationDecision::Full { wait_ms };
        }
        self.queue.push(Waiting {
            workspace: request.workspace,
            weight: request.weight,
            cost_tokens: request.cost_tokens,
            deadline_ms: request.deadline_ms,
            item: QueuedReservation {
                hold: request.hold,
                capacity: request.capacity,
                expires_ms: now.after(QUEUED_REQUEST_MS),
            },
        });
        ReservationDecision::Waiting
    }

    /// Releases a reservation, or removes a request from the queue.
    pub fn release(&mut self, hold: HoldId, now: TimeMs) {
        self.unreserved.remove(&hold);
        if let Some(reservation) = self.reserved.remove(&hold) {
            let held_ms = now.since(reservation.granted_ms);
            self.mean_hold_ms = if self.mean_hold_ms == 0 {
                held_ms
            } else {
                (self.mean_hold_ms * (MEAN_HOLD_DIVISOR - 1) + held_ms) / MEAN_HOLD_DIVISOR
            };
        } else {
            self.queue.remove_where(|waiting| waiting.item.hold == hold);
        }
        self.grant(now);
    }

    /// Grants reservations to queued requests while there is capacity. Drops requests that are past
    /// their deadline or are no longer repeated.
    pub fn grant(&mut self, now: TimeMs) {
        self.queue
            .remove_where(|waiting| waiting.deadline_ms <= now || waiting.item.expires_ms <= now);
        while let Some(next) = self.queue.peek() {
            let next_hold = next.item.hold;
            let free = self.free();
            let granted = if free.fits(next.item.capacity) {
                self.blocked = None;
                self.queue.pop()
            } else {
                self.record_blocked(next_hold, now);
                if !self.may_bypass(now) {
                    return;
                }
                self.queue
                    .pop_where(|waiting| free.fits(waiting.item.capacity))
            };
            let Some(granted) = granted else {
                return;
            };
            self.reserve(granted.item.hold, granted.item.capacity, now);
        }
        self.blocked = None;
    }

    /// Reconciles the reservations with the holds that the engine reported at some time before
    /// `now`. A reservation that was granted well before and is missing at the engine ended without
    /// a release and is dropped.
    pub fn reconcile(&mut self, held: &[EngineHold], now: TimeMs) {
        self.unreserved = held
            .iter()
            .filter(|entry| !self.reserved.contains_key(&entry.hold))
            .map(|entry| (entry.hold, entry.capacity))
            .collect();
        self.reserved.retain(|hold, reservation| {
            now.since(reservation.granted_ms) < UNUSED_RESERVATION_MS
                || held.iter().any(|entry| entry.hold == *hold)
        });
        self.grant(now);
    }

    /// Returns the free capacity according to the reservations and the last reported holds.
    pub fn free(&self) -> EngineCapacity {
        let used = self
            .reserved
            .values()
            .map(|reservation| reservation.capacity)
            .chain(self.unreserved.values().copied())
            .fold(EngineCapacity::default(), EngineCapacity::plus);
        self.capacity.minus(used)
    }

    /// Returns the number of reservations and the number of queued requests.
    pub fn counts(&self) -> (usize, usize) {
        (self.reserved.len(), self.queue.len())
    }

    /// Returns an estimate of the wait of a request that is queued now.
    pub fn estimate_wait_ms(&self, workspace: &str, weight: u32, deadline_ms: TimeMs) -> u64 {
        let ahead = self.queue.ahead(workspace, weight, deadline_ms);
        // The rate is taken from the running requests and not from the engine's sequences, because
        // pieces may run out before sequences do.
        let running = (self.reserved.len() + self.unreserved.len()).max(1) as u64;
        (ahead + 1) * self.mean_hold_ms / running
    }

    fn record_blocked(&mut self, hold: HoldId, now: TimeMs) {
        if self
            .blocked
            .as_ref()
            .is_none_or(|blocked| blocked.hold != hold)
        {
            self.blocked = Some(BlockedRequest {
                hold,
                bypass_deadline_ms: now.after(BYPASS_MS),
            });
        }
    }

    // Returns whether a request may be served ahead of those that wait.
    fn may_bypass(&self, now: TimeMs) -> bool {
        match &self.blocked {
            Some(blocked) => now < blocked.bypass_deadline_ms,
            None => self.queue.is_empty(),
        }
    }

    fn reserve(&mut self, hold: HoldId, capacity: EngineCapacity, now: TimeMs) {
        let reservation = Reservation {
            capacity,
            granted_ms: now,
        };
        self.reserved.insert(hold, reservation);
    }

    fn renew_queued(&mut self, hold: HoldId, now: TimeMs) -> bool {
        let expires_ms = now.after(QUEUED_REQUEST_MS);
        self.queue.find_mut(|queued| {
            let found = queued.hold == hold;
            if found {
                queued.expires_ms = expires_ms;
            }
            found
        })
    }
}
