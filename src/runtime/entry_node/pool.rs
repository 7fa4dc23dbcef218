//! Connections to upstreams, pooled for reuse.

use std::{collections::BTreeMap, io, mem::MaybeUninit, net::SocketAddr, time::Duration};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::{
    core::CarriedRequests,
    net::mesh::{UNACKNOWLEDGED_MAX, configure_stream, set_unacknowledged_max},
};

/// Idle connections to upstreams, by address.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    /// The maximum number of idle connections.
    idle_max: usize,
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    expires_at: Instant,
}

/// An open connection to an upstream, and the input from it that is not parsed
/// yet.
#[derive(Debug)]
pub(super) struct UpstreamConnection {
    pub(super) stream: TcpStream,
    pub(super) buffer: BytesMut,
    /// Whether it was kept for later requests. Late responses to earlier ones may still arrive.
    pub(super) is_reused: bool,
    pub(super) carried: CarriedRequests,
    /// Whether it was opened beside an idle one that had carried the id of its first request.
    pub(super) is_extra: bool,
    /// Whether sent data may stay unacknowledged for as long as the request lasts.
    awaits_reader: bool,
}

/// The size of a message that a receiver acknowledges before its process reads it.
const ACKNOWLEDGED_UNREAD_MAX_BYTES: usize = 16 * 1024;
/// The timeout for opening a connection while nothing is queued on this
/// instance's own link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is kept if the upstream states no timeout.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);
/// The maximum time that an upstream can ask to keep an idle connection.
const KEEP_ALIVE_MAX: Duration = Duration::from_secs(24 * 60 * 60);

impl UpstreamConnection {
    /// Prepares the connection for a message of a number of bytes. The rest of a large one may
    /// wait until the receiver reads, so only the request's deadline ends it.
    pub(super) fn prepare_write(&mut self, length: usize) {
        if length > ACKNOWLEDGED_UNREAD_MAX_BYTES {
            set_unacknowledged_max(&self.stream, None);
            self.awaits_reader = true;
        }
    }

    /// Returns what tells the connection from others to the same address, for log lines.
    pub(super) fn local_port(&self) -> u16 {
        self.stream.local_addr().map_or(0, |address| address.port())
    }

    /// Returns the connection, ready for any other message.
    fn into_idle(mut self) -> Self {
        if self.awaits_reader {
            set_unacknowledged_max(&self.stream, Some(UNACKNOWLEDGED_MAX));
            self.awaits_reader = false;
        }
        self.is_reused = true;
        self.is_extra = false;
        // Nothing is left in it, and idle connections are not counted.
        self.buffer = BytesMut::new();
        self
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(super) fn new(idle_max: usize) -> Self {
        Self { idle_max, idle: BTreeMap::new() }
    }

    /// Removes and returns an idle connection that is still usable and has not carried a request
    /// with this id, if any.
    pub(super) fn take(&mut self, address: SocketAddr, id: &str) -> Option<UpstreamConnection> {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        idle.retain(|idle| idle.expires_at > now && is_reusable(&idle.connection.stream));
        let index = idle.iter().rposition(|idle| !idle.connection.carried.may_contain(id))?;
        Some(idle.remove(index).connection)
    }

    /// Returns whether there is an idle connection that has carried a request with this id.
    pub(super) fn has_carried(&self, address: SocketAddr, id: &str) -> bool {
        self.position_carried(address, id).is_some()
    }

    /// Returns whether an idle connection that has carried a request with this id is still open.
    pub(super) fn is_carrier_open(&self, address: SocketAddr, id: &str) -> bool {
        let idle = self.idle.get(&address).into_iter().flatten();
        let mut carriers = idle.filter(|idle| idle.connection.carried.may_contain(id));
        carriers.any(|idle| is_open(&idle.connection.stream))
    }

    /// Closes one idle connection that has carried a request with this id, if there is any.
    pub(super) fn close_carried(&mut self, address: SocketAddr, id: &str) {
        if let Some(index) = self.position_carried(address, id)
            && let Some(idle) = self.idle.get_mut(&address)
        {
            idle.remove(index);
        }
    }

    fn position_carried(&self, address: SocketAddr, id: &str) -> Option<usize> {
        let idle = self.idle.get(&address)?;
        idle.iter().position(|idle| idle.connection.carried.may_contain(id))
    }

    /// Keeps a connection for later requests: for 70 % of the time that the
    /// upstream says it keeps it open, at most [`KEEP_ALIVE_MAX`], or for [`KEEP_ALIVE_DEFAULT`].
    /// Without room for it, the connection is closed.
    pub(super) fn put(
        &mut self,
        address: SocketAddr,
        connection: UpstreamConnection,
        keep_alive: Option<Duration>,
    ) {
        if self.len() >= self.idle_max {
            self.close_expired();
            return;
        }
        let keep_alive = keep_alive
            .map_or(KEEP_ALIVE_DEFAULT, |keep_alive| keep_alive.min(KEEP_ALIVE_MAX) * 7 / 10);
        let expires_at = Instant::now() + keep_alive;
        let idle_connection = IdleConnection { connection: connection.into_idle(), expires_at };
        self.idle.entry(address).or_default().push(idle_connection);
    }

    /// Closes all connections.
    pub(super) fn clear(&mut self) {
        self.idle.clear();
    }

    /// Closes as many idle connections as are more than a number.
    pub(super) fn close_beyond(&mut self, count: usize) {
        let mut excess = self.len().saturating_sub(count);
        for idle in self.idle.values_mut() {
            let closed = excess.min(idle.len());
            idle.drain(..closed);
            excess -= closed;
        }
    }

    fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn close_expired(&mut self) {
        let now = Instant::now();
        for idle in self.idle.values_mut() {
            idle.retain(|connection| connection.expires_at > now);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// Returns whether a connection is still open and has received nothing since
/// its last response.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether the upstream has not closed or reset a connection, whether or not the runtime
/// knows that yet.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(length) => length > 0,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}

/// Opens a connection. `queue_time` is how long packets may be queued on this
/// instance's own link; it is added to the timeout.
///
/// # Errors
///
/// Returns an error if the connection fails or times out.
pub(super) async fn connect(
    address: SocketAddr,
    queue_time: Duration,
) -> io::Result<UpstreamConnection> {
    let result = timeout(CONNECT_TIMEOUT + queue_time, TcpStream::connect(address)).await;
    let stream = result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    configure_stream(&stream, UNACKNOWLEDGED_MAX);
    Ok(UpstreamConnection {
        stream,
        buffer: BytesMut::new(),
        is_reused: false,
        carried: CarriedRequests::new(),
        is_extra: false,
        awaits_reader: false,
    })
}
