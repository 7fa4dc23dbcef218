//! Counts the slots of one upstream.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::Ticket;
use crate::core::control::OwnerEpoch;

/// Counts the slots of one upstream that this instance owns.
#[derive(Clone, Debug)]
pub struct Slots {
    epoch: OwnerEpoch,
    slots: u32,
    /// The requests that run, with their start.
    running: BTreeMap<Ticket, Duration>,
    /// The running requests that are suspected of crashing upstreams.
    suspects: BTreeSet<Ticket>,
    /// Cancelled requests, with the time until which they count.
    cancelled: Vec<Duration>,
    /// Nothing is sent before this time.
    ready_at: Duration,
    backoff: Duration,
    ramp_limit: u32,
    ramp_due: Duration,
    draining: bool,
    handing_over: bool,
    last_used: Duration,
}

/// Says how a request to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finish {
    /// The upstream answered.
    Done,
    /// The upstream refused because of its load.
    Shed {
        /// When to try again.
        retry_after: Option<Duration>,
    },
    /// Nothing was sent, and not because of the upstream.
    Unsent,
    /// No connection came about; nothing was sent.
    NotConnected,
    /// The connection broke before the answer was whole.
    Broken,
    /// The request was cancelled. The upstream may run it a little longer.
    Cancelled,
}

/// Says whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotState {
    /// It has a free slot.
    Free,
    /// All slots that may be used are taken.
    Full,
    /// It is left alone for now: not settled, shedding, or unreachable.
    BackingOff,
    /// It gets no new work.
    Leaving,
}

/// The time between two raises of a cold upstream's limit.
const RAMP_INTERVAL: Duration = Duration::from_millis(1_000);
/// A cold upstream begins with this part of its slots.
const RAMP_DIVISOR: u32 = 4;
const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(8);

impl Slots {
    /// Returns the slots of an upstream that is warm and idle.
    pub fn new(epoch: OwnerEpoch, slots: u32) -> Self {
        Self {
            epoch,
            slots,
            running: BTreeMap::new(),
            suspects: BTreeSet::new(),
            cancelled: Vec::new(),
            ready_at: Duration::ZERO,
            backoff: Duration::ZERO,
            ramp_limit: slots,
            ramp_due: Duration::ZERO,
            draining: false,
            handing_over: false,
            last_used: Duration::ZERO,
        }
    }

    /// Returns the slots, unused before `ready_at` and cold after it, because
    /// requests of an earlier owner may still run.
    pub fn with_unsettled(mut self, ready_at: Duration) -> Self {
        self.ready_at = ready_at;
        self.restart_ramp(ready_at);
        self
    }

    /// Returns the ownership under which the upstream is held.
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Starts or ends a drain. What comes back from a drain is cold.
    pub fn set_draining(&mut self, draining: bool, now: Duration) {
        if self.draining && !draining {
            self.restart_ramp(now);
        }
        self.draining = draining;
    }

    /// Says whether the upstream passes to another owner.
    pub fn set_handing_over(&mut self, handing_over: bool) {
        self.handing_over = handing_over;
    }

    /// Returns how many slots are taken.
    pub fn used(&self) -> u32 {
        (self.running.len() + self.cancelled.len()) as u32
    }

    /// Returns how many slots may be in use now.
    pub fn limit(&self, now: Duration) -> u32 {
        if self.draining || self.handing_over || now < self.ready_at {
            return 0;
        }
        self.ramp_limit.min(self.slots)
    }

    /// Returns how many requests more may be sent.
    pub fn free(&self, now: Duration) -> u32 {
        self.limit(now).saturating_sub(self.used())
    }

    /// Says whether the upstream takes new work.
    pub fn state(&self, now: Duration) -> SlotState {
        if self.draining || self.handing_over {
            return SlotState::Leaving;
        }
        if now < self.ready_at {
            return SlotState::BackingOff;
        }
        if self.free(now) > 0 { SlotState::Free } else { SlotState::Full }
    }

    /// Tells whether nothing runs.
    pub fn is_idle(&self) -> bool {
        self.used() == 0
    }

    /// Tells whether a suspected request runs.
    pub fn has_suspect(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns when the upstream was last sent a request.
    pub fn last_used(&self) -> Duration {
        self.last_used
    }

    /// Takes a slot. The caller has checked that one is free.
    pub fn start(&mut self, ticket: Ticket, suspect: bool, now: Duration) {
        self.running.insert(ticket, now);
        if suspect {
            self.suspects.insert(ticket);
        }
        self.last_used = now;
    }

    /// Gives a slot back and returns how long it was taken.
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
            Finish::Cancelled => self.cancelled.push(now + cancel_hold),
            Finish::Shed { retry_after } => self.back_off(now, retry_after),
            Finish::NotConnected => self.back_off(now, None),
            // Whatever else ran there may still run, so the slot counts as a
            // cancelled one does.
            Finish::Broken => {
                self.cancelled.push(now + cancel_hold);
                self.back_off(now, None);
            }
        }
        Some(now.saturating_sub(started_at))
    }

    /// Lets time pass: ends the hold on cancelled requests, warms up.
    pub fn tick(&mut self, now: Duration) {
        self.cancelled.retain(|until| now < *until);
        if self.ramp_limit < self.slots && now >= self.ready_at && now >= self.ramp_due {
            self.ramp_limit = (self.ramp_limit * 2).min(self.slots);
            self.ramp_due = now + RAMP_INTERVAL;
        }
    }

    /// Returns when [`Slots::tick`] next has something to do.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        let ready = (now < self.ready_at).then_some(self.ready_at);
        let ramp = (self.ramp_limit < self.slots).then_some(self.ramp_due.max(self.ready_at));
        let held = self.cancelled.iter().min().copied();
        [ready, ramp, held].into_iter().flatten().min()
    }

    /// Leaves the upstream alone for a while, longer each time in a row.
    fn back_off(&mut self, now: Duration, retry_after: Option<Duration>) {
        // Requests that fail together are one reason to rest, not several.
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
