//! Runs one entry instance between a caller and an upstream of which one is quiet for seconds
//! on a sound connection.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::{
    entry::{Rig, WAIT_TIMEOUT, address, listed_upstream, upstream_number},
    hand_over::{control, start},
};

/// More than a receiver takes before its process reads anything.
const LARGE_BYTES: usize = 1_000_000;
/// Longer than data may stay unacknowledged on a connection that is dead.
const PAUSE: Duration = Duration::from_secs(4);

/// How an upstream handles its requests.
#[derive(Clone, Copy)]
struct Behaviour {
    /// How long nothing is read after the head of a request.
    pause_before_body: Duration,
    /// How long it works on a request that was read in full.
    work_time: Duration,
    response_bytes: usize,
}

async fn start_with_upstream(number: u32, behaviour: Behaviour) -> Rig {
    let listener = TcpListener::bind(address(upstream_number(number), 8080)).await.unwrap();
    let upstream = listed_upstream(listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, behaviour));
        }
    });
    start(number, control(vec![upstream], Vec::new(), 1)).await
}

async fn serve(mut stream: TcpStream, behaviour: Behaviour) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    sleep(behaviour.pause_before_body).await;
    stream.read_exact(&mut body).await?;
    sleep(behaviour.work_time).await;
    let length = behaviour.response_bytes;
    let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; length]).await
}

/// Sends one request, pauses after the first bytes of the response, and returns its status and
/// the number of bytes of its body that arrived.
async fn send(rig: &Rig, path: &str, body_bytes: usize, pause: Duration) -> (String, usize) {
    let mut caller = rig.connect().await;
    let method = if body_bytes > 0 { "POST" } else { "GET" };
    let head = format!(
        "{method} /{path} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\
         Content-Length: {body_bytes}\r\nBulrushspan-Request-Id: r1\r\n\
         Bulrushspan-Deadline-Ms: 20000\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![b'x'; body_bytes]).await.unwrap();
    let mut response = vec![0; 16];
    caller.read_exact(&mut response).await.unwrap();
    sleep(pause).await;
    timeout(WAIT_TIMEOUT, caller.read_to_end(&mut response)).await.unwrap().ok();
    let head_end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 4;
    let status = String::from_utf8_lossy(&response[9..12]).into_owned();
    (status, response.len() - head_end)
}

/// A caller that stops reading for some seconds: its response must not be cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_pauses_while_it_reads_gets_the_whole_response() {
    let behaviour = Behaviour {
        pause_before_body: Duration::ZERO,
        work_time: Duration::ZERO,
        response_bytes: LARGE_BYTES,
    };
    let rig = start_with_upstream(61, behaviour).await;
    assert_eq!(send(&rig, "menu/1", 0, PAUSE).await, ("200".to_owned(), LARGE_BYTES));
}

/// An upstream that is busy for some seconds before it reads the body of a request: the request
/// must not be cut, since it may not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_may_pause_before_it_reads_a_large_body() {
    let behaviour =
        Behaviour { pause_before_body: PAUSE, work_time: Duration::ZERO, response_bytes: 2 };
    let rig = start_with_upstream(62, behaviour).await;
    assert_eq!(send(&rig, "order/1", LARGE_BYTES, Duration::ZERO).await, ("200".to_owned(), 2));
}

/// An upstream that works for longer than the timeout of unacknowledged data, with nothing sent
/// either way: nothing is unacknowledged, so the request must not be cut.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_may_work_for_seconds_on_a_quiet_connection() {
    let behaviour = Behaviour {
        pause_before_body: Duration::ZERO,
        work_time: PAUSE + PAUSE,
        response_bytes: 2,
    };
    let rig = start_with_upstream(63, behaviour).await;
    assert_eq!(send(&rig, "order/1", 300, Duration::ZERO).await, ("200".to_owned(), 2));
}
