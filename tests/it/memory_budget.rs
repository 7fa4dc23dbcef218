//! Tests of the division of memory among messages.

use bulrushspan::core::{MemoryBudget, MessageKind};
use proptest::prelude::*;

const TOTAL: usize = 1000;
/// What requests may take of it.
const REQUESTS: usize = TOTAL / 8 * 7;

/// Messages that grew as far as they could left nothing for others.
#[test]
fn messages_that_grow_as_far_as_they_can_leave_room_for_a_short_one() {
    for (kind, total) in [(MessageKind::Request, REQUESTS), (MessageKind::Response, TOTAL)] {
        for count in [1, 2, 10, 99] {
            let mut budget = MemoryBudget::new(TOTAL);
            let mut sizes = vec![0; count];
            let mut has_grown = true;
            while has_grown {
                has_grown = false;
                for size in &mut sizes {
                    if budget.try_resize(kind, *size, *size + 1) {
                        (*size, has_grown) = (*size + 1, true);
                    }
                }
            }
            if kind == MessageKind::Request && count == 1 {
                // A single request may take more than half, and leaves a part all the same.
                assert!(budget.try_resize(kind, 0, total / 128));
                continue;
            }
            let part = total / (count + 1);
            assert!(sizes.iter().all(|size| size.abs_diff(part) <= 1), "{count}: {sizes:?}");
            assert!(budget.try_resize(kind, 0, part / 2), "{count}");
        }
    }
}

/// Requests that fill what they may take, so that no response found room and was broken off after
/// its request had run.
#[test]
fn requests_leave_a_part_for_responses() {
    let mut budget = MemoryBudget::new(TOTAL);
    while budget.try_resize(MessageKind::Request, 0, 1) {}
    assert!((REQUESTS - 1..=REQUESTS).contains(&budget.held_bytes()));
    let part = TOTAL - REQUESTS;
    assert!(budget.try_resize(MessageKind::Response, 0, part / 2));
}

/// Long messages that fill what they may take, so that short ones found no room.
#[test]
fn long_messages_leave_a_part_for_short_ones() {
    const MIB: usize = 1024 * 1024;
    const SHORT_BYTES: usize = 4096;
    for kind in [MessageKind::Request, MessageKind::Response] {
        let mut budget = MemoryBudget::new(32 * MIB);
        while budget.try_resize(kind, 0, SHORT_BYTES + 1) {}
        for other in [MessageKind::Request, MessageKind::Response] {
            let fitting = (0..100).filter(|_| budget.try_resize(other, 0, SHORT_BYTES)).count();
            assert_eq!(fitting, 100, "{kind:?}, {other:?}");
        }
    }
}

/// A body of 64 MiB at the smallest memory of an entry instance, 160 MiB, while others take 2 MiB.
#[test]
fn the_largest_request_fits_while_others_are_small() {
    let mut budget = MemoryBudget::new(80 * 1024 * 1024);
    assert!(budget.try_resize(MessageKind::Response, 0, 1024 * 1024));
    assert!(budget.try_resize(MessageKind::Request, 0, 1024 * 1024));
    let body_max_bytes = 64 * 1024 * 1024;
    for bytes in (0..body_max_bytes).step_by(1024 * 1024) {
        assert!(budget.try_resize(MessageKind::Request, bytes, bytes + 1024 * 1024), "{bytes}");
    }
}

proptest! {
    #[test]
    fn the_messages_together_never_exceed_the_budget(
        steps in prop::collection::vec((0..8_usize, 0..TOTAL), 1..200),
        requests in 0..8_usize,
    ) {
        let mut budget = MemoryBudget::new(TOTAL);
        let mut sizes = [0; 8];
        for (message, size) in steps {
            let is_request = message < requests;
            let kind = if is_request { MessageKind::Request } else { MessageKind::Response };
            let is_done = budget.try_resize(kind, sizes[message], size);
            prop_assert!(is_done || size > sizes[message]);
            if is_done {
                sizes[message] = size;
            }
            prop_assert_eq!(budget.held_bytes(), sizes.iter().sum::<usize>());
            prop_assert!(budget.held_bytes() <= TOTAL);
            prop_assert!(sizes[..requests].iter().sum::<usize>() <= REQUESTS);
        }
    }
}
