//! Computes the length of encoded messages.

use std::io;

use serde::Serialize;

/// Returns the number of bytes that a value takes in messages between instances, which are
/// encoded as MessagePack with field names; `u64::MAX` if it can't be encoded.
pub fn encoded_len<T: Serialize + ?Sized>(value: &T) -> u64 {
    let mut counter = ByteCounter(0);
    match rmp_serde::encode::write_named(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => u64::MAX,
    }
}

/// Counts the bytes that are written to it and discards them.
struct ByteCounter(u64);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
