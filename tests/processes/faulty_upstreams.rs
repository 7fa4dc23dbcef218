//! Runs one entry instance against upstreams and peers that write responses twice or stop in
//! the middle of one.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bulrushspan::core::upstreams::ListedUpstream;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{
    entry::{Rig, WAIT_TIMEOUT, address, listed_upstream, upstream_number},
    hand_over::{control, peer, send, start, unreachable_upstreams},
};

/// What upstreams, or peers, received.
#[derive(Default)]
struct Received {
    /// How often each request was received, by id.
    counts: BTreeMap<String, u32>,
    /// The requests that were not the first on their connection.
    over_kept_connections: u32,
}

type Shared = Arc<Mutex<Received>>;

/// What is written for a request.
struct Script {
    bytes: String,
    /// What is written once the connection is idle.
    late_bytes: String,
    end: End,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum End {
    Kept,
    Closed,
    Reset,
}

/// The pause before the late bytes; the response before them has been read by then.
const LATE_DELAY: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Responses that end early or have no certain end, by name.
const CUTS: [(&str, &str); 16] = [
    ("nothing", ""),
    ("status line", "HTTP/1.1 20"),
    ("field name", "HTTP/1.1 200 OK\r\nContent-Le"),
    ("field", "HTTP/1.1 200 OK\r\nServer: u\r\n"),
    ("length field", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"),
    ("blank line", "HTTP/1.1 200 OK\r\nServer: u\r\n\r"),
    ("digits", "HTTP/1.1 200 OK\r\nContent-Length: 1"),
    ("body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"),
    ("chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
    ("last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"),
    ("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: b\r\n"),
    ("chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n\r\n\r\n"),
    ("malformed length", "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nab"),
    ("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
    (
        "two framings",
        "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n..",
    ),
    ("reset", "HTTP/1.1 200 OK\r\n\r\nab"),
];

fn ok(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nBulrushspan-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok")
}

/// Returns a response that says that the request did not run, whether an upstream or a peer
/// writes it.
fn refusal(status: &str, id: Option<&str>) -> String {
    let id = id.map(|id| format!("Bulrushspan-Request-Id: {id}\r\n")).unwrap_or_default();
    format!(
        "HTTP/1.1 {status} Refused\r\n{id}Bulrushspan-Not-Run: 1\r\nRelay-Refused: behind 1\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Returns what is written for a request. `case` is the last part of its path, `earlier_id`
/// that of the request before it on the connection, and `count` how often it was received.
fn script(case: &str, id: &str, earlier_id: &str, count: u32) -> Script {
    let is_repeated = count > 1;
    let words: Vec<&str> = case.split('-').collect();
    let (mut late_bytes, mut end) = (String::new(), End::Kept);
    let bytes = match words[..] {
        ["refuse"] => refusal("503", Some(id)),
        ["copy", status, "earlier"] => refusal(status, Some(earlier_id)) + &ok(id),
        ["copy", status, "unnamed"] if !is_repeated => refusal(status, None) + &ok(id),
        ["late"] => {
            late_bytes = refusal("503", None);
            ok(id)
        }
        ["extra"] => ok(id) + &refusal("503", None),
        ["unmarked", status] if !is_repeated => {
            let unmarked = refusal(status, Some(id)).replace("Bulrushspan-Not-Run", "X-Other");
            unmarked.replace("Relay-Refused", "X-Other")
        }
        ["cut", number] if !is_repeated => {
            let (name, bytes) = CUTS[number.parse::<usize>().unwrap()];
            end = if name == "reset" { End::Reset } else { End::Closed };
            bytes.replace("200 OK", &format!("200 OK\r\nBulrushspan-Request-Id: {id}"))
        }
        ["status", status] if !is_repeated => {
            let body = ok(id);
            format!(
                "HTTP/1.1 {status} Odd\r\nBulrushspan-Request-Id: {id}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        }
        ["break", next] => {
            end = End::Closed;
            if is_repeated && next == "refuse" { refusal("503", Some(id)) } else { String::new() }
        }
        _ => ok(id),
    };
    Script { bytes, late_bytes, end }
}

/// Serves upstreams, or peers, at the given addresses.
async fn serve(addresses: &[String]) -> Shared {
    let received = Shared::default();
    for address in addresses {
        let listener = TcpListener::bind(address).await.unwrap();
        let received = received.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, received.clone()));
            }
        });
    }
    received
}

async fn serve_connection(mut stream: TcpStream, received: Shared) {
    let mut head = vec![0; 4096];
    let mut earlier_id = String::new();
    while let Ok(length @ 1..) = stream.read(&mut head).await {
        let text = String::from_utf8_lossy(&head[..length]).into_owned();
        let field = text.lines().find_map(|line| line.strip_prefix("Bulrushspan-Request-Id: "));
        let id = field.unwrap_or_default().to_owned();
        let path = text.split(' ').nth(1).unwrap();
        let count = {
            let mut received = received.lock().unwrap();
            received.over_kept_connections += u32::from(!earlier_id.is_empty());
            *received.counts.entry(id.clone()).and_modify(|count| *count += 1).or_insert(1)
        };
        let case = path.rsplit('/').next().unwrap();
        let Script { bytes, late_bytes, end } = script(case, &id, &earlier_id, count);
        stream.write_all(bytes.as_bytes()).await.ok();
        if end == End::Reset {
            // The response has been read when the reset arrives.
            sleep(LATE_DELAY).await;
            stream.set_zero_linger().unwrap();
        }
        if end != End::Kept {
            return;
        }
        if !late_bytes.is_empty() {
            sleep(LATE_DELAY).await;
            stream.write_all(late_bytes.as_bytes()).await.ok();
        }
        earlier_id = id;
    }
}

/// Starts an instance with two upstreams, which share their records.
async fn start_with_two_upstreams(number: u32) -> (Rig, Shared) {
    let addresses =
        [address(upstream_number(number), 8080), address(upstream_number(number), 8081)];
    let received = serve(&addresses).await;
    let upstreams = addresses.iter().map(|address| ListedUpstream {
        id: address.clone(),
        ..listed_upstream(address.parse().unwrap())
    });
    (start(number, control(upstreams.collect(), Vec::new(), 1)).await, received)
}

/// Sends requests with new ids until one is received, since upstreams that failed get no
/// requests until a health check. Returns the status of the response to it, and how often it
/// was received.
async fn send_until_received(rig: &Rig, received: &Shared, path: &str) -> (u16, u32) {
    let started_at = Instant::now();
    for number in 0.. {
        let id = format!("{}-{number}-{}", path.replace('/', "-"), rand::random::<u32>());
        let (status, _) = send(rig, path, &id).await;
        if let Some(count) = received.lock().unwrap().counts.get(&id) {
            return (status, *count);
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "no upstream received {path}");
        sleep(POLL_INTERVAL).await;
    }
    unreachable!()
}

/// Checks the status of the response to a request and how often it was received. A `safe`
/// request that fails may get a 502 while there is no other upstream to repeat it at; it is then
/// sent again.
async fn expect(rig: &Rig, received: &Shared, path: &str, expected: (u16, u32)) {
    let started_at = Instant::now();
    loop {
        let result = send_until_received(rig, received, path).await;
        if result == expected {
            return;
        }
        let is_alone = path.starts_with("menu/") && result == (502, 1);
        assert!(
            is_alone && started_at.elapsed() < WAIT_TIMEOUT,
            "{path}: {result:?}, expected {expected:?}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// A faulty upstream wrote an earlier refusal once more on a kept connection: callers were told
/// "not run" for requests that had run, or these ran at a second upstream.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_a_refusal_is_not_taken_for_the_next_response() {
    let (rig, received) = start_with_two_upstreams(71).await;
    for status in [421, 429, 503] {
        for (route, copy, expected) in [
            ("order", "earlier", (200, 1)),
            ("order", "unnamed", (502, 1)),
            ("menu", "earlier", (200, 1)),
            ("menu", "unnamed", (200, 2)),
        ] {
            send_until_received(&rig, &received, "order/refuse").await;
            let path = format!("{route}/copy-{status}-{copy}");
            expect(&rig, &received, &path, expected).await;
        }
    }
    assert!(received.lock().unwrap().over_kept_connections > 0);
}

/// The same with peers that took a request over: a late refusal of theirs was believed.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_a_peers_refusal_is_not_taken_for_the_next_response() {
    let received = serve(&[address(73, 7660), address(74, 7660)]).await;
    let peers = vec![peer(73), peer(74)];
    let rig = start(72, control(unreachable_upstreams(72), peers, 1)).await;
    for (copy, expected) in [("earlier", (200, 1)), ("unnamed", (502, 1))] {
        send_until_received(&rig, &received, "order/refuse").await;
        let path = format!("order/copy-503-{copy}");
        expect(&rig, &received, &path, expected).await;
    }
    assert!(received.lock().unwrap().over_kept_connections > 0);
}

/// Bytes after a complete response, in time or late: the next request went out on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_bytes_after_a_response_is_not_used_again() {
    let (rig, received) = start_with_two_upstreams(75).await;
    for path in ["order/extra", "order/extra", "order/late", "order/late", "order/ok"] {
        expect(&rig, &received, path, (200, 1)).await;
        sleep(LATE_DELAY * 2).await;
    }
    assert_eq!(received.lock().unwrap().over_kept_connections, 0);
}

/// A status that promises "not run", from an upstream that does not say so, was passed on.
#[tokio::test(flavor = "multi_thread")]
async fn an_unmarked_refusal_is_not_passed_on_as_not_run() {
    let (rig, received) = start_with_two_upstreams(76).await;
    for status in [408, 429, 503] {
        for (route, expected) in [("order", (502, 1)), ("menu", (200, 2))] {
            let path = format!("{route}/unmarked-{status}");
            expect(&rig, &received, &path, expected).await;
        }
    }
}

/// A status that promises "not run", from a peer that does not say that it refused, was passed on.
#[tokio::test(flavor = "multi_thread")]
async fn an_unmarked_refusal_of_a_peer_is_not_passed_on_as_not_run() {
    let received = serve(&[address(98, 7660), address(99, 7660)]).await;
    let peers = vec![peer(98), peer(99)];
    let rig = start(97, control(unreachable_upstreams(97), peers, 1)).await;
    for status in [408, 421, 429, 503] {
        expect(&rig, &received, &format!("order/unmarked-{status}"), (502, 1)).await;
    }
}

/// An upstream stopped in the middle of a response and closed: callers got a 200 with an empty
/// or short body.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_cut_never_becomes_a_complete_one() {
    let (rig, received) = start_with_two_upstreams(77).await;
    for (number, (name, _)) in CUTS.iter().enumerate() {
        for (route, expected) in [("order", (502, 1)), ("menu", (200, 2))] {
            let path = format!("{route}/cut-{number}");
            println!("{path}: {name}");
            expect(&rig, &received, &path, expected).await;
        }
    }
}

/// After an attempt that may have run, one that did not run made the whole request "not run".
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_refused_after_a_further_attempt() {
    let (rig, received) = start_with_two_upstreams(78).await;
    for path in ["menu/break-refuse", "menu/break-again"] {
        expect(&rig, &received, path, (502, 2)).await;
    }
    let received = serve(&[address(upstream_number(79), 8080)]).await;
    let mut upstreams = unreachable_upstreams(79);
    upstreams.truncate(2);
    upstreams.push(listed_upstream(address(upstream_number(79), 8080).parse().unwrap()));
    upstreams[2].id = "u9".to_owned();
    let rig = start(79, control(upstreams, Vec::new(), 1)).await;
    expect(&rig, &received, "menu/break-again", (502, 1)).await;
}

/// Statuses that no response may have, in front of a body that looks like a response: callers got
/// that body as the response, or the status.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_a_status_that_does_not_exist_is_not_passed_on() {
    let (rig, received) = start_with_two_upstreams(85).await;
    for status in ["000", "099", "101", "600", "999"] {
        for (route, expected) in [("order", (502, 1)), ("menu", (200, 2))] {
            expect(&rig, &received, &format!("{route}/status-{status}"), expected).await;
        }
    }
}

/// Reads the head of a request, answers with the start of a body that has no length, and resets the
/// connection while the request is still being sent.
async fn serve_early_answers(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = vec![0; 2048];
        let length = stream.read(&mut head).await.unwrap_or(0);
        let text = String::from_utf8_lossy(&head[..length]).into_owned();
        let field = text.lines().find(|line| line.starts_with("Bulrushspan-Request-Id: "));
        let start = format!("HTTP/1.1 200 OK\r\n{}\r\n\r\npart", field.unwrap_or_default());
        tokio::spawn(async move {
            stream.write_all(start.as_bytes()).await.ok();
            sleep(LATE_DELAY).await;
            stream.set_zero_linger().unwrap();
        });
    }
}

/// An upstream that answers a long upload at once and resets the connection: part of its body was
/// taken for a complete response by similar systems.
#[tokio::test(flavor = "multi_thread")]
async fn an_early_answer_that_is_reset_during_an_upload_is_not_complete() {
    let address = address(upstream_number(86), 8080);
    tokio::spawn(serve_early_answers(TcpListener::bind(&address).await.unwrap()));
    let upstreams = vec![listed_upstream(address.parse().unwrap())];
    let rig = start(86, control(upstreams, Vec::new(), 1)).await;
    let body = "x".repeat(8 * 1024 * 1024);
    for number in 0..3 {
        let request = format!(
            "POST /order/{number} HTTP/1.1\r\nHost: shop.example\r\nContent-Length: {}\r\n\
             Bulrushspan-Request-Id: r{number}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        let mut caller = rig.connect().await;
        caller.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        caller.read_to_end(&mut response).await.unwrap();
        let response = String::from_utf8_lossy(&response);
        // The upstream is checked before it gets another request, and may be passed over.
        let is_failure = ["HTTP/1.1 502", "HTTP/1.1 503"].iter().any(|s| response.starts_with(s));
        assert!(is_failure, "{response}");
    }
}
