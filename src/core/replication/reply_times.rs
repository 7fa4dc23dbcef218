//! Tracks which members have stopped replying to their leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::Serialize;

use super::{RaftNode, ReplicaId, Role, Round};

/// Records when each other member last replied to a leader.
#[derive(Clone, Debug, Default)]
pub struct ReplyTimes {
    /// For each member, the last round that it replied to and when that was noticed. A
    /// member that never replied counts from when it was first seen.
    last_replies: BTreeMap<ReplicaId, (Round, Duration)>,
}

impl ReplyTimes {
    /// Records the replies that a leader has received by `now`.
    pub fn update<C: Clone + Serialize>(&mut self, node: &RaftNode<C>, now: Duration) {
        let Role::Leader(leader_state) = node.role() else { return };
        let members = node.members();
        self.last_replies.retain(|id, _| members.get(*id).is_some());
        for (id, _) in members.iter().filter(|(id, _)| *id != node.id()) {
            let round = leader_state.last_acked_round(id);
            let last_reply = self.last_replies.entry(id).or_insert((round, now));
            if round > last_reply.0 {
                *last_reply = (round, now);
            }
        }
    }

    /// Returns the members that have not replied for at least `timeout`.
    pub fn silent(&self, now: Duration, timeout: Duration) -> BTreeSet<ReplicaId> {
        let is_silent = |replied_at: Duration| now.saturating_sub(replied_at) >= timeout;
        let last_replies = self.last_replies.iter();
        last_replies.filter(|(_, (_, at))| is_silent(*at)).map(|(id, _)| *id).collect()
    }
}
