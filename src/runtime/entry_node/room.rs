//! Shares the descriptors of an instance among callers' connections and those of their requests.

use super::{ready_response::Sender, state::EntryState};
use crate::net::connections::ConnectionSlot;

impl EntryState {
    /// Returns a place for a new connection on which `sender` sends requests, or `None` if there is
    /// none.
    pub(super) fn admit_connection(&self, sender: Sender) -> Option<ConnectionSlot> {
        let connections = self.connections(sender);
        match sender {
            Sender::Caller => {
                connections.admit_up_to(self.sockets_left_by(self.open_requests.get()))
            }
            Sender::Peer => connections.admit(),
        }
    }

    /// Returns whether one more request may be in progress. With many in progress, idle connections
    /// to upstreams and peers are closed to leave descriptors for theirs.
    pub(super) fn has_room_for_request(&self) -> bool {
        let left = self
            .sockets_left_by(self.open_requests.get() + self.connections(Sender::Caller).count());
        if left < self.settings.request_sockets_max() / 2 {
            self.pool.borrow_mut().close_beyond(left / 2);
            self.peer_pool.borrow_mut().close_beyond(left / 2);
        }
        left > 0
    }

    /// Returns how many connections of callers, or of their requests, a number of them leaves room
    /// for.
    fn sockets_left_by(&self, count: usize) -> usize {
        self.settings.request_sockets_max().saturating_sub(count)
    }
}
