//! Stops entry instances while callers go on sending requests.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{
    entry::{Rig, WAIT_TIMEOUT, address, listed_upstream},
    hand_over::control,
};

/// How often an upstream received the request with each id.
type Received = Arc<Mutex<BTreeMap<String, u32>>>;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts an instance with one upstream, which works on a request for as many milliseconds as
/// the request's target says.
async fn start(number: u32, grace_s: f64) -> (Rig, Received) {
    let received = Received::default();
    let listener = TcpListener::bind(address(number + 160, 8080)).await.unwrap();
    let upstream = listed_upstream(listener.local_addr().unwrap());
    tokio::spawn(serve_upstream(listener, received.clone()));
    let (_, events) = mpsc::unbounded_channel();
    let control = control(vec![upstream], Vec::new(), 1);
    let rig = Rig::launch_with_grace(number, control, events, grace_s).await;
    rig.wait_ready().await;
    (rig, received)
}

async fn serve_upstream(listener: TcpListener, received: Received) {
    while let Ok((stream, _)) = listener.accept().await {
        let received = received.clone();
        tokio::spawn(async move {
            let mut stream = BufReader::new(stream);
            while let Ok(head) = read_head(&mut stream).await {
                let id = field(&head, "Bulrushspan-Request-Id").unwrap_or_default().to_owned();
                let target = head.split(' ').nth(1).unwrap_or_default();
                let work_ms = target.rsplit('/').next().and_then(|text| text.parse().ok());
                *received.lock().unwrap().entry(id.clone()).or_default() += 1;
                sleep(Duration::from_millis(work_ms.unwrap_or(0))).await;
                let response = format!(
                    "HTTP/1.1 200 OK\r\nBulrushspan-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(response.as_bytes()).await.ok();
            }
        });
    }
}

async fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(head)
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}

/// Returns a request that the upstream works on for `work_ms`.
fn request(route: &str, id: &str, work_ms: u64, deadline_ms: u64) -> String {
    format!(
        "GET /{route}/{work_ms} HTTP/1.1\r\nHost: shop.example\r\nBulrushspan-Request-Id: {id}\r\n\
         Bulrushspan-Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Reads one whole response and returns its status and whether the connection is kept.
async fn read_response(stream: &mut BufReader<TcpStream>) -> io::Result<(u16, bool)> {
    let head = timeout(WAIT_TIMEOUT, read_head(stream)).await??;
    let length: usize = field(&head, "Content-Length").unwrap_or("0").parse().unwrap();
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    let status = head.split(' ').nth(1).unwrap_or_default().parse().unwrap();
    Ok((status, field(&head, "Connection") != Some("close")))
}

/// Planned stops while a caller's requests stand one behind another: those behind the first were
/// dropped, though they had been sent on.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_answers_all_pipelined_requests_that_were_sent_on() {
    let (rig, received) = start(16, 6.0).await;
    let mut caller = BufReader::new(rig.connect().await);
    for number in 0..4 {
        let request = request("menu", &format!("r{number}"), 1000 + 300 * number, 20_000);
        caller.write_all(request.as_bytes()).await.unwrap();
    }
    while received.lock().unwrap().len() < 4 {
        sleep(POLL_INTERVAL).await;
    }
    rig.terminate();
    sleep(Duration::from_millis(300)).await;
    caller.write_all(request("menu", "behind", 1, 20_000).as_bytes()).await.unwrap();
    let mut answers = Vec::new();
    while let Ok(answer) = read_response(&mut caller).await {
        answers.push(answer);
    }
    assert_eq!(answers, [(200, true), (200, true), (200, true), (200, false)]);
    assert!(!received.lock().unwrap().contains_key("behind"));
}
