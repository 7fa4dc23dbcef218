//! Runs an entry instance against upstreams that write the beginning of an earlier response once
//! more, right before the next one on the connection.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bulrushspan::core::upstreams::ListedUpstream;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use super::{
    entry::{POLL_INTERVAL, Rig, WAIT_TIMEOUT, address, listed_upstream, upstream_number},
    hand_over::{control, send, start},
};

/// Where requests ran, and with which status: the address of the upstream, by id.
type Runs = Arc<Mutex<BTreeMap<String, Vec<(String, u16)>>>>;

/// The copies, each cut off at its end.
const COPIES: [&str; 9] = [
    "HTTP/1.1 503 Busy\r\nBulrushspan-Not-Run: qu",
    "HTTP/1.1 503 Busy\r\nBulrushspan-Not-Run:",
    "HTTP/1.1 503 Busy\r\nBulrushspan-Not-Run: 1\r\nServer: ",
    "HTTP/1.1 503 Busy\r\nBulrushspan-Not-Run: 1\r\nSer",
    "HTTP/1.1 503 Busy\r\nBulrushspan-Not-Run: 1\r\n",
    "HTTP/1.1 421 Other\r\nA: b",
    "HTTP/1.1 200 O",
    "HTTP/1.1 200 ",
    "HTTP/1.1 200 OK\r\nServer: u",
];

/// Answers a request: with the status that its path names, preceded by the copy that it names if
/// it is not the first on the connection.
async fn serve_connection(mut stream: TcpStream, address: String, runs: Runs) {
    let mut head = vec![0; 4096];
    let mut is_first = true;
    while let Ok(length @ 1..) = stream.read(&mut head).await {
        let text = String::from_utf8_lossy(&head[..length]).into_owned();
        let field = text.lines().find_map(|line| line.strip_prefix("Bulrushspan-Request-Id: "));
        let id = field.unwrap_or_default().to_owned();
        let path = text.split(' ').nth(1).unwrap().to_owned();
        let words: Vec<&str> = path.rsplit('/').next().unwrap().split('-').collect();
        let (copy, status, field) = match words[..] {
            ["copy", number, status] => {
                let copy = COPIES[number.parse::<usize>().unwrap()];
                (if is_first { "" } else { copy }, status.parse().unwrap(), "")
            }
            ["origin"] => ("", 200, "X-Origin: HTTP/1.1 404 Not Found\r\n"),
            _ => ("", 200, ""),
        };
        runs.lock().unwrap().entry(id.clone()).or_default().push((address.clone(), status));
        // The stamp names the upstream and its status.
        let response = format!(
            "{copy}HTTP/1.1 {status} Status\r\n{field}Bulrushspan-Request-Id: {id}\r\n\
             Bulrushspan-Server-Stamp: {address} {status}\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(response.as_bytes()).await.ok();
        is_first = false;
    }
}

/// Starts an instance with two upstreams, which share their records.
async fn start_with_two_upstreams(number: u32) -> (Rig, Runs) {
    let addresses =
        [address(upstream_number(number), 8080), address(upstream_number(number), 8081)];
    let runs = Runs::default();
    for address in addresses.clone() {
        let listener = TcpListener::bind(&address).await.unwrap();
        let runs = runs.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, address.clone(), runs.clone()));
            }
        });
    }
    let upstreams = addresses.iter().map(|address| ListedUpstream {
        id: address.clone(),
        ..listed_upstream(address.parse().unwrap())
    });
    (start(number, control(upstreams.collect(), Vec::new(), 1)).await, runs)
}

/// Sends a request once both upstreams are used and have a kept connection, until it runs.
async fn send_until_run(rig: &Rig, runs: &Runs, path: &str) -> (u16, String, Vec<(String, u16)>) {
    let started_at = Instant::now();
    for attempt in 0.. {
        for number in 0..8 {
            send(rig, "menu/warm", &format!("warm-{path}-{attempt}-{number}")).await;
        }
        let id = format!("{path}-{attempt}");
        let (status, text) = send(rig, path, &id).await;
        if let Some(runs) = runs.lock().unwrap().get(&id) {
            return (status, text, runs.clone());
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "no upstream ran {path}");
        sleep(POLL_INTERVAL).await;
    }
    unreachable!()
}

/// The head of a copy that was cut off and the head of the response after it were read as one: a
/// request that had run was called "not run" or ran twice, and a failure reached the caller as a
/// success.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_behind_a_cut_off_copy_keeps_its_own_status() {
    let (rig, runs) = start_with_two_upstreams(145).await;
    for (number, copy) in COPIES.iter().enumerate() {
        for route in ["order", "menu"] {
            for upstream_status in [200, 500] {
                let path = format!("{route}/copy-{number}-{upstream_status}");
                let (status, text, runs) = send_until_run(&rig, &runs, &path).await;
                assert!(route == "menu" || runs.len() == 1, "{path} after {copy:?}: {runs:?}");
                let stamp = text.lines().find_map(|l| l.strip_prefix("Bulrushspan-Server-Stamp: "));
                match stamp {
                    // The upstream of the stamp ran it, and answered with this status.
                    Some(stamp) => {
                        let (address, upstream_status) = stamp.split_once(' ').unwrap();
                        let run = (address.to_owned(), upstream_status.parse().unwrap());
                        assert!(runs.contains(&run), "{path}: {stamp}, ran at {runs:?}");
                        assert_eq!(status, run.1, "{path} after {copy:?}: {text}");
                    }
                    None => assert_eq!(status, 502, "{path} after {copy:?}: {text}"),
                }
            }
        }
    }
}

/// A sound upstream may have a field with a status line in all its responses.
#[tokio::test(flavor = "multi_thread")]
async fn responses_that_quote_a_status_line_are_delivered() {
    let (rig, runs) = start_with_two_upstreams(146).await;
    for number in 0..20 {
        let (status, text) = send(&rig, "order/origin", &format!("origin-{number}")).await;
        assert_eq!(status, 200, "{text}");
        assert!(text.contains("X-Origin: HTTP/1.1 404 Not Found"), "{text}");
    }
    assert!(runs.lock().unwrap().values().all(|runs| runs.len() == 1));
}
