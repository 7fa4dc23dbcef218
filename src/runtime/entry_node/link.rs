//! Writes to the instance's own network link, so that large bodies do not delay short messages.

use std::{cell::RefCell, io};

use bytes::Buf;
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    sync::Semaphore,
};

use crate::{core::LinkPacer, net::http1::Message, runtime::clock::Clock};

/// The instance's own network link, which all of its connections share.
pub(super) struct InstanceLink {
    clock: Clock,
    pacer: RefCell<LinkPacer>,
    /// Held by the body that may write the next piece; bodies take turns.
    turn: Semaphore,
}

impl InstanceLink {
    /// Returns an idle link.
    pub(super) fn new(clock: Clock, bytes_per_s: f64) -> Self {
        let pacer = RefCell::new(LinkPacer::new(bytes_per_s));
        Self { clock, pacer, turn: Semaphore::new(1) }
    }

    /// Writes a message. A large one is written in pieces, each once the link has almost sent
    /// what was written before.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub(super) async fn write<W>(&self, stream: &mut W, message: Message) -> io::Result<()>
    where
        W: AsyncWrite + Unpin,
    {
        self.write_if(stream, message, || true).await.map(|_| ())
    }

    /// Writes a message as [`InstanceLink::write`] does, if `is_wanted` returns true right
    /// before its first byte. Returns whether it was written.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub(super) async fn write_if<W>(
        &self,
        stream: &mut W,
        mut message: Message,
        is_wanted: impl Fn() -> bool,
    ) -> io::Result<bool>
    where
        W: AsyncWrite + Unpin,
    {
        let piece_max_bytes = self.pacer.borrow().piece_max_bytes();
        let length = message.remaining();
        if length <= piece_max_bytes {
            if !is_wanted() {
                return Ok(false);
            }
            self.record_write(length);
            stream.write_all_buf(&mut message).await?;
            return Ok(true);
        }
        while message.has_remaining() {
            let mut piece = (&mut message).take(piece_max_bytes);
            // The turn is not kept while the connection takes the piece: a peer that stops
            // reading must not hold up the other bodies.
            self.take_turn(piece.remaining()).await?;
            if piece.get_ref().remaining() == length && !is_wanted() {
                return Ok(false);
            }
            stream.write_all_buf(&mut piece).await?;
        }
        Ok(true)
    }

    async fn take_turn(&self, length: usize) -> io::Result<()> {
        let _turn = self.turn.acquire().await.map_err(io::Error::other)?;
        loop {
            let wait = self.pacer.borrow().wait(self.clock.now());
            if wait.is_zero() {
                self.record_write(length);
                return Ok(());
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn record_write(&self, length: usize) {
        self.pacer.borrow_mut().record_write(length, self.clock.now());
    }
}
