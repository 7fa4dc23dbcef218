//! Tests of what upstreams say of themselves with their responses: decoding and decisions.

use std::{collections::BTreeMap, time::Duration};

use bulrushspan::{
    core::{
        MapDelta,
        balance::{
            Balancer, CheckResult, Choice, ColdLimit, Locality, NoticeKind, Obstacle, PassedOver,
            Requirements,
        },
        placement::object_id,
        upstreams::{ListedState, ListedUpstream, UpstreamNotice},
    },
    net::http1::parse_response_head,
    platform::headers::upstream_notice,
};
use bytes::BytesMut;
use proptest::prelude::*;

const SERVICE: &str = "orders";

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(id: &str, started_unix_ms: Option<u64>) -> ListedUpstream {
    ListedUpstream {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        state: ListedState::Ready,
        cold_left: Duration::ZERO,
        started_unix_ms,
    }
}

fn set_list(balancer: &mut Balancer, listed: &[ListedUpstream], now: Duration) {
    let put = listed.iter().map(|upstream| (upstream.id.clone(), upstream.clone())).collect();
    let delta = MapDelta { version: 1, is_full: true, put, removed: Vec::new() };
    balancer.apply_delta(delta, now);
}

fn balancer(listed: &[ListedUpstream]) -> Balancer {
    let locality = Locality {
        region: "north".to_owned(),
        zone: "a".to_owned(),
        regions_of_zones: [("a".to_owned(), "north".to_owned())].into(),
    };
    let cold_limit = ColdLimit { factor: 1.5, slack: 5.0, entry_count: 2 };
    let mut balancer = Balancer::new(locality, cold_limit);
    set_list(&mut balancer, listed, Duration::ZERO);
    balancer
}

fn requirements<'a>(service: &'a String, key: u32, tried: &'a [String]) -> Requirements<'a> {
    let object = object_id("route", &key.to_string());
    Requirements { service, object, has_large_body: false, home_regions: &[], tried }
}

fn choose(balancer: &mut Balancer, key: u32, now: Duration) -> Option<Choice> {
    balancer.choose(&requirements(&SERVICE.to_owned(), key, &[]), now)
}

fn leaving() -> UpstreamNotice {
    UpstreamNotice { is_leaving: true, ..UpstreamNotice::default() }
}

fn pause(length: Duration) -> UpstreamNotice {
    UpstreamNotice { pause: Some(length), ..UpstreamNotice::default() }
}

fn kinds(changes: Vec<bulrushspan::core::balance::NoticeChange>) -> Vec<NoticeKind> {
    changes.into_iter().map(|change| change.kind).collect()
}

/// Values that no upstream should send: a pause without end, or one that is lost.
#[test]
fn values_that_cannot_be_decoded_are_ignored_or_bounded() {
    let heads = [
        "200 OK\r\nServer-Leaving: 1\r\nRetry-After: 5",
        "200 OK\r\nserver-leaving: yes",
        "200 OK\r\nServer-Leaving: 0\r\nServer-Leaving: 1",
        "503 Full\r\nRetry-After: 1.25\r\nServer-Leaving: 1",
        "503 Full\r\nRetry-After: 0",
        "503 Full\r\nRetry-After: -1",
        "503 Full\r\nRetry-After: soon",
        "503 Full\r\nRetry-After: inf",
        "503 Full\r\nRetry-After: 1e3",
        "503 Full\r\nRetry-After:",
        "503 Full\r\nRetry-After: Fri, 04 Dec 2026 22:00:00 GMT",
        "503 Full\r\nRetry-After: 86401",
        "503 Full\r\nRetry-After: 99999999999999999999999999",
        "503 Full\r\nRetry-After: 2\r\nRetry-After: 2",
        "503 Full\r\nRetry-After: 2\r\nRetry-After: 7",
        "503 Full\r\nRetry-After: 7, 2",
        "503 Full\r\nRetry-After: 7\r\nRetry-After: -2",
        "200 OK\r\nServer-Limit: 4.2",
        "503 Full\r\nserver-limit: 0\r\nRetry-After: 2",
        "200 OK\r\nServer-Limit: -3",
        "200 OK\r\nServer-Limit: 6, 4.5\r\nServer-Limit: many",
    ];
    let decoded = heads.map(|head| {
        let mut bytes = BytesMut::from(format!("HTTP/1.1 {head}\r\n\r\n").as_bytes());
        let parsed = parse_response_head(&mut bytes, 4096, "GET").unwrap().unwrap();
        (head, upstream_notice(parsed.status, &parsed.headers))
    });
    insta::assert_debug_snapshot!("notices", decoded);
}

/// An older list that names the upstream as ready made an instance use it again.
#[test]
fn leaving_holds_until_the_upstream_starts_anew_whatever_the_list_says() {
    let listed = [upstream("u1", Some(1)), upstream("u2", Some(1))];
    let mut balancer = balancer(&listed);
    let key = (0..).find(|key| choose(&mut balancer, *key, millis(0)).unwrap().id == "u1").unwrap();
    let choice = choose(&mut balancer, key, millis(0)).unwrap();
    let began = balancer.record_notice(&choice, leaving(), millis(1), millis(1));
    assert_eq!(kinds(began), [NoticeKind::LeavingBegan]);
    assert!(
        balancer.record_notice(&choice, leaving(), millis(2), millis(2)).is_empty(),
        "said again"
    );
    balancer.record_failure(&"u1".to_owned(), millis(3));
    assert!(
        balancer.take_due_checks(millis(900), millis(1000)).is_empty() && !balancer.has_unhealthy()
    );
    let other = choose(&mut balancer, key, millis(4)).unwrap();
    let expected = PassedOver { id: "u1".to_owned(), obstacle: Obstacle::Leaving };
    assert_eq!(other.id, "u2");
    assert_eq!(other.passed_over, None, "an upstream that failed is not used anyway");
    for (ms, listed) in [(10, &listed[..]), (20, &listed[1..]), (30, &listed[..])] {
        set_list(&mut balancer, listed, millis(ms));
        assert!(!balancer.takes_work(&choice.id, millis(ms)));
        let other = choose(&mut balancer, key, millis(ms)).unwrap();
        assert_eq!(other.id, "u2");
        // Listed anew, it does not count as failed.
        assert_eq!(other.passed_over, (ms == 30).then(|| expected.clone()));
    }
    assert!(balancer.take_ended_notices(millis(30)).is_empty());
    set_list(&mut balancer, &[upstream("u1", Some(2)), upstream("u2", Some(1))], millis(40));
    assert_eq!(choose(&mut balancer, key, millis(40)).unwrap().id, "u1");
    assert_eq!(kinds(balancer.take_ended_notices(millis(40))), [NoticeKind::LeavingEnded]);
    // A response of the former start arrives late, also while the list misses the upstream.
    assert!(balancer.record_notice(&choice, leaving(), millis(41), millis(41)).is_empty());
    let choice_of_second_start = choose(&mut balancer, key, millis(41)).unwrap();
    assert_eq!(choice_of_second_start.id, "u1");
    balancer.record_notice(&choice_of_second_start, leaving(), millis(42), millis(42));
    set_list(&mut balancer, &[upstream("u2", Some(1))], millis(43));
    assert!(balancer.record_notice(&choice, pause(millis(5)), millis(44), millis(44)).is_empty());
    set_list(&mut balancer, &[upstream("u1", Some(2)), upstream("u2", Some(1))], millis(45));
    assert_eq!(choose(&mut balancer, key, millis(45)).unwrap().id, "u2");
}

/// Without the time of the start, an upstream that starts under its former id would never be
/// used again.
#[test]
fn leaving_ends_with_the_removal_if_the_list_does_not_tell_starts_apart() {
    let mut balancer = balancer(&[upstream("u1", None)]);
    let choice = choose(&mut balancer, 1, millis(0)).unwrap();
    balancer.record_notice(&choice, leaving(), millis(1), millis(1));
    set_list(&mut balancer, &[upstream("u1", None)], millis(2));
    assert_eq!(choose(&mut balancer, 1, millis(2)), None);
    set_list(&mut balancer, &[], millis(3));
    set_list(&mut balancer, &[upstream("u1", None)], millis(4));
    assert_eq!(choose(&mut balancer, 1, millis(4)).unwrap().id, "u1");
    assert_eq!(kinds(balancer.take_ended_notices(millis(4))), [NoticeKind::LeavingEnded]);
}

/// Callers that come back all at once, or that are told nothing, while upstreams want no
/// requests.
#[test]
fn the_earliest_end_of_the_pauses_is_known_and_a_pause_is_never_shortened() {
    let mut balancer = balancer(&[upstream("u1", Some(1)), upstream("u2", Some(1))]);
    let first = choose(&mut balancer, 1, millis(0)).unwrap();
    assert_eq!(balancer.pause_left(&requirements(&SERVICE.to_owned(), 1, &[]), millis(0)), None);
    balancer.record_notice(&first, pause(millis(3000)), millis(0), millis(0));
    let second = choose(&mut balancer, 1, millis(1)).unwrap();
    let expected = PassedOver { id: first.id.clone(), obstacle: Obstacle::Paused(millis(3000)) };
    assert_eq!(second.passed_over, Some(expected));
    let began = balancer.record_notice(&second, pause(millis(5000)), millis(1), millis(1));
    assert_eq!(kinds(began), [NoticeKind::PauseBegan(millis(5000))]);
    assert!(balancer.record_notice(&second, pause(millis(10)), millis(2), millis(2)).is_empty());
    assert_eq!(choose(&mut balancer, 1, millis(2999)), None);
    assert!(!balancer.takes_work(&first.id, millis(2999)), "chosen before, not sent yet");
    let tried = [first.id.clone(), second.id.clone()];
    let left = |balancer: &Balancer, ms| {
        balancer.pause_left(&requirements(&SERVICE.to_owned(), 1, &tried), millis(ms))
    };
    assert_eq!(left(&balancer, 1000), Some(millis(2000)));
    for upstream in [&first, &second] {
        balancer.record_failure(&upstream.id, millis(1000));
        assert!(balancer.take_due_checks(millis(2000), millis(1000)).is_empty());
    }
    let healthy = CheckResult::Healthy { cold_left: Duration::ZERO };
    assert!(balancer.record_check(&first.id, healthy, millis(3000)));
    assert_eq!(choose(&mut balancer, 1, millis(3000)).unwrap().id, first.id);
    balancer.record_start(&first.id, millis(3000));
    assert_eq!(left(&balancer, 3001), Some(Duration::ZERO), "how long it takes is not known");
    assert_eq!(kinds(balancer.take_ended_notices(millis(3001))), [NoticeKind::PauseEnded]);
}

/// One step of a run: what happens to an upstream.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// The list contains the upstreams of which the flag is set, all as ready.
    List(Vec<bool>),
    /// An upstream starts anew, and a list says so.
    Restart(usize),
    /// A request is sent for an object.
    Send(u32),
    /// The response to one of the requests arrives: with a pause in ms, leaving, or neither.
    Respond(usize, Option<u64>, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (1..900_u64).prop_map(Step::Wait),
        1 => proptest::collection::vec(any::<bool>(), 3).prop_map(Step::List),
        1 => (0..3_usize).prop_map(Step::Restart),
        6 => (0..20_u32).prop_map(Step::Send),
        5 => (any::<usize>(), proptest::option::of(1..4000_u64), proptest::bool::weighted(0.2))
            .prop_map(|(index, pause, leaves)| Step::Respond(index, pause, leaves)),
    ]
}

/// A start of an upstream.
type Start = (String, Option<u64>);

/// What the requests and responses so far allow.
#[derive(Default)]
struct Expected {
    /// The starts of upstreams that have said that they leave.
    leaving: Vec<Start>,
    /// The end of the last pause of each start.
    paused_until: BTreeMap<Start, Duration>,
    /// The requests that were sent, with the times.
    in_progress: Vec<(Choice, Duration)>,
    /// The requests that each start completed of those sent after its pause.
    completed: BTreeMap<Start, u32>,
}

fn start_of(choice: &Choice) -> Start {
    (choice.id.clone(), choice.started_unix_ms)
}

proptest! {
    /// DRAIN and BUDGET, for any order of lists, responses, new starts and times: nothing goes
    /// to a start that said it leaves, nothing to one that wants a pause, and after a pause no
    /// more at a time than it has completed since, and one, doubled each second.
    #[test]
    fn upstreams_get_no_request_against_their_own_word(
        steps in proptest::collection::vec(step(), 1..120)
    ) {
        let ids = ["u1", "u2", "u3"];
        let mut starts = [1; 3];
        let listed = |starts: &[u64], flags: &[bool]| -> Vec<ListedUpstream> {
            let all = ids.iter().zip(starts).map(|(id, start)| upstream(id, Some(*start)));
            all.zip(flags).filter(|(_, flag)| **flag).map(|(upstream, _)| upstream).collect()
        };
        let mut flags = vec![true; 3];
        let mut balancer = balancer(&listed(&starts, &flags));
        let mut expected = Expected::default();
        let mut now = millis(1);
        for step in steps {
            match step {
                Step::Wait(ms) => {
                    now += millis(ms);
                    balancer.take_ended_notices(now);
                }
                Step::List(new) => {
                    flags = new;
                    set_list(&mut balancer, &listed(&starts, &flags), now);
                }
                Step::Restart(index) => {
                    starts[index] += 1;
                    flags[index] = true;
                    set_list(&mut balancer, &listed(&starts, &flags), now);
                }
                Step::Send(key) => {
                    let choice = choose(&mut balancer, key, now);
                    let Some(choice) = choice else { continue };
                    let start = start_of(&choice);
                    prop_assert!(!expected.leaving.contains(&start), "{start:?} leaves");
                    prop_assert!(balancer.takes_work(&choice.id, now));
                    if let Some(until) = expected.paused_until.get(&start) {
                        prop_assert!(now >= *until, "{start:?} wants a pause until {until:?}");
                        let since = |(other, sent_at): &&(Choice, Duration)| {
                            start_of(other) == start && sent_at >= until
                        };
                        let count = expected.in_progress.iter().filter(since).count() as u32;
                        let completed = expected.completed.get(&start).copied().unwrap_or(0);
                        let seconds = (now - *until).as_secs().min(8);
                        let limit = (completed + 1) << seconds;
                        prop_assert!(count < limit || limit >= 4, "{count} at a time");
                    }
                    balancer.record_start(&choice.id, now);
                    expected.in_progress.push((choice, now));
                }
                Step::Respond(index, pause, is_leaving) => {
                    if expected.in_progress.is_empty() {
                        continue;
                    }
                    let index = index % expected.in_progress.len();
                    let (choice, sent_at) = expected.in_progress.swap_remove(index);
                    let start = start_of(&choice);
                    let length = pause.map(millis);
                    let pause = length;
                    let notice = UpstreamNotice { is_leaving, pause, ..UpstreamNotice::default() };
                    balancer.record_notice(&choice, notice, now, now);
                    if is_leaving {
                        expected.leaving.push(start.clone());
                    }
                    match length {
                        Some(length) => {
                            let until = expected.paused_until.entry(start.clone()).or_default();
                            if now >= *until {
                                expected.completed.remove(&start);
                            }
                            *until = (*until).max(now + length);
                        }
                        None => {
                            balancer.record_completed(&choice, sent_at, now);
                            let until = expected.paused_until.get(&start);
                            if until.is_some_and(|until| sent_at >= *until) {
                                *expected.completed.entry(start).or_default() += 1;
                            }
                        }
                    }
                    balancer.record_end(&choice.id, sent_at);
                }
            }
        }
    }
}

/// A limit that is higher than any rate overflowed, and the upstream got no requests.
#[test]
fn an_extreme_limit_does_not_block_an_upstream() {
    for limit_per_s in [1e18, 1e300, f64::MAX, f64::INFINITY] {
        let mut balancer = balancer(&[upstream("u1", Some(1))]);
        let choice = choose(&mut balancer, 1, millis(0)).unwrap();
        let notice = UpstreamNotice { limit_per_s: Some(limit_per_s), ..UpstreamNotice::default() };
        balancer.record_notice(&choice, notice, millis(0), millis(1));
        for ms in (2000..10_000).step_by(100) {
            assert!(choose(&mut balancer, 1, millis(ms)).is_some(), "{limit_per_s} at {ms} ms");
        }
    }
}
