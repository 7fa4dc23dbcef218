//! Turns the passing of time into inputs of a [`Node`].

use std::time::Duration;

use super::{Input, Node, Outputs};

/// Keeps the timers of one replica. All times are measured from one origin
/// that the driver chooses.
#[derive(Clone, Debug)]
pub struct Timers {
    config: TimersConfig,
    election_due: Duration,
    heartbeat_due: Duration,
    quorum_due: Duration,
    led: bool,
}

/// Sets how long a replica waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimersConfig {
    /// The shortest time without a leader before an election.
    pub election: Duration,
    /// The time between two heartbeats.
    pub heartbeat: Duration,
}

impl Timers {
    /// Returns timers of a replica that starts at `now`. When all start at
    /// once there is no leader to wait for, so `spread`, between 0 and 1 and
    /// different for each replica, decides who stands first.
    pub fn new(config: TimersConfig, spread: f64, now: Duration) -> Self {
        Self {
            config,
            election_due: now + config.heartbeat + config.election.mul_f64(spread),
            heartbeat_due: now,
            quorum_due: now,
            led: false,
        }
    }

    /// Takes note of what a step brought.
    pub fn note<C: Clone>(&mut self, node: &Node<C>, outputs: &Outputs<C>, now: Duration) {
        let leads = node.is_leader();
        if leads && !self.led {
            self.heartbeat_due = now;
            self.quorum_due = now + self.config.election;
        }
        if outputs.heard_leader || (self.led && !leads) {
            self.election_due = now + self.config.election + self.jitter(node);
        }
        self.led = leads;
    }

    /// Returns the inputs that are due.
    pub fn due<C: Clone>(&mut self, node: &Node<C>, now: Duration) -> Vec<Input<C>> {
        let mut inputs = Vec::new();
        if !node.is_leader() {
            if now >= self.election_due {
                self.election_due = now + self.config.election + self.jitter(node);
                inputs.push(Input::ElectionTimeout);
            }
            return inputs;
        }
        if now >= self.quorum_due {
            self.quorum_due = now + self.config.election;
            inputs.push(Input::QuorumTimeout);
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + self.config.heartbeat;
            inputs.push(Input::HeartbeatTimeout);
        }
        inputs
    }

    /// Spreads replicas apart so that one of them usually stands alone. It
    /// depends on the id and the term only, which keeps runs repeatable.
    fn jitter<C: Clone>(&self, node: &Node<C>) -> Duration {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&node.id().to_le_bytes());
        hasher.update(&node.term().to_le_bytes());
        hasher.update(&self.election_due.as_micros().to_le_bytes());
        self.config.election * (hasher.finalize() % 1000) / 1000
    }
}
