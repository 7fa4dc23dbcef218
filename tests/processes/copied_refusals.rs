//! Runs entry instances against upstreams, peers and callers that bring the id of a refused request
//! to its connection again, where a copy of the refusal arrives before the response.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushspan::core::upstreams::ListedUpstream;
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{
    entry::{Rig, address, listed_upstream, upstream_number},
    hand_over::{control, peer, send, send_with, start, unreachable_upstreams},
};

/// What upstreams, or peers, did.
#[derive(Default)]
struct Record {
    /// How often each request ran, by id.
    runs: BTreeMap<String, u32>,
    connections: u32,
    open_connections: usize,
    open_connections_max: usize,
    /// The connections on which a refusal was written once more.
    copies: u32,
}

type Shared = Arc<Mutex<Record>>;

/// How upstreams, or peers, respond.
#[derive(Clone, Copy)]
struct Behaviour {
    /// The status of refusals.
    status: u16,
    /// How many connections one of them keeps open; others are reset.
    connections_max: usize,
}

const REFUSING: Behaviour = Behaviour { status: 503, connections_max: usize::MAX };
/// How long a request runs after the copy of its refusal was written.
const RUN_TIME: Duration = Duration::from_millis(30);
/// How long a slow request runs: others that were sent with it run at the same time.
const SLOW_TIME: Duration = Duration::from_millis(500);

/// Serves upstreams, or peers, at addresses. Each refuses a request when it first comes to its
/// address, and runs it when it comes again. A copy of the refusal precedes the response on the
/// connection of the refusal.
async fn serve(addresses: &[String], behaviour: Behaviour) -> Shared {
    let record = Shared::default();
    for address in addresses {
        let listener = TcpListener::bind(address).await.unwrap();
        let record = record.clone();
        tokio::spawn(async move {
            let refused = Arc::new(Mutex::new(BTreeSet::new()));
            while let Ok((stream, _)) = listener.accept().await {
                let is_full = {
                    let mut record = record.lock().unwrap();
                    let is_full = record.open_connections >= behaviour.connections_max;
                    record.connections += 1;
                    record.open_connections += usize::from(!is_full);
                    record.open_connections_max =
                        record.open_connections_max.max(record.open_connections);
                    is_full
                };
                if is_full {
                    stream.set_zero_linger().unwrap();
                    continue;
                }
                let (record, refused) = (record.clone(), refused.clone());
                tokio::spawn(async move {
                    serve_connection(stream, behaviour.status, &record, &refused).await;
                    record.lock().unwrap().open_connections -= 1;
                });
            }
        });
    }
    record
}

async fn serve_connection(
    mut stream: TcpStream,
    status: u16,
    record: &Mutex<Record>,
    refused: &Mutex<BTreeSet<String>>,
) {
    let mut head = vec![0; 4096];
    let mut refused_here = BTreeSet::new();
    while let Ok(length @ 1..) = stream.read(&mut head).await {
        let text = String::from_utf8_lossy(&head[..length]).into_owned();
        let field = text.lines().find_map(|line| line.strip_prefix("Bulrushspan-Request-Id: "));
        let id = field.unwrap_or_default().to_owned();
        let refuses = text.contains("/refuse ") && refused.lock().unwrap().insert(id.clone());
        if refuses {
            refused_here.insert(id.clone());
            stream.write_all(refusal(status, &id).as_bytes()).await.ok();
            continue;
        }
        *record.lock().unwrap().runs.entry(id.clone()).or_default() += 1;
        if refused_here.contains(&id) {
            record.lock().unwrap().copies += 1;
            stream.write_all(refusal(status, &id).as_bytes()).await.ok();
            sleep(RUN_TIME).await;
        }
        if text.contains("/slow ") {
            sleep(SLOW_TIME).await;
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\nBulrushspan-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(response.as_bytes()).await.ok();
    }
}

/// Returns a refusal of an upstream or of a peer.
fn refusal(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} Refused\r\nBulrushspan-Request-Id: {id}\r\nBulrushspan-Not-Run: 1\r\n\
         Relay-Refused: crashes_upstreams 1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Starts an instance with upstreams at the given addresses, by id.
async fn start_with(number: u32, upstreams: &[(&str, &String)]) -> Rig {
    let listed = upstreams.iter().map(|(id, address)| ListedUpstream {
        id: (*id).to_owned(),
        ..listed_upstream(address.parse().unwrap())
    });
    start(number, control(listed.collect(), Vec::new(), 1)).await
}

fn addresses(number: u32) -> [String; 2] {
    [8080, 8081].map(|port| address(upstream_number(number), port))
}

/// Callers were refused while their request ran: an address was listed under two ids, the first
/// refused, and its refusal was taken for that of the second.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_is_not_believed_of_the_same_address_under_another_id() {
    for (number, status) in [(120, 503), (121, 429), (122, 421)] {
        let [address, _] = addresses(number);
        let record = serve(std::slice::from_ref(&address), Behaviour { status, ..REFUSING }).await;
        let rig = start_with(number, &[("u1", &address), ("u2", &address)]).await;
        for id in ["a", "b", "c"] {
            let (answered, _) = send(&rig, "order/refuse", id).await;
            let runs = record.lock().unwrap().runs.get(id).copied();
            assert_eq!((answered, runs), (200, Some(1)), "{id} refused with {status}");
        }
    }
}

/// Callers that sent a refused request again were refused while it ran, twice: each upstream's copy
/// of the first refusal was believed.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_is_not_believed_when_a_caller_sends_its_id_again() {
    let addresses = addresses(123);
    let record = serve(&addresses, REFUSING).await;
    let rig = start_with(123, &[("u1", &addresses[0]), ("u2", &addresses[1])]).await;
    for id in ["a", "b", "c"] {
        let (first, _) = send(&rig, "order/refuse", id).await;
        let (second, _) = send(&rig, "order/refuse", id).await;
        let runs = record.lock().unwrap().runs.get(id).copied();
        assert_eq!((first, second, runs), (503, 200, Some(1)), "{id}");
    }
}

/// The same with a peer that took a request over: its earlier refusal was believed.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_peers_refusal_is_not_believed_when_a_caller_sends_its_id_again() {
    let record = serve(&[address(125, 7660)], REFUSING).await;
    let rig = start(124, control(unreachable_upstreams(124), vec![peer(125)], 1)).await;
    for id in ["a", "b", "c"] {
        let (first, _) = send(&rig, "order/refuse", id).await;
        let (second, _) = send(&rig, "order/refuse", id).await;
        let runs = record.lock().unwrap().runs.get(id).copied();
        assert_eq!((first, second, runs), (503, 200, Some(1)), "{id}");
    }
}

/// Callers that send an id again and again took no upstream out of use, though these reset further
/// connections, and left no connections open.
#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_is_sent_again_and_again_costs_no_upstream() {
    for (number, connections_max) in [(126, 1), (127, usize::MAX)] {
        let [address, _] = addresses(number);
        let record =
            serve(std::slice::from_ref(&address), Behaviour { connections_max, ..REFUSING }).await;
        let rig = start_with(number, &[("u1", &address)]).await;
        for id in 0..10 {
            for _ in 0..5 {
                let runs_of = || record.lock().unwrap().runs.get("again").copied().unwrap_or(0);
                let runs_before = runs_of();
                let (repeated, _) = send(&rig, "order/run", "again").await;
                let runs = runs_of() - runs_before;
                assert!([(200, 1), (502, 0), (503, 0)].contains(&(repeated, runs)), "{repeated}");
            }
            let id = format!("other-{id}");
            let (answered, _) = send(&rig, "order/run", &id).await;
            let runs = record.lock().unwrap().runs.get(&id).copied();
            assert_eq!((answered, runs), (200, Some(1)), "{id}, {connections_max} connections");
        }
        let open_max = record.lock().unwrap().open_connections_max;
        assert!(open_max <= 2, "{open_max} connections were open at once");
    }
}

/// Connections were kept for more requests than are remembered.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_replaced_before_an_id_that_it_carried_is_forgotten() {
    let [address, _] = addresses(128);
    let record = serve(std::slice::from_ref(&address), REFUSING).await;
    let rig = start_with(128, &[("u1", &address)]).await;
    assert_eq!(send(&rig, "order/refuse", "first").await.0, 503);
    for id in 0..1100 {
        assert_eq!(send(&rig, "order/run", &format!("other-{id}")).await.0, 200);
    }
    assert_eq!(send(&rig, "order/refuse", "first").await.0, 200);
    let record = record.lock().unwrap();
    assert_eq!((record.runs["first"], record.copies, record.connections), (1, 0, 2));
}

/// Writes the response before once more ahead of each response, with a body unless it was to `HEAD`.
async fn serve_copies(listener: TcpListener, record: Shared) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let record = record.clone();
        tokio::spawn(async move {
            let (mut head, mut earlier) = (vec![0; 4096], String::new());
            while let Ok(length @ 1..) = stream.read(&mut head).await {
                let text = String::from_utf8_lossy(&head[..length]).into_owned();
                let field =
                    text.lines().find_map(|line| line.strip_prefix("Bulrushspan-Request-Id: "));
                let id = field.unwrap_or_default().to_owned();
                *record.lock().unwrap().runs.entry(id.clone()).or_default() += 1;
                let body = if text.starts_with("HEAD ") { "" } else { "ok" };
                let response = format!(
                    "HTTP/1.1 200 OK\r\nBulrushspan-Request-Id: {id}\r\nContent-Length: 2\r\n\r\n{body}"
                );
                stream.write_all((earlier + &response).as_bytes()).await.ok();
                earlier = response;
            }
        });
    }
}

/// The copy of a response to `HEAD` was read with a body, and the reverse, so that the response that
/// followed was lost and callers got 502.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_response_to_another_method_does_not_cost_the_next_response() {
    let [address, _] = addresses(129);
    let record = Shared::default();
    tokio::spawn(serve_copies(TcpListener::bind(&address).await.unwrap(), record.clone()));
    let rig = start_with(129, &[("u1", &address)]).await;
    for (number, method) in ["HEAD", "POST", "POST", "HEAD", "HEAD", "POST"].iter().enumerate() {
        let id = format!("id-{number}");
        let (answered, _) = send_with(&rig, method, "order/run", &id).await;
        let runs = record.lock().unwrap().runs.get(&id).copied();
        assert_eq!((answered, runs), (200, Some(1)), "{method} {id}");
    }
}

/// A caller that sent its id again and again had the connections closed that carried other requests.
#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_is_sent_again_closes_no_connection_but_the_one_that_it_replaces() {
    let [address, _] = addresses(130);
    let record = serve(std::slice::from_ref(&address), REFUSING).await;
    let rig = start_with(130, &[("u1", &address)]).await;
    let send_together = async |name: &str| {
        let ids: Vec<String> = (0..5).map(|number| format!("{name}-{number}")).collect();
        join_all(ids.iter().map(|id| send(&rig, "order/slow", id))).await;
    };
    send_together("first").await;
    for _ in 0..5 {
        assert_eq!(send(&rig, "order/run", "again").await.0, 200);
    }
    let connections = record.lock().unwrap().connections;
    send_together("second").await;
    assert_eq!(record.lock().unwrap().connections, connections);
}
