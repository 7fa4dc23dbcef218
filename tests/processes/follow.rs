//! Runs one entry instance against a stand-in for its control replica that replies late, or
//! not at all, or that is behind.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushspan::{
    core::{MapDelta, control::Policy, routing::Route},
    net::{
        mesh::{MeshHandler, serve_mesh},
        wire::{Cursor, ListDelta, NodeReply, NodeRequest},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::sleep,
};

use super::{
    entry::{
        GRACE_S, LINK_MBPS, Rig, WAIT_TIMEOUT, address, control_number, follow_reply, ip,
        listed_upstream, silent_seed, upstream_number,
    },
    hand_over::{policy, send, serve},
};

/// How a stand-in for a control replica replies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    UpToDate,
    Behind,
    Silent,
}

/// A path that has a route, and one that has none.
const ROUTED: &str = "menu/1";
const UNROUTED: &str = "none/1";
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts an instance whose control replica replies as `mode` says, and an upstream.
async fn start(number: u32, mode: Arc<Mutex<Mode>>) -> Rig {
    serve(address(upstream_number(number), 8080), false).await;
    let policy = policy(1);
    let control: MeshHandler<NodeRequest, NodeReply> = Arc::new(move |call, _peer| {
        let (policy, mode) = (policy.clone(), mode.clone());
        Box::pin(async move {
            let NodeRequest::Follow(request) = call else { return None };
            sleep(Duration::from_millis(request.hold_ms.min(200))).await;
            let listed = listed_upstream(address(upstream_number(number), 8080).parse().unwrap());
            let mut reply = follow_reply(&request, &policy, listed);
            match *mode.lock().unwrap() {
                Mode::UpToDate => {}
                Mode::Behind => reply.behind_ms = None,
                Mode::Silent => return None,
            }
            Some(NodeReply::Follow(Box::new(reply)))
        })
    });
    launch(number, control).await
}

async fn launch(number: u32, control: MeshHandler<NodeRequest, NodeReply>) -> Rig {
    let (_, events) = mpsc::unbounded_channel();
    let rig = Rig::launch(number, control, events, LINK_MBPS).await;
    rig.wait_ready().await;
    rig
}

/// Sends requests without a route until the instance responds with `status`.
async fn wait_for_unrouted(rig: &Rig, status: u16) -> String {
    let started_at = Instant::now();
    loop {
        let (seen, response) = send(rig, UNROUTED, "r1").await;
        if seen == status {
            return response;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{response}");
        sleep(POLL_INTERVAL).await;
    }
}

/// A stand-in that replies to probes after one delay and to requests for its state after
/// another, and counts the requests of an instance that has no policy.
fn delayed(
    number: u32,
    probe_delay: Duration,
    state_delay: Duration,
) -> (MeshHandler<NodeRequest, NodeReply>, Arc<AtomicUsize>) {
    let policy = policy(1);
    let asked = Arc::<AtomicUsize>::default();
    let asked_by_test = asked.clone();
    let control: MeshHandler<NodeRequest, NodeReply> = Arc::new(move |call, _peer| {
        let (policy, asked) = (policy.clone(), asked.clone());
        Box::pin(async move {
            let NodeRequest::Follow(request) = call else { return None };
            if request.version == Some(0) {
                asked.fetch_add(1, Ordering::Relaxed);
            }
            let is_probe = request.version.is_none();
            sleep(if is_probe { probe_delay } else { state_delay }).await;
            let listed = listed_upstream(address(upstream_number(number), 8080).parse().unwrap());
            Some(NodeReply::Follow(Box::new(follow_reply(&request, &policy, listed))))
        })
    });
    (control, asked_by_test)
}

/// A restarted instance that never found a control replica, because the traffic on its link
/// delayed each reply to a probe for longer than a search waited.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_is_found_although_its_replies_are_delayed() {
    let (control, _) = delayed(55, Duration::from_millis(1500), Duration::from_millis(100));
    launch(55, control).await;
}

/// An instance that threw away each late reply of the replica that it followed, and so never
/// learned of a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_reply_of_the_followed_replica_is_used() {
    let (control, asked) = delayed(56, Duration::ZERO, Duration::from_millis(2500));
    launch(56, control).await;
    let asked = asked.load(Ordering::Relaxed);
    assert!(asked <= 2, "asked for the whole policy {asked} times");
}

/// A whole policy or list on a slow link that was requested again and again, since it never
/// arrived before the timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_reply_that_takes_longer_than_its_timeout_is_awaited_longer_the_next_time() {
    let (control, _) = delayed(57, Duration::ZERO, Duration::from_millis(6500));
    launch(57, control).await;
}

/// Two replicas whose whole state took longer to arrive than each was awaited: the instance
/// changed from one to the other and asked for all of it again each time.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_state_arrives_although_another_replica_replies_to_probes() {
    let state_delay = Duration::from_millis(8000);
    let (control, _) = delayed(8, Duration::ZERO, state_delay);
    let (other, _) = delayed(8, Duration::ZERO, state_delay);
    let listener = TcpListener::bind(format!("{}:7660", silent_seed(8))).await.unwrap();
    tokio::spawn(serve_mesh(listener, other));
    launch(8, control).await;
}

/// The bandwidth of a narrow link, in bytes per second, and the interval at which it carries them.
const NARROW_BYTES_PER_S: usize = 50_000;
const NARROW_INTERVAL: Duration = Duration::from_millis(20);
/// A configuration of this many routes takes some 10 s on a narrow link.
const ROUTES: usize = 2500;

/// A link that carries one piece at a time.
type Link = Arc<tokio::sync::Mutex<()>>;

/// Forwards the connections to one address to another, over a link that queues what it can't
/// carry at once.
async fn forward_over(link: Link, listener: TcpListener, to: SocketAddr) {
    while let Ok((client, _)) = listener.accept().await {
        let Ok(server) = TcpStream::connect(to).await else { continue };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(copy_over(link.clone(), client_read, server_write));
        tokio::spawn(copy_over(link.clone(), server_read, client_write));
    }
}

async fn copy_over(link: Link, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let (sender, mut queue) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut bytes = vec![0; 64 * 1024];
        while let Ok(length @ 1..) = from.read(&mut bytes).await {
            sender.send(bytes[..length].to_vec()).ok();
        }
    });
    while let Some(bytes) = queue.recv().await {
        for piece in bytes.chunks(NARROW_BYTES_PER_S / 50) {
            let turn = link.lock().await;
            sleep(NARROW_INTERVAL).await;
            drop(turn);
            if to.write_all(piece).await.is_err() {
                return;
            }
        }
    }
}

/// Returns a policy with many routes, of which the first one is that of [`policy`].
fn large_policy() -> Policy {
    let mut policy = policy(1);
    let mut routing = (*policy.routing).clone();
    let route = routing.routes.values().next().unwrap().clone();
    for number in 0..ROUTES {
        let path_prefix = format!("/other/{number}/");
        let other = Route { path_prefix, ..(*route).clone() };
        routing.routes.insert(format!("other-{number}"), Arc::new(other));
    }
    policy.routing = Arc::new(routing);
    policy
}

/// On a narrow link an instance took a large configuration that was still arriving for late,
/// turned to another replica and began anew, so that it was not ready for several times as long
/// as the link needs for the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_is_arriving_on_a_narrow_link_is_requested_once() {
    let number = 71;
    let (policy, asked) = (large_policy(), Arc::<AtomicUsize>::default());
    let link = Link::default();
    let counter = asked.clone();
    let control: MeshHandler<NodeRequest, NodeReply> = Arc::new(move |call, _peer| {
        let (policy, asked) = (policy.clone(), counter.clone());
        Box::pin(async move {
            let NodeRequest::Follow(request) = call else { return None };
            if request.version == Some(0) {
                asked.fetch_add(1, Ordering::Relaxed);
            }
            let listed = listed_upstream(address(upstream_number(number), 8080).parse().unwrap());
            Some(NodeReply::Follow(Box::new(follow_reply(&request, &policy, listed))))
        })
    });
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server_address = server.local_addr().unwrap();
    tokio::spawn(serve_mesh(server, control.clone()));
    for seed in [silent_seed(number), ip(control_number(number))] {
        let listener = TcpListener::bind(format!("{seed}:7660")).await.unwrap();
        tokio::spawn(forward_over(link.clone(), listener, server_address));
    }
    let (_, events) = mpsc::unbounded_channel();
    let rig = Rig::launch_without_control(number, events, (LINK_MBPS, GRACE_S));
    rig.wait_ready().await;
    assert_eq!(asked.load(Ordering::Relaxed), 1);
}

/// A replica whose list of upstreams was older than the instance's: the instance ignored its
/// complete list and asked for it again at once, which filled the links of both.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_is_older_is_not_requested_again_at_once() {
    let lists_sent = Arc::<AtomicUsize>::default();
    let (counter, policy) = (lists_sent.clone(), policy(1));
    let control: MeshHandler<NodeRequest, NodeReply> = Arc::new(move |call, _peer| {
        let (lists_sent, policy) = (lists_sent.clone(), policy.clone());
        Box::pin(async move {
            let NodeRequest::Follow(request) = call else { return None };
            let listed = listed_upstream(address(upstream_number(55), 8080).parse().unwrap());
            let mut reply = follow_reply(&request, &policy, listed);
            match request.list {
                Some(cursor) if cursor == Cursor::default() => {}
                Some(_) => {
                    lists_sent.fetch_add(1, Ordering::Relaxed);
                    reply.list_age_ms = Some(60_000);
                    let change = MapDelta {
                        version: 1,
                        is_full: true,
                        put: Vec::new(),
                        removed: Vec::new(),
                    };
                    reply.list = Some(ListDelta { counter: 2, change });
                }
                None => {
                    reply.list = None;
                    sleep(Duration::from_millis(request.hold_ms)).await;
                }
            }
            Some(NodeReply::Follow(Box::new(reply)))
        })
    });
    let _rig = launch(54, control).await;
    let before = counter.load(Ordering::Relaxed);
    sleep(Duration::from_secs(2)).await;
    let sent = counter.load(Ordering::Relaxed) - before;
    assert!(sent <= 20, "{sent} complete lists within 2 s");
}

/// Callers got 404, after which they don't try again, for a route that was acknowledged while
/// their instance had no control replica.
#[tokio::test(flavor = "multi_thread")]
async fn a_missing_route_is_refused_while_the_configuration_may_be_old() {
    let mode = Arc::new(Mutex::new(Mode::UpToDate));
    let rig = start(58, mode.clone()).await;
    wait_for_unrouted(&rig, 404).await;
    *mode.lock().unwrap() = Mode::Silent;
    let response = wait_for_unrouted(&rig, 503).await;
    assert!(response.contains("retry-after"), "{response}");
    assert_eq!(send(&rig, ROUTED, "r2").await.0, 200);
    *mode.lock().unwrap() = Mode::UpToDate;
    wait_for_unrouted(&rig, 404).await;
}

/// Callers got 404 by a configuration that a restarted instance took over from a replica without
/// a leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_missing_route_is_refused_while_only_replicas_that_are_behind_were_asked() {
    let mode = Arc::new(Mutex::new(Mode::Behind));
    let rig = start(59, mode.clone()).await;
    let (status, response) = send(&rig, UNROUTED, "r1").await;
    assert_eq!(status, 503, "{response}");
    assert_eq!(send(&rig, ROUTED, "r2").await.0, 200);
    *mode.lock().unwrap() = Mode::UpToDate;
    wait_for_unrouted(&rig, 404).await;
}

/// An instance that was suspended took its configuration for confirmed by a reply that had waited
/// for it meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_reply_from_before_a_suspension_does_not_confirm_the_configuration() {
    let mode = Arc::new(Mutex::new(Mode::UpToDate));
    let rig = start(60, mode.clone()).await;
    wait_for_unrouted(&rig, 404).await;
    rig.signal("STOP");
    sleep(Duration::from_millis(1000)).await;
    *mode.lock().unwrap() = Mode::Silent;
    sleep(Duration::from_millis(2500)).await;
    rig.signal("CONT");
    let (status, response) = send(&rig, UNROUTED, "r2").await;
    assert_eq!(status, 503, "{response}");
}
