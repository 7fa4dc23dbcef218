//! Holds the body of a caller's request while it arrives.

use std::{
    cell::{Cell, RefCell},
    io,
};

use bytes::Bytes;
use tokio::sync::Notify;

/// Holds the body of a caller's request while it arrives, whole, so that it
/// can be sent more than once.
#[derive(Debug, Default)]
pub(super) struct RequestBody {
    pieces: RefCell<Vec<Bytes>>,
    length: Cell<u64>,
    state: Cell<BodyState>,
    changed: Notify,
}

/// Says whether more of a body is to come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum BodyState {
    /// More is to come.
    #[default]
    Arriving,
    /// All of it is there.
    Whole,
    /// It can't be read on; the status to answer with and the reason.
    Broken(u16, &'static str),
}

impl RequestBody {
    /// Adds a piece at the end.
    pub(super) fn push(&self, piece: Bytes) {
        self.length.set(self.length.get() + piece.len() as u64);
        self.pieces.borrow_mut().push(piece);
        self.changed.notify_waiters();
    }

    /// Notes that nothing more is to come, and why.
    pub(super) fn end(&self, state: BodyState) {
        self.state.set(state);
        self.changed.notify_waiters();
    }

    pub(super) fn state(&self) -> BodyState {
        self.state.get()
    }

    /// Returns how many bytes have arrived.
    pub(super) fn length(&self) -> u64 {
        self.length.get()
    }

    /// Returns how many pieces have arrived.
    pub(super) fn count(&self) -> usize {
        self.pieces.borrow().len()
    }

    /// Returns the pieces that have arrived.
    pub(super) fn pieces(&self) -> Vec<Bytes> {
        self.pieces.borrow().clone()
    }

    /// Returns the pieces behind the first `index` ones as soon as there are
    /// any, and none at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body can't be read on.
    pub(super) async fn pieces_after(&self, index: usize) -> io::Result<Vec<Bytes>> {
        loop {
            let changed = self.changed.notified();
            let more = self.pieces.borrow().get(index..).unwrap_or_default().to_vec();
            if !more.is_empty() {
                return Ok(more);
            }
            match self.state.get() {
                BodyState::Arriving => changed.await,
                BodyState::Whole => return Ok(Vec::new()),
                BodyState::Broken(_, reason) => return Err(io::Error::other(reason)),
            }
        }
    }
}
