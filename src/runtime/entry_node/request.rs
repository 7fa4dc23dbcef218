//! Holds one request of a caller.

use bytes::Bytes;

use crate::net::http1::RequestHead;

/// Holds one request of a caller, received in full.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    /// When the head had arrived, by the instance's clock.
    pub(super) arrived_at: std::time::Duration,
}

impl Request {
    /// Returns the host that the caller names.
    pub(super) fn host(&self) -> &str {
        self.head.headers.text("host").unwrap_or_default()
    }

    /// Returns the path without the query.
    pub(super) fn path(&self) -> &str {
        let target = self.head.target.as_str();
        target.split_once('?').map_or(target, |(path, _)| path)
    }
}
