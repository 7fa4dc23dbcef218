//! Tests of the replicated log across restarts, and of the first election.

use bulrushspan::core::replication::{
    DurableState, Entry, Envelope, Input, Members, Message, Payload, RaftNode, ReplicaId,
    ReplyTimes, Role, RoundTimes, StateBudget, Timers, TimersConfig,
};
use std::{collections::BTreeSet, time::Duration};

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

/// A replica that was replaced at another address kept its vote, until those that were gone
/// outnumbered a quorum of those that ran.
#[test]
fn a_silent_voter_is_removed_where_a_quorum_survives_as_many_failures_without_it() {
    let with_voters = |count: u64| Members::new((1..=count).map(|id| (id, format!("i{id}"))));
    let remaining = |members: &Members, silent: &[ReplicaId]| {
        let next = members.without_silent(&BTreeSet::from_iter(silent.iter().copied()));
        next.map(|next| next.iter().map(|(id, _)| id).collect::<Vec<ReplicaId>>())
    };
    assert_eq!(remaining(&with_voters(3), &[2]), None);
    assert_eq!(remaining(&with_voters(4), &[2]), Some(vec![1, 3, 4]));
    assert_eq!(remaining(&with_voters(6), &[2, 5]), Some(vec![1, 3, 4, 5, 6]));
    assert_eq!(remaining(&with_voters(4), &[]), None);
    // Those that reply could not commit the change.
    assert_eq!(remaining(&with_voters(4), &[2, 3, 4]), None);
    // The one that is left would hold the only copy.
    assert_eq!(remaining(&with_voters(2), &[2]), None);
    // A replica without a vote is in no quorum.
    let with_learner = with_voters(3).with_learner(9, "i9".to_owned());
    assert_eq!(remaining(&with_learner, &[9]), Some(vec![1, 2, 3]));
}

#[test]
fn a_member_is_silent_once_it_has_not_replied_for_the_timeout() {
    let members = Members::new([(1, "a".to_owned()), (2, "b".to_owned()), (3, "c".to_owned())]);
    let mut node = RaftNode::<u8>::new(1, DurableState::new(members));
    let receive = |node: &mut RaftNode<u8>, from, term, message| {
        node.step(Input::Receive(Envelope { from, to: 1, term, message }));
    };
    node.step(Input::ElectionTimeout);
    receive(&mut node, 2, 1, Message::PreVoteReply { granted: true });
    receive(&mut node, 2, 1, Message::VoteReply { granted: true });
    assert!(node.is_leader());

    let timeout = Duration::from_secs(2);
    let mut reply_times = ReplyTimes::default();
    reply_times.update(&node, Duration::from_secs(10));
    node.step(Input::HeartbeatTimeout);
    receive(&mut node, 3, 1, Message::AppendReply { matched: 0, round: 1 });
    reply_times.update(&node, Duration::from_secs(11));
    let silent_at = |seconds| reply_times.silent(Duration::from_secs(seconds), timeout);
    assert_eq!(silent_at(11), BTreeSet::new());
    assert_eq!(silent_at(12), BTreeSet::from([2]));
    assert_eq!(silent_at(13), BTreeSet::from([2, 3]));
}

const ENTRY_BYTES: usize = 100_000;

/// Returns a replica that leads three members, with a log of 150 large entries.
fn leader_of_large_log() -> RaftNode<Vec<u8>> {
    leader_of_large_log_with(2)
}

fn leader_of_large_log_with(followers: u64) -> RaftNode<Vec<u8>> {
    let members = Members::new((1..=1 + followers).map(|id| (id, format!("i{id}"))));
    let mut durable = DurableState::new(members);
    for index in 1..=150 {
        let payload = Payload::Command(vec![7; ENTRY_BYTES]);
        durable.truncate_and_push(Entry { index, term: 1, payload });
    }
    durable.ballot.term = 1;
    let mut node = RaftNode::new(1, durable);
    node.step(Input::ElectionTimeout);
    for id in 2..=1 + followers {
        receive(&mut node, id, 2, Message::PreVoteReply { granted: true });
    }
    for id in 2..=1 + followers {
        receive(&mut node, id, 2, Message::VoteReply { granted: true });
    }
    assert!(node.is_leader());
    node
}

/// Lets a leader receive a message, and returns the messages that it sends.
fn receive<C: Clone + serde::Serialize>(
    node: &mut RaftNode<C>,
    from: ReplicaId,
    term: u64,
    message: Message<C>,
) -> Vec<Envelope<C>> {
    node.step(Input::Receive(Envelope { from, to: 1, term, message })).messages
}

/// Returns the number of bytes in the entries and in the chunks of messages.
fn payload_bytes<C: serde::Serialize>(messages: &[Envelope<C>]) -> usize {
    let payload = |message: &Message<C>| match message {
        Message::Append { entries, .. } => rmp_serde::to_vec(entries).unwrap().len() - 1,
        Message::Install { data, .. } => data.len(),
        _ => 0,
    };
    messages.iter().map(|envelope| payload(&envelope.message)).sum()
}

/// A leader put up to 256 entries into one message, however large they were, and sent them again
/// for each reply of a follower that had lost its disk: two replicas exceeded their memory in turn.
#[test]
fn the_bytes_sent_to_a_follower_that_does_not_acknowledge_them_are_bounded() {
    let mut leader = leader_of_large_log();
    let window_bytes = 1024 * 1024 + ENTRY_BYTES;
    let mut sent_bytes = 0;
    for round in 1..=20 {
        let mut messages = leader.step(Input::HeartbeatTimeout).messages;
        // The follower's disk is empty, and its replies to three earlier heartbeats arrive late.
        for _ in 0..3 {
            let conflict = Message::AppendConflict { last_index: 0, round: 1 };
            messages.extend(receive(&mut leader, 3, 2, conflict));
        }
        assert!(messages.iter().any(|envelope| envelope.to == 3), "no heartbeat in round {round}");
        sent_bytes += payload_bytes(&messages);
    }
    assert!(sent_bytes <= window_bytes, "{sent_bytes} bytes, {window_bytes} allowed");
}

/// Guards against a leader that sends nothing more to a follower that has acknowledged a window.
#[test]
fn a_follower_that_acknowledges_a_window_is_sent_the_next_one() {
    let mut leader = leader_of_large_log();
    let conflict = Message::AppendConflict { last_index: 0, round: 1 };
    let mut messages = receive(&mut leader, 3, 2, conflict);
    let mut matched = 0;
    loop {
        let sent: u64 = messages.iter().map(entries_for_third).sum();
        if sent == 0 {
            break;
        }
        matched += sent;
        messages = receive(&mut leader, 3, 2, Message::AppendReply { matched, round: 1 });
    }
    assert_eq!(matched, leader.durable().last_index());
}

/// Returns the number of entries in a message to the third replica.
fn entries_for_third<C>(envelope: &Envelope<C>) -> u64 {
    match &envelope.message {
        Message::Append { entries, .. } if envelope.to == 3 => entries.len() as u64,
        _ => 0,
    }
}

/// Guards against a leader whose many followers take its memory, though each keeps its window.
#[test]
fn the_bytes_sent_to_all_followers_together_are_bounded() {
    const FOLLOWERS: u64 = 20;
    const WINDOWS_BYTES: usize = 4 * 1024 * 1024;
    let mut leader = leader_of_large_log_with(FOLLOWERS);
    let mut sent_bytes = 0;
    for id in 2..2 + FOLLOWERS {
        let conflict = Message::AppendConflict { last_index: 0, round: 1 };
        sent_bytes += payload_bytes(&receive(&mut leader, id, 2, conflict));
    }
    let allowed_bytes = WINDOWS_BYTES + FOLLOWERS as usize * ENTRY_BYTES;
    assert!(sent_bytes <= allowed_bytes, "{sent_bytes} bytes, {allowed_bytes} allowed");
    assert!(sent_bytes >= FOLLOWERS as usize * ENTRY_BYTES, "{sent_bytes} bytes");
}

/// A leader sent a chunk of its snapshot again with each heartbeat, also while the first one was
/// on its way.
#[test]
fn a_chunk_of_a_snapshot_is_sent_once_until_a_reply_shows_that_it_is_lost() {
    let mut leader = leader_of_large_log();
    leader.step(Input::HeartbeatTimeout);
    receive(&mut leader, 2, 2, Message::AppendReply { matched: 151, round: 1 });
    let data = vec![7; 1_000_000];
    leader.step(Input::Compact { index: 151, data });
    let conflict = Message::AppendConflict { last_index: 0, round: 1 };
    let chunk_bytes = payload_bytes(&receive(&mut leader, 3, 2, conflict));
    assert!(chunk_bytes > 0);
    for _ in 0..20 {
        let messages = leader.step(Input::HeartbeatTimeout).messages;
        assert!(messages.iter().any(|envelope| envelope.to == 3), "no heartbeat");
        assert_eq!(payload_bytes(&messages), 0);
    }
    let mut reply = |offset, round| {
        let reply = Message::InstallReply { index: 151, offset, round };
        payload_bytes(&receive(&mut leader, 3, 2, reply))
    };
    assert_eq!(reply(0, 21), chunk_bytes, "the follower lacked the chunk in a later round");
    assert_eq!(reply(0, 21), 0, "the chunk was sent again since");
    assert_eq!(reply(chunk_bytes as u64, 21), chunk_bytes);
}

/// The default limit of the entries that are not committed.
const UNCOMMITTED_MAX_BYTES: usize = 64 * 1024 * 1024;

/// A leader accepted entries without end while its followers acknowledged none, so that an
/// operator who sent a large configuration again and again took it over its memory.
#[test]
fn the_bytes_of_a_leader_that_are_not_committed_are_bounded() {
    let mut leader = leader_of_large_log();
    receive(&mut leader, 2, 2, Message::AppendReply { matched: 151, round: 1 });
    let mut accepted_bytes = 0;
    for _ in 0..1000 {
        if leader.step(Input::Propose(vec![7; ENTRY_BYTES])).proposed.is_some() {
            accepted_bytes += ENTRY_BYTES;
        }
    }
    let allowed_bytes = UNCOMMITTED_MAX_BYTES - 2 * ENTRY_BYTES..=UNCOMMITTED_MAX_BYTES;
    assert!(allowed_bytes.contains(&accepted_bytes), "{accepted_bytes} bytes");

    let matched = leader.durable().last_index();
    receive(&mut leader, 2, 2, Message::AppendReply { matched, round: 1 });
    let too_large = vec![7; UNCOMMITTED_MAX_BYTES + 1];
    assert!(leader.step(Input::Propose(too_large)).proposed.is_some(), "refused alone");
    assert!(leader.step(Input::Propose(vec![7])).proposed.is_none());
}

/// A replica accepted configurations that its link can't carry before a call is given up, and sent
/// such an entry again without end, while nothing after it was committed.
#[test]
fn a_configuration_that_the_link_can_not_carry_within_a_call_is_not_accepted() {
    let call_timeout_s = 1.2;
    for (link_mbps, voters) in
        [1.0, 2.0, 10.0, 100.0, 1000.0].into_iter().flat_map(|mbps| (0..=9).map(move |n| (mbps, n)))
    {
        let bytes_per_s = link_mbps * 125_000.0;
        let budget = StateBudget::new(256 * 1024 * 1024, 0).with_link(bytes_per_s);
        // The leader sends a copy to each other voter at the same time.
        let bytes = budget.configuration_max_bytes(voters) * (voters as u64).saturating_sub(1);
        let seconds = bytes as f64 / bytes_per_s;
        assert!(seconds < call_timeout_s, "{seconds} s at {link_mbps} Mbit/s, {voters} voters");
    }
}
