//! Writes to the instance's own network link, so that large bodies do not delay short messages.

use std::{cell::RefCell, io, time::Duration};

use bytes::{Buf, buf::Take};
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    net::TcpStream,
    sync::Semaphore,
    time::timeout,
};

use crate::{
    core::LinkPacer,
    net::{http1::Message, socket_buffers::send_bounded},
    runtime::clock::Clock,
};

/// How much of a message a reader has to take in each progress timeout.
const PROGRESS_MIN_BYTES: usize = 64 * 1024;

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
        let length = message.remaining();
        while message.has_remaining() {
            let mut piece = self.next_piece(&mut message, length).await?;
            if piece.get_ref().remaining() == length && !is_wanted() {
                return Ok(false);
            }
            stream.write_all_buf(&mut piece).await?;
        }
        Ok(true)
    }

    /// Writes a message as [`InstanceLink::write`] does to a receiver that may stop reading.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if it takes less than
    /// [`PROGRESS_MIN_BYTES`] of the message in `progress_timeout`.
    pub(super) async fn write_to_reader<W>(
        &self,
        stream: &mut W,
        mut message: Message,
        progress_timeout: Duration,
    ) -> io::Result<()>
    where
        W: AsyncWrite + Unpin,
    {
        let length = message.remaining();
        while message.has_remaining() {
            let mut piece = self.next_piece(&mut message, length).await?;
            while piece.has_remaining() {
                let mut part = (&mut piece).take(PROGRESS_MIN_BYTES);
                timeout(progress_timeout, stream.write_all_buf(&mut part)).await??;
            }
        }
        Ok(())
    }

    /// Writes a message as [`InstanceLink::write_to_reader`] does, so that the operating system
    /// holds no more of it than the send buffer and a short piece.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if it takes less than a short piece of the
    /// message in `progress_timeout`.
    pub(super) async fn write_to_reader_bounded(
        &self,
        stream: &TcpStream,
        mut message: Message,
        progress_timeout: Duration,
    ) -> io::Result<()> {
        let length = message.remaining();
        while message.has_remaining() {
            let mut piece = self.next_piece(&mut message, length).await?;
            while piece.has_remaining() {
                timeout(progress_timeout, send_bounded(stream, &mut piece)).await??;
            }
        }
        Ok(())
    }

    /// Returns the next piece of a message of this length, once it may be written.
    async fn next_piece<'a>(
        &self,
        message: &'a mut Message,
        length: usize,
    ) -> io::Result<Take<&'a mut Message>> {
        let piece_max_bytes = self.pacer.borrow().piece_max_bytes();
        if length <= piece_max_bytes {
            self.record_write(length);
        } else {
            // The turn is not kept while the connection takes the piece: a peer that stops
            // reading must not hold up the other bodies.
            self.take_turn(message.remaining().min(piece_max_bytes)).await?;
        }
        Ok(message.take(piece_max_bytes))
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
