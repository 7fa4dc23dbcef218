//! Tests of the replicated log across restarts, and of the first election.

use bulrushspan::core::replication::{
    DurableState, Entry, Envelope, Input, Members, Message, Payload, RaftNode, Role, RoundTimes,
    Timers, TimersConfig,
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

/// A replica that heard from a leader counted as up to date although it lacked what the leader
/// had committed, or the leader what an earlier one had; instances kept an old configuration.
#[test]
fn a_replica_is_current_only_with_all_that_a_leader_of_its_term_committed() {
    let members = Members::new([(1, "a".to_owned()), (2, "b".to_owned()), (3, "c".to_owned())]);
    let mut node = RaftNode::<u8>::new(2, DurableState::new(members));
    let entry = |index, term| Entry { index, term, payload: Payload::Command(7) };
    let mut is_current = |prev_index, prev_term, entries: &[Entry<u8>], commit| {
        let (entries, round) = (entries.to_vec(), 1);
        let message = Message::Append { prev_index, prev_term, entries, commit, round };
        node.step(Input::Receive(Envelope { from: 1, to: 2, term: 2, message })).is_current
    };
    assert!(!is_current(0, 0, &[entry(1, 1)], 1), "nothing is committed in term 2");
    assert!(!is_current(1, 1, &[entry(2, 2)], 1), "nothing is committed in term 2");
    assert!(is_current(2, 2, &[], 2));
    assert!(!is_current(2, 2, &[entry(3, 2)], 4), "the entry 4 is missing");
    assert!(!is_current(4, 2, &[entry(5, 2)], 5), "the entries 4 and 5 are missing");
    assert!(is_current(3, 2, &[entry(4, 2), entry(5, 2)], 5));
}

/// A leader that was suspended took its last round for one that a quorum confirmed now: it answered
/// a read with an old configuration, and could grant leases, although another replica led.
#[test]
fn a_round_that_was_confirmed_once_is_not_confirmed_again_later() {
    let ms = Duration::from_millis;
    let mut times = RoundTimes::default();
    times.record(1, 0, ms(100));
    assert_eq!(times.confirmed_at(), None);
    times.record(1, 1, ms(150));
    assert_eq!(times.confirmed_at(), Some(ms(100)));
    // The replica was suspended, and handles a message of another kind.
    times.record(1, 1, ms(6000));
    assert_eq!(times.confirmed_at(), Some(ms(100)));
    times.record(3, 1, ms(6010));
    times.record(3, 3, ms(6120));
    assert_eq!(times.confirmed_at(), Some(ms(6010)));
}
