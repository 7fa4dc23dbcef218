//! Divides a process's memory among the messages that it holds.

/// Represents the memory that the messages of a process may take together.
///
/// A message may grow as long as it is no larger than what is then left. So the few that are
/// large, or the many that never end, can't take all of it: with `n` of them a part of `n + 1`
/// stays free for short ones.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    total_bytes: usize,
    held_bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(total_bytes: usize) -> Self {
        Self { total_bytes, held_bytes: 0 }
    }

    /// Changes the size of one message from `from_bytes` to `to_bytes`. Returns whether that was
    /// done; a message can always shrink.
    #[must_use]
    pub fn try_resize(&mut self, from_bytes: usize, to_bytes: usize) -> bool {
        let held_bytes = self.held_bytes.saturating_sub(from_bytes).saturating_add(to_bytes);
        let left_bytes = self.total_bytes.saturating_sub(held_bytes);
        if to_bytes > from_bytes && to_bytes > left_bytes {
            return false;
        }
        self.held_bytes = held_bytes;
        true
    }

    /// Returns how many bytes the messages take.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
