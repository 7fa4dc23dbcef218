//! Tracks which upstreams leave or want a pause, as they say themselves.
//!
//! What an upstream says holds for one start of it, whatever the list of upstreams says.

use std::{collections::BTreeMap, time::Duration};

use super::{pause::Pause, rate_limit::RateLimit};
use crate::core::upstreams::{UpstreamId, UpstreamNotice};

/// What upstreams said of themselves, by id.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    /// The number of instances that share limits.
    pub(super) entry_count: u32,
    /// How much this instance's windows for limits are shifted, from 0 to 1.
    pub(super) phase: f64,
    entries: BTreeMap<UpstreamId, Entry>,
    /// The notices that ended since they were last taken.
    ended: Vec<NoticeChange>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Identifies the start of the upstream that the notices are of.
    started_unix_ms: Option<u64>,
    is_leaving: bool,
    pause: Option<Pause>,
    limit: Option<RateLimit>,
    /// Whether a finding was reported; further ones are not.
    has_finding: bool,
    /// Since when the list has not contained the upstream.
    unlisted_since: Option<Duration>,
}

/// Represents the beginning or the end of what an upstream said of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// What begins or ends.
    pub kind: NoticeKind,
}

/// Represents what begins or ends with a [`NoticeChange`].
#[derive(Clone, Debug, PartialEq)]
pub enum NoticeKind {
    /// It leaves.
    LeavingBegan,
    /// It is gone or has started anew.
    LeavingEnded,
    /// It wants no requests for this long.
    PauseBegan(Duration),
    /// It may be used again, gradually.
    PauseEnded,
    /// It takes this many requests a second from all instances together.
    LimitBegan(f64),
    /// It names no limit any more.
    LimitEnded,
    /// It sent a value that could not be decoded as it stands.
    Invalid(String),
}

/// Represents why an upstream gets no request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Obstacle {
    /// It said that it leaves.
    Leaving,
    /// It wants no requests until this time.
    Paused(Duration),
    /// Its pause has ended, and it has as many requests as it may get for now.
    Resuming,
    /// It named a limit, and this instance has sent its share until this time.
    Limited(Duration),
}

impl Obstacle {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Paused(_) => "paused",
            Self::Resuming => "resuming",
            Self::Limited(_) => "limited",
        }
    }
}

/// How long notices are kept for an upstream that the list does not contain. An entry may be
/// missing from a reading of the list although the upstream runs.
const UNLISTED_TTL: Duration = Duration::from_secs(300);

impl Notices {
    /// Returns no notices, for an instance that shares limits with others.
    pub(super) fn new(entry_count: u32) -> Self {
        Self { entry_count, ..Self::default() }
    }

    /// Records what one start of an upstream said with a response to a request that was sent at
    /// `sent_at`, and returns what begins. `is_listed` states whether the list contains the
    /// upstream.
    pub(super) fn record(
        &mut self,
        id: &UpstreamId,
        started_unix_ms: Option<u64>,
        is_listed: bool,
        notice: UpstreamNotice,
        (sent_at, now): (Duration, Duration),
    ) -> Vec<NoticeChange> {
        // While the upstream is not listed, a late response of an earlier start may arrive.
        if self.entries.get(id).is_some_and(|entry| entry.started_unix_ms > started_unix_ms) {
            return Vec::new();
        }
        self.end_if_restarted(id, started_unix_ms);
        if notice.is_empty() {
            self.end_limit(id, sent_at);
            return Vec::new();
        }
        let (entry_count, phase) = (self.entry_count, self.phase);
        let entry = self.entries.entry(id.clone()).or_insert_with(|| Entry {
            started_unix_ms,
            is_leaving: false,
            pause: None,
            limit: None,
            has_finding: false,
            unlisted_since: (!is_listed).then_some(now),
        });
        let mut kinds = Vec::new();
        if notice.is_leaving && !entry.is_leaving {
            entry.is_leaving = true;
            kinds.push(NoticeKind::LeavingBegan);
        }
        if let Some(length) = notice.pause {
            let until = now + length;
            match &mut entry.pause {
                Some(pause) if pause.is_active(now) => pause.extend(until),
                previous => {
                    if previous.replace(Pause::new(until)).is_some_and(|pause| !pause.has_ended()) {
                        self.ended.push(change(id, NoticeKind::PauseEnded));
                    }
                    kinds.push(NoticeKind::PauseBegan(length));
                }
            }
        }
        match (notice.limit_per_s, &mut entry.limit) {
            (Some(per_s), Some(limit)) => limit.record_named(per_s, now),
            (Some(per_s), limit) => {
                *limit = Some(RateLimit::new(per_s, entry_count, phase, now));
                kinds.push(NoticeKind::LimitBegan(per_s));
            }
            (None, _) => {}
        }
        if !entry.has_finding
            && let Some(finding) = notice.findings.into_iter().next()
        {
            entry.has_finding = true;
            kinds.push(NoticeKind::Invalid(finding));
        }
        if notice.limit_per_s.is_none() {
            self.end_limit(id, sent_at);
        }
        kinds.into_iter().map(|kind| change(id, kind)).collect()
    }

    /// Ends the limit of an upstream that responded without one to a request sent at `sent_at`.
    fn end_limit(&mut self, id: &UpstreamId, sent_at: Duration) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.limit.take_if(|limit| limit.ends_with(sent_at)).is_some() {
            self.ended.push(change(id, NoticeKind::LimitEnded));
        }
    }

    /// Records that a request is to be sent to an upstream that was chosen for it.
    pub(super) fn record_chosen(&mut self, id: &UpstreamId, now: Duration) {
        let limit = self.entries.get_mut(id).and_then(|entry| entry.limit.as_mut());
        if let Some(limit) = limit {
            limit.record_sent(self.entry_count, now);
        }
    }

    /// Records that the list contains an upstream. A new start ends the notices.
    pub(super) fn record_listed(&mut self, id: &UpstreamId, started_unix_ms: Option<u64>) {
        self.end_if_restarted(id, started_unix_ms);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.unlisted_since = None;
        }
    }

    /// Records which upstreams the list contains. Notices of others end after a while, and at
    /// once if a new start could not be told apart.
    pub(super) fn record_unlisted(
        &mut self,
        is_listed: impl Fn(&UpstreamId) -> bool,
        now: Duration,
    ) {
        for (id, entry) in &mut self.entries {
            if !is_listed(id) {
                entry.unlisted_since.get_or_insert(now);
            }
        }
        self.remove_where(|entry| {
            entry.unlisted_since.is_some() && entry.started_unix_ms.is_none()
        });
    }

    /// Returns what keeps an upstream with this number of slots from getting a request now.
    pub(super) fn obstacle(&self, id: &UpstreamId, slots: u32, now: Duration) -> Option<Obstacle> {
        let entry = self.entries.get(id)?;
        if entry.is_leaving {
            return Some(Obstacle::Leaving);
        }
        if let Some(pause) = &entry.pause {
            if pause.is_active(now) {
                return Some(Obstacle::Paused(pause.until()));
            }
            if !pause.admits(slots, now) {
                return Some(Obstacle::Resuming);
            }
        }
        let limit = entry.limit.as_ref().filter(|limit| !limit.is_expired(now))?;
        limit.blocked_until(self.entry_count, now).map(Obstacle::Limited)
    }

    /// Returns whether an upstream leaves or pauses.
    pub(super) fn is_silenced(&self, id: &UpstreamId, now: Duration) -> bool {
        matches!(self.obstacle(id, u32::MAX, now), Some(Obstacle::Leaving | Obstacle::Paused(_)))
    }

    /// Returns whether an upstream said that it leaves.
    pub(super) fn is_leaving(&self, id: &UpstreamId) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.is_leaving)
    }

    /// Returns the ids of the upstreams that said anything that may still hold.
    pub(super) fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.entries.keys()
    }

    /// Returns what tracks the requests after an upstream's pause, if there was one.
    pub(super) fn pause_mut(&mut self, id: &UpstreamId) -> Option<&mut Pause> {
        self.entries.get_mut(id)?.pause.as_mut()
    }

    /// Returns what has ended since the last call.
    pub(super) fn take_ended(&mut self, now: Duration) -> Vec<NoticeChange> {
        for (id, entry) in &mut self.entries {
            if entry.limit.take_if(|limit| limit.is_expired(now)).is_some() {
                self.ended.push(change(id, NoticeKind::LimitEnded));
            }
            let Some(pause) = &mut entry.pause else { continue };
            if pause.end(now) {
                self.ended.push(change(id, NoticeKind::PauseEnded));
            }
            if pause.is_over(now) {
                entry.pause = None;
            }
        }
        self.remove_where(|entry| {
            let is_expired = entry.unlisted_since.is_some_and(|since| now >= since + UNLISTED_TTL);
            let holds = entry.is_leaving || entry.pause.is_some() || entry.limit.is_some();
            let is_empty = !holds && !entry.has_finding;
            is_empty || is_expired
        });
        std::mem::take(&mut self.ended)
    }

    fn end_if_restarted(&mut self, id: &UpstreamId, started_unix_ms: Option<u64>) {
        let is_other = |entry: &&Entry| entry.started_unix_ms != started_unix_ms;
        if let Some(entry) = self.entries.get(id).filter(is_other) {
            self.ended.extend(entry.ends(id));
            self.entries.remove(id);
        }
    }

    fn remove_where(&mut self, is_removed: impl Fn(&Entry) -> bool) {
        let ended = &mut self.ended;
        self.entries.retain(|id, entry| {
            let is_removed = is_removed(entry);
            if is_removed {
                ended.extend(entry.ends(id));
            }
            !is_removed
        });
    }
}

impl Entry {
    /// Returns what ends when the entry is removed.
    fn ends(&self, id: &UpstreamId) -> Vec<NoticeChange> {
        let leaving = self.is_leaving.then_some(NoticeKind::LeavingEnded);
        let has_pause = self.pause.as_ref().is_some_and(|pause| !pause.has_ended());
        let pause = has_pause.then_some(NoticeKind::PauseEnded);
        let limit = self.limit.as_ref().map(|_| NoticeKind::LimitEnded);
        leaving.into_iter().chain(pause).chain(limit).map(|kind| change(id, kind)).collect()
    }
}

fn change(id: &UpstreamId, kind: NoticeKind) -> NoticeChange {
    NoticeChange { upstream: id.clone(), kind }
}
