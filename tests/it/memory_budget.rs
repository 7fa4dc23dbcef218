//! Tests of the division of memory among messages.

use bulrushspan::core::MemoryBudget;
use proptest::prelude::*;

const TOTAL: usize = 1000;

/// Messages that grew as far as they could left nothing for others.
#[test]
fn messages_that_grow_as_far_as_they_can_leave_room_for_a_short_one() {
    for count in [1, 2, 10, 99] {
        let mut budget = MemoryBudget::new(TOTAL);
        let mut sizes = vec![0; count];
        let mut has_grown = true;
        while has_grown {
            has_grown = false;
            for size in &mut sizes {
                if budget.try_resize(*size, *size + 1) {
                    (*size, has_grown) = (*size + 1, true);
                }
            }
        }
        let part = TOTAL / (count + 1);
        assert!(sizes.iter().all(|size| size.abs_diff(part) <= 1), "{count}: {sizes:?}");
        assert!(budget.try_resize(0, part / 2), "{count}");
    }
}

proptest! {
    #[test]
    fn the_messages_together_never_exceed_the_budget(
        steps in prop::collection::vec((0..8_usize, 0..TOTAL), 1..200),
    ) {
        let mut budget = MemoryBudget::new(TOTAL);
        let mut sizes = [0; 8];
        for (message, size) in steps {
            let is_done = budget.try_resize(sizes[message], size);
            prop_assert!(is_done || size > sizes[message]);
            if is_done {
                sizes[message] = size;
            }
            prop_assert_eq!(budget.held_bytes(), sizes.iter().sum::<usize>());
            prop_assert!(budget.held_bytes() <= TOTAL);
        }
    }
}
