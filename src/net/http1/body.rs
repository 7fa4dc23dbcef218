//! Decodes message bodies that are delimited by a length, by chunks or by the end
//! of the connection.

use std::{error::Error, fmt};

use bytes::{Buf, Bytes, BytesMut};

/// Represents how a body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl Framing {
    /// Returns the length in bytes, if it is known in advance.
    pub fn length(self) -> Option<u64> {
        match self {
            Self::Length(length) => Some(length),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// Decodes one body piece by piece from the front of a buffer.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    /// The size of the chunk extensions and trailers so far, which are dropped.
    dropped_bytes: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Remaining(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

/// Represents the reason why a body can't be read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// A chunk or the trailer section is malformed.
    Malformed,
    /// The connection was closed before the end of the body.
    Truncated,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("a chunk or a trailer of the body is malformed"),
            Self::Truncated => f.write_str("the connection was closed before the end of the body"),
        }
    }
}

impl Error for BodyError {}

/// The maximum length of a chunk-size line or a trailer line.
const LINE_MAX_BYTES: usize = 4096;
/// The maximum length of all chunk extensions and trailers of a body together.
const DROPPED_MAX_BYTES: usize = 16 * 1024;

impl BodyReader {
    /// Creates a reader for a body with the given framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Remaining(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, dropped_bytes: 0 }
    }

    /// Returns whether the end of the body has been reached.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Removes the next piece of the body from the front of `buffer`. Returns `None`
    /// if the body has ended or more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk or the trailer section is malformed.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Remaining(remaining) => {
                    let piece = take_up_to(buffer, remaining);
                    let remaining = remaining - piece.len() as u64;
                    self.state =
                        if remaining == 0 { State::Done } else { State::Remaining(remaining) };
                    return Ok(Some(piece).filter(|piece| !piece.is_empty()));
                }
                State::UntilClose => {
                    let piece = buffer.split().freeze();
                    return Ok(Some(piece).filter(|piece| !piece.is_empty()));
                }
                State::ChunkData(remaining) => {
                    let piece = take_up_to(buffer, remaining);
                    let remaining = remaining - piece.len() as u64;
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
                    return Ok(Some(piece).filter(|piece| !piece.is_empty()));
                }
                // The parser takes a line without digits for the size 0, which ends the body.
                State::ChunkSize
                    if buffer.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) =>
                {
                    return Err(BodyError::Malformed);
                }
                State::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        let digits = buffer.iter().take_while(|byte| byte.is_ascii_hexdigit());
                        let extension_bytes = length - digits.count() - "\r\n".len();
                        self.count_dropped(extension_bytes)?;
                        buffer.advance(length);
                        self.state =
                            if size == 0 { State::Trailers } else { State::ChunkData(size) };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= LINE_MAX_BYTES => {
                        return Ok(None);
                    }
                    Ok(httparse::Status::Partial) | Err(_) => return Err(BodyError::Malformed),
                },
                State::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(BodyError::Malformed);
                    }
                    buffer.advance(2);
                    self.state = State::ChunkSize;
                }
                State::Trailers => match buffer.iter().position(|byte| *byte == b'\n') {
                    Some(end) => {
                        let line = buffer.split_to(end + 1);
                        self.count_dropped(line.len())?;
                        if line.trim_ascii().is_empty() {
                            self.state = State::Done;
                        }
                    }
                    None if buffer.len() <= LINE_MAX_BYTES => return Ok(None),
                    None => return Err(BodyError::Malformed),
                },
            }
        }
    }

    fn count_dropped(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.dropped_bytes += bytes;
        if self.dropped_bytes > DROPPED_MAX_BYTES { Err(BodyError::Malformed) } else { Ok(()) }
    }

    /// Handles the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is incomplete.
    pub fn handle_eof(&mut self) -> Result<(), BodyError> {
        match self.state {
            State::Done | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, max_bytes: u64) -> Bytes {
    let length = usize::try_from(max_bytes).unwrap_or(usize::MAX).min(buffer.len());
    buffer.split_to(length).freeze()
}
