//! Opens crowds of connections that send bytes and stay open.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};

/// How long a crowd sends. It stays open after that.
const SEND_TIME_MAX: Duration = Duration::from_secs(10);

/// What each connection of a crowd sends: a start, and then a piece a number of times.
pub struct Script {
    pub start: String,
    pub piece: Vec<u8>,
    pub pieces: usize,
}

impl Script {
    /// Creates a script that only sends a start.
    pub fn new(start: impl Into<String>) -> Self {
        Self { start: start.into(), piece: Vec::new(), pieces: 0 }
    }

    /// Creates a script that sends chunks of a number of bytes, and not the last one.
    pub fn with_chunks(start: String, chunk_bytes: usize, chunks: usize) -> Self {
        let mut piece = format!("{chunk_bytes:x}\r\n").into_bytes();
        piece.resize(piece.len() + chunk_bytes, b'x');
        piece.extend_from_slice(b"\r\n");
        // Many small chunks are written at once.
        let batch = (16 * 1024 / piece.len()).clamp(1, chunks);
        Self { start, piece: piece.repeat(batch), pieces: chunks / batch }
    }

    /// Creates a script that sends this many bytes after the start.
    pub fn with_bytes(start: String, bytes: usize) -> Self {
        const PIECE_BYTES: usize = 16 * 1024;
        Self { start, piece: vec![b'x'; PIECE_BYTES], pieces: bytes / PIECE_BYTES }
    }
}

/// Opens connections that all send a script, and returns those that are open.
pub async fn send_crowd(address: SocketAddr, count: usize, script: &Script) -> Vec<TcpStream> {
    let connections = join_all((0..count).map(|_| send(address, script))).await;
    connections.into_iter().flatten().collect()
}

async fn send(address: SocketAddr, script: &Script) -> Option<TcpStream> {
    let mut stream = timeout(SEND_TIME_MAX, TcpStream::connect(address)).await.ok()?.ok()?;
    // The other side may refuse the request or close the connection.
    timeout(SEND_TIME_MAX, write(&mut stream, script)).await.ok();
    Some(stream)
}

async fn write(stream: &mut TcpStream, script: &Script) -> std::io::Result<()> {
    stream.write_all(script.start.as_bytes()).await?;
    for _ in 0..script.pieces {
        stream.write_all(&script.piece).await?;
    }
    Ok(())
}
