//! A client of the control replicas that finds and follows their leader.

use std::{
    collections::BTreeMap,
    error::Error,
    fmt,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    core::{
        control::{Command, InstanceName, Outcome, Version},
        replication::ReplicaId,
    },
    net::{
        ClusterClient, ClusterError,
        wire::{QueryReply, QueryRequest, SubmitReply, SubmitRequest, WatchReply, WatchRequest},
    },
};

/// Sends requests to the control replica that leads. Clones share the known
/// leader.
#[derive(Clone, Debug)]
pub struct ControlClient {
    replicas: Arc<BTreeMap<InstanceName, ClusterClient>>,
    leader: Arc<Mutex<Option<InstanceName>>>,
}

/// Represents the reason why a command is not known to be committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitError {
    /// No replica wrote the command.
    NotSubmitted,
    /// The command may have been committed, or may still be.
    Unknown,
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSubmitted => f.write_str("no control replica leads at present"),
            Self::Unknown => f.write_str("the answer of the control replicas was lost"),
        }
    }
}

impl Error for SubmitError {}

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl ControlClient {
    /// Creates a client of the given control replicas. `replicas` must not be empty.
    pub fn new(replicas: BTreeMap<InstanceName, ClusterClient>) -> Self {
        Self { replicas: Arc::new(replicas), leader: Arc::default() }
    }

    /// Commits a command. It is retried until it is committed or `timeout` has
    /// elapsed, so applying it twice must have no further effect.
    ///
    /// # Errors
    ///
    /// Returns an error when the command is not known to be committed.
    pub async fn submit(
        &self,
        command: Command,
        timeout: Duration,
    ) -> Result<Outcome, SubmitError> {
        let deadline = Instant::now() + timeout;
        let request = SubmitRequest::Command(command);
        let mut may_be_submitted = false;
        while let Some(remaining) = deadline.checked_duration_since(Instant::now()) {
            let call_timeout = remaining.min(CALL_TIMEOUT);
            match self.submit_once(&request, call_timeout).await {
                Ok(SubmitReply::Committed(outcome)) => return Ok(outcome),
                Ok(SubmitReply::NotLeader { .. }) | Err(ClusterError::Unreachable(_)) => {}
                Ok(_) | Err(_) => may_be_submitted = true,
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(if may_be_submitted { SubmitError::Unknown } else { SubmitError::NotSubmitted })
    }

    async fn submit_once(
        &self,
        request: &SubmitRequest,
        timeout: Duration,
    ) -> Result<SubmitReply, ClusterError> {
        let (name, client) = self.next_replica();
        let reply = client.submit(request, timeout).await;
        match &reply {
            Ok(SubmitReply::NotLeader { leader }) => self.redirect(&name, leader.clone()),
            Ok(_) => {}
            Err(_) => self.redirect(&name, None),
        }
        reply
    }

    /// Sends one request to the leader to add a replica as a voter. Returns whether the
    /// replica is a voter. Joining takes several such requests.
    pub(super) async fn join(&self, instance: &InstanceName, replica: ReplicaId) -> bool {
        let request = SubmitRequest::Join { instance: instance.clone(), replica };
        matches!(self.submit_once(&request, CALL_TIMEOUT).await, Ok(SubmitReply::Joined))
    }

    /// Sends one request for a lease and for the update of the policy since the version
    /// in the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed. The reply of a replica that does not
    /// lead is no error.
    pub async fn watch(
        &self,
        request: &WatchRequest,
        timeout: Duration,
    ) -> Result<WatchReply, ClusterError> {
        let (name, client) = self.next_replica();
        let reply = client.watch(request, timeout).await;
        match &reply {
            Ok(WatchReply::NotLeader { leader }) => self.redirect(&name, leader.clone()),
            Ok(WatchReply::Granted { .. }) => {}
            Err(_) => self.redirect(&name, None),
        }
        reply
    }

    /// Reads the control state from a replica that confirmed that it leads.
    /// Returns `None` when no such replica replied within `timeout`.
    pub async fn query(&self, request: &QueryRequest, timeout: Duration) -> Option<QueryReply> {
        let deadline = Instant::now() + timeout;
        while let Some(remaining) = deadline.checked_duration_since(Instant::now()) {
            let (name, client) = self.next_replica();
            match client.query(request, remaining.min(CALL_TIMEOUT)).await {
                Ok(QueryReply::NotLeader { leader }) => self.redirect(&name, leader),
                Ok(reply) => return Some(reply),
                Err(_) => self.redirect(&name, None),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        None
    }

    /// Waits until every live instance has `version` in force or its lease has
    /// expired. Returns the instances that still lag after `timeout`, or `None` if
    /// no leader knows them all by then.
    pub(super) async fn wait_in_force(
        &self,
        version: Version,
        timeout: Duration,
    ) -> Option<Vec<InstanceName>> {
        let deadline = Instant::now() + timeout;
        let request = QueryRequest::Lagging { version };
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let reply = self.query(&request, remaining).await;
            let timed_out = Instant::now() >= deadline;
            match reply {
                Some(QueryReply::Lagging { instances, settled: true })
                    if instances.is_empty() || timed_out =>
                {
                    return Some(instances);
                }
                _ if timed_out => return None,
                _ => tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the replica to call next: the known leader, or else the first
    /// replica.
    fn next_replica(&self) -> (InstanceName, ClusterClient) {
        let mut leader = self.leader.lock().unwrap_or_else(|error| error.into_inner());
        let known_leader = leader.as_ref().and_then(|name| self.replicas.get_key_value(name));
        let replica = known_leader.or_else(|| self.replicas.first_key_value());
        let (name, client) =
            replica.unwrap_or_else(|| unreachable!("the settings name no control replica"));
        *leader = Some(name.clone());
        (name.clone(), client.clone())
    }

    /// Replaces the known leader after a replica did not lead or did not reply: by the
    /// leader that it named, or by the next replica in order.
    fn redirect(&self, from: &InstanceName, to: Option<InstanceName>) {
        let mut leader = self.leader.lock().unwrap_or_else(|error| error.into_inner());
        if leader.as_ref() != Some(from) {
            return;
        }
        let hinted_leader = to.filter(|name| name != from && self.replicas.contains_key(name));
        *leader = hinted_leader.or_else(|| self.replica_after(from));
    }

    fn replica_after(&self, name: &InstanceName) -> Option<InstanceName> {
        use std::ops::Bound::{Excluded, Unbounded};
        let mut later_replicas =
            self.replicas.range::<InstanceName, _>((Excluded(name), Unbounded));
        later_replicas
            .next()
            .or_else(|| self.replicas.first_key_value())
            .map(|(name, _)| name.clone())
    }
}
