//! Defines the messages between instances.
//!
//! They are encoded as MessagePack with field names, and sent in the frames of
//! `proto/cluster.proto` or of [`mesh`](super::mesh).

mod encoding;

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

pub(crate) use self::encoding::decode_from;
pub use self::encoding::{decode, encode};
use super::packed_list;
use crate::core::{
    MapDelta,
    claims::ClaimEpoch,
    control::{
        AuditFilter, AuditRecord, Command, Holder, InstanceName, InstanceState, LoadReport,
        Outcome, Ownership, Policy, PolicyDelta, Preset, PresetName, RegionName, Revision,
        UpstreamName, Version, ZoneName,
    },
    peers::Peer,
    placement::DemandReport,
    replication::{Envelope, LogIndex, Members, ReplicaId, Term},
    steering::Layout,
    suspects::CrashReport,
    upstreams::{ListedUpstream, UpstreamId},
};

/// Represents messages of the replicated log.
pub type ReplicateRequest = Vec<Envelope<Command>>;

/// Represents a request to the control leader to commit a command or to add a
/// replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum SubmitRequest {
    /// Commit a command.
    Command(Command),
    /// Add a replica. Each request performs one step; the replica repeats it until
    /// it is a voter.
    Join {
        /// The instance that runs the replica.
        instance: InstanceName,
        /// The replica's id.
        replica: ReplicaId,
    },
}

/// Represents the reply to a [`SubmitRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum SubmitReply {
    /// The command was committed.
    Committed(Outcome),
    /// The replica that requested to join is a voter.
    Joined,
    /// The replica that requested to join must repeat its request.
    Joining,
    /// This replica is not the leader. Nothing was written.
    NotLeader {
        /// The instance whose replica is the leader, if known.
        leader: Option<InstanceName>,
    },
    /// The leader lost its leadership before the outcome was known. The command may
    /// still be committed.
    Unknown,
}

/// Represents a request for a lease and for an update of the policy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchRequest {
    /// The requester.
    pub holder: Holder,
    /// The version of the policy in force at the requester.
    pub version: Version,
    /// Whether the requester is stopping.
    pub stopping: bool,
    /// Whether this is the last request of an instance that has stopped serving.
    pub gone: bool,
    /// Whether to reply immediately, even if nothing has changed.
    pub at_once: bool,
    /// The load of the upstreams that the requester owns.
    pub load: LoadReport,
}

/// Represents the reply to a [`WatchRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum WatchReply {
    /// A lease is granted. It starts `confirmed_before_ms` before the time at which
    /// the instance sent its request.
    Granted {
        /// How long before the arrival of the request the leader last confirmed its
        /// leadership, rounded up; 1 if it did so after the arrival.
        confirmed_before_ms: u64,
        /// The duration of the lease.
        lease_ms: u64,
        /// The update since the version in the request.
        update: PolicyUpdate,
        /// The latest load reports of the instances in the requester's region.
        loads: BTreeMap<InstanceName, LoadReport>,
    },
    /// This replica is not the leader.
    NotLeader {
        /// The instance whose replica is the leader, if known.
        leader: Option<InstanceName>,
    },
}

/// Represents the update from an instance's version of the policy to the newest.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PolicyUpdate {
    /// The deltas to apply in order; empty if nothing changed.
    Deltas(Vec<PolicyDelta>),
    /// The whole policy.
    Whole(Box<Policy>),
}

/// Represents a query of the control state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum QueryRequest {
    /// A summary of the control state.
    Status,
    /// The presets.
    Presets,
    /// The records of the audit trail that match a filter.
    Audit(AuditFilter),
    /// The instances that may still have an earlier version in force.
    Lagging {
        /// The version of the policy.
        version: Version,
    },
    /// The commit index of the log.
    Committed,
}

/// Represents the reply to a [`QueryRequest`]. The leader confirmed its leadership
/// after the request arrived.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum QueryReply {
    /// The reply to [`QueryRequest::Status`].
    Status(Box<ControlStatus>),
    /// The reply to [`QueryRequest::Presets`].
    Presets(Presets),
    /// The reply to [`QueryRequest::Audit`].
    Audit(Vec<AuditRecord>),
    /// The reply to [`QueryRequest::Lagging`].
    Lagging {
        /// The instances that may have an earlier version in force.
        instances: Vec<InstanceName>,
        /// Whether the list is complete. It is not while leases that an earlier leader
        /// granted may still be valid.
        settled: bool,
    },
    /// The reply to [`QueryRequest::Committed`].
    Committed {
        /// The commit index.
        index: LogIndex,
    },
    /// This replica is not the leader, or could not confirm that it is.
    NotLeader {
        /// The instance whose replica is the leader, if known.
        leader: Option<InstanceName>,
    },
}

/// Represents the presets and which of them is in force.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Presets {
    /// The revision of operators' changes.
    pub revision: Revision,
    /// The preset in force.
    pub in_force: PresetName,
    /// All presets.
    pub presets: BTreeMap<PresetName, Preset>,
}

/// Represents a summary of the control state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ControlStatus {
    /// The revision of operators' changes.
    pub revision: Revision,
    /// The version of the policy.
    pub version: Version,
    /// The preset in force.
    pub in_force: PresetName,
    /// Whether every live instance has this version in force.
    pub in_force_everywhere: bool,
    /// The number of shift steps so far.
    pub shift_step: u64,
    /// Where the callers of each region are currently sent.
    pub layouts: BTreeMap<RegionName, Layout>,
    /// The instances.
    pub instances: BTreeMap<InstanceName, InstanceStatus>,
    /// The owners of upstreams.
    pub owners: BTreeMap<UpstreamName, Ownership>,
    /// The upstreams that receive no new requests.
    pub drained: Vec<UpstreamName>,
    /// The control replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The term of the leader.
    pub term: Term,
    /// The commit index.
    pub commit: LogIndex,
    /// The size of the leader's log, in bytes.
    pub log_bytes: u64,
    /// The number of claims held.
    pub claims: usize,
    /// The claim epoch of newly issued keys.
    pub key_epoch: ClaimEpoch,
}

/// Represents the status of one instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// The committed state.
    pub state: InstanceState,
    /// Whether an operator told the instance to leave.
    pub leaving: bool,
    /// The version in force at the instance, if it holds a lease.
    pub version: Option<Version>,
    /// Whether the instance may still have an earlier version in force.
    pub lags: bool,
    /// The latest load report.
    pub load: LoadReport,
}

/// Represents the status of one control replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReplicaStatus {
    /// The replica's id.
    pub id: ReplicaId,
    /// The instance that runs the replica.
    pub instance: InstanceName,
    /// Whether the replica has a vote.
    pub voter: bool,
    /// Whether the replica is the leader.
    pub leads: bool,
    /// The index up to which the log is known to match the leader's.
    pub matched: LogIndex,
}

/// Represents a request between processes that discover each other at run time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum NodeRequest {
    /// Deliver messages of the replicated log.
    Replicate {
        /// The address at which the sender is reached.
        from: SocketAddr,
        /// The messages.
        messages: ReplicateRequest,
    },
    /// Commit a command or add a replica.
    Submit(SubmitRequest),
    /// Read the control state.
    Query(QueryRequest),
    /// Request the changes since the state that the sender has reached.
    Follow(FollowRequest),
}

/// Represents the reply to a [`NodeRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum NodeReply {
    /// The messages were received.
    Taken,
    /// The reply to [`NodeRequest::Submit`].
    Submit(SubmitReply),
    /// The reply to [`NodeRequest::Query`].
    Query(QueryReply),
    /// The reply to [`NodeRequest::Follow`].
    Follow(Box<FollowReply>),
}

/// Represents a request for the changes since the state that an instance has
/// reached.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FollowRequest {
    /// The version of the policy in force at the instance; `None` if the policy is
    /// not requested.
    pub version: Option<Version>,
    /// The position that the instance has reached in the list of upstreams; `None` if
    /// the list is not requested.
    pub list: Option<Cursor>,
    /// The demand for objects at entry instances since the last request.
    pub demand: Vec<DemandReport>,
    /// How long the reply may be held back while nothing has changed.
    pub hold_ms: u64,
    /// The entry instance whose peers are requested, if any.
    #[serde(default)]
    pub peers_of: Option<InstanceName>,
    /// The crashes that the instance has seen and does not find in the policy.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
}

/// Represents a position in the changes that one process has numbered in sequence.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cursor {
    /// A random number that identifies the process that numbered the changes.
    pub counter: u64,
    /// The number of the last change.
    pub count: u64,
}

/// Represents the reply to a [`FollowRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FollowReply {
    /// The availability zone of the replica that replies.
    pub zone: ZoneName,
    /// The version of the policy that the replica has applied.
    pub version: Version,
    /// The update of the policy.
    pub update: PolicyUpdate,
    /// The changes of the list of upstreams, if it was requested and has changed.
    pub list: Option<ListDelta>,
    /// The time since the list was read.
    pub list_age_ms: Option<u64>,
    /// The instances that run control replicas. Their names are the addresses at
    /// which other processes reach them.
    pub replicas: Vec<InstanceName>,
    /// The time since the replica was last known to be up to date.
    pub behind_ms: Option<u64>,
    /// The number of entry instances that the replica believes to be up, or 0 if it doesn't
    /// know.
    pub entries: u32,
    /// The rank by name of the instance whose peers are requested among `entries`, from 0.
    #[serde(default)]
    pub entry_rank: Option<u32>,
    /// The requested peers.
    #[serde(default)]
    pub peers: Option<Vec<Peer>>,
    /// How long the reply was held back.
    #[serde(default)]
    pub held_ms: u64,
}

/// Represents changes of the list of upstreams, with the process that numbered them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListDelta {
    /// A random number that identifies the process that numbered the changes.
    pub counter: u64,
    /// The changes.
    #[serde(with = "packed_list")]
    pub change: MapDelta<UpstreamId, ListedUpstream>,
}

impl ListDelta {
    /// Returns the position after the changes.
    pub fn cursor(&self) -> Cursor {
        Cursor { counter: self.counter, count: self.change.version }
    }
}

/// Represents the announcement to control replicas that an entry instance is up.
/// It is sent repeatedly, each time in a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The instance.
    pub instance: InstanceName,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// The address that callers send requests to.
    pub callers: SocketAddr,
    /// The address at which the instance takes over requests of other entry instances.
    pub relay: SocketAddr,
    /// Whether the instance accepts requests of callers.
    pub is_ready: bool,
    /// Whether the instance reaches the upstreams of every service, apart from a short loss.
    pub reaches_upstreams: bool,
    /// Whether the instance has lost the links to the upstreams of a service just now, so that it
    /// takes over no requests.
    #[serde(default)]
    pub has_lost_links: bool,
}

/// Represents the reply to a probe, which reads the state of a replica's log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProbeReply {
    /// The replica's id.
    pub replica: ReplicaId,
    /// The members that the replica knows; `None` if it has not started yet.
    pub members: Option<Members>,
    /// The highest index known to be committed.
    pub commit: LogIndex,
}
