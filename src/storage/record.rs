//! Reads and writes checksummed records.
//!
//! A record is its length, a checksum of the length, a checksum of the body,
//! each four bytes in little-endian order, and the body. The length has a
//! checksum of its own so that a damaged length in the middle of a file is
//! not taken for a write that was cut short at its end.

use serde::{Serialize, de::DeserializeOwned};

const HEADER_BYTES: usize = 12;

/// Says what stands at a place in a file.
pub(super) enum Found<'a> {
    /// A whole record, and where the next one begins.
    Record { body: &'a [u8], next: usize },
    /// Nothing: the file ends here.
    End,
    /// The beginning of a record whose write was cut short.
    Torn,
    /// Something that no cut explains.
    Damaged(&'static str),
}

/// Appends a record to `buffer`.
pub(super) fn write<T: Serialize>(buffer: &mut Vec<u8>, value: &T) -> Result<(), String> {
    let body = rmp_serde::to_vec_named(value).map_err(|error| error.to_string())?;
    let length = u32::try_from(body.len()).map_err(|_| "a record over 4 GiB".to_owned())?;
    let length = length.to_le_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buffer.extend_from_slice(&body);
    Ok(())
}

/// Looks at the record that begins at `offset`.
pub(super) fn read(bytes: &[u8], offset: usize) -> Found<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Found::End;
    }
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Found::Torn;
    }
    let length = word(rest, 0);
    if crc32fast::hash(&length.to_le_bytes()) != word(rest, 4) {
        return Found::Damaged("the checksum of a record's length is wrong");
    }
    let end = HEADER_BYTES + length as usize;
    let Some(body) = rest.get(HEADER_BYTES..end) else { return Found::Torn };
    if crc32fast::hash(body) == word(rest, 8) {
        return Found::Record { body, next: offset + end };
    }
    // A write that was cut short may leave the file at its full length with
    // the last pages missing.
    if end == rest.len() {
        return Found::Torn;
    }
    Found::Damaged("the checksum of a record is wrong")
}

/// Tells whether a whole record begins anywhere after `offset`. If none does,
/// what stands there may be a last write that a crash tore anywhere.
pub(super) fn is_any_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| matches!(read(bytes, at), Found::Record { .. }))
}

/// Decodes the body of a record.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(body).map_err(|error| error.to_string())
}

fn word(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}
