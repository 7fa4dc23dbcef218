//! Tests of the selection among entries of the list of upstreams that have the same id.

use std::time::Duration;

use bulrushspan::core::upstreams::{
    ListedState, ListedUpstream, ListedUpstreams, UpstreamList, has_repeated_ids, select_entries,
};
use proptest::prelude::*;

const SERVICE: &str = "orders";
const SOUND: u8 = 1;

/// Returns an entry with the id `i-1`; other numbers than [`SOUND`] make it another server's.
fn entry(address: u8, started_unix_ms: Option<u64>, state: ListedState) -> ListedUpstream {
    ListedUpstream {
        id: "i-1".to_owned(),
        service: SERVICE.to_owned(),
        address: format!("10.0.0.{address}:80").parse().unwrap(),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        state,
        cold_left: Duration::ZERO,
        started_unix_ms,
    }
}

fn ready(address: u8, started_unix_ms: Option<u64>) -> ListedUpstream {
    entry(address, started_unix_ms, ListedState::Ready)
}

fn leaving(address: u8, started_unix_ms: Option<u64>) -> ListedUpstream {
    entry(address, started_unix_ms, ListedState::Leaving)
}

fn list(entries: &[ListedUpstream]) -> UpstreamList {
    let mut list = UpstreamList::default();
    let upstreams = entries.iter().map(|entry| (entry.id.clone(), entry.clone())).collect();
    list.replace(upstreams, Duration::from_secs(1), Duration::from_secs(1));
    list
}

/// Guards against upstreams that count as warm too early: their cold time was shortened by the age
/// of the list at each replica that passed it on, and by the time of the reading.
#[test]
fn a_cold_time_is_not_shortened_by_the_age_of_the_list() {
    let seconds = Duration::from_secs_f64;
    let is_cold = |list: &UpstreamList, at| list.iter(seconds(at)).all(|(_, is_cold)| is_cold);
    let cold = ListedUpstream { cold_left: seconds(3.0), ..ready(SOUND, Some(1)) };
    let mut leader = UpstreamList::default();
    // The reading takes half a second.
    leader.replace([(cold.id.clone(), cold)].into(), seconds(10.0), seconds(10.5));
    assert!(is_cold(&leader, 13.4));
    for is_full in [true, false] {
        let known_version = if is_full { None } else { Some(0) };
        // The follower's clock began 7 seconds later.
        let delta = leader.delta_since(known_version, seconds(11.5));
        let mut follower = UpstreamList::default();
        follower.apply_delta(delta, seconds(3.0), seconds(4.5));
        assert!(is_cold(&follower, 6.4), "{is_full}");
        assert!(!is_cold(&follower, 6.6), "{is_full}");
    }
}

fn select(
    entries: &[ListedUpstream],
    last: &UpstreamList,
) -> (ListedUpstreams, Vec<ListedUpstream>) {
    select_entries(entries.to_vec(), last, |service| service == SERVICE)
}

/// Checks that `expected` counts in both orders, and that one entry is passed over.
#[track_caller]
fn check(entries: [ListedUpstream; 2], last: &[ListedUpstream], expected: &ListedUpstream) {
    let [one, other] = entries;
    for entries in [[one.clone(), other.clone()], [other, one]] {
        assert!(has_repeated_ids(&entries));
        let (selected, passed_over) = select(&entries, &list(last));
        assert_eq!((selected.values().collect(), passed_over.len()), (vec![expected], 1));
    }
}

/// An entry of another writer with a sound upstream's id replaced the sound one.
#[test]
fn an_entry_that_agrees_with_the_last_list_counts_before_others() {
    let sound = ready(SOUND, Some(5));
    let other_service = ListedUpstream { service: "carts".to_owned(), ..sound.clone() };
    let other_zone = ListedUpstream { zone: "b".to_owned(), ..sound.clone() };
    let others = [ready(2, Some(9)), ready(2, None), other_service, other_zone];
    for other in others {
        check([sound.clone(), other.clone()], std::slice::from_ref(&sound), &sound);
        let draining = leaving(SOUND, Some(5));
        check([draining.clone(), other.clone()], std::slice::from_ref(&sound), &draining);
        // What another server's entry says of its state is not of this one.
        let other = ListedUpstream { state: ListedState::Leaving, ..other };
        check([sound.clone(), other], std::slice::from_ref(&sound), &sound);
    }
    // A copy with a later start, ready, while the sound one drains.
    let draining = leaving(SOUND, Some(5));
    check([draining.clone(), ready(SOUND, Some(9))], &[sound], &draining);
}

#[test]
fn an_entry_of_a_named_service_counts_before_others_without_a_last_list() {
    let sound = ready(SOUND, None);
    let unnamed = ListedUpstream { service: "unnamed".to_owned(), ..ready(2, Some(9)) };
    check([sound.clone(), unnamed.clone()], &[], &sound);
    check([sound.clone(), unnamed.clone()], &[unnamed], &sound);
}

#[test]
fn a_later_start_counts_unless_the_last_list_tells() {
    check([ready(2, Some(5)), ready(SOUND, Some(9))], &[], &ready(SOUND, Some(9)));
    check([ready(2, None), ready(SOUND, Some(9))], &[], &ready(SOUND, Some(9)));
    // At the place that is known, another start replaces one elsewhere.
    let last = [ready(SOUND, Some(5))];
    check([ready(2, Some(12)), ready(SOUND, Some(9))], &last, &ready(SOUND, Some(9)));
    // An upstream that started again under its id, once its former entry is gone.
    let (selected, passed_over) = select(&[ready(SOUND, Some(9))], &list(&last));
    assert_eq!((selected["i-1"].started_unix_ms, passed_over.len()), (Some(9), 0));
    // An earlier start of the upstream has ended, whatever its entry says.
    check([leaving(SOUND, Some(5)), ready(SOUND, Some(9))], &[], &ready(SOUND, Some(9)));
}

#[test]
fn an_upstream_leaves_if_any_entry_of_its_start_says_so() {
    let sound = ready(SOUND, Some(5));
    let copy = ListedUpstream { version: "v0".to_owned(), slots: 9, ..sound.clone() };
    for draining in [leaving(SOUND, Some(5)), leaving(SOUND, None)] {
        for last in [&[][..], std::slice::from_ref(&sound)] {
            for entries in [[draining.clone(), copy.clone()], [copy.clone(), draining.clone()]] {
                let (selected, _) = select(&entries, &list(last));
                assert_eq!(selected["i-1"].state, ListedState::Leaving, "{entries:?}");
            }
        }
    }
}

/// A server that replaces another may be listed at its address: requests name the one they expect.
#[test]
fn entries_with_one_address_and_different_ids_both_count() {
    let old = leaving(SOUND, Some(5));
    let new = ListedUpstream { id: "i-2".to_owned(), ..ready(SOUND, Some(9)) };
    let (selected, passed_over) =
        select(&[old.clone(), new.clone()], &list(std::slice::from_ref(&old)));
    assert_eq!((selected.into_values().collect(), passed_over), (vec![old, new], Vec::new()));
}

fn any_entry() -> impl Strategy<Value = ListedUpstream> {
    let start = proptest::option::of(prop_oneof![0..4_u64, any::<u64>()]);
    let state = prop_oneof![Just(ListedState::Ready), Just(ListedState::Leaving)];
    (0..3_u8, start, state, 0..3_u8, any::<u32>()).prop_map(
        |(address, start, state, service, slots)| ListedUpstream {
            service: if service == 0 { "unnamed".to_owned() } else { SERVICE.to_owned() },
            slots,
            ..entry(address, start, state)
        },
    )
}

proptest! {
    /// Whatever other writers list under a sound upstream's id, it keeps its place and start, and
    /// it leaves if its own entry says so.
    #[test]
    fn a_sound_upstream_stays_as_it_is_known(
        others in proptest::collection::vec(any_entry(), 0..6),
        position in any::<proptest::sample::Index>(),
        is_leaving in any::<bool>(),
    ) {
        let sound = if is_leaving { leaving(SOUND, Some(3)) } else { ready(SOUND, Some(3)) };
        let mut entries = others.clone();
        entries.insert(position.index(others.len() + 1), sound.clone());
        let (selected, passed_over) = select(&entries, &list(&[ready(SOUND, Some(3))]));
        prop_assert_eq!(passed_over.len(), others.len());
        let entry = &selected["i-1"];
        prop_assert_eq!(
            (&entry.service, entry.address, entry.started_unix_ms),
            (&sound.service, sound.address, sound.started_unix_ms)
        );
        let says_leaving = |other: &ListedUpstream| {
            other.state == ListedState::Leaving
                && other.service == sound.service
                && other.address == sound.address
                && other.started_unix_ms.is_none_or(|start| start == 3)
        };
        let leaves = is_leaving || others.iter().any(says_leaving);
        prop_assert_eq!(entry.state == ListedState::Leaving, leaves);
    }
}
