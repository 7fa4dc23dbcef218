//! Sends requests that crash each upstream that runs them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bulrushspan::core::upstreams::ListedUpstream;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    entry::{Rig, SERVICE, WAIT_TIMEOUT, address, upstream_number},
    hand_over::{control, start, unreachable_upstreams},
};

/// How long a crashed upstream is down.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Runs an upstream that crashes under each request with `crash` in its body: all of its
/// connections end and new ones are refused for [`DOWN_TIME`].
async fn run_upstream(upstream: ListedUpstream, crashes: Arc<AtomicU32>) {
    loop {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.set_nonblocking(true).unwrap();
        socket.bind(&upstream.address.into()).unwrap();
        socket.listen(64).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    connections.spawn(serve(accepted.unwrap().0));
                }
                Some(crashed) = connections.join_next() => {
                    if crashed.unwrap() {
                        break;
                    }
                }
            }
        }
        crashes.fetch_add(1, Ordering::Relaxed);
        socket2::SockRef::from(&listener).shutdown(std::net::Shutdown::Both).unwrap();
        drop((listener, connections));
        sleep(DOWN_TIME).await;
    }
}

/// Answers the requests on a connection. Returns whether one crashed the upstream.
async fn serve(mut stream: TcpStream) -> bool {
    let mut received = vec![0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut received).await {
        let text = String::from_utf8_lossy(&received[..length]).into_owned();
        if text.ends_with("crash") {
            return true;
        }
        let field = text.lines().find_map(|line| line.strip_prefix("Bulrushspan-Request-Id: "));
        let id = field.unwrap_or_default();
        let response = format!(
            "HTTP/1.1 200 OK\r\nBulrushspan-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(response.as_bytes()).await.ok();
    }
    false
}

/// Sends one request and returns the status of the response.
async fn send(rig: &Rig, id: &str, body: &str) -> u16 {
    let mut caller = rig.connect().await;
    let request = format!(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\
         Bulrushspan-Request-Id: {id}\r\nBulrushspan-Deadline-Ms: 10000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    timeout(WAIT_TIMEOUT, caller.read_to_end(&mut response)).await.unwrap().unwrap();
    let text = String::from_utf8_lossy(&response).into_owned();
    text.split(' ').nth(1).unwrap_or_default().parse().unwrap()
}

/// A request that crashes its upstreams and comes again: it was sent to upstream after upstream,
/// and each of them crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_under_which_three_upstreams_crashed_is_refused() {
    let crashes = Arc::new(AtomicU32::new(0));
    let mut upstreams = unreachable_upstreams(62);
    for (index, upstream) in upstreams.iter_mut().enumerate() {
        upstream.service = SERVICE.to_owned();
        upstream.address = address(upstream_number(62), 9000 + index as u16).parse().unwrap();
        tokio::spawn(run_upstream(upstream.clone(), crashes.clone()));
    }
    let rig = start(62, control(upstreams, Vec::new(), 1)).await;
    let mut last = 0;
    for number in 0..10 {
        last = send(&rig, &format!("c{number}"), "crash").await;
        sleep(DOWN_TIME).await;
    }
    assert_eq!(crashes.load(Ordering::Relaxed), 3, "the last status is {last}");
    assert_eq!(last, 503);
    assert_eq!(send(&rig, "other", "fine").await, 200, "other requests go on");
}
