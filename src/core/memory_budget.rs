//! Divides a process's memory among the messages that it holds.

/// Represents the memory that the messages of a process may take together.
///
/// A message may grow as long as it is no larger than what is then left. So the few that are
/// large, or the many that never end, can't take all of it: with `n` of them a part of `n + 1`
/// stays free for short ones, and a part is kept for them. A request may also grow beyond that
/// while all others are small together. Requests never take the part that is kept for responses, as the work for a response
/// is done already.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    total_bytes: usize,
    requests_max_bytes: usize,
    request_bytes: usize,
    response_bytes: usize,
}

/// Represents the kind of a message that takes memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageKind {
    /// A request, which can be refused before anything is done for it.
    Request,
    /// A response to a request that has run.
    Response,
}

/// The part of the memory that is kept for responses: 1 of this many.
const RESPONSES_PART: usize = 8;
/// The part of the memory that is kept for short messages: 1 of this many.
const SHORT_MESSAGES_PART: usize = 32;
/// The maximum size of a short message.
const SHORT_MAX_BYTES: usize = 4 * 1024;
/// The part of the requests' memory up to which they count as small together: 1 of this many.
const SMALL_PART: usize = 16;
/// The part of the requests' memory that a single large one leaves free: 1 of this many.
const FREE_PART: usize = 64;

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(total_bytes: usize) -> Self {
        let requests_max_bytes = total_bytes - total_bytes / RESPONSES_PART;
        Self { total_bytes, requests_max_bytes, request_bytes: 0, response_bytes: 0 }
    }

    /// Changes the size of one message from `from_bytes` to `to_bytes`. Returns whether that was
    /// done; a message can always shrink.
    #[must_use]
    pub fn try_resize(&mut self, kind: MessageKind, from_bytes: usize, to_bytes: usize) -> bool {
        if to_bytes > from_bytes && !self.can_resize(kind, from_bytes, to_bytes) {
            return false;
        }
        let held_bytes = match kind {
            MessageKind::Request => &mut self.request_bytes,
            MessageKind::Response => &mut self.response_bytes,
        };
        *held_bytes = held_bytes.saturating_sub(from_bytes).saturating_add(to_bytes);
        true
    }

    /// Returns whether a message could grow from `from_bytes` to `to_bytes` now.
    pub fn can_resize(&self, kind: MessageKind, from_bytes: usize, to_bytes: usize) -> bool {
        let others_bytes = self.held_bytes().saturating_sub(from_bytes);
        let kept_bytes = match to_bytes {
            ..=SHORT_MAX_BYTES => 0,
            _ => self.total_bytes / SHORT_MESSAGES_PART,
        };
        let left_bytes = |max_bytes: usize, used_bytes: usize| {
            max_bytes.checked_sub(used_bytes.saturating_add(to_bytes).saturating_add(kept_bytes))
        };
        let Some(left) = left_bytes(self.total_bytes, others_bytes) else { return false };
        if kind == MessageKind::Response {
            return to_bytes <= left;
        }
        let max_bytes = self.requests_max_bytes;
        let other_requests_bytes = self.request_bytes.saturating_sub(from_bytes);
        let Some(left_for_requests) = left_bytes(max_bytes, other_requests_bytes) else {
            return false;
        };
        let left = left.min(left_for_requests);
        let is_alone = others_bytes <= max_bytes / SMALL_PART && left >= max_bytes / FREE_PART;
        to_bytes <= left || is_alone
    }

    /// Returns how many bytes the messages take.
    pub fn held_bytes(&self) -> usize {
        self.request_bytes + self.response_bytes
    }
}
