//! Tests of the limits on connections.

use std::{collections::BTreeMap, time::Duration};

use bulrushspan::core::{ConnectionLimits, ConnectionTable};
use proptest::prelude::*;

const LIMITS: ConnectionLimits =
    ConnectionLimits { max_count: 4, max_bytes: 100, connection_bytes: 10 };
const START: Duration = Duration::ZERO;

/// Connections that keep to the limits lost their places to others.
#[test]
fn a_connection_is_closed_for_another_only_once_it_may_be() {
    let mut table = ConnectionTable::new(LIMITS);
    let ids: Vec<_> = (0..4).map(|_| table.admit(usize::MAX, START).id.unwrap()).collect();
    table.set_closable_at(ids[1], Some(Duration::from_secs(3)));
    table.set_closable_at(ids[2], Some(Duration::from_secs(2)));
    let early = table.admit(usize::MAX, Duration::from_secs(1));
    assert_eq!((early.id, early.closed), (None, Vec::new()));
    let admission = table.admit(usize::MAX, Duration::from_secs(3));
    assert!(admission.id.is_some());
    assert_eq!(admission.closed, [ids[2]], "the first that was closable");
    table.set_closable_at(ids[1], None);
    assert_eq!(table.admit(usize::MAX, Duration::from_secs(9)).id, None);
}

/// Connections that were to make room and were not closed yet: with each new one, another descriptor
/// was in use.
#[test]
fn few_connections_are_closing_at_the_same_time() {
    let mut table = ConnectionTable::new(LIMITS);
    let mut admit = || {
        let admission = table.admit(usize::MAX, START);
        admission.id.inspect(|id| table.set_closable_at(*id, Some(START)));
        admission
    };
    let admissions: Vec<_> = (0..20).map(|_| admit()).collect();
    let admitted = admissions.iter().filter(|admission| admission.id.is_some()).count();
    assert_eq!(admitted, 8, "4 open, and 4 that are closing");
    let closing = admissions.iter().find_map(|admission| admission.closed.first()).unwrap();
    table.remove(*closing);
    assert!(table.admit(usize::MAX, START).id.is_some());
}

/// Connections whose buffers take all memory.
#[test]
fn connections_that_take_much_leave_no_room_for_more_of_them() {
    let mut table = ConnectionTable::new(LIMITS);
    let first = table.admit(usize::MAX, START).id.unwrap();
    assert!(table.try_set_bytes(first, 95));
    assert_eq!(table.admit(usize::MAX, START).id, None);
    table.set_closable_at(first, Some(START));
    assert_eq!(table.admit(usize::MAX, START).closed, [first]);
    assert!(!table.try_set_bytes(first, 20), "it is not counted any more");
}

/// Connections of callers that take the descriptors of requests in progress.
#[test]
fn a_limit_of_the_moment_applies_too() {
    let mut table = ConnectionTable::new(LIMITS);
    let first = table.admit(2, START).id.unwrap();
    assert!(table.admit(2, START).id.is_some());
    assert_eq!(table.admit(2, START).id, None);
    table.set_closable_at(first, Some(START));
    assert_eq!(table.admit(2, START).closed, [first]);
    assert!(table.admit(3, START).id.is_some());
}

proptest! {
    #[test]
    fn the_connections_together_never_exceed_the_limits(
        steps in prop::collection::vec((0..4_u8, 0..12_u64, 0..60_usize), 1..200),
    ) {
        let mut table = ConnectionTable::new(LIMITS);
        let mut sizes = BTreeMap::new();
        for (step, (action, id, bytes)) in steps.into_iter().enumerate() {
            let now = Duration::from_secs(step as u64);
            match action {
                0 => {
                    let admission = table.admit(3 + bytes % 3, now);
                    admission.closed.iter().for_each(|id| {
                        sizes.remove(id);
                        table.remove(*id);
                    });
                    admission.id.map(|id| sizes.insert(id, LIMITS.connection_bytes));
                }
                1 => table.set_closable_at(id, Some(now + Duration::from_secs(bytes as u64 % 5))),
                2 => {
                    if table.try_set_bytes(id, bytes) {
                        sizes.insert(id, bytes);
                    }
                }
                _ => {
                    table.remove(id);
                    sizes.remove(&id);
                }
            }
            prop_assert_eq!(table.len(), sizes.len());
            prop_assert_eq!(table.held_bytes(), sizes.values().sum::<usize>());
            prop_assert!(table.len() <= LIMITS.max_count);
            prop_assert!(table.held_bytes() <= LIMITS.max_bytes);
        }
    }
}
