//! The format of checksummed records.
//!
//! A record consists of the length of its body, a CRC-32 of that length, a
//! CRC-32 of the body (four bytes each, little-endian), and the body. The
//! length has its own checksum so that a damaged length in the middle of a
//! file is not mistaken for an interrupted write at its end.

use serde::{Serialize, de::DeserializeOwned};

/// The length of the header, which precedes the body.
const HEADER_BYTES: usize = 12;

/// Represents the result of [`parse`].
pub(super) enum Parsed<'a> {
    /// The body of an intact record, and the offset of the next record.
    Record { body: &'a [u8], next: usize },
    /// The end of the file.
    End,
    /// A record whose write was interrupted.
    Incomplete,
    /// Damage that an interrupted write does not explain, with the reason.
    Damaged(&'static str),
}

/// Encodes `value` and appends it to `buffer` as a record.
///
/// # Errors
///
/// Returns a description of the error if the value can't be encoded.
pub(super) fn append<T: Serialize>(buffer: &mut Vec<u8>, value: &T) -> Result<(), String> {
    let body = rmp_serde::to_vec_named(value).map_err(|error| error.to_string())?;
    let length =
        u32::try_from(body.len()).map_err(|_| "the record is larger than 4 GiB".to_owned())?;
    let length = length.to_le_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buffer.extend_from_slice(&body);
    Ok(())
}

/// Parses the record that begins at `offset`.
///
/// # Panics
///
/// Panics if `offset` is beyond the end of `bytes`.
pub(super) fn parse(bytes: &[u8], offset: usize) -> Parsed<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Parsed::End;
    }
    // A crash may also leave zeros where the file was extended but not written.
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Parsed::Incomplete;
    }
    let length = read_u32(rest, 0);
    if crc32fast::hash(&length.to_le_bytes()) != read_u32(rest, 4) {
        return Parsed::Damaged("the checksum of a record's length is wrong");
    }
    let end = HEADER_BYTES + length as usize;
    let Some(body) = rest.get(HEADER_BYTES..end) else { return Parsed::Incomplete };
    if crc32fast::hash(body) == read_u32(rest, 8) {
        return Parsed::Record { body, next: offset + end };
    }
    // An interrupted write may leave the file at its full length with the last
    // pages missing.
    if end == rest.len() {
        return Parsed::Incomplete;
    }
    Parsed::Damaged("the checksum of a record is wrong")
}

/// Returns whether an intact record begins anywhere after `offset`. If none
/// does, the bytes at `offset` may be a last write that a crash interrupted at
/// any point.
pub(super) fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| matches!(parse(bytes, start), Parsed::Record { .. }))
}

/// Decodes the body of a record.
///
/// # Errors
///
/// Returns a description of the error if the body holds no value of type `T`.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(body).map_err(|error| error.to_string())
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}
