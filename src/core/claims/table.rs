//! The table of claims and their results.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{AttemptId, ClaimEpoch, ClaimKey};
use crate::core::{byte_string, control::Fingerprint};

/// Holds the claims of the current epoch and of the preceding epochs that are kept.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimTable {
    epoch: ClaimEpoch,
    epoch_began_unix_ms: u64,
    claims: BTreeMap<ClaimKey, Claim>,
}

/// Limits what a [`ClaimTable`] holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// The number of epochs whose claims are kept, including the current one.
    pub epochs_kept: u64,
    /// The maximum number of claims held at once.
    pub claims_max: usize,
}

/// Represents the claim of one key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct Claim {
    fingerprint: Fingerprint,
    state: ClaimState,
    /// The attempts that withdrew their claim. If the claim of such an attempt arrives
    /// late, it is not granted: the attempt would not run the request, and the key would
    /// stay blocked.
    withdrawn: BTreeSet<AttemptId>,
}

#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
enum ClaimState {
    Free,
    Held(AttemptId),
    Finished(AttemptId, AttemptResult),
}

/// Represents the recorded result of an attempt to run a request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AttemptResult {
    /// The upstream responded.
    Answered(RecordedResponse),
    /// The upstream responded, but the response is too large to be recorded.
    AnsweredAtLength {
        /// The status code.
        status: u16,
    },
    /// The request may have run, but no complete response arrived.
    Unknown,
}

/// Represents a response that is recorded for replay.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RecordedResponse {
    /// The status code.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<HeaderPair>,
    /// The body.
    #[serde(with = "byte_string")]
    pub body: Vec<u8>,
}

/// Represents one header.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HeaderPair {
    /// The name.
    pub name: String,
    /// The value, byte for byte as in the response.
    #[serde(with = "byte_string")]
    pub value: Vec<u8>,
}

/// Represents a command that changes the claims.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ClaimCommand {
    /// Claims a key for an attempt.
    Begin {
        /// The key.
        key: ClaimKey,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Withdraws the claim of an attempt whose request was not run.
    Withdraw {
        /// The key.
        key: ClaimKey,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Records the result of an attempt.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// The result.
        finished: AttemptResult,
    },
    /// Begins an epoch and drops the claims of epochs that are no longer kept;
    /// ignored unless the epoch follows the current one.
    BeginEpoch {
        /// The epoch.
        epoch: ClaimEpoch,
        /// When the epoch begins, in milliseconds since 1970.
        at_unix_ms: u64,
    },
}

/// Represents the outcome of a [`ClaimCommand`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ClaimOutcome {
    /// The attempt holds the key and may have the request run once.
    Granted,
    /// An attempt with the key has already finished.
    Finished(AttemptResult),
    /// Another attempt holds the key.
    Held,
    /// The key is already used for a different request.
    OtherRequest,
    /// The attempt has already withdrawn its claim.
    Withdrawn,
    /// The claims of the key's epoch are no longer kept, so it is unknown whether
    /// the request ran.
    Expired,
    /// The key's epoch has not begun, so the request did not run.
    NotIssued {
        /// The current epoch.
        epoch: ClaimEpoch,
    },
    /// The table is full, so the request did not run.
    Full,
    /// The command was applied or ignored.
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

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies a command.
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
        if let Err(outcome) = self.check_epoch(&key, limits) {
            return outcome;
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
        // The response may arrive after the attempt's result was recorded as
        // unknown. It then replaces that result.
        let can_finish = match &claim.state {
            ClaimState::Held(holder) => *holder == attempt,
            ClaimState::Finished(holder, AttemptResult::Unknown) => *holder == attempt,
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
            // The reply to the first claim was lost, and the same attempt claims the key
            // again.
            ClaimState::Held(holder) if *holder == attempt => ClaimOutcome::Granted,
            ClaimState::Held(_) => ClaimOutcome::Held,
            ClaimState::Finished(_, finished) => ClaimOutcome::Finished(finished.clone()),
        }
    }
}
