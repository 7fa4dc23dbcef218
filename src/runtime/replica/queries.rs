//! Builds the replies to queries of the control state.

use std::{collections::BTreeMap, time::Duration};

use super::Replica;
use crate::{
    core::{
        control::{InstanceName, LoadReport, Session, Version},
        replication::{ReplicaId, Role},
    },
    net::wire::{ControlStatus, InstanceStatus, Presets, QueryReply, QueryRequest, ReplicaStatus},
};

impl Replica {
    pub(super) fn query_reply(&self, request: &QueryRequest, now: Duration) -> QueryReply {
        let policy = self.state.policy();
        match request {
            QueryRequest::Status => QueryReply::Status(Box::new(self.status(now))),
            QueryRequest::Presets => QueryReply::Presets(Presets {
                revision: policy.revision,
                in_force: policy.in_force.clone(),
                presets: policy.presets.clone(),
            }),
            QueryRequest::Audit(filter) => QueryReply::Audit(filter.select(self.state.audit())),
            QueryRequest::Committed => QueryReply::Committed { index: self.node.commit_index() },
            QueryRequest::Lagging { version } => {
                let (instances, is_complete) = self.lagging(*version, now);
                QueryReply::Lagging { instances, settled: is_complete }
            }
        }
    }

    /// Returns the instances that may have an earlier version in force, and whether the list is
    /// complete.
    fn lagging(&self, version: Version, now: Duration) -> (Vec<InstanceName>, bool) {
        self.leadership.as_ref().map_or((Vec::new(), false), |leadership| {
            let instances = leadership.sessions.lagging(version, now).into_iter().collect();
            (instances, leadership.sessions.earlier_leases_expired(now))
        })
    }

    fn status(&self, now: Duration) -> ControlStatus {
        let policy = self.state.policy();
        let (lagging, is_complete) = self.lagging(policy.version, now);
        ControlStatus {
            revision: policy.revision,
            version: policy.version,
            in_force: policy.in_force.clone(),
            in_force_everywhere: lagging.is_empty() && is_complete,
            shift_step: policy.shift_step,
            layouts: policy.layouts.clone(),
            instances: self.instance_statuses(&lagging, now),
            owners: policy.owners.clone(),
            drained: policy.drained.iter().cloned().collect(),
            replicas: self.replica_statuses(),
            term: self.node.term(),
            commit: self.node.commit_index(),
            log_bytes: self.disk.log_bytes(),
            claims: self.state.claims().len(),
            key_epoch: policy.claim_epoch,
        }
    }

    fn instance_statuses(
        &self,
        lagging: &[InstanceName],
        now: Duration,
    ) -> BTreeMap<InstanceName, InstanceStatus> {
        let policy = self.state.policy();
        let mut sessions: BTreeMap<&InstanceName, &Session> = BTreeMap::new();
        if let Some(leadership) = &self.leadership {
            sessions = leadership
                .sessions
                .live(now)
                .map(|(holder, session)| (&holder.instance, session))
                .collect();
        }
        let status = |(name, state): (&InstanceName, &_)| {
            let session = sessions.get(name);
            let instance_status = InstanceStatus {
                state: Clone::clone(state),
                leaving: policy.leaving.contains(name),
                version: session.map(|session| session.version),
                lags: lagging.contains(name),
                load: session.map_or_else(LoadReport::default, |session| session.load.clone()),
            };
            (name.clone(), instance_status)
        };
        policy.instances.iter().map(status).collect()
    }

    fn replica_statuses(&self) -> Vec<ReplicaStatus> {
        let last_index = self.node.durable().last_index();
        let matched = |id: ReplicaId| match self.node.role() {
            _ if id == self.node.id() => last_index,
            Role::Leader(leader_state) => leader_state.match_index(id),
            _ => 0,
        };
        self.node
            .members()
            .iter()
            .map(|(id, member)| ReplicaStatus {
                id,
                instance: member.instance.clone(),
                voter: member.voter,
                leads: self.node.leader() == Some(id),
                matched: matched(id),
            })
            .collect()
    }
}
