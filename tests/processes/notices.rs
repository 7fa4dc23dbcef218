//! Runs an entry instance against upstreams that say with their responses that they leave or
//! that they want no requests for a while.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushspan::{
    core::MapDelta,
    net::{
        mesh::MeshHandler,
        wire::{ListDelta, NodeReply, NodeRequest},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};

use super::{
    entry::{Rig, WAIT_TIMEOUT, address, follow_reply, listed_upstream},
    hand_over::{policy, send, start},
};

/// An upstream whose response can be changed while it runs.
#[derive(Clone)]
struct StandIn {
    address: String,
    id: String,
    response: Arc<Mutex<Response>>,
    received: Arc<Mutex<Vec<Received>>>,
}

#[derive(Clone)]
struct Response {
    /// The status; 0 closes the connection without a response.
    status: u16,
    fields: &'static str,
    takes: Duration,
}

#[derive(Clone)]
struct Received {
    at: Instant,
    target: String,
    /// The number of requests in progress, with this one.
    in_progress: u64,
    status: u16,
}

/// The number of instances that share limits.
const ENTRIES: u32 = 2;

const OK: Response = Response { status: 200, fields: "", takes: Duration::ZERO };

impl StandIn {
    async fn start(number: u32, id: &str) -> Self {
        let stand_in = Self {
            address: address(number, 8080),
            id: id.to_owned(),
            response: Arc::new(Mutex::new(OK)),
            received: Arc::default(),
        };
        let listener = TcpListener::bind(&stand_in.address).await.unwrap();
        tokio::spawn(stand_in.clone().serve(listener));
        stand_in
    }

    async fn serve(self, listener: TcpListener) {
        let in_progress = Arc::new(AtomicU64::new(0));
        while let Ok((mut stream, _)) = listener.accept().await {
            let (stand_in, in_progress) = (self.clone(), in_progress.clone());
            tokio::spawn(async move {
                let mut head = vec![0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut head).await {
                    let text = String::from_utf8_lossy(&head[..length]).into_owned();
                    let response = stand_in.response.lock().unwrap().clone();
                    stand_in.received.lock().unwrap().push(Received {
                        at: Instant::now(),
                        target: text.split(' ').nth(1).unwrap_or_default().to_owned(),
                        in_progress: in_progress.fetch_add(1, Ordering::SeqCst) + 1,
                        status: response.status,
                    });
                    sleep(response.takes).await;
                    in_progress.fetch_sub(1, Ordering::SeqCst);
                    if response.status == 0 {
                        return;
                    }
                    let field = "Bulrushspan-Request-Id: ";
                    let id = text.lines().find_map(|line| line.strip_prefix(field));
                    let (id, status) = (id.unwrap_or_default(), response.status);
                    let (own_id, fields) = (&stand_in.id, response.fields);
                    let response = format!(
                        "HTTP/1.1 {status} Status\r\n{field}{id}\r\n\
                         Bulrushspan-Instance-Id: {own_id}\r\n{fields}Content-Length: 2\r\n\r\nok"
                    );
                    stream.write_all(response.as_bytes()).await.ok();
                }
            });
        }
    }

    fn set_response(&self, response: Response) {
        *self.response.lock().unwrap() = response;
    }

    fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// Waits until a request has arrived that is answered with `status`.
    async fn wait_received(&self, status: u16) -> Received {
        let started_at = Instant::now();
        loop {
            if let Some(found) = self.received().into_iter().find(|one| one.status == status) {
                return found;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "no request that gets {status}");
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Returns a control replica that sends the list of upstreams again and again, all of them
/// ready, until `is_silent`.
fn control(
    stand_ins: &[StandIn],
    is_silent: Arc<AtomicBool>,
) -> MeshHandler<NodeRequest, NodeReply> {
    let listed = |stand_in: &StandIn| {
        let mut listed = listed_upstream(stand_in.address.parse().unwrap());
        (listed.id, listed.started_unix_ms) = (stand_in.id.clone(), Some(1));
        (listed.id.clone(), listed)
    };
    let put: Vec<_> = stand_ins.iter().map(listed).collect();
    let policy = policy(1);
    let counter = Arc::new(AtomicU64::new(1));
    Arc::new(move |call, _peer| {
        let (policy, put) = (policy.clone(), put.clone());
        let (counter, is_silent) = (counter.clone(), is_silent.clone());
        Box::pin(async move {
            let NodeRequest::Follow(request) = call else { return None };
            sleep(Duration::from_millis(request.hold_ms.min(100))).await;
            if is_silent.load(Ordering::SeqCst) {
                return None;
            }
            let mut reply = follow_reply(&request, &policy, put[0].1.clone());
            let change = MapDelta { version: 1, is_full: true, put, removed: Vec::new() };
            let counter = counter.fetch_add(1, Ordering::SeqCst);
            reply.entries = ENTRIES;
            reply.list = request.list.map(|_| ListDelta { counter, change });
            Some(NodeReply::Follow(Box::new(reply)))
        })
    })
}

async fn start_with(number: u32, stand_ins: &[StandIn]) -> (Rig, Arc<AtomicBool>) {
    let is_silent = Arc::new(AtomicBool::new(false));
    (start(number, control(stand_ins, is_silent.clone())).await, is_silent)
}

/// DRAIN: an upstream that said itself that it leaves got requests until the list said so, and
/// for as long as the instance was out of touch.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_says_it_leaves_gets_no_request_whatever_the_list_says() {
    let stand_ins = [StandIn::start(211, "u1").await, StandIn::start(212, "u2").await];
    let (rig, is_silent) = start_with(51, &stand_ins).await;
    let [leaving, other] = &stand_ins;
    leaving.set_response(Response { fields: "Server-Leaving: 1\r\n", ..OK });
    let mut sent = 0;
    let mut send_next = async || {
        sent += 1;
        send(&rig, "menu/1", &format!("r{sent}")).await
    };
    while leaving.received().is_empty() {
        send_next().await;
    }
    for is_out_of_touch in [false, true] {
        is_silent.store(is_out_of_touch, Ordering::SeqCst);
        // At least one list that names the upstream as ready arrives, or none any more.
        sleep(Duration::from_millis(300)).await;
        for _ in 0..40 {
            let (status, response) = send_next().await;
            assert_eq!(status, 200, "{response}");
        }
        let count = leaving.received().len();
        assert_eq!(count, 1, "requests after it said so, out of touch: {is_out_of_touch}");
    }
    assert!(other.received().len() >= 80);
}

const PAUSE: Duration = Duration::from_millis(2500);
const PAUSE_FIELDS: &str = "Bulrushspan-Not-Run: full\r\nRetry-After: 2.5\r\n";

/// BUDGET: an upstream that wants no requests for a while got them from every caller, as the
/// only one that was left, and all at once when the time was over.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_asks_for_a_pause_gets_nothing_until_it_ends_and_then_one_at_first() {
    let stand_in = StandIn::start(213, "u1").await;
    let (rig, _) = start_with(52, std::slice::from_ref(&stand_in)).await;
    assert_eq!(send(&rig, "menu/1", "first").await.0, 200);
    stand_in.set_response(Response { status: 503, fields: PAUSE_FIELDS, ..OK });
    assert_eq!(send(&rig, "menu/1", "refused").await.0, 503);
    let answered_at = stand_in.wait_received(503).await.at;
    let takes = Duration::from_millis(300);
    stand_in.set_response(Response { takes, ..OK });
    let before = stand_in.received().len();
    while answered_at.elapsed() < PAUSE - Duration::from_millis(300) {
        let sent_at = Instant::now();
        let (status, response) = send(&rig, "order/1", "paused").await;
        assert_eq!(status, 503, "{response}");
        assert!(response.contains("\"paused\""), "{response}");
        let field = response.lines().find_map(|line| line.strip_prefix("retry-after: "));
        let retry_after: f64 = field.unwrap().parse().unwrap();
        let left = PAUSE.saturating_sub(answered_at.elapsed()).as_secs_f64();
        assert!((left - 0.01..=left + 0.5).contains(&retry_after), "{retry_after} for {left}");
        assert!(sent_at.elapsed() < Duration::from_secs(1), "{:?}", sent_at.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(stand_in.received().len(), before, "requests during the pause");
    sleep(PAUSE.saturating_sub(answered_at.elapsed()) + Duration::from_millis(50)).await;
    let burst = |name: &'static str| {
        let rig = &rig;
        let sends =
            (0..8).map(move |n| async move { send(rig, "menu/1", &format!("{name}{n}")).await.0 });
        futures_util::future::join_all(sends)
    };
    let served = burst("a").await.into_iter().filter(|status| *status == 200).count();
    assert_eq!(served, 1, "requests that are served at once after the pause");
    let mut most = 0;
    let started_at = Instant::now();
    while most < 8 {
        burst("b").await;
        most = stand_in.received().iter().map(|one| one.in_progress).max().unwrap();
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "at most {most} at a time");
    }
}

/// BUDGET: health checks are requests too.
#[tokio::test(flavor = "multi_thread")]
async fn health_checks_keep_to_the_pause_of_an_upstream() {
    let stand_in = StandIn::start(214, "u1").await;
    let (rig, _) = start_with(53, std::slice::from_ref(&stand_in)).await;
    stand_in.set_response(Response { status: 0, ..OK });
    assert_eq!(send(&rig, "order/1", "broken").await.0, 502);
    stand_in.set_response(Response { status: 503, fields: PAUSE_FIELDS, ..OK });
    let answered_at = stand_in.wait_received(503).await.at;
    stand_in.set_response(OK);
    sleep(PAUSE.saturating_sub(answered_at.elapsed()) - Duration::from_millis(300)).await;
    let checks = |received: &[Received]| {
        received.iter().filter(|one| one.target == "/health" && one.at > answered_at).count()
    };
    assert_eq!(checks(&stand_in.received()), 0, "health checks during the pause");
    let started_at = Instant::now();
    while send(&rig, "menu/1", "again").await.0 != 200 {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the upstream is not used again");
        sleep(Duration::from_millis(50)).await;
    }
    assert!(checks(&stand_in.received()) >= 1);
}

/// LIMIT: an upstream that named the request rate that it takes from all instances together got
/// the old rate from each of them.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_names_a_limit_gets_no_more_from_all_instances_together() {
    const LIMIT_PER_S: f64 = 5.0;
    let stand_ins = [StandIn::start(215, "u1").await, StandIn::start(216, "u2").await];
    let [limited, other] = &stand_ins;
    limited.set_response(Response { fields: "Server-Limit: 5.0\r\n", ..OK });
    let rigs = [start_with(230, &stand_ins).await.0, start_with(231, &stand_ins).await.0];
    for rig in &rigs {
        let told = limited.received().len();
        for number in 0.. {
            send(rig, "menu/1", &format!("t{number}")).await;
            if limited.received().len() > told {
                break;
            }
        }
    }
    sleep(Duration::from_millis(500)).await;
    let (began_at, window) = (Instant::now(), Duration::from_secs(4));
    let load = async |rig: &Rig, name: &str| {
        let mut sent = 0;
        while began_at.elapsed() < window {
            sent += 1;
            let (status, response) = send(rig, "menu/1", &format!("{name}{sent}")).await;
            assert_eq!(status, 200, "{response}");
        }
    };
    tokio::join!(load(&rigs[0], "a"), load(&rigs[1], "b"));
    let ends_at = began_at + window;
    let in_window = |received: Vec<Received>| {
        received.iter().filter(|one| (began_at..ends_at).contains(&one.at)).count()
    };
    let allowed = 1.5 * LIMIT_PER_S * window.as_secs_f64() + 5.0;
    let received = in_window(limited.received());
    assert!(received as f64 <= allowed, "{received} of {allowed}");
    assert!(received as f64 >= LIMIT_PER_S * window.as_secs_f64() / 2.0, "{received}");
    assert!(in_window(other.received()) > received);
    limited.set_response(OK);
    let started_at = Instant::now();
    while limited.received().len() < 2 * received + 100 {
        send(&rigs[0], "menu/1", &format!("e{}", limited.received().len())).await;
        send(&rigs[0], "menu/1", &format!("f{}", other.received().len())).await;
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the limit has not ended");
    }
}
