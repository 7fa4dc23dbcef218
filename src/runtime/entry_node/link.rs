//! Writes to the instance's own network link, so that large bodies do not delay short messages.

use std::{cell::RefCell, io, rc::Rc, time::Duration};

use bytes::{Buf, buf::Take};
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    net::TcpStream,
    sync::{Semaphore, oneshot},
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
    schedule: Rc<Schedule>,
}

/// When the next piece of a body may be written.
struct Schedule {
    clock: Clock,
    pacer: RefCell<LinkPacer>,
    /// Held by the body that may write the next piece; bodies take turns.
    turn: Semaphore,
}

impl InstanceLink {
    /// Returns an idle link.
    pub(super) fn new(clock: Clock, bytes_per_s: f64) -> Self {
        let pacer = RefCell::new(LinkPacer::new(bytes_per_s));
        Self { schedule: Rc::new(Schedule { clock, pacer, turn: Semaphore::new(1) }) }
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
            let mut piece = self.next_piece(&mut message, length).await;
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
            let mut piece = self.next_piece(&mut message, length).await;
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
            let mut piece = self.next_piece(&mut message, length).await;
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
    ) -> Take<&'a mut Message> {
        let piece_max_bytes = self.schedule.pacer.borrow().piece_max_bytes();
        if length <= piece_max_bytes {
            self.schedule.record_write(length);
        } else {
            self.take_turn(message.remaining().min(piece_max_bytes)).await;
        }
        message.take(piece_max_bytes)
    }

    /// Waits until a piece of a body may be written.
    ///
    /// The turn is taken by a task of its own. The calling future may stop being polled, as those
    /// of pipelined requests are while a response is written, and would keep the turn from all
    /// others.
    async fn take_turn(&self, length: usize) {
        if let Ok(_turn) = self.schedule.turn.try_acquire()
            && self.schedule.wait().is_zero()
        {
            return self.schedule.record_write(length);
        }
        let (granted, turn) = oneshot::channel();
        tokio::task::spawn_local(grant_turn(self.schedule.clone(), length, granted));
        // The task ends only after it has granted the turn.
        turn.await.ok();
    }
}

/// Grants the next turn to write a piece, unless it is not wanted any more.
async fn grant_turn(schedule: Rc<Schedule>, length: usize, mut granted: oneshot::Sender<()>) {
    let wait = async {
        let turn = schedule.turn.acquire().await;
        loop {
            let wait = schedule.wait();
            if wait.is_zero() {
                return turn;
            }
            tokio::time::sleep(wait).await;
        }
    };
    tokio::select! {
        biased;
        () = granted.closed() => {}
        _turn = wait => {
            schedule.record_write(length);
            granted.send(()).ok();
        }
    }
}

impl Schedule {
    /// Returns how long to wait before the next piece of a body is written.
    fn wait(&self) -> Duration {
        self.pacer.borrow().wait(self.clock.now())
    }

    fn record_write(&self, length: usize) {
        self.pacer.borrow_mut().record_write(length, self.clock.now());
    }
}
