//! Encodes byte strings as such rather than as lists of numbers.

use serde::{Deserializer, Serializer, de::Visitor};

/// Encodes a byte string.
///
/// # Errors
///
/// Returns the encoder's error.
pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_bytes(bytes)
}

/// Decodes a byte string.
///
/// # Errors
///
/// Returns an error when something else stands there.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    from.deserialize_byte_buf(ByteVisitor)
}

struct ByteVisitor;

impl Visitor<'_> for ByteVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
        Ok(bytes)
    }
}
