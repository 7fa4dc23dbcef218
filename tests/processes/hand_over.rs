//! Runs entry instances whose links to upstreams are gone, beside peers that have theirs.

use std::{
    net::Shutdown,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushspan::{
    core::{MapDelta, control::Policy, peers::Peer, upstreams::ListedUpstream},
    net::{
        mesh::MeshHandler,
        wire::{Announcement, ListDelta, NodeReply, NodeRequest, decode},
    },
    platform::configuration,
};
use serde_json::json;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, UdpSocket},
    sync::{Notify, mpsc},
    time::{sleep, timeout},
};

use super::entry::{
    LINK_MBPS, Rig, SERVICE, WAIT_TIMEOUT, address, control_number, follow_reply, listed_upstream,
    upstream_number,
};

/// The ids of the requests that an upstream or a peer received.
type Received = Arc<Mutex<Vec<String>>>;

/// The service of uploaded files.
pub(super) const FILES: &str = "files";
/// The number of upstreams in the lists of the instances.
const UPSTREAMS: u32 = 4;

/// Returns upstreams at addresses where nothing listens, so that connections are refused.
pub(super) fn unreachable_upstreams(number: u32) -> Vec<ListedUpstream> {
    let upstream =
        |index: u32| upstream(number, &format!("u{index}"), SERVICE, 9000 + index as u16);
    (0..UPSTREAMS).map(upstream).collect()
}

fn upstream(number: u32, id: &str, service: &str, port: u16) -> ListedUpstream {
    ListedUpstream {
        id: id.to_owned(),
        service: service.to_owned(),
        ..listed_upstream(address(upstream_number(number), port).parse().unwrap())
    }
}

pub(super) fn peer(number: u32) -> Peer {
    Peer {
        instance: format!("e{number}"),
        address: address(number, 7660).parse().unwrap(),
        region: "north".to_owned(),
    }
}

/// Returns a policy with routes that are `safe` and one that is `unsafe`: two to [`SERVICE`],
/// one to [`FILES`], and one that is split between both.
pub(super) fn policy(version: u64) -> Policy {
    let route = |name: &str, kind: &str, split: &[(&str, u32)]| {
        let part = |(name, weight): &(&str, u32)| json!({"service": name, "weight": weight});
        let split: Vec<_> = split.iter().map(part).collect();
        json!({"type": "routes", "meta": {"name": name}, "spec": {
            "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_s": 20.0, "slo_s": 1.0, "priority": 1, "split": split,
            "max_attempts": 2}})
    };
    let service = |name: &str| {
        json!({"type": "services", "meta": {"name": name}, "spec": {
            "health_path": "/health", "max_conns": 100, "cold_start_s": 0.0, "cold_per_s": 5.0}})
    };
    let table = json!({"version": format!("r{version}"), "resources": [
        service(SERVICE), service(FILES),
        route("menu", "safe", &[(SERVICE, 1)]), route("order", "unsafe", &[(SERVICE, 1)]),
        route("files", "safe", &[(FILES, 1)]), route("both", "safe", &[(SERVICE, 1), (FILES, 1)]),
    ]});
    let routing = configuration::decode(table.to_string().as_bytes()).unwrap();
    Policy { version: 1, routing: routing.into(), ..Policy::default() }
}

/// Returns a control replica with [`policy`], whose list never changes.
pub(super) fn control(
    upstreams: Vec<ListedUpstream>,
    peers: Vec<Peer>,
    version: u64,
) -> MeshHandler<NodeRequest, NodeReply> {
    control_until(upstreams, peers, version, Arc::default())
}

/// Like [`control`], but no upstream is listed any more once `is_emptied` is set.
fn control_until(
    upstreams: Vec<ListedUpstream>,
    peers: Vec<Peer>,
    version: u64,
    is_emptied: Arc<AtomicBool>,
) -> MeshHandler<NodeRequest, NodeReply> {
    let policy = policy(version);
    let put: Vec<_> = upstreams.iter().map(|listed| (listed.id.clone(), listed.clone())).collect();
    Arc::new(move |call, _peer| {
        let (policy, peers, mut put) = (policy.clone(), peers.clone(), put.clone());
        let is_emptied = is_emptied.clone();
        Box::pin(async move {
            let NodeRequest::Follow(request) = call else { return None };
            sleep(Duration::from_millis(request.hold_ms.min(200))).await;
            let mut reply = follow_reply(&request, &policy, put[0].1.clone());
            let counter = if is_emptied.load(Ordering::Relaxed) { 2 } else { 1 };
            if counter == 2 {
                put.clear();
            }
            let change = MapDelta { version: 1, is_full: true, put, removed: Vec::new() };
            let is_new = reply.list.is_some() || counter == 2;
            reply.list = is_new.then_some(ListDelta { counter, change });
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
pub(super) async fn serve(address: String, breaks_off: bool) -> Received {
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
pub(super) async fn send(rig: &Rig, path: &str, id: &str) -> (u16, String) {
    let method = if path.starts_with("order/") { "POST" } else { "GET" };
    send_with(rig, method, path, id).await
}

/// Sends one request with a method, like [`send`].
pub(super) async fn send_with(rig: &Rig, method: &str, path: &str, id: &str) -> (u16, String) {
    let mut caller = rig.connect().await;
    let request = format!(
        "{method} /{path} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\
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
    let mut upstream = listed_upstream(address(upstream_number(22), 8080).parse().unwrap());
    upstream.id = "u9".to_owned();
    let received = serve(address(upstream_number(22), 8080), false).await;
    let _linked = start(22, control(vec![upstream], Vec::new(), 1)).await;
    let rig = start(21, control(unreachable_upstreams(21), vec![peer(22)], 1)).await;
    for number in 0..10 {
        for route in ["menu", "order"] {
            let id = format!("{route}{number}");
            let (status, response) = send(&rig, &format!("{route}/1"), &id).await;
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
    let (status, response) = send(&rig, "order/1", "o1").await;
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
            let (status, response) = send(rig, "order/1", &format!("o{number}")).await;
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
    let received = serve(address(upstream_number(29), 8080), false).await;
    let upstream = listed_upstream(address(upstream_number(29), 8080).parse().unwrap());
    let _behind = start(29, control(vec![upstream], Vec::new(), 1)).await;
    let rig = start(28, control(unreachable_upstreams(28), vec![peer(29)], 2)).await;
    let (status, response) = send(&rig, "menu/1", "m1").await;
    assert_eq!(status, 503, "{response}");
    assert!(received.lock().unwrap().is_empty());
}

/// Upstreams whose old connections live on while new ones are refused: a late response on such
/// a connection made an instance refuse requests that its peers could have sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_response_does_not_end_the_hand_over_while_connections_are_refused() {
    serve(address(upstream_number(31), 8080), false).await;
    let peers_upstream = upstream(31, "u9", SERVICE, 8080);
    let _linked = start(31, control(vec![peers_upstream], Vec::new(), 1)).await;
    let listener = TcpListener::bind(address(upstream_number(32), 8080)).await.unwrap();
    let (accepted, respond) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (accepted_by_test, respond_by_test) = (accepted.clone(), respond.clone());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        // A process that another test is starting may still hold the socket, so closing it is
        // not enough to refuse connections.
        SockRef::from(&listener).shutdown(Shutdown::Both).unwrap();
        drop(listener);
        accepted.notify_one();
        respond.notified().await;
        let response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    let rig = start(32, control(vec![upstream(32, "u1", SERVICE, 8080)], vec![peer(31)], 1)).await;
    let mut late = rig.connect().await;
    let request = "GET /menu/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\
                   Bulrushspan-Request-Id: late\r\n\r\n";
    late.write_all(request.as_bytes()).await.unwrap();
    timeout(WAIT_TIMEOUT, accepted_by_test.notified()).await.unwrap();
    let (status, response) = send(&rig, "order/1", "o1").await;
    assert_eq!(status, 200, "{response}");
    // The next health check of the upstream is then half a second away or more.
    sleep(Duration::from_millis(900)).await;
    respond_by_test.notify_one();
    let mut response = Vec::new();
    late.read_to_end(&mut response).await.unwrap();
    let (status, response) = send(&rig, "order/1", "o2").await;
    assert_eq!(status, 200, "{response}");
}

/// A service of which most upstreams crashed: their instance took it for lost links, and refused
/// requests that it could send to those that are left, since no peer took them over.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_are_left_are_used_if_no_peer_takes_requests_over() {
    let received = serve(address(upstream_number(33), 8080), false).await;
    let crashed = |index: u16| upstream(33, &format!("u{index:02}"), SERVICE, 9000 + index);
    let mut upstreams: Vec<_> = (0..20).map(crashed).collect();
    upstreams.push(upstream(33, "u20", SERVICE, 8080));
    let rig = start(33, control(upstreams, Vec::new(), 1)).await;
    let mut served = 0;
    for number in 0..60 {
        let (status, _) = send(&rig, "order/1", &format!("o{number}")).await;
        served += u32::from(status == 200);
    }
    assert!(served >= 30, "{served} of 60 served, {} received", received.lock().unwrap().len());
}

/// Lost links to a service whose upstreams all left the list: the instance went on saying that it
/// reaches no upstreams, so that callers were never led to it again.
#[tokio::test(flavor = "multi_thread")]
async fn links_to_a_service_without_upstreams_do_not_count_as_lost() {
    let announcements = UdpSocket::bind(address(control_number(40), 7660)).await.unwrap();
    let is_emptied = Arc::<AtomicBool>::default();
    let upstreams = unreachable_upstreams(40);
    let rig = start(40, control_until(upstreams, Vec::new(), 1, is_emptied.clone())).await;
    for number in 0..4 {
        send(&rig, "order/1", &format!("o{number}")).await;
    }
    let wait_for = async |reaches_upstreams: bool| {
        let mut datagram = vec![0; 2048];
        loop {
            let length = announcements.recv(&mut datagram).await.unwrap();
            let announcement: Announcement = decode(&datagram[..length]).unwrap();
            if announcement.reaches_upstreams == reaches_upstreams {
                return;
            }
        }
    };
    timeout(WAIT_TIMEOUT, wait_for(false)).await.unwrap();
    is_emptied.store(true, Ordering::Relaxed);
    timeout(WAIT_TIMEOUT / 6, wait_for(true)).await.expect("the links count as lost for ever");
}

/// Links that fell silent under requests in progress: the instance noticed nothing before the
/// requests reached their deadlines, and callers were led to it meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn links_that_fall_silent_are_noticed_while_requests_wait() {
    let announcements = UdpSocket::bind(address(control_number(61), 7660)).await.unwrap();
    let (accepted_sender, mut accepted) = mpsc::unbounded_channel();
    let mut listeners = Vec::new();
    for index in 0..UPSTREAMS as u16 {
        let listener = TcpListener::bind(address(upstream_number(61), 9000 + index)).await.unwrap();
        let listener = Arc::new(listener);
        listeners.push(listener.clone());
        let accepted_sender = accepted_sender.clone();
        tokio::spawn(async move {
            let mut streams = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                streams.push(stream);
                accepted_sender.send(()).ok();
            }
            // The connections stay open.
            std::future::pending::<()>().await;
        });
    }
    let rig = start(61, control(unreachable_upstreams(61), Vec::new(), 1)).await;
    let mut callers = Vec::new();
    for number in 0..16 {
        let mut caller = rig.connect().await;
        let request = format!(
            "GET /menu/1 HTTP/1.1\r\nHost: shop.example\r\nBulrushspan-Request-Id: m{number}\r\n\r\n"
        );
        caller.write_all(request.as_bytes()).await.unwrap();
        callers.push(caller);
        timeout(WAIT_TIMEOUT, accepted.recv()).await.unwrap();
    }
    listeners
        .iter()
        .for_each(|listener| SockRef::from(&**listener).shutdown(Shutdown::Both).unwrap());
    let wait_for_loss = async {
        let mut datagram = vec![0; 2048];
        loop {
            let length = announcements.recv(&mut datagram).await.unwrap();
            let announcement: Announcement = decode(&datagram[..length]).unwrap();
            if !announcement.reaches_upstreams {
                return;
            }
        }
    };
    timeout(WAIT_TIMEOUT / 4, wait_for_loss).await.expect("the loss is not noticed");
}
