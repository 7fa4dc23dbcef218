//! Defines the messages between instances. They travel as MessagePack with
//! field names inside the frames of `proto/cluster.proto`.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::core::{
    MapDelta,
    claims::ClaimEpoch,
    control::{
        AuditFilter, AuditRecord, Command, Holder, InstanceName, InstanceState, LoadReport,
        Outcome, Ownership, Policy, PolicyDelta, Preset, PresetName, RegionName, Revision,
        UpstreamName, Version, ZoneName,
    },
    placement::DemandReport,
    replication::{Envelope, LogIndex, Members, ReplicaId, Term},
    steering::Layout,
    upstreams::{ListedUpstream, UpstreamId},
};

/// Carries messages of the replicated log.
pub type ReplicateRequest = Vec<Envelope<Command>>;

/// Asks the control leader to commit something.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum SubmitRequest {
    /// Commit a command.
    Command(Command),
    /// Take a replica in. One call does one step; the replica repeats it
    /// until it has a vote.
    Join {
        /// The instance.
        instance: InstanceName,
        /// The replica's id.
        replica: ReplicaId,
    },
}

/// Answers [`SubmitRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum SubmitReply {
    /// The command is committed.
    Committed(Outcome),
    /// A replica that asked to join has its vote.
    Joined,
    /// A replica that asked to join has to ask again.
    Joining,
    /// This replica does not lead. Nothing was written.
    NotLeader {
        /// The instance whose replica leads, if known.
        leader: Option<InstanceName>,
    },
    /// The leader lost its term first. The command may be committed yet.
    Unknown,
}

/// Asks for a lease and for what changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchRequest {
    /// Who asks.
    pub holder: Holder,
    /// The version that it has in force.
    pub version: Version,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether this is its last word: it serves nothing any more.
    pub gone: bool,
    /// Whether to answer at once.
    pub at_once: bool,
    /// The load of the upstreams that it owns.
    pub load: LoadReport,
}

/// Answers [`WatchRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum WatchReply {
    /// Grants a lease. It counts from when the instance asked, less
    /// `confirmed_before_ms`.
    Granted {
        /// How long before the request arrived the leader was last sure of
        /// its leadership; 0 when it was sure after that.
        confirmed_before_ms: u64,
        /// The length of the lease.
        lease_ms: u64,
        /// What changed since the version asked with.
        update: Update,
        /// The last load reports of the instances in the asker's region.
        loads: BTreeMap<InstanceName, LoadReport>,
    },
    /// This replica does not lead.
    NotLeader {
        /// The instance whose replica leads, if known.
        leader: Option<InstanceName>,
    },
}

/// Brings an instance's policy up to date.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Update {
    /// The deltas that follow, none if nothing changed.
    Deltas(Vec<PolicyDelta>),
    /// The whole policy.
    Whole(Box<Policy>),
}

/// Asks the control leader about its state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum QueryRequest {
    /// The state at large.
    Status,
    /// The presets.
    Presets,
    /// Part of the audit trail.
    Audit(AuditFilter),
    /// Which instances may still follow an earlier version.
    Lagging {
        /// The version of the policy.
        version: Version,
    },
    /// The index up to which the log is committed.
    Committed,
}

/// Answers [`QueryRequest`]. The leader was sure of its leadership after the
/// request arrived.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum QueryReply {
    /// Answers [`QueryRequest::Status`].
    Status(Box<Status>),
    /// Answers [`QueryRequest::Presets`].
    Presets(Presets),
    /// Answers [`QueryRequest::Audit`].
    Audit(Vec<AuditRecord>),
    /// Answers [`QueryRequest::Lagging`]. `settled` is false while leases
    /// that an earlier leader granted may still hold.
    Lagging {
        /// The instances that may follow an earlier version.
        instances: Vec<InstanceName>,
        /// Whether that is all of them.
        settled: bool,
    },
    /// Answers [`QueryRequest::Committed`].
    Committed {
        /// The index.
        index: LogIndex,
    },
    /// This replica does not lead, or could not make sure that it does.
    NotLeader {
        /// The instance whose replica leads, if known.
        leader: Option<InstanceName>,
    },
}

/// Shows the presets.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Presets {
    /// The revision.
    pub revision: Revision,
    /// The preset in force.
    pub in_force: PresetName,
    /// All presets.
    pub presets: BTreeMap<PresetName, Preset>,
}

/// Shows the control state at large.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The revision of operators' changes.
    pub revision: Revision,
    /// The version of the policy.
    pub version: Version,
    /// The preset in force.
    pub in_force: PresetName,
    /// Whether every live instance has this version in force.
    pub in_force_everywhere: bool,
    /// How many steps shifts have taken.
    pub shift_step: u64,
    /// Where each region's callers go now.
    pub layouts: BTreeMap<RegionName, Layout>,
    /// The instances.
    pub instances: BTreeMap<InstanceName, InstanceStatus>,
    /// The owners of upstreams.
    pub owners: BTreeMap<UpstreamName, Ownership>,
    /// The upstreams that get no new work.
    pub drained: Vec<UpstreamName>,
    /// The control replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The term of the leader.
    pub term: Term,
    /// The last committed index.
    pub commit: LogIndex,
    /// The bytes of the leader's log.
    pub log_bytes: u64,
    /// The claims held.
    pub claims: usize,
    /// The epoch of new keys.
    pub key_epoch: ClaimEpoch,
}

/// Shows one instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Its committed state.
    pub state: InstanceState,
    /// Whether it was told to leave.
    pub leaving: bool,
    /// The version that it has in force, if it holds a lease.
    pub version: Option<Version>,
    /// Whether it may still follow an earlier version.
    pub lags: bool,
    /// Its last load report.
    pub load: LoadReport,
}

/// Shows one control replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReplicaStatus {
    /// Its id.
    pub id: ReplicaId,
    /// The instance that runs it.
    pub instance: InstanceName,
    /// Whether it has a vote.
    pub voter: bool,
    /// Whether it leads.
    pub leads: bool,
    /// The index up to which its log is known to match the leader's.
    pub matched: LogIndex,
}

/// Says what one process asks of another where processes find each other by
/// themselves.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum NodeRequest {
    /// Take messages of the replicated log.
    Replicate {
        /// Where the sender is reached.
        from: SocketAddr,
        /// The messages.
        messages: ReplicateRequest,
    },
    /// Commit something.
    Submit(SubmitRequest),
    /// Read the control state.
    Query(QueryRequest),
    /// Tell what changed.
    Follow(FollowRequest),
}

/// Answers [`NodeRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum NodeReply {
    /// The messages were taken.
    Taken,
    /// Answers [`NodeRequest::Submit`].
    Submit(SubmitReply),
    /// Answers [`NodeRequest::Query`].
    Query(QueryReply),
    /// Answers [`NodeRequest::Follow`].
    Follow(Box<FollowReply>),
}

/// Asks what changed since a point that an instance has reached.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FollowRequest {
    /// The version of the policy that is in force at the instance; none when
    /// it does not ask for the policy.
    pub version: Option<Version>,
    /// What the instance holds of the list of upstreams; none when it does not
    /// ask for the list.
    pub list: Option<Cursor>,
    /// How much objects are asked for at entry instances, since the last call.
    pub demand: Vec<DemandReport>,
    /// How long the answer may be held back while there is nothing to tell.
    pub hold_ms: u64,
}

/// Marks a point in changes as one process counts them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cursor {
    /// The process that counts, a random number.
    pub counter: u64,
    /// The count.
    pub count: u64,
}

/// Says what changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FollowReply {
    /// The availability zone of the replica that answers.
    pub zone: ZoneName,
    /// The version of the policy that the replica has applied.
    pub version: Version,
    /// What changed in the policy.
    pub update: Update,
    /// What changed in the list of upstreams.
    pub list: Option<CursorDelta<UpstreamId, ListedUpstream>>,
    /// How long ago the list was read.
    pub list_age_ms: Option<u64>,
    /// Where control replicas are reached.
    pub replicas: Vec<InstanceName>,
    /// How long ago the replica last knew itself to be current.
    pub behind_ms: Option<u64>,
    /// The entry instances that are up, as the replica knows.
    pub entries: u32,
}

/// Holds changes with the process that counts them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CursorDelta<K, V> {
    /// The process that counts, a random number.
    pub counter: u64,
    /// The changes.
    pub change: MapDelta<K, V>,
}

impl<K, V> CursorDelta<K, V> {
    /// Returns the point that the changes lead to.
    pub fn cursor(&self) -> Cursor {
        Cursor { counter: self.counter, count: self.change.count }
    }
}

/// Tells control replicas that an entry instance is up. It is sent again and
/// again, each time in a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Whether it wants callers.
    pub is_ready: bool,
}

/// Answers a probe.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProbeReply {
    /// The replica's id.
    pub replica: ReplicaId,
    /// The members that it knows, once it is founded.
    pub members: Option<Members>,
    /// The last index known to be committed.
    pub commit: LogIndex,
}

/// Encodes a message.
///
/// # Errors
///
/// Returns the encoder's error.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(message)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns the decoder's error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
