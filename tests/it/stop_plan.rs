//! Tests the times of a planned stop, for short and long grace periods.

use std::time::Duration;

use bulrushspan::core::StopPlan;

const BEGAN_AT: Duration = Duration::from_secs(100);

/// Planned stops with a grace period shorter than the time for which requests were taken: all of
/// them were cut.
#[test]
fn all_requests_are_answered_before_the_grace_period_ends() {
    for grace_ms in [0, 1, 200, 500, 1000, 2000, 2500, 6000, 10_000, 600_000] {
        let grace = Duration::from_millis(grace_ms);
        let plan = StopPlan::new(BEGAN_AT, grace);
        assert!(BEGAN_AT <= plan.refuse_at && plan.refuse_at <= plan.answer_by, "{grace_ms} ms");
        assert!(plan.answer_by <= plan.exit_at, "{grace_ms} ms");
        assert!(plan.exit_at <= BEGAN_AT + grace, "{grace_ms} ms");
    }
}

/// A request that its upstream would have answered in good time must not be ended early.
#[test]
fn upstreams_may_work_until_the_last_sixth_of_the_grace_period() {
    for grace_ms in [500, 1000, 6000, 10_000] {
        let grace = Duration::from_millis(grace_ms);
        let plan = StopPlan::new(BEGAN_AT, grace);
        assert!(plan.answer_by >= BEGAN_AT + grace * 5 / 6, "{grace_ms} ms");
        // The last responses have time to be written.
        let write_time_min = Duration::from_millis(400).min(grace / 20);
        assert!(plan.exit_at - plan.answer_by >= write_time_min, "{grace_ms} ms");
    }
}
