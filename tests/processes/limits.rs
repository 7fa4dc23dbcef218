//! Runs entry instances that must not reject requests within the limits in force.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushspan::{
    core::{control::Policy, peers::Peer, upstreams::ListedUpstream},
    net::{
        mesh::MeshHandler,
        wire::{NodeReply, NodeRequest, PolicyUpdate},
    },
    platform::configuration,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::{
    entry::{
        POLL_INTERVAL, Rig, SERVICE, WAIT_TIMEOUT, address, follow_reply, listed_upstream,
        upstream_number,
    },
    hand_over::{peer, start},
};

/// Limits on callers, in bytes and seconds.
#[derive(Clone, Copy)]
struct Limits {
    header_bytes: u64,
    body_bytes: u64,
    header_s: f64,
    idle_s: f64,
}

const LOW: Limits = Limits { header_bytes: 600, body_bytes: 100, header_s: 1.0, idle_s: 2.0 };
const HIGH: Limits = Limits { header_bytes: 4000, body_bytes: 2000, header_s: 1.0, idle_s: 30.0 };

/// Returns a policy with one route and these limits.
fn policy(version: u64, limits: Limits) -> Policy {
    let table = json!({"version": format!("r{version}"), "resources": [
        {"type": "services", "meta": {"name": SERVICE}, "spec": {
            "health_path": "/health", "max_conns": 100, "cold_start_s": 0.0, "cold_per_s": 5.0}},
        {"type": "routes", "meta": {"name": "menu"}, "spec": {
            "host": "shop.example", "path_prefix": "/menu/", "kind": "safe", "timeout_s": 20.0,
            "slo_s": 10.0, "priority": 1, "service": SERVICE, "max_attempts": 1}},
        {"type": "limits", "meta": {}, "spec": {
            "max_header_bytes": limits.header_bytes, "max_body_bytes": limits.body_bytes,
            "header_timeout_s": limits.header_s, "idle_timeout_s": limits.idle_s}},
    ]});
    let routing = configuration::decode(table.to_string().as_bytes()).unwrap();
    Policy { version, routing: routing.into(), ..Policy::default() }
}

/// Returns a control replica that has the first policy until the switch is set, and then the
/// last.
fn control(
    policies: Vec<Policy>,
    switch: Arc<AtomicBool>,
    upstream: ListedUpstream,
    peers: Vec<Peer>,
) -> MeshHandler<NodeRequest, NodeReply> {
    Arc::new(move |call, _peer| {
        let is_switched = switch.load(Ordering::Relaxed);
        let policy = if is_switched { policies.last() } else { policies.first() };
        let (policy, upstream, peers) = (policy.unwrap().clone(), upstream.clone(), peers.clone());
        Box::pin(async move {
            let NodeRequest::Follow(request) = call else { return None };
            sleep(Duration::from_millis(request.hold_ms.min(100))).await;
            let mut reply = follow_reply(&request, &policy, upstream);
            reply.peers = request.peers_of.map(|_| peers);
            if request.version.is_some_and(|version| version < policy.version) {
                reply.update = PolicyUpdate::Whole(Box::new(policy));
            }
            Some(NodeReply::Follow(Box::new(reply)))
        })
    })
}

/// Listens as the upstream of an instance, and responds with the head of each request.
async fn serve(number: u32) -> ListedUpstream {
    let listener = TcpListener::bind(address(upstream_number(number), 8080)).await.unwrap();
    let upstream = listed_upstream(listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.windows(4).any(|window| window == b"\r\n\r\n") {
                    if stream.read_buf(&mut head).await.unwrap_or(0) == 0 {
                        return;
                    }
                }
                let length = head.len();
                let response = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
                );
                stream.write_all(response.as_bytes()).await.ok();
                stream.write_all(&head).await.ok();
                stream.read_to_end(&mut head).await.ok();
            });
        }
    });
    upstream
}

/// Starts an instance with [`LOW`] limits. Setting the switch replaces them by [`HIGH`] ones.
async fn start_low(number: u32) -> (Rig, Arc<AtomicBool>) {
    let switch = Arc::new(AtomicBool::new(false));
    let policies = vec![policy(1, LOW), policy(2, HIGH)];
    let control = control(policies, switch.clone(), serve(number).await, Vec::new());
    (start(number, control).await, switch)
}

fn request(header_bytes: usize, body_bytes: usize) -> String {
    format!(
        "POST /menu/1 HTTP/1.1\r\nHost: shop.example\r\nBulrushspan-Request-Id: r1\r\n\
         X-Filler: {}\r\nContent-Length: {body_bytes}\r\n\r\n{}",
        "x".repeat(header_bytes),
        "y".repeat(body_bytes)
    )
}

/// Sends a request and returns the status and the text of the response; 0 if the connection is
/// closed.
async fn send(stream: &mut TcpStream, request: &str) -> (u16, String) {
    let mut response = vec![0; 16 * 1024];
    let mut length = 0;
    if stream.write_all(request.as_bytes()).await.is_ok() {
        let read = stream.read(&mut response);
        length = timeout(WAIT_TIMEOUT, read).await.unwrap().unwrap_or(0);
    }
    let text = String::from_utf8_lossy(&response[..length]).into_owned();
    (text.split(' ').nth(1).map_or(0, |status| status.parse().unwrap()), text)
}

async fn status(stream: &mut TcpStream, request: &str) -> u16 {
    send(stream, request).await.0
}

/// Waits until new connections get the limits that the switch puts in force.
async fn wait_high_limits(rig: &Rig) {
    let started_at = Instant::now();
    while status(&mut rig.connect().await, &request(1000, 0)).await != 200 {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the second policy is not in force");
        sleep(POLL_INTERVAL).await;
    }
}

/// Proper requests were rejected with 431 and 413 because their connection was older than the
/// limits.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_an_older_connection_get_the_size_limits_in_force() {
    let (rig, switch) = start_low(12).await;
    let mut for_head = rig.connect().await;
    let mut for_body = rig.connect().await;
    for caller in [&mut for_head, &mut for_body] {
        assert_eq!(status(caller, &request(10, 10)).await, 200);
    }
    switch.store(true, Ordering::Relaxed);
    wait_high_limits(&rig).await;
    let statuses = [
        status(&mut for_head, &request(1000, 10)).await,
        status(&mut for_body, &request(10, 1000)).await,
    ];
    assert_eq!(statuses, [200, 200]);
}

/// A connection was closed after the idle timeout of an earlier configuration, while its caller
/// could still reuse it.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_stays_open_for_the_timeout_in_force() {
    let (rig, switch) = start_low(13).await;
    let mut caller = rig.connect().await;
    assert_eq!(status(&mut caller, &request(10, 10)).await, 200);
    switch.store(true, Ordering::Relaxed);
    wait_high_limits(&rig).await;
    sleep(Duration::from_secs_f64(2.0 * LOW.idle_s)).await;
    assert_eq!(status(&mut caller, &request(10, 10)).await, 200);
}

/// A request on a reused connection was rejected with 408 because the connection was idle before.
#[tokio::test(flavor = "multi_thread")]
async fn the_time_for_a_request_to_arrive_starts_with_its_first_byte() {
    let (rig, _switch) = start_low(14).await;
    let mut caller = rig.connect().await;
    assert_eq!(status(&mut caller, &request(10, 10)).await, 200);
    // Callers may reuse a connection that was idle for four fifths of the timeout.
    sleep(Duration::from_secs_f64(0.8 * LOW.idle_s)).await;
    let request = request(10, 10);
    let (head, body) = request.split_at(request.len() - 10);
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_secs_f64(LOW.header_s)).await;
    assert_eq!(status(&mut caller, body).await, 200);
}

/// A large body over a slow link was rejected with 408 while it was arriving.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_keeps_arriving_is_not_timed_out() {
    let (rig, _switch) = start_low(18).await;
    let mut caller = rig.connect().await;
    let request = request(10, 6);
    let (start, last_byte) = request.split_at(request.len() - 1);
    let (head, body) = start.split_at(start.len() - 5);
    caller.write_all(head.as_bytes()).await.unwrap();
    for byte in body.as_bytes() {
        sleep(Duration::from_secs_f64(0.5 * LOW.idle_s)).await;
        caller.write_all(&[*byte]).await.unwrap();
    }
    assert_eq!(status(&mut caller, last_byte).await, 200);
}

/// A request that an instance had accepted was rejected with 413 or 431 by the peer that it was
/// handed over to, because the peer had lower limits.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_does_not_reject_what_the_first_instance_accepted() {
    let upstream = serve(20).await;
    let unreachable = ListedUpstream {
        id: "u0".to_owned(),
        address: address(upstream_number(19), 9000).parse().unwrap(),
        ..upstream.clone()
    };
    let peers_policy = vec![policy(1, LOW)];
    let _peer = start(20, control(peers_policy, Arc::default(), upstream, Vec::new())).await;
    let control = control(vec![policy(1, HIGH)], Arc::default(), unreachable, vec![peer(20)]);
    let rig = start(19, control).await;
    // A field that is forwarded gets a space after its colon.
    let many_fields = request(10, 10).replacen("X-Filler", &("a:b\r\n".repeat(700) + "b"), 1);
    for request in [request(10, 1000), request(1000, 10), many_fields] {
        assert!(request.len() < HIGH.header_bytes as usize);
        let (status, response) = send(&mut rig.connect().await, &request).await;
        assert_eq!(status, 200, "{response}");
    }
}

/// An instance that knew no configuration rejected requests by limits that nobody had set.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_configuration_refuses_large_requests_with_503() {
    let never = Arc::new(|_, _| -> std::pin::Pin<Box<dyn Future<Output = _> + Send>> {
        Box::pin(async { None })
    });
    let (_, events) = tokio::sync::mpsc::unbounded_channel();
    let rig = Rig::launch(34, never, events, super::entry::LINK_MBPS).await;
    let started_at = Instant::now();
    while TcpStream::connect(address(34, 8144)).await.is_err() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the instance does not listen");
        sleep(POLL_INTERVAL).await;
    }
    let large_body = "POST /menu/1 HTTP/1.1\r\nHost: shop.example\r\n\
                      Content-Length: 100000000\r\n\r\n";
    for request in [request(10, 10), request(20_000, 0), large_body.to_owned()] {
        let (status, response) = send(&mut rig.connect().await, &request).await;
        assert_eq!(status, 503, "{response}");
        assert!(response.contains("retry-after"), "{response}");
    }
}

/// Requests in absolute form, which RFC 9112 section 3.2.2 requires servers to accept, got 400.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_absolute_form_is_routed_by_its_target() {
    let (rig, _switch) = start_low(35).await;
    for target in ["http://shop.example/menu/1?q", "HTTP://SHOP.example:8144/menu/1?q"] {
        let host = target.split('/').nth(2).unwrap();
        let request = format!("GET {target} HTTP/1.1\r\nHost: other.example\r\n\r\n");
        let (status, response) = send(&mut rig.connect().await, &request).await;
        assert_eq!(status, 200, "{response}");
        assert!(response.contains("GET /menu/1?q HTTP/1.1\r\n"), "{response}");
        assert!(response.to_lowercase().contains(&format!("host: {}\r\n", host.to_lowercase())));
        assert!(!response.contains("other.example"), "{response}");
    }
}

/// A request with as many header fields as the size limit allows kept its instance busy for
/// minutes, so that no other request was handled.
#[tokio::test(flavor = "multi_thread")]
async fn many_header_fields_do_not_delay_other_requests() {
    let limits = Limits { header_bytes: 2_000_000, ..HIGH };
    let policies = vec![policy(1, limits)];
    let rig = start(36, control(policies, Arc::default(), serve(36).await, Vec::new())).await;
    let (mut caller, mut other) = (rig.connect().await, rig.connect().await);
    let fields = "a:b\r\n".repeat(300_000);
    let head = request(10, 0).replace("X-Filler", &(fields + "X-Filler"));
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(status(&mut other, &request(10, 0)).await, 200);
}

/// A request whose time was over when its body had arrived was still sent, with no time left, and
/// its caller was not told that it had not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_after_its_deadline_is_refused_as_not_run() {
    let policies = vec![policy(1, HIGH)];
    let rig = start(37, control(policies, Arc::default(), serve(37).await, Vec::new())).await;
    let mut caller = rig.connect().await;
    let request = request(10, 10).replace("X-Filler", "Bulrushspan-Deadline-Ms: 300\r\nX-Filler");
    let (head, body) = request.split_at(request.len() - 10);
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(600)).await;
    let (status, response) = send(&mut caller, body).await;
    assert_eq!(status, 503, "{response}");
    assert!(response.contains(r#""timeout""#), "{response}");
}

/// A body that goes on arriving byte by byte beyond its caller's deadline: each byte renewed the
/// timeout, so that the request kept its memory and was never answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_arrives_byte_by_byte_is_awaited_until_its_deadline() {
    let policies = vec![policy(1, HIGH)];
    let rig = start(38, control(policies, Arc::default(), serve(38).await, Vec::new())).await;
    let request = request(10, 2000).replace("X-Filler", "Bulrushspan-Deadline-Ms: 500\r\nX-Filler");
    let (head, body) = request.split_at(request.len() - 2000);
    let (mut read, mut write) = rig.connect().await.into_split();
    write.write_all(head.as_bytes()).await.unwrap();
    let body = body.to_owned();
    let sending = tokio::spawn(async move {
        for byte in body.as_bytes() {
            write.write_all(&[*byte]).await.ok();
            sleep(Duration::from_millis(100)).await;
        }
    });
    let mut status_line = [0; 12];
    timeout(WAIT_TIMEOUT, read.read_exact(&mut status_line)).await.unwrap().unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 503");
    sending.abort();
}
