//! Limits the open connections of a listener, and closes some to make room for others.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use crate::core::{ConnectionId, ConnectionLimits, ConnectionTable};

/// The open connections of a listener. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    /// The origin of the times in the table.
    started_at: Instant,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    table: ConnectionTable,
    signals: BTreeMap<ConnectionId, Arc<Notify>>,
}

/// The place of one open connection, which is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    connections: Connections,
    id: ConnectionId,
    close_signal: Arc<Notify>,
}

impl Connections {
    pub(crate) fn new(limits: ConnectionLimits) -> Self {
        let table = ConnectionTable::new(limits);
        let shared = Shared { table, signals: BTreeMap::new() };
        Self { started_at: Instant::now(), shared: Arc::new(Mutex::new(shared)) }
    }

    /// Returns a place for a new connection, or `None` if there is no room for it.
    pub(crate) fn admit(&self) -> Option<ConnectionSlot> {
        self.admit_up_to(usize::MAX)
    }

    /// Returns a place for a new connection as [`Connections::admit`] does, while at most
    /// `max_count` are open.
    pub(crate) fn admit_up_to(&self, max_count: usize) -> Option<ConnectionSlot> {
        let mut shared = self.lock();
        let admission = shared.table.admit(max_count, self.now());
        for id in admission.closed {
            shared.signals.remove(&id).inspect(|signal| signal.notify_one());
        }
        let id = admission.id?;
        let close_signal = Arc::<Notify>::default();
        shared.signals.insert(id, close_signal.clone());
        Some(ConnectionSlot { connections: self.clone(), id, close_signal })
    }

    /// Returns a place for a new connection as [`Connections::admit`] does, after connections that
    /// make room had time to be closed.
    pub(crate) async fn admit_next(&self) -> Option<ConnectionSlot> {
        if self.lock().table.is_full() {
            tokio::task::yield_now().await;
        }
        self.admit()
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.lock().table.len()
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl ConnectionSlot {
    /// Lets the connection be closed to make room for another, if it still is after a delay.
    pub(crate) fn set_closable_after(&self, delay: Duration) {
        let at = self.connections.now() + delay;
        self.connections.lock().table.set_closable_at(self.id, Some(at));
    }

    /// Keeps the connection from being closed to make room.
    pub(crate) fn set_not_closable(&self) {
        self.connections.lock().table.set_closable_at(self.id, None);
    }

    /// Changes the number of bytes that the connection takes. Returns whether that was done; it
    /// can always shrink.
    #[must_use]
    pub(crate) fn try_set_bytes(&self, bytes: usize) -> bool {
        self.connections.lock().table.try_set_bytes(self.id, bytes)
    }

    /// Completes when the connection has to be closed to make room for another.
    pub(crate) async fn closed(&self) {
        self.close_signal.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut shared = self.connections.lock();
        shared.table.remove(self.id);
        shared.signals.remove(&self.id);
    }
}
