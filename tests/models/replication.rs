//! Checks the replicated log in every order of events within small bounds.

use bulrushspan::core::replication::Input;
use rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::{
    explore::{SearchResult, explore},
    replication_world::{Budget, Fault, World},
};

fn check(start: World, depth: u32) -> SearchResult<World> {
    explore(start, depth, World::successors, |world| world.violation().is_some())
}

/// Asserts that no invariant breaks, and that the number of states matches the snapshot.
fn assert_holds(name: &str, start: World, depth: u32) {
    let result = check(start, depth);
    let violation = result.violation.as_ref().and_then(|path| path.last());
    assert_eq!(violation.and_then(World::violation), None, "{name}: {violation:#?}");
    println!("{name}: {} states", result.states);
    insta::assert_snapshot!(name, result.states);
}

/// Asserts that the search finds the expected violation.
fn assert_finds(start: World, depth: u32, expected: &str) {
    let result = check(start, depth);
    let violation = result.violation.as_ref().and_then(|path| path.last());
    assert_eq!(violation.and_then(World::violation), Some(expected));
}

fn election_budget() -> Budget {
    Budget { elections: 2, crashes: 1, duplicates: 1, ..Budget::default() }
}

#[test]
fn one_leader_per_term() {
    assert_holds("elections", World::new(3, election_budget()), 8);
}

#[test]
fn a_lost_vote_is_found() {
    let world = World::new(3, election_budget()).with_fault(Fault::LostVote);
    assert_finds(world, 14, "two leaders in one term");
}

fn commit_budget() -> Budget {
    Budget { elections: 1, proposals: 1, heartbeats: 1, crashes: 1, ..Budget::default() }
}

#[test]
fn committed_entries_are_never_replaced() {
    assert_holds("commits", World::new(3, commit_budget()).with_leader(1), 9);
}

// The core panics when it is told to drop a committed entry, so the panic shows
// that the model found the fault.
#[test]
#[should_panic(expected = "was told to drop the committed entry")]
fn a_lost_entry_is_found() {
    let world = World::new(3, commit_budget()).with_leader(1).with_fault(Fault::LostEntry);
    assert_finds(world, 16, "a committed entry was replaced");
}

fn replacement_budget() -> Budget {
    Budget { elections: 1, lost_disks: 1, member_changes: 3, ..Budget::default() }
}

#[test]
fn replacing_a_lost_disk_loses_no_committed_entry() {
    assert_holds("replacement", World::new(3, replacement_budget()).with_leader(1), 9);
}

#[test]
#[should_panic(expected = "was told to drop the committed entry")]
fn a_replica_that_lost_its_disk_but_keeps_its_id_is_found() {
    let budget = Budget { elections: 1, proposals: 1, lost_disks: 1, ..Budget::default() };
    let world = World::new(3, budget).with_leader(1).with_fault(Fault::ReusedId);
    assert_finds(world, 14, "a committed entry was replaced");
}

#[test]
fn two_voters_removed_at_once_are_found() {
    let budget = Budget { elections: 2, member_changes: 1, ..Budget::default() };
    let world = World::new(3, budget).with_leader(3).with_fault(Fault::TwoVotersRemoved);
    assert_finds(world, 12, "two leaders in one term");
}

#[test]
fn a_chunked_snapshot_brings_a_lagging_replica_up_to_date() {
    let budget = Budget { compactions: 1, heartbeats: 1, crashes: 1, ..Budget::default() };
    let mut world = World::new(3, budget).with_leader(1);
    let lagging_node = world.nodes[&3].clone();
    world = world.step(1, Input::Propose(7)).deliver_all();
    world.nodes.insert(3, lagging_node);
    assert_holds("snapshots", world, 12);
}

#[test]
fn a_confirmed_read_sees_all_committed_entries() {
    let budget = Budget { elections: 1, proposals: 1, heartbeats: 2, ..Budget::default() };
    assert_holds("reads", World::new(3, budget).with_leader(1), 9);
}

#[test]
fn an_unconfirmed_read_is_found() {
    let budget = Budget { elections: 1, proposals: 0, heartbeats: 1, ..Budget::default() };
    let world = World::new(3, budget).with_leader(1).with_fault(Fault::UnconfirmedRead);
    assert_finds(world, 16, "a read missed a committed entry");
}

/// Follows one random path per seed, far beyond the bounds of the other tests.
#[test]
fn long_runs_hold() {
    let budget = Budget {
        elections: 30,
        proposals: 40,
        heartbeats: 60,
        crashes: 20,
        duplicates: 40,
        compactions: 10,
        lost_disks: 1,
        member_changes: 6,
    };
    for seed in 0..60 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::new(if seed % 2 == 0 { 3 } else { 5 }, budget);
        for step in 0..250 {
            let Some(next) = world.successors().choose(&mut random).cloned() else { break };
            world = next.drop_messages(&mut random);
            assert_eq!(world.violation(), None, "seed {seed}, step {step}: {world:#?}");
        }
    }
}
