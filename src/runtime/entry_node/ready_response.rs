//! Responses that wait to be written to a connection.

use std::rc::Rc;

use super::{response::Response, state::EntryState};
use crate::{
    net::http1::{Message, RequestHead},
    platform::headers,
};

/// Who sends requests over a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sender {
    Caller,
    /// Another entry instance, which hands over requests of its callers.
    Peer,
}

/// What of a request is needed to encode its response. The rest is not kept, since the caller may
/// read slowly.
pub(super) struct AnsweredRequest {
    method: String,
    id: Option<String>,
}

impl AnsweredRequest {
    pub(super) fn new(head: &RequestHead) -> Self {
        let id = headers::request_id(&head.headers).map(str::to_owned);
        Self { method: head.method.clone(), id }
    }

    /// Returns the request's id, or an empty string if it has none.
    pub(super) fn id(&self) -> &str {
        self.id.as_deref().unwrap_or_default()
    }
}

/// A response that is ready to be written.
pub(super) struct ReadyResponse {
    pub(super) response: Response,
    /// The request, if its head could be read.
    pub(super) request: Option<AnsweredRequest>,
    /// Whether the caller may still send input, which is then discarded.
    pub(super) has_unread_input: bool,
    /// Keeps the request open until the response is written and, if the connection closes, the
    /// caller had time to read it, so that a stop waits for both.
    pub(super) _open_request: OpenRequest,
}

impl ReadyResponse {
    /// Makes this the last response on its connection.
    pub(super) fn with_connection_close(mut self) -> Self {
        self.response = self.response.with_connection_close();
        self
    }

    /// Encodes the response for the sender of the request.
    pub(super) fn encode(&self, sender: Sender) -> Message {
        let request = self.request.as_ref();
        let method = request.map_or("", |request| request.method.as_str());
        let id = request.and_then(|request| request.id.as_deref());
        match sender {
            Sender::Caller => self.response.encode(method, id),
            Sender::Peer => self.response.encode_for_peer(method, id),
        }
    }
}

/// Counts a request as open until dropped.
pub(super) struct OpenRequest {
    state: Rc<EntryState>,
}

impl OpenRequest {
    pub(super) fn new(state: &Rc<EntryState>) -> Self {
        state.open_requests.set(state.open_requests.get() + 1);
        Self { state: state.clone() }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.open_requests.set(self.state.open_requests.get() - 1);
    }
}
