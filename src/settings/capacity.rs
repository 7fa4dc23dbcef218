//! Divides the memory and the descriptors of a process among its connections and messages.

use super::{InstanceResources, NodeSettings};
use crate::core::ConnectionLimits;

const MIB: u64 = 1024 * 1024;
/// The descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// The minimum number of connections of a listener.
const CONNECTIONS_MIN: usize = 4;

/// The part of the memory that all messages may take together: 1 of this many. The rest is for
/// the state, connections and short-lived copies.
const MESSAGES_MEMORY_PART: u64 = 2;
/// The part of the memory that callers' connections, with what the operating system holds of
/// them, may take: 3 of this many. Those of peers may take 1 of this many.
const CONNECTIONS_MEMORY_PART: u64 = 32;
/// What a connection takes whose messages are short, in bytes.
const CONNECTION_BYTES: usize = 4 * 1024;

/// The part of the sockets that callers' connections and those of their requests to upstreams and
/// peers may take together: 13 of 16.
const REQUESTS_PARTS: (usize, usize) = (13, 16);
/// The part of those that callers' connections may take: 3 of this many.
const CALLERS_PART: usize = 4;
/// The part of the sockets of an instance that callers' connections may take: 3 of this many.
const INSTANCE_CALLERS_PART: usize = 8;
/// The part of the sockets that peers' connections may take: 1 of this many.
const PEERS_PART: usize = 16;
/// The part of the sockets for connections that are accepted to refuse their requests, at each of
/// both ports: 1 of this many.
const SURPLUS_PART: usize = 64;
/// The part of the sockets for callers and their requests up to which idle connections are kept, to
/// upstreams and to peers each: 1 of this many.
const IDLE_PART: usize = 8;

/// The part of the memory that the calls and replies of a control replica may take together: 1 of
/// this many.
const CONTROL_MESSAGES_MEMORY_PART: u64 = 4;
/// The part of the memory that one body of an operator's call may take: 1 of this many.
const OPERATOR_BODY_MEMORY_PART: u64 = 16;
/// The part of the memory that the connections of one port of a control replica may take: 1 of
/// this many.
const CONTROL_PORT_MEMORY_PART: u64 = 16;
/// The part of the sockets that the connections of operators may take: 1 of this many.
const OPERATORS_PART: usize = 16;
/// The part of the sockets that the connections of callers of the directory, and of other
/// instances, may take: 1 of this many, each.
const CONTROL_PORT_PART: usize = 4;
/// The part of the sockets for the platform's connections, at the ports for metrics and for
/// readiness: 1 of this many, each.
const PLATFORM_PART: usize = 64;
/// What an operator's connection takes, in bytes. Its responses may be long.
const OPERATOR_CONNECTION_BYTES: usize = 128 * 1024;
/// The part of the memory that the connections of other instances to a control replica may take:
/// 3 of this many.
const INSTANCES_MEMORY_PART: u64 = 8;
/// What a connection of another instance takes, with the buffers of its socket, in bytes.
const CALLS_CONNECTION_BYTES: usize = 144 * 1024;
/// What a connection takes whose head is buffered, in bytes.
const SHORT_CALL_CONNECTION_BYTES: usize = 16 * 1024;

impl NodeSettings {
    /// Returns the maximum size of all calls and replies together that a control replica holds in
    /// memory, in bytes.
    pub fn control_messages_max_bytes(&self) -> usize {
        self.memory_part(CONTROL_MESSAGES_MEMORY_PART)
    }

    /// Returns the maximum size of the body of an operator's call, in bytes.
    pub fn operator_body_max_bytes(&self) -> usize {
        self.memory_part(OPERATOR_BODY_MEMORY_PART)
    }

    /// Returns the limits on operators' connections.
    pub fn operator_connections(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_count: at_least_min(self.sockets_max() / OPERATORS_PART),
            max_bytes: self.memory_part(CONTROL_PORT_MEMORY_PART),
            connection_bytes: OPERATOR_CONNECTION_BYTES,
        }
    }

    /// Returns the limits on the connections of other instances to a control replica.
    pub fn instance_connections(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_count: at_least_min(self.sockets_max() / CONTROL_PORT_PART),
            max_bytes: 3 * self.memory_part(INSTANCES_MEMORY_PART),
            connection_bytes: CALLS_CONNECTION_BYTES,
        }
    }

    /// Returns the limits on the connections of callers of the directory.
    pub fn control_connections(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_count: at_least_min(self.sockets_max() / CONTROL_PORT_PART),
            max_bytes: self.memory_part(CONTROL_PORT_MEMORY_PART),
            connection_bytes: SHORT_CALL_CONNECTION_BYTES,
        }
    }

    /// Returns the limits on the platform's connections to one port.
    pub fn platform_connections(&self) -> ConnectionLimits {
        let max_count = at_least_min(self.sockets_max() / PLATFORM_PART);
        let max_bytes = max_count * SHORT_CALL_CONNECTION_BYTES;
        ConnectionLimits { max_count, max_bytes, connection_bytes: SHORT_CALL_CONNECTION_BYTES }
    }

    /// Returns the maximum size of all messages together that are held in memory, in bytes.
    pub fn messages_max_bytes(&self) -> usize {
        self.memory_part(MESSAGES_MEMORY_PART)
    }

    /// Returns the limits on callers' connections.
    pub fn caller_connections(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_count: at_least_min(self.request_sockets_max() / CALLERS_PART * 3),
            max_bytes: self.memory_part(CONNECTIONS_MEMORY_PART) * 3,
            connection_bytes: CONNECTION_BYTES,
        }
    }

    /// Returns the limits on the connections of peers.
    pub fn peer_connections(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_count: at_least_min(self.sockets_max() / PEERS_PART),
            max_bytes: self.memory_part(CONNECTIONS_MEMORY_PART),
            connection_bytes: CONNECTION_BYTES,
        }
    }

    /// Returns the limits on the connections beyond the others that are accepted to refuse their
    /// requests.
    pub fn surplus_connections(&self) -> ConnectionLimits {
        let max_count = at_least_min(self.sockets_max() / SURPLUS_PART);
        let max_bytes = max_count * CONNECTION_BYTES;
        ConnectionLimits { max_count, max_bytes, connection_bytes: CONNECTION_BYTES }
    }

    /// Returns the maximum number of callers' connections and requests in progress together.
    pub fn request_sockets_max(&self) -> usize {
        let (parts, of) = REQUESTS_PARTS;
        at_least_min(self.sockets_max() / of * parts)
    }

    /// Returns the maximum number of idle connections to upstreams, and to peers, while callers and
    /// their requests take at most half of [`Self::request_sockets_max`]. Beyond that, fewer are
    /// kept.
    pub fn idle_connections_max(&self) -> usize {
        self.request_sockets_max() / IDLE_PART
    }

    /// Returns how many sockets the process may open.
    fn sockets_max(&self) -> usize {
        self.resources.file_descriptors.saturating_sub(FILE_DESCRIPTORS) as usize
    }

    /// Returns 1 of `part` parts of the memory, in bytes.
    pub(super) fn memory_part(&self, part: u64) -> usize {
        (self.resources.memory_mib * MIB / part) as usize
    }
}

/// The part of the memory that the connections of one port of an instance may take: 1 of this many.
const INSTANCE_PORT_MEMORY_PART: u64 = 8;
/// The part of the sockets of an instance that the connections of instances that forward requests
/// may take: 1 of this many.
const FORWARD_PART: usize = 8;
/// What a connection to an instance takes with the state of its request, in bytes.
const INSTANCE_CONNECTION_BYTES: usize = 48 * 1024;

impl InstanceResources {
    /// Returns the limits on callers' connections.
    pub fn caller_connections(&self) -> ConnectionLimits {
        self.connections(self.sockets_max() / INSTANCE_CALLERS_PART * 3)
    }

    /// Returns the limits on the connections of instances that forward requests.
    pub fn forward_connections(&self) -> ConnectionLimits {
        self.connections(self.sockets_max() / FORWARD_PART)
    }

    /// Returns the limits on the connections for control traffic. The leader has one from each
    /// instance.
    pub fn cluster_connections(&self) -> ConnectionLimits {
        self.connections(self.sockets_max() / CONTROL_PORT_PART)
    }

    /// Returns the limits on operators' connections.
    pub fn operator_connections(&self) -> ConnectionLimits {
        self.connections(self.sockets_max() / PLATFORM_PART)
    }

    fn connections(&self, count: usize) -> ConnectionLimits {
        ConnectionLimits {
            max_count: at_least_min(count),
            max_bytes: (self.memory_mib * MIB / INSTANCE_PORT_MEMORY_PART) as usize,
            connection_bytes: INSTANCE_CONNECTION_BYTES,
        }
    }

    fn sockets_max(&self) -> usize {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS) as usize
    }
}

fn at_least_min(count: usize) -> usize {
    count.max(CONNECTIONS_MIN)
}
