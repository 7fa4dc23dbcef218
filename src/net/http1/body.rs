//! Takes bodies apart, by length, chunked or up to the end of a connection.

use std::{error::Error, fmt};

use bytes::{Buf, Bytes, BytesMut};

/// Says how a body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the length in bytes, where it is known from the start.
    pub fn length(self) -> Option<u64> {
        match self {
            Self::Length(length) => Some(length),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// Takes one body off the front of a buffer, piece by piece.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
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

/// Says why a body is not whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// A chunk is not one.
    Malformed,
    /// The connection ended before the body did.
    Truncated,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("a chunk of the body is malformed"),
            Self::Truncated => f.write_str("the connection ended before the body did"),
        }
    }
}

impl Error for BodyError {}

/// The most bytes of a chunk's size line or of a trailer line.
const LINE_MAX_BYTES: usize = 4096;

impl BodyReader {
    /// Returns a reader of a body that is delimited as given.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Remaining(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Tells whether the body has ended.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes the next piece off the front of `buffer`. Returns `None` when
    /// the body has ended or more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no body.
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
                State::ChunkSize => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
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

    /// Notes that the connection ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is not whole.
    pub fn end(&mut self) -> Result<(), BodyError> {
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
