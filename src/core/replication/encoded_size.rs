//! Measures the encoded size of entries.

use std::io;

use serde::Serialize;

/// Returns the number of bytes that a value takes in messages and in the log, without keeping
/// the encoded form.
pub fn encoded_bytes<T: Serialize + ?Sized>(value: &T) -> u64 {
    let mut counter = ByteCounter(0);
    // A value that can't be encoded can't be sent or stored either.
    rmp_serde::encode::write_named(&mut counter, value).ok();
    counter.0
}

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
