//! Serializes `Vec<u8>` as a byte string rather than as a sequence of numbers.

use serde::{Deserializer, Serializer, de::Visitor};

/// Serializes bytes as a byte string.
///
/// # Errors
///
/// Returns the serializer's error.
pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_bytes(bytes)
}

/// Deserializes a byte string.
///
/// # Errors
///
/// Returns an error if the input holds a value of another type.
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
