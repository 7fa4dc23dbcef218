//! Tests of the encoded sizes that docs/CAPACITY.md calculates with.
//!
//! When a size changes, update the calculation in that document.

use std::{collections::BTreeMap, time::Duration};

use bulrushspan::{
    core::{
        MapDelta,
        claims::{AttemptResult, ClaimCommand, ClaimKey, RecordedResponse},
        control::{Command, Holder, InstanceState, LoadReport, PolicyDelta, PolicyEdit, SlotLoad},
        replication::{Entry, Envelope, Message, Payload},
        upstreams::{ListedState, ListedUpstream},
    },
    net::wire::{ListDelta, PolicyUpdate, WatchReply, WatchRequest, decode, encode},
};

/// Returns the load report of an instance that owns slots of two services.
fn load_report() -> LoadReport {
    let load = SlotLoad { usable_slots: 28, used_slots: 20, waiting: 3 };
    LoadReport { services: ["orders", "uploads"].map(|name| (name.to_owned(), load)).into() }
}

/// Returns a list of upstreams of two services in two availability zones, as a delta.
fn list_of(count: usize) -> MapDelta<String, ListedUpstream> {
    let listed = |n: usize| ListedUpstream {
        id: format!("i-{n:010x}"),
        service: ["micu55a", "nose77b"][n / (count / 2)].to_owned(),
        address: "10.3.64.84:8469".parse().unwrap(),
        zone: ["pos-a", "sfo-b"][n / (count / 4) % 2].to_owned(),
        version: "v1".to_owned(),
        slots: 5,
        state: if n.is_multiple_of(10) { ListedState::Leaving } else { ListedState::Ready },
        cold_left: Duration::from_millis(n as u64),
        started_unix_ms: Some(1_790_000_000_000),
    };
    let put = (0..count).map(listed).map(|listed| (listed.id.clone(), listed)).collect();
    MapDelta { version: 100_000, is_full: true, put, removed: Vec::new() }
}

#[test]
fn messages_and_records_keep_their_sizes() {
    let key = ClaimKey { epoch: 1000, token: "0123456789abcdef0123456789abcdef".to_owned() };
    let attempt = "port-of-spain-1/0123456789abcdef/123456".to_owned();
    let fingerprint = "0123456789abcdef0123456789abcdef".to_owned();
    let begin = Command::Claim(ClaimCommand::Begin {
        key: key.clone(),
        fingerprint,
        attempt: attempt.clone(),
    });
    let response = RecordedResponse { status: 200, headers: Vec::new(), body: vec![1; 1024] };
    let result = AttemptResult::Answered(response);
    let finish = Command::Claim(ClaimCommand::Finish { key, attempt, finished: result });
    let watch = WatchRequest {
        holder: Holder::new("port-of-spain-1", u64::MAX),
        version: 100_000,
        stopping: false,
        gone: false,
        at_once: false,
        load: load_report(),
    };
    let watch_reply = |instances: usize| WatchReply::Granted {
        confirmed_before_ms: 1,
        lease_ms: 3000,
        update: PolicyUpdate::Deltas(Vec::new()),
        loads: (0..instances)
            .map(|n| (format!("port-of-spain-{n:03}"), load_report()))
            .collect::<BTreeMap<_, _>>(),
    };
    let state = InstanceState::Live { incarnation: u64::MAX };
    let delta = PolicyDelta {
        version: 100_000,
        edits: vec![PolicyEdit::Instance("port-of-spain-1".to_owned(), state)],
    };
    let append = |entries| Envelope {
        from: u64::MAX,
        to: u64::MAX,
        term: 10,
        message: Message::Append {
            prev_index: 100_000,
            prev_term: 10,
            entries,
            commit: 100_000,
            round: 100_000,
        },
    };
    let entry = Entry { index: 100_000, term: 10, payload: Payload::Command(begin.clone()) };
    let list = ListDelta { counter: u64::MAX, change: list_of(100) };
    assert_eq!(decode::<ListDelta>(&encode(&list).unwrap()).unwrap(), list);
    let size = |bytes: Result<Vec<u8>, _>| bytes.unwrap().len();
    let sizes = BTreeMap::from([
        ("claim", size(encode(&begin))),
        ("claim in a log message", size(encode(&append(vec![entry])))),
        ("recorded answer of 1024 bytes", size(encode(&finish))),
        ("heartbeat", size(encode(&append(Vec::new())))),
        ("watch", size(encode(&watch))),
        ("answer to a watch, 1 report", size(encode(&watch_reply(1)))),
        ("answer to a watch, 11 reports", size(encode(&watch_reply(11)))),
        ("delta of an instance's state", size(encode(&delta))),
        ("list of 100 upstreams", size(encode(&list))),
    ]);
    insta::assert_debug_snapshot!("sizes", sizes);
}
