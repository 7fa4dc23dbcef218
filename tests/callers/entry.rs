//! Crowds at an entry instance.

use std::time::Duration;

use futures_util::{future::join_all, stream};
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinHandle, time::sleep};

use super::{
    crowd::{Script, send_crowd},
    rig::{LONG_ANSWER_BYTES, Limits, Rig},
};

const CALLERS: u16 = 8144;
const PEERS: u16 = 7660;
const READINESS: u16 = 8140;
const METRICS: u16 = 9464;
/// The number of callers that send long requests.
const CROWD: usize = 24;
const MIB: usize = 1024 * 1024;
const CHUNKED: &str = "Transfer-Encoding: chunked";
/// The id of all requests of a crowd.
const ID: &str = "crowd";

fn post(field: &str) -> String {
    format!(
        "POST /files/1 HTTP/1.1\r\nHost: shop.example\r\nBulrushspan-Request-Id: {ID}\r\n{field}\r\n\r\n"
    )
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: shop.example\r\nBulrushspan-Request-Id: {ID}\r\n\r\n")
}

/// Sends a crowd whose requests are not to be passed on, and checks the entry instance.
async fn play(number: u32, limits: Limits, port: u16, count: usize, script: Script) {
    let mut rig = Rig::start(number, limits).await;
    let crowd = send_crowd(rig.address("entry", port), count, &script).await;
    rig.wait_answered().await;
    assert!(!rig.has_run(ID), "an incomplete request was passed on");
    rig.check("entry");
    drop(crowd);
}

/// Bodies in large chunks that stop short of their end; their buffers took all memory.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_large_chunks_fit_into_memory() {
    let script = Script::with_chunks(post(CHUNKED), MIB / 2, 16);
    play(0, Limits::default(), CALLERS, CROWD, script).await;
}

/// The same with an announced length.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_with_a_length_fit_into_memory() {
    let field = format!("Content-Length: {}", 8 * MIB);
    let script = Script::with_bytes(post(&field), 8 * MIB - 16 * 1024);
    play(1, Limits::default(), CALLERS, CROWD, script).await;
}

/// The same in chunks of a few bytes.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_small_chunks_fit_into_memory() {
    let script = Script::with_chunks(post(CHUNKED), 4, 3 * MIB / 2);
    play(2, Limits::default(), CALLERS, CROWD, script).await;
}

/// Bodies over the limit, sent without a length: each was read up to the limit.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit_fit_into_memory() {
    let script = Script::with_chunks(post(CHUNKED), MIB / 2, 64);
    play(3, Limits::default(), CALLERS, CROWD, script).await;
}

/// The same with an announced length, which is refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_far_over_the_limit_fit_into_memory() {
    let field = format!("Content-Length: {}", 64 * MIB);
    let script = Script::with_bytes(post(&field), 32 * MIB);
    play(4, Limits::default(), CALLERS, CROWD, script).await;
}

/// Heads that never end, each within the limit.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_fit_into_memory() {
    let limits = Limits { header_max_bytes: 64 * 1024, ..Limits::default() };
    let head = get("/menu/1");
    let script = Script::new(format!("{}\r\nX-Field: {}", head.trim_end(), "x".repeat(60 * 1024)));
    play(5, limits, CALLERS, 1000, script).await;
}

/// Heads of very short fields, whose parsed form is several times as large, in requests that are
/// pipelined behind one that is not complete.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_behind_heads_of_many_fields_fit_into_memory() {
    let fields = "a:\n".repeat(5000);
    let field = format!("Content-Length: 100000\r\n{fields}{}", fields.trim_end());
    let limits = Limits { header_max_bytes: 64 * 1024, ..Limits::default() };
    play(6, limits, CALLERS, 400, Script::new(post(&field))).await;
}

/// Connections beyond the descriptors of the process, which could then not open files or
/// connections of its own.
#[tokio::test(flavor = "multi_thread")]
async fn connections_at_every_port_leave_descriptors_free() {
    let mut rig = Rig::start(7, Limits { descriptors: 400, ..Limits::default() }).await;
    let mut crowd = Vec::new();
    for port in [CALLERS, PEERS, READINESS, METRICS] {
        crowd.extend(send_crowd(rig.address("entry", port), 300, &Script::new("G")).await);
    }
    rig.wait_answered().await;
    rig.wait_success("entry", READINESS, "/api/readyz").await;
    rig.wait_success("entry", METRICS, "/metrics").await;
    rig.check("entry");
}

/// Answers that nobody reads, in the buffers of the process and of its connections.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_not_read_fit_into_memory() {
    let mut rig = Rig::start(8, Limits::default()).await;
    let mut crowd = Vec::new();
    for path in ["/medium/1", "/long/1"] {
        let script = Script::new(get(path));
        crowd.extend(send_crowd(rig.address("entry", CALLERS), 400, &script).await);
    }
    rig.wait_answered().await;
    let url = format!("http://{}/long/1", rig.address("entry", CALLERS));
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    rig.wait_for("a long answer", async || {
        let request = http.get(&url).header("Host", "shop.example").header("Connection", "close");
        let response = request.header("Bulrushspan-Request-Id", "long").send().await.ok()?;
        let body = response.error_for_status().ok()?.bytes().await.ok()?;
        (body.len() == LONG_ANSWER_BYTES).then_some(())
    })
    .await;
    rig.check("entry");
    drop(crowd);
}

/// Sends one more byte of a chunked body on each connection again and again.
fn keep_sending(mut crowd: Vec<TcpStream>) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(500)).await;
            for stream in &mut crowd {
                stream.write_all(b"1\r\nx\r\n").await.ok();
            }
        }
    })
}

/// Bodies that go on arriving byte by byte: each byte renewed the timeout, so that they kept their
/// memory for ever.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_hardly_grow_lose_their_memory_to_others() {
    let mut rig = Rig::start(9, Limits::default()).await;
    let script = Script::with_chunks(post(CHUNKED), MIB / 2, 15);
    let crowd = send_crowd(rig.address("entry", CALLERS), CROWD, &script).await;
    let sending = keep_sending(crowd);
    rig.wait_for("an upload to be answered", async || {
        let (status, _) = rig.upload("upload", vec![b'x'; 8 * MIB].into()).await?;
        (status == 200).then_some(())
    })
    .await;
    rig.check("entry");
    sending.abort();
}

/// Complete uploads that don't fit at the same time: those that are refused have not run.
#[tokio::test(flavor = "multi_thread")]
async fn uploads_that_are_refused_for_want_of_memory_have_not_run() {
    let mut rig = Rig::start(10, Limits::default()).await;
    let uploads = (0..CROWD).map(async |number| {
        let id = format!("u{number}");
        let body = body_in_pieces(8 * MIB, number % 2 == 0);
        (rig.upload(&id, body).await, id)
    });
    for (result, id) in join_all(uploads).await {
        // The connection may break while the caller is still sending.
        let Some((status, retry_after)) = result else { continue };
        assert!([200, 503].contains(&status), "{id}: {status}");
        if status == 503 {
            assert!(!rig.has_run(&id), "{id} was refused and ran");
            assert!(retry_after.is_some(), "{id} has no Retry-After");
        }
    }
    rig.wait_answered().await;
    rig.check("entry");
}

/// Returns a body of this length that is sent in chunks, or with a length.
fn body_in_pieces(bytes: usize, is_chunked: bool) -> reqwest::Body {
    if !is_chunked {
        return vec![b'x'; bytes].into();
    }
    const PIECES: usize = 64;
    let piece = vec![b'x'; bytes / PIECES];
    let pieces = std::iter::repeat_n(piece, PIECES).map(Ok::<_, std::io::Error>);
    reqwest::Body::wrap_stream(stream::iter(pieces))
}

/// A body as long as callers may send, at the memory of a real instance, while no other request
/// needs much of it.
#[tokio::test(flavor = "multi_thread")]
async fn one_body_of_the_greatest_size_is_served() {
    const BODY_MAX_BYTES: usize = 67_108_864;
    let limits =
        Limits { memory_mib: 260, body_max_bytes: BODY_MAX_BYTES as u64, ..Limits::default() };
    let mut rig = Rig::start(11, limits).await;
    for (id, is_chunked) in [("u1", false), ("u2", true), ("u3", false)] {
        let body = body_in_pieces(BODY_MAX_BYTES, is_chunked);
        assert_eq!(rig.upload(id, body).await, Some((200, None)), "{id}");
        assert!(rig.has_run(id));
    }
    rig.wait_answered().await;
    rig.check("entry");
}

/// Bodies and heads at the port for other entry instances, which had no limit at all.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_at_the_port_for_peers_fit_into_memory() {
    let script = Script::with_chunks(post(CHUNKED), MIB / 2, 16);
    play(12, Limits::default(), PEERS, CROWD, script).await;
}

/// The same with heads.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_at_the_port_for_peers_fit_into_memory() {
    let start = format!("{}\r\nX-Field: ", get("/menu/1").trim_end());
    play(13, Limits::default(), PEERS, CROWD, Script::with_bytes(start, 8 * MIB)).await;
}

/// Bodies at the ports for readiness and metrics, whose calls need none.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_at_the_ports_of_the_platform_fit_into_memory() {
    for (number, port) in [(14, READINESS), (15, METRICS)] {
        let start = format!("POST /metrics HTTP/1.1\r\nHost: a\r\n{CHUNKED}\r\n\r\n");
        let script = Script::with_chunks(start, MIB / 2, 24);
        play(number, Limits::default(), port, CROWD, script).await;
    }
}

/// A caller that pipelines long requests: one of them took the turn to write on the instance's link
/// and was not polled again, so that no long message of anyone was written from then on.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_long_requests_do_not_keep_the_link_from_others() {
    let mut rig = Rig::start(16, Limits { link_mbps: 2, ..Limits::default() }).await;
    let cookie = format!("Cookie: a={}\r\n\r\n", "x".repeat(12_000));
    let request = get("/medium/1").replace("\r\n\r\n", &format!("\r\n{cookie}"));
    let crowd = send_crowd(rig.address("entry", CALLERS), 1, &Script::new(request.repeat(9))).await;
    let url = format!("http://{}/menu/1", rig.address("entry", CALLERS));
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    for number in 0..24 {
        rig.wait_for("a long request to be answered", async || {
            let request = http.get(&url).header("Host", "shop.example");
            let request = request.header("Cookie", format!("a={}", "x".repeat(8000)));
            let id = format!("long-{number}");
            let response = request.header("Bulrushspan-Request-Id", id).send().await.ok()?;
            response.status().is_success().then_some(())
        })
        .await;
    }
    rig.check("entry");
    drop(crowd);
}
