//! What a leader knows about another replica's log, and what it has sent to that replica.

use std::collections::VecDeque;

use super::{LogIndex, Round};

/// Holds a leader's state about one other replica.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Progress {
    pub(super) next_index: LogIndex,
    pub(super) match_index: LogIndex,
    pub(super) last_acked_round: Round,
    /// The snapshot that is being sent, if any.
    pub(super) install: Option<Install>,
    /// The messages with entries that no reply covers yet: the index of the last entry of each,
    /// and the encoded size of its entries.
    in_flight: VecDeque<(LogIndex, u64)>,
    in_flight_bytes: u64,
    /// The round in which entries were last sent again, and the index of the first of them.
    rewound: Option<(Round, LogIndex)>,
}

/// Represents a snapshot that is being sent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Install {
    /// The index of the snapshot.
    pub(super) index: LogIndex,
    /// The offset of the next chunk, in bytes.
    pub(super) offset: u64,
    /// The round in which that chunk was sent, if it was.
    pub(super) sent_in: Option<Round>,
}

impl Install {
    /// Handles a request for the chunk at `offset`, which replies to a message of `round`. Returns
    /// whether that chunk is to be sent now. A replica that still lacks a chunk in a later round
    /// than the one in which it was sent has lost it.
    pub(super) fn handle_request(&mut self, offset: u64, round: Round) -> bool {
        let is_due = offset > self.offset || self.sent_in.is_none_or(|sent_in| round > sent_in);
        if is_due {
            (self.offset, self.sent_in) = (offset, None);
        }
        is_due
    }
}

impl Progress {
    pub(super) fn new(last_index: LogIndex) -> Self {
        Self {
            next_index: last_index + 1,
            match_index: 0,
            last_acked_round: 0,
            install: None,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            rewound: None,
        }
    }

    /// Returns the size of the entries that were sent and are not acknowledged.
    pub(super) fn in_flight_bytes(&self) -> u64 {
        self.in_flight_bytes
    }

    /// Records that entries of this size up to the index before `next_index` were sent.
    pub(super) fn record_sent(&mut self, next_index: LogIndex, bytes: u64) {
        self.next_index = next_index;
        self.in_flight.push_back((next_index - 1, bytes));
        self.in_flight_bytes += bytes;
    }

    /// Records that the replica's log matches up to an index.
    pub(super) fn record_match(&mut self, matched: LogIndex) {
        self.match_index = self.match_index.max(matched);
        self.next_index = self.next_index.max(matched + 1);
        while let Some((_, bytes)) = self.in_flight.pop_front_if(|(index, _)| *index <= matched) {
            self.in_flight_bytes -= bytes;
        }
    }

    /// Moves back to `next_index` after a conflict in reply to a message of `round`. Returns
    /// whether entries are to be sent from there.
    ///
    /// Several replies may report the same conflict. Only the first one counts until a reply to a
    /// later round shows that the replica lacks what was sent again, or the conflict is at an
    /// earlier index.
    pub(super) fn rewind(
        &mut self,
        next_index: LogIndex,
        round: Round,
        leader_round: Round,
    ) -> bool {
        let is_known = self
            .rewound
            .is_some_and(|(rewound_in, index)| round <= rewound_in && next_index >= index);
        if next_index >= self.next_index || is_known {
            return false;
        }
        self.next_index = next_index;
        self.in_flight.clear();
        self.in_flight_bytes = 0;
        self.rewound = Some((leader_round, next_index));
        true
    }
}
