//! The timers of a replica, which generate inputs of a [`RaftNode`].

use std::time::Duration;

use serde::Serialize;

use super::{Input, Outputs, RaftNode};

/// Holds the deadlines of one replica's timeouts, all measured from one origin,
/// which the driver chooses.
#[derive(Clone, Debug)]
pub struct Timers {
    config: TimersConfig,
    election_deadline: Duration,
    heartbeat_deadline: Duration,
    quorum_deadline: Duration,
    was_leader: bool,
}

/// Configures the timers of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimersConfig {
    /// The minimum time without a leader before an election.
    pub election_timeout: Duration,
    /// The interval between two heartbeats.
    pub heartbeat_interval: Duration,
}

impl Timers {
    /// Creates the timers of a replica that starts at `now`.
    ///
    /// If all replicas start at once, there is no leader to wait for. The
    /// `jitter_fraction`, between 0 and 1 and different for each replica, then
    /// decides which of them starts the first election.
    pub fn new(config: TimersConfig, jitter_fraction: f64, now: Duration) -> Self {
        Self {
            config,
            election_deadline: now
                + config.heartbeat_interval
                + config.election_timeout.mul_f64(jitter_fraction),
            heartbeat_deadline: now,
            quorum_deadline: now,
            was_leader: false,
        }
    }

    /// Updates the timers after a step of the node.
    pub fn update<C: Clone + Serialize>(
        &mut self,
        node: &RaftNode<C>,
        outputs: &Outputs<C>,
        now: Duration,
    ) {
        let is_leader = node.is_leader();
        if is_leader && !self.was_leader {
            self.heartbeat_deadline = now;
            self.quorum_deadline = now + self.config.election_timeout;
        }
        if outputs.reset_election_timeout || (self.was_leader && !is_leader) {
            self.election_deadline = now + self.config.election_timeout + self.jitter(node);
        }
        self.was_leader = is_leader;
    }

    /// Returns the inputs that are due and restarts their timers.
    pub fn take_due<C: Clone + Serialize>(
        &mut self,
        node: &RaftNode<C>,
        now: Duration,
    ) -> Vec<Input<C>> {
        let mut inputs = Vec::new();
        if !node.is_leader() {
            if now >= self.election_deadline {
                self.election_deadline = now + self.config.election_timeout + self.jitter(node);
                inputs.push(Input::ElectionTimeout);
            }
            return inputs;
        }
        if now >= self.quorum_deadline {
            self.quorum_deadline = now + self.config.election_timeout;
            inputs.push(Input::QuorumTimeout);
        }
        if now >= self.heartbeat_deadline {
            self.heartbeat_deadline = now + self.config.heartbeat_interval;
            inputs.push(Input::HeartbeatTimeout);
        }
        inputs
    }

    /// Returns a delay that differs between replicas, so that usually only one of
    /// them starts an election at a time. It depends only on the id, the term and
    /// the previous deadline, so that runs are reproducible.
    fn jitter<C: Clone + Serialize>(&self, node: &RaftNode<C>) -> Duration {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&node.id().to_le_bytes());
        hasher.update(&node.term().to_le_bytes());
        hasher.update(&self.election_deadline.as_micros().to_le_bytes());
        self.config.election_timeout * (hasher.finalize() % 1000) / 1000
    }
}
