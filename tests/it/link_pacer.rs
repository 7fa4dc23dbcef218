//! Tests of the pacing of uploads on a narrow link, against a link that sends in the order of the
//! writes.

use std::{collections::VecDeque, time::Duration};

use bulrushspan::core::LinkPacer;

/// 2 Mbit/s.
const BYTES_PER_S: f64 = 250_000.0;
const BODY_BYTES: usize = 60_000;
const MESSAGE_BYTES: usize = 1_000;
const STEP: Duration = Duration::from_millis(1);

/// A first-in, first-out link.
#[derive(Default)]
struct Link {
    idle_at: Duration,
}

impl Link {
    /// Writes to the link and returns when all of it is sent.
    fn write(&mut self, length: usize, now: Duration) -> Duration {
        let send_time = Duration::from_secs_f64(length as f64 / BYTES_PER_S);
        self.idle_at = self.idle_at.max(now) + send_time;
        self.idle_at
    }
}

/// What a run on the link showed.
struct Run {
    /// The longest time from the write of a short message until it was sent.
    message_wait_max: Duration,
    /// When the last body was sent.
    bodies_sent_at: Duration,
}

/// Writes bodies, all of which are there at the start, beside a short message every 20 ms.
fn run(mut pacer: LinkPacer, bodies: usize) -> Run {
    let mut link = Link::default();
    let mut left: VecDeque<usize> = VecDeque::from(vec![BODY_BYTES; bodies]);
    let mut run = Run { message_wait_max: Duration::ZERO, bodies_sent_at: Duration::ZERO };
    let mut now = Duration::ZERO;
    while !left.is_empty() {
        if now.as_millis().is_multiple_of(20) {
            pacer.record_write(MESSAGE_BYTES, now);
            let wait = link.write(MESSAGE_BYTES, now) - now;
            run.message_wait_max = run.message_wait_max.max(wait);
        }
        while pacer.wait(now).is_zero()
            && let Some(rest) = left.pop_front()
        {
            let piece = rest.min(pacer.piece_max_bytes());
            pacer.record_write(piece, now);
            run.bodies_sent_at = link.write(piece, now);
            if rest > piece {
                left.push_back(rest - piece);
            }
        }
        now += STEP;
    }
    run
}

#[test]
fn short_messages_wait_a_fraction_of_the_time_that_an_upload_takes() {
    let upload_time = Duration::from_secs_f64(BODY_BYTES as f64 / BYTES_PER_S);
    for bodies in [1, 4] {
        let run = run(LinkPacer::new(BYTES_PER_S), bodies);
        let wait = run.message_wait_max;
        assert!(wait < upload_time / 4, "{bodies} uploads: a message waited {wait:?}");
    }
}

#[test]
fn uploads_use_all_that_the_messages_leave_of_the_link() {
    let run = run(LinkPacer::new(BYTES_PER_S), 4);
    let messages_per_s = 1000.0 / 20.0;
    let left_bytes_per_s = BYTES_PER_S - messages_per_s * MESSAGE_BYTES as f64;
    let bound = Duration::from_secs_f64(4.0 * BODY_BYTES as f64 / left_bytes_per_s);
    let sent_at = run.bodies_sent_at;
    assert!(sent_at < bound.mul_f64(1.05), "sent after {sent_at:?}; the link allows {bound:?}");
}

#[test]
fn a_link_without_a_limit_is_never_waited_for() {
    let mut pacer = LinkPacer::new(0.0);
    pacer.record_write(usize::MAX, Duration::ZERO);
    assert_eq!(pacer.wait(Duration::ZERO), Duration::ZERO);
    assert_eq!(pacer.piece_max_bytes(), usize::MAX);
}
