//! Decodes the calls of other instances within the memory that there is for them.

use std::io;

use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::{
    core::MessageKind,
    net::{
        SharedBudget,
        held_bytes::{Body, BodyBuffer, HeldBytes},
        wire::{decode, decode_from},
    },
};

/// The length of the length field of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// The size from which on a call is kept in pieces. The allocator may keep the memory of larger
/// buffers once they are freed.
const LONG_CALL_MIN_BYTES: usize = 8 * 1024;

/// An event on a connection.
pub(super) enum Arrival {
    /// The beginning of a long call.
    LongCallBegan,
    /// A complete call.
    Call(Call),
}

/// A complete call, which is not decoded yet.
pub(super) enum Call {
    Short(BytesMut),
    Long(Body),
}

impl Call {
    /// Decodes the call.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not a valid message of type `T`.
    pub(super) fn decode<T: DeserializeOwned>(&self) -> Result<T, rmp_serde::decode::Error> {
        match self {
            Self::Short(frame) => decode(frame),
            Self::Long(body) => decode_from(body.reader()),
        }
    }
}

/// Splits the input of a connection into calls, and counts the bytes that have arrived.
pub(super) struct CallDecoder {
    inner: LengthDelimitedCodec,
    memory: SharedBudget,
    held: HeldBytes,
    long_call: Option<LongCall>,
}

struct LongCall {
    body: BodyBuffer,
    missing_bytes: usize,
}

impl CallDecoder {
    pub(super) fn new(inner: LengthDelimitedCodec, memory: &SharedBudget) -> Self {
        let held = HeldBytes::new(memory, MessageKind::Request);
        Self { inner, memory: memory.clone(), held, long_call: None }
    }

    /// Returns whether a part of a long call has arrived.
    pub(super) fn is_receiving_long_call(&self) -> bool {
        self.long_call.is_some()
    }
}

impl Decoder for CallDecoder {
    type Error = io::Error;
    type Item = Arrival;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<Arrival>> {
        if let Some(call) = &mut self.long_call {
            let piece = source.split_to(source.len().min(call.missing_bytes));
            call.body.push(&piece)?;
            call.missing_bytes -= piece.len();
            if call.missing_bytes > 0 {
                return Ok(None);
            }
            let body = self.long_call.take().map(|call| call.body.finish()).unwrap_or_default();
            return Ok(Some(Arrival::Call(Call::Long(body))));
        }
        self.held.resize(source.len())?;
        let Some(length) = source.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if (LONG_CALL_MIN_BYTES..=self.inner.max_frame_length()).contains(&length) {
            self.held.resize(0)?;
            source.advance(LENGTH_BYTES);
            let body = BodyBuffer::new(&self.memory, MessageKind::Request);
            self.long_call = Some(LongCall { body, missing_bytes: length });
            return Ok(Some(Arrival::LongCallBegan));
        }
        if length < LONG_CALL_MIN_BYTES && source.len() < LENGTH_BYTES + length {
            source.reserve(LENGTH_BYTES + length - source.len());
            return Ok(None);
        }
        let call = self.inner.decode(source)?;
        Ok(call.map(|frame| Arrival::Call(Call::Short(frame))))
    }
}
