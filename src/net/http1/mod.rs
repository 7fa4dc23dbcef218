//! Reads and writes HTTP/1.1 messages without doing any input or output.
//!
//! A head is parsed from a buffer that the caller fills, a body by a
//! [`BodyReader`] that is fed the bytes which follow.

mod body;
mod head;
mod writer;

pub use self::{
    body::{BodyError, BodyReader, Framing},
    head::{
        HeadError, Headers, RequestHead, ResponseHead, parse_request_head, parse_response_head,
    },
    writer::{HeadWriter, reason_phrase},
};
