//! Represents the requests that callers send.

use std::{net::IpAddr, time::Duration};

use sha2::{Digest, Sha256};

use crate::{
    net::{
        held_bytes::{Body, HeldBytes},
        http1::{RequestHead, ResponseHead},
        relay::RelayTerms,
    },
    platform::headers,
};

/// A caller's request that was received in full.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) head: RequestHead,
    pub(super) body: Body,
    /// The memory that the head takes.
    pub(super) _held: HeldBytes,
    /// When the head had fully arrived, by the instance's clock.
    pub(super) arrived_at: Duration,
    /// The address from which its sender connected.
    pub(super) sender: IpAddr,
    /// The terms on which it is taken over from a peer; `None` if a caller sent it.
    pub(super) relay_terms: Option<RelayTerms>,
}

/// The timeout of requests that do not specify one.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);

impl Request {
    /// Returns how long after its arrival the caller waits for the response.
    pub(super) fn timeout(&self) -> Duration {
        timeout(&self.head)
    }

    /// Returns the request's id, if it has one.
    pub(super) fn id(&self) -> Option<&str> {
        headers::request_id(&self.head.headers)
    }

    /// Returns whether a response has the request's id, and so surely belongs to it.
    pub(super) fn is_named_by(&self, response: &ResponseHead) -> bool {
        self.id().is_some() && headers::request_id(&response.headers) == self.id()
    }

    /// Returns the host that the request is addressed to, or an empty string if it names none.
    pub(super) fn host(&self) -> &str {
        self.head.host()
    }

    /// Returns a hash that identifies the request when its caller sends it again: of the caller's
    /// address, the method, the target and the body. Returns `None` if the caller is not known.
    pub(super) fn fingerprint(&self) -> Option<u128> {
        if let Some(terms) = self.relay_terms {
            return terms.fingerprint;
        }
        let caller = self.sender.to_string();
        let mut digest = Sha256::new();
        for part in [&caller, self.host(), &self.head.method, &self.head.target] {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part.as_bytes());
        }
        self.body.pieces().iter().for_each(|piece| digest.update(piece));
        let bytes = digest.finalize();
        bytes.first_chunk().map(|start| u128::from_be_bytes(*start))
    }

    /// Returns the path without the query.
    pub(super) fn path(&self) -> &str {
        self.head.path()
    }
}

/// Returns how long after the arrival of a request's head its caller waits for the response.
pub(super) fn timeout(head: &RequestHead) -> Duration {
    headers::timeout(&head.headers).unwrap_or(TIMEOUT_DEFAULT)
}
