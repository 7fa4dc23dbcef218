//! Tracks the slots of one upstream.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::Ticket;
use crate::core::control::OwnerEpoch;

/// Represents the slots of one upstream that this instance owns.
#[derive(Clone, Debug)]
pub struct Slots {
    epoch: OwnerEpoch,
    /// The number of slots of the upstream.
    slots: u32,
    /// The running requests, with the time at which each started.
    running: BTreeMap<Ticket, Duration>,
    /// The running requests that are suspected of crashing upstreams.
    suspects: BTreeSet<Ticket>,
    /// The time until which the slot of each cancelled request counts as used.
    hold_ends: Vec<Duration>,
    /// The time before which nothing is sent.
    ready_at: Duration,
    /// The last back-off, or zero after a success.
    backoff: Duration,
    /// The number of slots that may be used while the upstream ramps up.
    ramp_limit: u32,
    /// When `ramp_limit` is raised next.
    ramp_due: Duration,
    draining: bool,
    /// Whether the upstream is being handed over to another owner.
    handing_over: bool,
    last_used_at: Duration,
}

/// Represents how a request to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finish {
    /// The upstream responded.
    Done,
    /// The upstream refused the request because of its load.
    Shed {
        /// How long to wait before the next request, if the upstream specified it.
        retry_after: Option<Duration>,
    },
    /// Nothing was sent, for a reason unrelated to the upstream.
    Unsent,
    /// No connection was established; nothing was sent.
    NotConnected,
    /// The connection broke before the response was complete.
    Broken,
    /// The request was cancelled; the upstream may run it a little longer.
    Cancelled,
}

/// Represents whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotState {
    /// It has a free slot.
    Free,
    /// All slots that may be used are in use.
    Full,
    /// It gets no work for now: it is unsettled, shed a request, is
    /// unreachable or broke a connection.
    BackingOff,
    /// It gets no new work because it is draining or being handed over to another owner.
    Leaving,
}

/// The time between two steps of the ramp of a cold upstream; each doubles the limit.
const RAMP_INTERVAL: Duration = Duration::from_millis(1_000);
/// A cold upstream starts with `1 / RAMP_DIVISOR` of its slots.
const RAMP_DIVISOR: u32 = 4;
const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(8);

impl Slots {
    /// Returns the slots of an idle upstream that needs no ramp.
    pub fn new(epoch: OwnerEpoch, slots: u32) -> Self {
        Self {
            epoch,
            slots,
            running: BTreeMap::new(),
            suspects: BTreeSet::new(),
            hold_ends: Vec::new(),
            ready_at: Duration::ZERO,
            backoff: Duration::ZERO,
            ramp_limit: slots,
            ramp_due: Duration::ZERO,
            draining: false,
            handing_over: false,
            last_used_at: Duration::ZERO,
        }
    }

    /// Returns the slots of an upstream that gets no requests before `ready_at` and ramps
    /// up after it.
    ///
    /// This is needed while requests of an earlier owner may still be running.
    pub fn with_unsettled(mut self, ready_at: Duration) -> Self {
        self.ready_at = ready_at;
        self.restart_ramp(ready_at);
        self
    }

    /// Returns the epoch under which the upstream is owned.
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Starts or ends a drain. An upstream is cold after its drain.
    pub fn set_draining(&mut self, draining: bool, now: Duration) {
        if self.draining && !draining {
            self.restart_ramp(now);
        }
        self.draining = draining;
    }

    /// Sets whether the upstream is being handed over to another owner.
    pub fn set_handing_over(&mut self, handing_over: bool) {
        self.handing_over = handing_over;
    }

    /// Returns the number of slots in use, including those of cancelled requests.
    pub fn used(&self) -> u32 {
        (self.running.len() + self.hold_ends.len()) as u32
    }

    /// Returns the number of slots that may be in use now.
    pub fn limit(&self, now: Duration) -> u32 {
        if self.draining || self.handing_over || now < self.ready_at {
            return 0;
        }
        self.ramp_limit.min(self.slots)
    }

    /// Returns the number of further requests that may be sent now.
    pub fn free(&self, now: Duration) -> u32 {
        self.limit(now).saturating_sub(self.used())
    }

    /// Returns whether the upstream takes new work.
    pub fn state(&self, now: Duration) -> SlotState {
        if self.draining || self.handing_over {
            return SlotState::Leaving;
        }
        if now < self.ready_at {
            return SlotState::BackingOff;
        }
        if self.free(now) > 0 { SlotState::Free } else { SlotState::Full }
    }

    /// Returns whether no slot is in use.
    pub fn is_idle(&self) -> bool {
        self.used() == 0
    }

    /// Returns whether a request suspected of crashing upstreams is running.
    pub fn has_suspect(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns when a request was last sent to the upstream.
    pub fn last_used_at(&self) -> Duration {
        self.last_used_at
    }

    /// Takes a slot for a request. The calling code must have checked that one
    /// is free.
    pub fn start(&mut self, ticket: Ticket, is_suspect: bool, now: Duration) {
        self.running.insert(ticket, now);
        if is_suspect {
            self.suspects.insert(ticket);
        }
        self.last_used_at = now;
    }

    /// Frees the slot of a request and returns how long it was used, or `None` if the
    /// ticket is not running.
    pub fn finish(
        &mut self,
        ticket: Ticket,
        finish: Finish,
        now: Duration,
        cancel_hold: Duration,
    ) -> Option<Duration> {
        let started_at = self.running.remove(&ticket)?;
        self.suspects.remove(&ticket);
        match finish {
            Finish::Done => self.backoff = Duration::ZERO,
            Finish::Unsent => {}
            Finish::Cancelled => self.hold_ends.push(now + cancel_hold),
            Finish::Shed { retry_after } => self.back_off(now, retry_after),
            Finish::NotConnected => self.back_off(now, None),
            // The upstream may still be running the request, so the slot is
            // held as for a cancelled one.
            Finish::Broken => {
                self.hold_ends.push(now + cancel_hold);
                self.back_off(now, None);
            }
        }
        Some(now.saturating_sub(started_at))
    }

    /// Advances time: frees slots of cancelled requests and raises the limit of the ramp.
    pub fn tick(&mut self, now: Duration) {
        self.hold_ends.retain(|hold_end| now < *hold_end);
        if self.ramp_limit < self.slots && now >= self.ready_at && now >= self.ramp_due {
            self.ramp_limit = (self.ramp_limit * 2).min(self.slots);
            self.ramp_due = now + RAMP_INTERVAL;
        }
    }

    /// Returns when [`Slots::tick`] next needs to be called.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        let ready = (now < self.ready_at).then_some(self.ready_at);
        let ramp = (self.ramp_limit < self.slots).then_some(self.ramp_due.max(self.ready_at));
        let hold_end = self.hold_ends.iter().min().copied();
        [ready, ramp, hold_end].into_iter().flatten().min()
    }

    /// Stops sending for a while, with exponential back-off over consecutive failures.
    fn back_off(&mut self, now: Duration, retry_after: Option<Duration>) {
        // Requests that fail together raise the back-off only once.
        if now < self.ready_at {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
        self.ready_at = now + retry_after.unwrap_or(self.backoff).min(BACKOFF_MAX);
        self.restart_ramp(self.ready_at);
    }

    fn restart_ramp(&mut self, from: Duration) {
        self.ramp_limit = (self.slots / RAMP_DIVISOR).max(1);
        self.ramp_due = from + RAMP_INTERVAL;
    }
}
