//! Runs entry instances whose links to upstreams are gone, beside peers that have theirs.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bulrushspan::{
    core::{MapDelta, control::Policy, peers::Peer, upstreams::ListedUpstream},
    net::{
        mesh::MeshHandler,
        wire::{ListDelta, NodeReply, NodeRequest},
    },
    platform::configuration,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::mpsc,
    time::{sleep, timeout},
};

use super::entry::{LINK_MBPS, Rig, SERVICE, WAIT_TIMEOUT, address, follow_reply, listed_upstream};

/// The ids of the requests that an upstream or a peer received.
type Received = Arc<Mutex<Vec<String>>>;

/// The number of upstreams in the lists of the instances.
const UPSTREAMS: u32 = 4;

/// Returns upstreams at addresses where nothing listens, so that connections are refused.
fn unreachable_upstreams(number: u32) -> Vec<ListedUpstream> {
    let upstream = |index: u32| ListedUpstream {
        id: format!("u{index}"),
        ..listed_upstream(address(number + 160, 9000 + index as u16).parse().unwrap())
    };
    (0..UPSTREAMS).map(upstream).collect()
}

fn peer(number: u32) -> Peer {
    Peer {
        instance: format!("e{number}"),
        address: address(number, 7660).parse().unwrap(),
        region: "north".to_owned(),
    }
}

/// Returns a policy with a route that is `safe` and one that is `unsafe`.
pub(super) fn policy(version: u64) -> Policy {
    let route = |name: &str, kind: &str| {
        json!({"type": "routes", "meta": {"name": name}, "spec": {
            "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_s": 20.0, "slo_s": 1.0, "priority": 1, "service": SERVICE,
            "max_attempts": 2}})
    };
    let table = json!({"version": format!("r{version}"), "resources": [
        {"type": "services", "meta": {"name": SERVICE}, "spec": {
            "health_path": "/health", "max_conns": 100, "cold_start_s": 0.0, "cold_per_s": 5.0}},
        route("menu", "safe"), route("order", "unsafe"),
    ]});
    let routing = configuration::decode(table.to_string().as_bytes()).unwrap();
    Policy { version: 1, routing: routing.into(), ..Policy::default() }
}

/// Returns a control replica with [`policy`], whose list never changes.
fn control(
    upstreams: Vec<ListedUpstream>,
    peers: Vec<Peer>,
    version: u64,
) -> MeshHandler<NodeRequest, NodeReply> {
    let policy = policy(version);
    let put: Vec<_> = upstreams.iter().map(|listed| (listed.id.clone(), listed.clone())).collect();
    Arc::new(move |call, _peer| {
        let (policy, peers, put) = (policy.clone(), peers.clone(), put.clone());
        Box::pin(async move {
            let NodeRequest::Follow(request) = call else { return None };
            sleep(Duration::from_millis(request.hold_ms.min(200))).await;
            let mut reply = follow_reply(&request, &policy, put[0].1.clone());
            let change = MapDelta { version: 1, is_full: true, put, removed: Vec::new() };
            reply.list = reply.list.map(|_| ListDelta { counter: 1, change });
            reply.peers = request.peers_of.map(|_| peers);
            Some(NodeReply::Follow(Box::new(reply)))
        })
    })
}

pub(super) async fn start(number: u32, control: MeshHandler<NodeRequest, NodeReply>) -> Rig {
    let (_, events) = mpsc::unbounded_channel();
    let rig = Rig::launch(number, control, events, LINK_MBPS).await;
    rig.wait_ready().await;
    rig
}

/// Listens at an address, records the ids of requests, and answers 200 or, if `breaks_off`,
/// closes the connection.
async fn serve(address: String, breaks_off: bool) -> Received {
    let received = Received::default();
    let listener = TcpListener::bind(address).await.unwrap();
    let ids = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let ids = ids.clone();
            tokio::spawn(async move {
                let mut head = vec![0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut head).await {
                    let text = String::from_utf8_lossy(&head[..length]).into_owned();
                    let field =
                        text.lines().find_map(|l| l.strip_prefix("Bulrushspan-Request-Id: "));
                    let Some(id) = field else { return };
                    ids.lock().unwrap().push(id.to_owned());
                    if breaks_off {
                        return;
                    }
                    let response = format!(
                        "HTTP/1.1 200 OK\r\nBulrushspan-Request-Id: {id}\r\n\
                         Relay-Refused: busy 1\r\nContent-Length: 2\r\n\r\nok"
                    );
                    stream.write_all(response.as_bytes()).await.ok();
                }
            });
        }
    });
    received
}

/// Sends one request on a new connection and returns the status and the head of the response.
pub(super) async fn send(rig: &Rig, route: &str, id: &str) -> (u16, String) {
    let mut caller = rig.connect().await;
    let method = if route == "order" { "POST" } else { "GET" };
    let request = format!(
        "{method} /{route}/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\
         Bulrushspan-Request-Id: {id}\r\nBulrushspan-Deadline-Ms: 10000\r\n\
         Relay-Attempts-Max: 9\r\nContent-Length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    timeout(WAIT_TIMEOUT, caller.read_to_end(&mut response)).await.unwrap().unwrap();
    let text = String::from_utf8_lossy(&response).into_owned();
    (text.split(' ').nth(1).unwrap_or_default().parse().unwrap(), text)
}

/// Instances that lost their links to all upstreams: their callers were refused although other
/// instances had theirs.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_instance_without_links_are_served_through_a_peer() {
    let mut upstream = listed_upstream(address(182, 8080).parse().unwrap());
    upstream.id = "u9".to_owned();
    let received = serve(address(182, 8080), false).await;
    let _linked = start(22, control(vec![upstream], Vec::new(), 1)).await;
    let rig = start(21, control(unreachable_upstreams(21), vec![peer(22)], 1)).await;
    for number in 0..10 {
        for route in ["menu", "order"] {
            let id = format!("{route}{number}");
            let (status, response) = send(&rig, route, &id).await;
            assert_eq!(status, 200, "{response}");
            assert!(!response.contains("Relay-"), "fields between instances leak: {response}");
            let count = received.lock().unwrap().iter().filter(|received| **received == id).count();
            assert_eq!(count, 1, "{id}");
        }
    }
}

/// A request that runs at most once must not go to a second peer after the first may have run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_peer_may_have_run_is_not_handed_over_again() {
    let received = serve(address(24, 7660), true).await;
    let other = serve(address(25, 7660), true).await;
    let peers = vec![peer(24), peer(25)];
    let rig = start(23, control(unreachable_upstreams(23), peers, 1)).await;
    let (status, response) = send(&rig, "order", "o1").await;
    assert_eq!(status, 502, "{response}");
    let (received, other) = (received.lock().unwrap().len(), other.lock().unwrap().len());
    assert_eq!(received + other, 1);
}

/// Instances that all lost their links must refuse at once instead of passing requests round.
#[tokio::test(flavor = "multi_thread")]
async fn instances_without_links_do_not_pass_requests_round() {
    let first = start(26, control(unreachable_upstreams(26), vec![peer(27)], 1)).await;
    let second = start(27, control(unreachable_upstreams(27), vec![peer(26)], 1)).await;
    for number in 0..6 {
        for rig in [&first, &second] {
            let sent_at = Instant::now();
            let (status, response) = send(rig, "order", &format!("o{number}")).await;
            assert_eq!(status, 503, "{response}");
            assert!(response.contains("retry-after"), "{response}");
            // The request's own deadline would end it after 10 s.
            assert!(sent_at.elapsed() < Duration::from_secs(5), "{:?}", sent_at.elapsed());
        }
    }
}

/// A peer with an older configuration could handle a request by rules that no longer hold.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_with_an_older_configuration_does_not_take_requests_over() {
    let received = serve(address(189, 8080), false).await;
    let upstream = listed_upstream(address(189, 8080).parse().unwrap());
    let _behind = start(29, control(vec![upstream], Vec::new(), 1)).await;
    let rig = start(28, control(unreachable_upstreams(28), vec![peer(29)], 2)).await;
    let (status, response) = send(&rig, "menu", "m1").await;
    assert_eq!(status, 503, "{response}");
    assert!(received.lock().unwrap().is_empty());
}
