//! Holds the claims and what became of them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{AttemptId, ClaimEpoch, ClaimKey};
use crate::core::{byte_string, control::Fingerprint};

/// Holds the claims of the epochs that are kept.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimTable {
    epoch: ClaimEpoch,
    epoch_began_unix_ms: u64,
    claims: BTreeMap<ClaimKey, Claim>,
}

/// Bounds what a [`ClaimTable`] holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// How many epochs are kept, the current one included.
    pub epochs_kept: u64,
    /// The most claims held at once.
    pub claims_max: usize,
}

/// Holds what is known of one key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct Claim {
    fingerprint: Fingerprint,
    state: ClaimState,
    /// Attempts that gave the key up. A claim of theirs that arrives late is
    /// not granted: nobody would run it, and it would block the key.
    withdrawn: BTreeSet<AttemptId>,
}

#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
enum ClaimState {
    Free,
    Held(AttemptId),
    Finished(AttemptId, AttemptResult),
}

/// Says how a claimed request ended.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AttemptResult {
    /// The upstream answered.
    Answered(Answer),
    /// The upstream answered with more than is recorded.
    AnsweredAtLength {
        /// The status code.
        status: u16,
    },
    /// The request may have run; its answer never came.
    Unknown,
}

/// Holds a recorded answer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<HeaderPair>,
    /// The body.
    #[serde(with = "byte_string")]
    pub body: Vec<u8>,
}

/// Holds one header.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HeaderPair {
    /// The name.
    pub name: String,
    /// The value, as it was sent.
    #[serde(with = "byte_string")]
    pub value: Vec<u8>,
}

/// Changes the claims.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ClaimCommand {
    /// Claims a key for an attempt.
    Begin {
        /// The key.
        key: ClaimKey,
        /// What the request asks for.
        fingerprint: Fingerprint,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Gives a key up; nothing of the attempt was sent.
    Withdraw {
        /// The key.
        key: ClaimKey,
        /// What the request asks for.
        fingerprint: Fingerprint,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Records how the attempt ended.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        finished: AttemptResult,
    },
    /// Begins an epoch and drops those that are no longer kept.
    BeginEpoch {
        /// The epoch.
        epoch: ClaimEpoch,
        /// The time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
}

/// Says what became of a [`ClaimCommand`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The attempt may send the request, once.
    Granted,
    /// Another attempt has finished.
    Finished(AttemptResult),
    /// Another attempt holds the key.
    Held,
    /// The key was used for a different request.
    OtherRequest,
    /// The attempt gave the key up before.
    Withdrawn,
    /// The key's epoch is no longer kept: whether it ran is unknown.
    Expired,
    /// The key's epoch has not begun: nothing ran.
    NotIssued {
        /// The epoch.
        epoch: ClaimEpoch,
    },
    /// There is no room for another claim: nothing ran.
    Full,
    /// The command was carried out, or had nothing to do.
    Done,
}

impl ClaimTable {
    /// Returns the current epoch.
    pub fn epoch(&self) -> ClaimEpoch {
        self.epoch
    }

    /// Returns when the current epoch began, in milliseconds since 1970.
    pub fn epoch_began_unix_ms(&self) -> u64 {
        self.epoch_began_unix_ms
    }

    /// Returns how many claims are held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Carries out a command.
    pub fn apply(&mut self, command: ClaimCommand, limits: &ClaimLimits) -> ClaimOutcome {
        match command {
            ClaimCommand::Begin { key, fingerprint, attempt } => {
                self.begin(key, fingerprint, attempt, limits)
            }
            ClaimCommand::Withdraw { key, fingerprint, attempt } => {
                self.withdraw(key, fingerprint, attempt, limits)
            }
            ClaimCommand::Finish { key, attempt, finished } => self.finish(&key, attempt, finished),
            ClaimCommand::BeginEpoch { epoch, at_unix_ms } => {
                self.begin_epoch(epoch, at_unix_ms, limits)
            }
        }
    }

    fn begin(
        &mut self,
        key: ClaimKey,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        limits: &ClaimLimits,
    ) -> ClaimOutcome {
        if let Err(refusal) = self.check_epoch(&key, limits) {
            return refusal;
        }
        let is_full = self.claims.len() >= limits.claims_max;
        let Some(claim) = self.claims.get_mut(&key) else {
            if is_full {
                return ClaimOutcome::Full;
            }
            self.claims.insert(key, Claim::new(fingerprint, ClaimState::Held(attempt)));
            return ClaimOutcome::Granted;
        };
        if claim.fingerprint != fingerprint {
            return ClaimOutcome::OtherRequest;
        }
        if claim.withdrawn.contains(&attempt) {
            return ClaimOutcome::Withdrawn;
        }
        claim.begin(attempt)
    }

    fn withdraw(
        &mut self,
        key: ClaimKey,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        limits: &ClaimLimits,
    ) -> ClaimOutcome {
        if self.check_epoch(&key, limits).is_err() {
            return ClaimOutcome::Done;
        }
        let claim =
            self.claims.entry(key).or_insert_with(|| Claim::new(fingerprint, ClaimState::Free));
        if claim.state == ClaimState::Held(attempt.clone()) {
            claim.state = ClaimState::Free;
        }
        claim.withdrawn.insert(attempt);
        ClaimOutcome::Done
    }

    fn finish(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        finished: AttemptResult,
    ) -> ClaimOutcome {
        let Some(claim) = self.claims.get_mut(key) else { return ClaimOutcome::Expired };
        // An answer may arrive after its attempt was recorded as unknown: it
        // is what became of the request, so it replaces that.
        let can_finish = match &claim.state {
            ClaimState::Held(held) => *held == attempt,
            ClaimState::Finished(held, AttemptResult::Unknown) => *held == attempt,
            _ => false,
        };
        if can_finish {
            claim.state = ClaimState::Finished(attempt, finished);
        }
        ClaimOutcome::Done
    }

    fn begin_epoch(
        &mut self,
        epoch: ClaimEpoch,
        at_unix_ms: u64,
        limits: &ClaimLimits,
    ) -> ClaimOutcome {
        if epoch != self.epoch + 1 {
            return ClaimOutcome::Done;
        }
        self.epoch = epoch;
        self.epoch_began_unix_ms = at_unix_ms;
        let oldest = self.oldest_kept(limits);
        self.claims.retain(|key, _| key.epoch >= oldest);
        ClaimOutcome::Done
    }

    fn check_epoch(&self, key: &ClaimKey, limits: &ClaimLimits) -> Result<(), ClaimOutcome> {
        if key.epoch > self.epoch {
            return Err(ClaimOutcome::NotIssued { epoch: self.epoch });
        }
        if key.epoch < self.oldest_kept(limits) {
            return Err(ClaimOutcome::Expired);
        }
        Ok(())
    }

    fn oldest_kept(&self, limits: &ClaimLimits) -> ClaimEpoch {
        (self.epoch + 1).saturating_sub(limits.epochs_kept)
    }
}

impl Claim {
    fn new(fingerprint: Fingerprint, state: ClaimState) -> Self {
        Self { fingerprint, state, withdrawn: BTreeSet::new() }
    }

    fn begin(&mut self, attempt: AttemptId) -> ClaimOutcome {
        match &self.state {
            ClaimState::Free => {
                self.state = ClaimState::Held(attempt);
                ClaimOutcome::Granted
            }
            // The grant was lost on its way; the same attempt asks again.
            ClaimState::Held(held) if *held == attempt => ClaimOutcome::Granted,
            ClaimState::Held(_) => ClaimOutcome::Held,
            ClaimState::Finished(_, finished) => ClaimOutcome::Finished(finished.clone()),
        }
    }
}
