//! Runs an entry instance against upstreams and configurations that state extreme numbers.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

use super::entry::{
    LINK_MBPS, POLL_INTERVAL, Rig, WAIT_TIMEOUT, address, control_replica, listed_upstream, policy,
    upstream_number,
};

/// The fields that the upstream adds to its next response.
type Fields = Arc<Mutex<String>>;

/// Responds to each request with its id.
async fn serve_connection(mut stream: TcpStream, fields: Fields) {
    let mut head = vec![0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut head).await {
        let text = String::from_utf8_lossy(&head[..length]).into_owned();
        let id = text.lines().find(|line| line.starts_with("Bulrushspan-Request-Id"));
        let fields = std::mem::take(&mut *fields.lock().unwrap());
        let response = format!(
            "HTTP/1.1 200 OK\r\n{}\r\n{fields}Content-Length: 2\r\n\r\nok",
            id.unwrap_or("Server: u")
        );
        stream.write_all(response.as_bytes()).await.ok();
    }
}

/// Starts an instance with one upstream. `edit` changes the configuration.
async fn start(number: u32, edit: impl FnOnce(&mut Value)) -> (Rig, Fields) {
    let listener = TcpListener::bind(address(upstream_number(number), 8080)).await.unwrap();
    let upstream = listed_upstream(listener.local_addr().unwrap());
    let fields = Fields::default();
    let served_fields = fields.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, served_fields.clone()));
        }
    });
    let (_, events) = mpsc::unbounded_channel();
    let control = control_replica(policy(edit), upstream);
    let rig = Rig::launch(number, control, events, LINK_MBPS).await;
    rig.wait_ready().await;
    (rig, fields)
}

/// Sends a request on a connection that is kept, and returns the status of the response, or `None`
/// if the connection ends without one.
async fn get(caller: &mut TcpStream, id: &str) -> Option<u16> {
    let request = format!(
        "GET /menu/1 HTTP/1.1\r\nHost: shop.example\r\nBulrushspan-Request-Id: {id}\r\n\
         Bulrushspan-Deadline-Ms: 10000\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.ok()?;
    let mut response = vec![0; 4096];
    let length = timeout(WAIT_TIMEOUT, caller.read(&mut response)).await.unwrap().ok()?;
    let text = String::from_utf8_lossy(&response[..length]);
    text.split(' ').nth(1)?.parse().ok()
}

/// A `Keep-Alive` time of 2^63 - 1 seconds ended the task of the caller's connection, without an
/// answer to a request that had run.
#[tokio::test(flavor = "multi_thread")]
async fn extreme_numbers_in_a_response_cost_no_request_its_answer() {
    let (rig, fields) = start(140, |_| ()).await;
    let mut caller = rig.connect().await;
    for (number, field) in [
        "Keep-Alive: timeout=9223372036854775807",
        "Keep-Alive: timeout=3000000000000000000",
        "Keep-Alive: timeout=18446744073709551615",
        "Keep-Alive: timeout=18446744073709551616",
        "Keep-Alive: timeout=0",
        "Bulrushspan-Server-Load: 0,0,4294967295",
        "Bulrushspan-Server-Load: 18446744073709551616,0,1",
        "Retry-After: 18446744073709551616",
    ]
    .into_iter()
    .enumerate()
    {
        *fields.lock().unwrap() = format!("{field}\r\n");
        assert_eq!(get(&mut caller, &format!("first-{number}")).await, Some(200), "{field}");
        let next = get(&mut caller, &format!("next-{number}")).await;
        assert_eq!(next, Some(200), "after {field}");
    }
}

/// An upstream that once stated a load beyond all measure counted as busy for as long as the
/// process ran, as it got no request with whose response to state another. One that named a limit
/// beyond all rates got none either.
#[tokio::test(flavor = "multi_thread")]
async fn an_extreme_load_or_limit_does_not_block_an_upstream_for_good() {
    for (number, field) in [
        (141, "Bulrushspan-Server-Load: 4294967295,4294967295,1".to_owned()),
        (142, "Server-Limit: 18446744073709551615".to_owned()),
        (143, format!("Server-Limit: {}", "9".repeat(400))),
    ] {
        let (rig, fields) = start(number, |_| ()).await;
        let mut caller = rig.connect().await;
        *fields.lock().unwrap() = format!("{field}\r\n");
        assert_eq!(get(&mut caller, "extreme").await, Some(200));
        let started_at = Instant::now();
        for number in 0.. {
            match get(&mut caller, &format!("next-{number}")).await {
                Some(200) => break,
                status => assert_eq!(status, Some(503), "after {field}"),
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "the upstream is not used after {field}");
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// An idle timeout above 2^63 seconds ended the task of every caller's connection.
#[tokio::test(flavor = "multi_thread")]
async fn extreme_times_of_a_configuration_cost_no_request_its_answer() {
    // The largest number below 2^64.
    let longest_s = 18_446_744_073_709_549_568_u64 as f64;
    let (rig, _fields) = start(144, |table| {
        for resource in table["resources"].as_array_mut().unwrap() {
            let spec = resource["spec"].as_object_mut().unwrap();
            let is_time = |name: &str| name.ends_with("_s") && name != "cold_per_s";
            spec.iter_mut().filter(|(name, _)| is_time(name)).for_each(|(_, value)| {
                *value = json!(longest_s);
            });
        }
    })
    .await;
    let mut caller = rig.connect().await;
    assert_eq!(get(&mut caller, "first").await, Some(200));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(get(&mut caller, "second").await, Some(200));
}
