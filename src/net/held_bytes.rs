//! Counts the memory that messages take against the budget of the process.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::{Bytes, BytesMut};

use crate::core::{MemoryBudget, MessageKind};

/// The memory that the messages of a process may take together. Clones share it.
#[derive(Clone, Debug)]
pub struct SharedBudget(Arc<Mutex<MemoryBudget>>);

impl SharedBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(total_bytes: usize) -> Self {
        Self(Arc::new(Mutex::new(MemoryBudget::new(total_bytes))))
    }

    /// Returns whether there is room for a request of a number of bytes now.
    pub(crate) fn has_room_for_request(&self, bytes: usize) -> bool {
        self.lock().can_resize(MessageKind::Request, 0, bytes)
    }

    /// Returns how many bytes the messages take.
    pub(crate) fn held_bytes(&self) -> usize {
        self.lock().held_bytes()
    }

    fn lock(&self) -> MutexGuard<'_, MemoryBudget> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The bytes that one message takes, until dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    budget: SharedBudget,
    kind: MessageKind,
    bytes: usize,
}

impl HeldBytes {
    /// Counts a message that takes no memory yet.
    pub(crate) fn new(budget: &SharedBudget, kind: MessageKind) -> Self {
        Self { budget: budget.clone(), kind, bytes: 0 }
    }

    /// Records how many bytes the message takes now.
    ///
    /// # Errors
    ///
    /// Returns an error if the message has grown and the budget has no room for it.
    pub(crate) fn resize(&mut self, bytes: usize) -> io::Result<()> {
        if bytes == self.bytes {
            return Ok(());
        }
        if !self.budget.lock().try_resize(self.kind, self.bytes, bytes) {
            let text = format!("no memory for a message of {bytes} bytes");
            return Err(io::Error::new(io::ErrorKind::OutOfMemory, text));
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        // A message can always shrink.
        let _ = self.budget.lock().try_resize(self.kind, self.bytes, 0);
    }
}

/// A complete body, which is counted until dropped.
#[derive(Debug, Default)]
pub(crate) struct Body {
    pieces: Vec<Bytes>,
    _held: Option<HeldBytes>,
}

impl Body {
    pub(crate) fn pieces(&self) -> &[Bytes] {
        &self.pieces
    }

    pub(crate) fn len(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum()
    }

    /// Returns a reader of the whole body.
    pub(crate) fn reader(&self) -> impl io::Read + '_ {
        PieceReader { current: &[], rest: self.pieces.iter() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }
}

/// Reads pieces one after the other.
struct PieceReader<'a> {
    current: &'a [u8],
    rest: std::slice::Iter<'a, Bytes>,
}

impl io::Read for PieceReader<'_> {
    fn read(&mut self, target: &mut [u8]) -> io::Result<usize> {
        while self.current.is_empty() {
            let Some(piece) = self.rest.next() else { return Ok(0) };
            self.current = piece;
        }
        self.current.read(target)
    }
}

impl From<String> for Body {
    /// Creates a short body of this instance's own, which is not counted.
    fn from(text: String) -> Self {
        Self { pieces: vec![text.into()], _held: None }
    }
}

/// The minimum and maximum size of a piece of a body.
const PIECE_BYTES: (usize, usize) = (1024, 64 * 1024);

/// A body that is being received. It is kept in pieces, so that it never moves while it grows.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    pieces: Vec<Bytes>,
    /// The last piece, which is not full.
    last: BytesMut,
    length: usize,
    held: HeldBytes,
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub(crate) fn new(budget: &SharedBudget, kind: MessageKind) -> Self {
        let (pieces, last, held) = (Vec::new(), BytesMut::new(), HeldBytes::new(budget, kind));
        Self { pieces, last, length: 0, held }
    }

    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Adds bytes to the end.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for them.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.begin_piece()?;
            }
            let room = self.last.capacity() - self.last.len();
            let (start, rest) = bytes.split_at(room.min(bytes.len()));
            self.last.extend_from_slice(start);
            self.length += start.len();
            bytes = rest;
        }
        Ok(())
    }

    fn begin_piece(&mut self) -> io::Result<()> {
        let capacity = self.length.clamp(PIECE_BYTES.0, PIECE_BYTES.1);
        self.held.resize(self.length + capacity)?;
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        if !full.is_empty() {
            self.pieces.push(full.freeze());
        }
        Ok(())
    }

    /// Returns the complete body.
    pub(crate) fn finish(mut self) -> Body {
        if !self.last.is_empty() {
            self.pieces.push(self.last.freeze());
        }
        Body { pieces: self.pieces, _held: Some(self.held) }
    }
}
