//! The replicas of the log and their votes.

use std::{
    collections::{BTreeMap, BTreeSet},
    error::Error,
    fmt,
};

use serde::{Deserialize, Serialize};

use super::ReplicaId;

/// Represents the replicas of a log.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Members {
    replicas: BTreeMap<ReplicaId, Member>,
}

/// Describes one replica.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// The instance that runs the replica, as the settings name it.
    pub instance: String,
    /// Whether the replica counts towards a quorum.
    pub voter: bool,
}

impl Members {
    /// Creates a list in which every given replica has a vote.
    pub fn new(voters: impl IntoIterator<Item = (ReplicaId, String)>) -> Self {
        let replicas = voters
            .into_iter()
            .map(|(id, instance)| (id, Member { instance, voter: true }))
            .collect();
        Self { replicas }
    }

    /// Returns the list with an additional replica that has no vote.
    pub fn with_learner(mut self, id: ReplicaId, instance: String) -> Self {
        self.replicas.insert(id, Member { instance, voter: false });
        self
    }

    /// Returns the list with a vote given to a replica.
    pub fn with_vote(mut self, id: ReplicaId) -> Self {
        if let Some(member) = self.replicas.get_mut(&id) {
            member.voter = true;
        }
        self
    }

    /// Returns the list without a replica.
    pub fn without(mut self, id: ReplicaId) -> Self {
        self.replicas.remove(&id);
        self
    }

    /// Returns the list without one of the replicas that don't reply, or `None` if it should
    /// stay as it is.
    ///
    /// A voter is removed only from an even number of voters, since a quorum then survives
    /// as many failures without it as with it, and only if those that reply make a quorum.
    /// Of two voters none is removed: the other would hold the only copy of the log.
    pub fn without_silent(&self, silent: &BTreeSet<ReplicaId>) -> Option<Self> {
        let voter_count = self.voters().count();
        let has_spare_vote = voter_count.is_multiple_of(2) && voter_count > 2;
        let is_removable = |member: &Member| has_spare_vote || !member.voter;
        let (id, _) =
            self.iter().find(|(id, member)| silent.contains(id) && is_removable(member))?;
        Some(self.clone().without(id)).filter(|next| next.has_quorum(|id| !silent.contains(&id)))
    }

    /// Iterates over all replicas in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaId, &Member)> {
        self.replicas.iter().map(|(id, member)| (*id, member))
    }

    /// Iterates over the replicas that have a vote.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.iter().filter(|(_, member)| member.voter).map(|(id, _)| id)
    }

    /// Returns the description of a replica.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.replicas.get(&id)
    }

    /// Returns whether a replica has a vote.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// Returns the number of votes that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters for which `is_counted` is true make a quorum.
    pub fn has_quorum(&self, is_counted: impl Fn(ReplicaId) -> bool) -> bool {
        self.voters().filter(|id| is_counted(*id)).count() >= self.quorum()
    }

    /// Returns the highest value that a quorum of the voters has reached, or 0 if
    /// there is no voter.
    pub fn quorum_value(&self, value: impl Fn(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Checks that every quorum of `self` shares a replica with every quorum of
    /// `next`.
    ///
    /// # Errors
    ///
    /// Returns an error if more than one vote differs or `next` has no voter.
    pub fn check_successor(&self, next: &Self) -> Result<(), MembersError> {
        if next.voters().next().is_none() {
            return Err(MembersError::NoVoter);
        }
        let votes_gained = next.voters().filter(|id| !self.is_voter(*id)).count();
        let votes_lost = self.voters().filter(|id| !next.is_voter(*id)).count();
        if votes_gained + votes_lost > 1 {
            return Err(MembersError::MoreThanOneVote);
        }
        Ok(())
    }
}

/// Represents the reason why a list of members can't replace the current one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MembersError {
    /// No replica would have a vote.
    NoVoter,
    /// More than one vote would be gained or lost at once.
    MoreThanOneVote,
}

impl fmt::Display for MembersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoVoter => f.write_str("no replica would have a vote"),
            Self::MoreThanOneVote => f.write_str("more than one vote would change at once"),
        }
    }
}

impl Error for MembersError {}
