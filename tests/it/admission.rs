//! Tests of slots, classes of requests, drains, cold upstreams, links and
//! retry budgets.

use std::time::Duration;

use bulrushspan::core::{
    admission::{
        Finish, LinkBucket, OfferCount, OfferOutcome, Pool, PoolConfig, PoolEvent, RefusalReason,
        RetryBudget, SlotRequest, Slots,
    },
    control::{Link, RequestClass},
};

/// A virtual time that no test reaches.
const UNREACHED_TIME: Duration = Duration::from_secs(1_000);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn pool(slots: u32) -> Pool {
    let config = PoolConfig { queue_max: 50, wait_max: UNREACHED_TIME, cancel_hold: ms(250) };
    let mut pool = Pool::new(config);
    pool.set_lease(UNREACHED_TIME);
    pool.add(&"u".to_owned(), Slots::new(1, slots));
    pool
}

fn request(ticket: u64, class: RequestClass) -> SlotRequest {
    SlotRequest::new(ticket, class, UNREACHED_TIME)
}

#[test]
fn no_request_is_sent_beyond_the_slots_or_the_lease() {
    let mut pool = pool(2);
    for ticket in 1..=2 {
        let offer = pool.offer(request(ticket, RequestClass::Read), ms(0));
        assert_eq!(offer, OfferOutcome::Dispatch { upstream: "u".to_owned() });
    }
    assert_eq!(pool.offer(request(3, RequestClass::Read), ms(0)), OfferOutcome::Queued);
    pool.set_lease(ms(10));
    let events = pool.finish(1, Finish::Done, ms(10));
    let is_no_lease_refusal = |event: &PoolEvent| {
        matches!(event, PoolEvent::Refused { ticket: 3, reason: RefusalReason::NoLease, .. })
    };
    assert!(events.iter().all(is_no_lease_refusal) && events.len() == 1, "{events:?}");
}

#[test]
fn a_cancelled_request_keeps_its_slot_for_the_hold_time() {
    let mut pool = pool(1);
    pool.offer(request(1, RequestClass::Read), ms(0));
    pool.offer(request(2, RequestClass::Read), ms(0));
    assert_eq!(pool.finish(1, Finish::Cancelled, ms(100)), []);
    assert_eq!(pool.poll(ms(349)), []);
    let upstream = "u".to_owned();
    assert_eq!(pool.poll(ms(350)), [PoolEvent::Dispatch { ticket: 2, upstream }]);
}

#[test]
fn urgent_requests_are_dispatched_first_and_reports_do_not_starve() {
    let mut pool = pool(1);
    pool.offer(request(0, RequestClass::Read), ms(0));
    for ticket in 1..=40 {
        let class = RequestClass::ALL[ticket as usize % 4];
        assert_eq!(pool.offer(request(ticket, class), ms(0)), OfferOutcome::Queued);
    }
    let mut order = String::new();
    let mut running_ticket = 0;
    // No further requests arrive. The first request, a read, occupies the only slot
    // for 11 s, and this time is charged to its class. The last booking or read
    // keeps slots reserved for 10 s, which have passed by then.
    for round in 1..=40 {
        let now = Duration::from_secs(11) + ms(20 * round);
        for event in pool.finish(running_ticket, Finish::Done, now) {
            let PoolEvent::Dispatch { ticket, .. } = event else { panic!("{event:?}") };
            running_ticket = ticket;
            order.push_str(&RequestClass::ALL[ticket as usize % 4].name()[..3]);
            order.push(' ');
        }
    }
    insta::assert_snapshot!("order", order);
}

#[test]
fn a_shedding_upstream_is_paused_and_then_ramped_up() {
    let mut pool = pool(8);
    pool.offer(request(1, RequestClass::Read), ms(0));
    pool.finish(1, Finish::Shed { retry_after: Some(ms(2_000)) }, ms(10));
    let limits: Vec<(u64, u32)> = [100, 2_010, 3_010, 4_010]
        .into_iter()
        .map(|at_ms| {
            pool.poll(ms(at_ms));
            (at_ms, pool.load(ms(at_ms)).usable_slots)
        })
        .collect();
    insta::assert_debug_snapshot!("limits", limits);
}

#[test]
fn a_draining_upstream_gets_no_new_requests() {
    let mut pool = pool(4);
    pool.offer(request(1, RequestClass::Read), ms(0));
    pool.slots_mut("u").unwrap().set_draining(true, ms(1));
    let offer = pool.offer(request(2, RequestClass::Read), ms(2));
    assert!(matches!(offer, OfferOutcome::Refused { reason: RefusalReason::NoUpstream, .. }));
    assert!(!pool.slots("u").unwrap().is_idle());
    pool.finish(1, Finish::Done, ms(3));
    assert!(pool.slots("u").unwrap().is_idle());
}

#[test]
fn the_instances_of_a_region_together_stay_within_the_link_cap() {
    let link = Link { delay: ms(55), cap_mbit: 300, reserve_permille: 100 };
    let mut buckets = vec![LinkBucket::new(&link, 4); 4];
    let mut sent_bytes = 0;
    for bucket in &mut buckets {
        loop {
            let wait = bucket.reserve(64 * 1024, ms(0));
            if wait >= Duration::from_secs(1) {
                break;
            }
            sent_bytes += 64 * 1024;
        }
    }
    let cap_bytes = 300 * 125_000 * 9 / 10;
    // Each instance may complete, after that second, a chunk that it began within it.
    assert!(
        sent_bytes <= cap_bytes + 4 * 64 * 1024,
        "sent {sent_bytes} bytes in one second; at most {cap_bytes} plus a chunk per instance"
    );
}

#[test]
fn retries_stay_within_their_percentage_of_requests() {
    let mut budget = RetryBudget::new(10).with_retries(1);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += usize::from(budget.try_take(1.0));
    }
    assert!(retries <= 101, "{retries} retries of 1000 requests");
}

#[test]
fn an_immediate_offer_counts_as_one_of_the_free_offers() {
    let mut offers = OfferCount::default();
    // The immediate offer, to an upstream that the instance owns, was refused.
    offers.record();
    assert!(!offers.needs_retry(), "the second offer is free");
    offers.record();
    assert!(offers.needs_retry(), "the third offer takes a retry from the budget");
    assert_eq!(offers.count(), 2);
}
