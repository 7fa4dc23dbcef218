//! Tests of the detection of stalls.

use std::time::Duration;

use bulrushspan::core::StallDetector;

const PAUSE_MAX: Duration = Duration::from_millis(150);
const STEADY: Duration = Duration::from_secs(1);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Messages that arrived during a stall were taken for fresh ones.
#[test]
fn a_process_is_not_steady_during_a_stall_and_for_a_while_after_it() {
    let mut detector = StallDetector::new(PAUSE_MAX, millis(0));
    for beat in 1..20 {
        assert_eq!(detector.record_beat(millis(beat * 100)), None);
    }
    assert!(detector.is_steady_for(STEADY, millis(2000)));
    // Whoever runs first after the stall sees it before its end is recorded.
    assert!(!detector.is_steady_for(STEADY, millis(5000)));
    assert_eq!(detector.record_beat(millis(5000)), Some(millis(3100)));
    for beat in 1..=10 {
        assert!(!detector.is_steady_for(STEADY, millis(5000 + beat * 100)));
        detector.record_beat(millis(5000 + beat * 100));
    }
    assert!(detector.is_steady_for(STEADY, millis(6001)));
}
