//! Limits the connections of a listener, in number and in the memory that they take.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Identifies an open connection of one listener.
pub type ConnectionId = u64;

/// Represents the open connections of a listener.
///
/// When there is no room for a new connection, connections that count as closable make room, the
/// one that has been closable for longest first. If there are none, the new one is refused.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    held_bytes: usize,
    next_id: ConnectionId,
    open: BTreeMap<ConnectionId, Connection>,
    /// The connections that are to make room, and are not closed yet.
    closing: BTreeSet<ConnectionId>,
}

/// Represents the limits on the connections of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// The maximum number of connections.
    pub max_count: usize,
    /// The memory that all connections may take together, in bytes.
    pub max_bytes: usize,
    /// The memory that a connection takes from its start, in bytes.
    pub connection_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    bytes: usize,
    closable_at: Option<Duration>,
}

/// Represents the outcome of an attempt to add a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Admission {
    /// The id of the new connection; `None` if it is refused.
    pub id: Option<ConnectionId>,
    /// The connections to close. They no longer count as open.
    pub closed: Vec<ConnectionId>,
}

/// The number of connections that may be closing at the same time, as a part of all: 1 of this
/// many, and at least [`CLOSING_MIN`].
const CLOSING_PART: usize = 8;
const CLOSING_MIN: usize = 4;

impl ConnectionTable {
    /// Creates a table of no connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        let (open, closing) = (BTreeMap::new(), BTreeSet::new());
        Self { limits, held_bytes: 0, next_id: 0, open, closing }
    }

    /// Adds a connection, and removes others to make room for it. `max_count` is a limit on the
    /// number of connections beside the one of the table.
    pub fn admit(&mut self, max_count: usize, now: Duration) -> Admission {
        let bytes = self.limits.connection_bytes;
        let max_count = max_count.min(self.limits.max_count);
        let mut closed = Vec::new();
        while self.open.len() >= max_count || self.held_bytes + bytes > self.limits.max_bytes {
            let Some(id) = self.first_closable(now).filter(|_| self.may_close_more()) else {
                return Admission { id: None, closed };
            };
            self.remove(id);
            self.closing.insert(id);
            closed.push(id);
        }
        let id = self.next_id;
        self.next_id += 1;
        self.open.insert(id, Connection { bytes, closable_at: None });
        self.held_bytes += bytes;
        Admission { id: Some(id), closed }
    }

    /// Returns whether one more connection may be closed to make room. Each keeps its descriptor
    /// until it is closed, so only a few are at a time.
    fn may_close_more(&self) -> bool {
        self.closing.len() < (self.limits.max_count / CLOSING_PART).max(CLOSING_MIN)
    }

    fn first_closable(&self, now: Duration) -> Option<ConnectionId> {
        let closable = self.open.iter().filter_map(|(id, connection)| {
            Some((connection.closable_at.filter(|at| *at <= now)?, *id))
        });
        closable.min().map(|(_, id)| id)
    }

    /// Sets from when on a connection may be closed to make room; `None` if it may not.
    pub fn set_closable_at(&mut self, id: ConnectionId, at: Option<Duration>) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.closable_at = at;
        }
    }

    /// Changes the number of bytes that a connection takes. Returns whether that was done; a
    /// connection can always shrink.
    #[must_use]
    pub fn try_set_bytes(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let Some(connection) = self.open.get_mut(&id) else { return false };
        let held_bytes = self.held_bytes - connection.bytes + bytes;
        if bytes > connection.bytes && held_bytes > self.limits.max_bytes {
            return false;
        }
        connection.bytes = bytes;
        self.held_bytes = held_bytes;
        true
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.closing.remove(&id);
        if let Some(connection) = self.open.remove(&id) {
            self.held_bytes -= connection.bytes;
        }
    }

    /// Returns whether a new connection needs the place of another.
    pub fn is_full(&self) -> bool {
        let bytes = self.held_bytes + self.limits.connection_bytes;
        self.open.len() >= self.limits.max_count || bytes > self.limits.max_bytes
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns how many bytes the connections take.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
