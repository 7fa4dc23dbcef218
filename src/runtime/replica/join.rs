//! Adds replicas to the members and removes those that are gone, changing one vote at a time.

use tracing::info;
use xtra::Context;

use super::Replica;
use crate::{
    core::{
        control::InstanceName,
        replication::{Input, Members, ReplicaId, ReplyTimes, Role},
    },
    net::wire::SubmitReply,
};

impl Replica {
    /// Proposes the next step of adding a replica. Each step changes one vote at most, and a
    /// replica gets its vote only once it has caught up.
    pub(super) fn join(
        &mut self,
        instance: &InstanceName,
        replica: ReplicaId,
        ctx: &Context<Self>,
    ) -> SubmitReply {
        let Role::Leader(leader_state) = self.node.role() else {
            return SubmitReply::NotLeader { leader: self.leader_name() };
        };
        let members = self.node.members();
        if members.is_voter(replica) {
            return SubmitReply::Joined;
        }
        let has_caught_up =
            leader_state.match_index(replica) + JOIN_LAG_MAX_ENTRIES >= self.node.commit_index();
        let next = next_members(members, instance, replica, has_caught_up);
        if let Some(next) = next {
            info!(%instance, replica, "proposing a change of members so that the replica can join");
            self.queue(Input::ProposeMembers(next), None, ctx);
        }
        SubmitReply::Joining
    }

    /// Proposes, on the leader, to remove a member that has not replied for long, if the setup
    /// has a timeout for that. A replica that was replaced at another address never replies
    /// again, and its vote only makes a quorum harder to reach.
    pub(super) fn remove_silent_member(&mut self, ctx: &Context<Self>) {
        let Some(timeout) = self.setup.silent_member_timeout.filter(|_| self.is_current()) else {
            return;
        };
        let now = self.clock.now();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.reply_times.update(&self.node, now);
        let silent = leadership.reply_times.silent(now, timeout);
        let (members_index, members) = self.node.durable().members();
        if members_index > self.node.commit_index() {
            return;
        }
        let Some(next) = members.without_silent(&silent) else { return };
        // The next removal waits for the timeout again, which leaves time to commit this one.
        leadership.reply_times = ReplyTimes::default();
        info!(?silent, "proposing to remove a member that does not reply");
        self.queue(Input::ProposeMembers(next), None, ctx);
    }
}

/// The largest number of missing entries with which a replica counts as caught up.
const JOIN_LAG_MAX_ENTRIES: u64 = 16;

/// Returns the members after the next step of adding a replica, or `None` if that has to wait until
/// the replica has caught up.
///
/// A replica that the instance ran before is removed first: its disk was lost, so its vote only
/// makes a quorum harder to reach.
fn next_members(
    members: &Members,
    instance: &InstanceName,
    replica: ReplicaId,
    has_caught_up: bool,
) -> Option<Members> {
    if members.get(replica).is_none() {
        return Some(members.clone().with_learner(replica, instance.clone()));
    }
    if !has_caught_up {
        return None;
    }
    let mut previous =
        members.iter().filter(|(id, member)| *id != replica && member.instance == *instance);
    match previous.next() {
        Some((id, _)) => Some(members.clone().without(id)),
        None => Some(members.clone().with_vote(replica)),
    }
}
