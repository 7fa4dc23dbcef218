//! Encodes and decodes messages.

use std::io;

use serde::{Serialize, de::DeserializeOwned};

/// Encodes a message as MessagePack with field names.
///
/// # Errors
///
/// Returns an error if the message can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(message)
}

/// Decodes a message from a reader, like [`decode`].
///
/// # Errors
///
/// Returns an error if the bytes are not a valid message of type `T`.
pub(crate) fn decode_from<T: DeserializeOwned>(
    reader: impl io::Read,
) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_read(reader)
}

/// Decodes a message that was encoded by [`encode`].
///
/// # Errors
///
/// Returns an error if `bytes` are not a valid message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
