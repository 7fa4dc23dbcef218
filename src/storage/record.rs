//! Reads and writes checksummed records.
//!
//! A record is its length, a checksum of the length, a checksum of the body,
//! each four bytes in little-endian order, and the body. The length has a
//! checksum of its own so that a damaged length in the middle of a file is
//! not taken for a write that was cut short at its end.

use serde::{Serialize, de::DeserializeOwned};

const HEADER_BYTES: usize = 12;

/// Says what stands at a place in a file.
pub(super) enum Parsed<'a> {
    /// A whole record, and where the next one begins.
    Record { body: &'a [u8], next: usize },
    /// Nothing: the file ends here.
    End,
    /// The beginning of a record whose write was cut short.
    Torn,
    /// Something that no cut explains.
    Corrupt(&'static str),
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
pub(super) fn read(bytes: &[u8], offset: usize) -> Parsed<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Parsed::End;
    }
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Parsed::Torn;
    }
    let length = read_u32(rest, 0);
    if crc32fast::hash(&length.to_le_bytes()) != read_u32(rest, 4) {
        return Parsed::Corrupt("the checksum of a record's length is wrong");
    }
    let end = HEADER_BYTES + length as usize;
    let Some(body) = rest.get(HEADER_BYTES..end) else { return Parsed::Torn };
    if crc32fast::hash(body) == read_u32(rest, 8) {
        return Parsed::Record { body, next: offset + end };
    }
    // A write that was cut short may leave the file at its full length with
    // the last pages missing.
    if end == rest.len() {
        return Parsed::Torn;
    }
    Parsed::Corrupt("the checksum of a record is wrong")
}

/// Tells whether a whole record begins anywhere after `offset`. If none does,
/// what stands there may be a last write that a crash tore anywhere.
pub(super) fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| matches!(read(bytes, start), Parsed::Record { .. }))
}

/// Decodes the body of a record.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(body).map_err(|error| error.to_string())
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}
