//! Tracks which upstreams leave or want a pause, as they say themselves.
//!
//! What an upstream says holds for one start of it, whatever the list of upstreams says.

use std::{collections::BTreeMap, time::Duration};

use super::pause::Pause;
use crate::core::upstreams::{UpstreamId, UpstreamNotice};

/// What upstreams said of themselves, by id.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
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
    /// Whether a finding was reported; further ones are not.
    has_finding: bool,
    /// Since when the list has not contained the upstream.
    unlisted_since: Option<Duration>,
}

/// Represents the beginning or the end of what an upstream said of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoticeChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// What begins or ends.
    pub kind: NoticeKind,
}

/// Represents what begins or ends with a [`NoticeChange`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NoticeKind {
    /// It leaves.
    LeavingBegan,
    /// It is gone or has started anew.
    LeavingEnded,
    /// It wants no requests for this long.
    PauseBegan(Duration),
    /// It may be used again, gradually.
    PauseEnded,
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
}

impl Obstacle {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Paused(_) => "paused",
            Self::Resuming => "resuming",
        }
    }
}

/// How long notices are kept for an upstream that the list does not contain. An entry may be
/// missing from a reading of the list although the upstream runs.
const UNLISTED_TTL: Duration = Duration::from_secs(300);

impl Notices {
    /// Records what one start of an upstream said with a response, and returns what begins.
    /// `is_listed` states whether the list contains the upstream.
    pub(super) fn record(
        &mut self,
        id: &UpstreamId,
        started_unix_ms: Option<u64>,
        is_listed: bool,
        notice: UpstreamNotice,
        now: Duration,
    ) -> Vec<NoticeChange> {
        // While the upstream is not listed, a late response of an earlier start may arrive.
        if self.entries.get(id).is_some_and(|entry| entry.started_unix_ms > started_unix_ms) {
            return Vec::new();
        }
        self.end_if_restarted(id, started_unix_ms);
        let entry = self.entries.entry(id.clone()).or_insert_with(|| Entry {
            started_unix_ms,
            is_leaving: false,
            pause: None,
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
        if !entry.has_finding
            && let Some(finding) = notice.findings.into_iter().next()
        {
            entry.has_finding = true;
            kinds.push(NoticeKind::Invalid(finding));
        }
        kinds.into_iter().map(|kind| change(id, kind)).collect()
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
        let pause = entry.pause.as_ref()?;
        if pause.is_active(now) {
            return Some(Obstacle::Paused(pause.until()));
        }
        (!pause.admits(slots, now)).then_some(Obstacle::Resuming)
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
            let is_empty = !entry.is_leaving && entry.pause.is_none() && !entry.has_finding;
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
        leaving.into_iter().chain(pause).map(|kind| change(id, kind)).collect()
    }
}

fn change(id: &UpstreamId, kind: NoticeKind) -> NoticeChange {
    NoticeChange { upstream: id.clone(), kind }
}
