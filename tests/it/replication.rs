//! Tests of the replicated log across restarts, and of the first election.

use bulrushspan::core::replication::{
    DurableState, Entry, Input, Members, Payload, RaftNode, Role, Timers, TimersConfig,
};
use std::time::Duration;

/// Returns a replica that is the only member.
fn single_node(id: u64) -> RaftNode<u8> {
    RaftNode::new(id, DurableState::new(Members::new([(id, "i".to_owned())])))
}

#[test]
fn a_restarted_replica_has_its_recorded_commit_index_before_an_election() {
    let mut node = single_node(1);
    node.step(Input::ElectionTimeout);
    assert!(matches!(node.role(), Role::Leader(_)));
    node.step(Input::Propose(7));
    node.step(Input::Propose(8));
    let recorded_index = node.step(Input::RecordCommit).commit_index;
    node.step(Input::Propose(9));

    let restarted_node = RaftNode::new(1, node.durable().clone());
    assert_eq!(recorded_index, Some(3), "the entry that begins the term and two commands");
    assert_eq!(restarted_node.commit_index(), 3);
    assert_eq!(restarted_node.leader(), None);
}

#[test]
fn a_recorded_commit_index_is_capped_at_the_end_of_the_log() {
    let mut durable = DurableState::new(Members::new([(1, "i".to_owned())]));
    durable.truncate_and_push(Entry { index: 1, term: 1, payload: Payload::Command(7) });
    durable.commit_index = 5;
    assert_eq!(RaftNode::new(1, durable).commit_index(), 1);
}

#[test]
fn replicas_that_start_together_begin_elections_at_different_times() {
    let config = TimersConfig {
        election_timeout: Duration::from_millis(700),
        heartbeat_interval: Duration::from_millis(150),
    };
    let node = single_node(1);
    let first_due_ms = |jitter_fraction: f64| {
        let mut timers = Timers::new(config, jitter_fraction, Duration::ZERO);
        (0u64..).find(|ms| !timers.take_due(&node, Duration::from_millis(*ms)).is_empty())
    };
    assert_eq!(
        [first_due_ms(0.0), first_due_ms(0.5), first_due_ms(1.0)],
        [Some(150), Some(500), Some(850)]
    );
}
