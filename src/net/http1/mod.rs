//! Parses and writes HTTP/1.1 messages without performing I/O.
//!
//! Heads are parsed from a buffer that the calling code fills; a [`BodyReader`]
//! then decodes the body from the same buffer.

mod body;
mod head;
mod writer;

pub use self::{
    body::{BodyError, BodyReader, Framing},
    head::{
        HeadError, Headers, RequestHead, ResponseHead, parse_request_head, parse_response_head,
    },
    writer::{HeadWriter, Message, reason_phrase},
};
