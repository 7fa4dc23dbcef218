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
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use super::{
    entry::{Rig, WAIT_TIMEOUT, address, listed_upstream, upstream_number},
    hand_over::{self, control, peer, unreachable_upstreams},
};

/// How often an upstream received the request with each id.
type Received = Arc<Mutex<BTreeMap<String, u32>>>;
/// The status of the answer to the request with each id; `None` if it ended without one.
type Answers = BTreeMap<String, Option<u16>>;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts an instance with one upstream, which works on a request for as many milliseconds as
/// the request's target says.
async fn start(number: u32, grace_s: f64) -> (Rig, Received) {
    let received = Received::default();
    let listener = TcpListener::bind(address(upstream_number(number), 8080)).await.unwrap();
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

/// Sends requests of different lengths one after another until `stopping` is set and the
/// instance takes no more connections.
async fn send_until_gone(
    rig_address: String,
    caller: usize,
    stopping: watch::Receiver<bool>,
) -> Answers {
    let keeps_connection = caller.is_multiple_of(2);
    let route = if caller.is_multiple_of(3) { "menu" } else { "order" };
    let mut answers = Answers::new();
    let mut kept = None;
    for number in 0.. {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(&rig_address).await {
                Ok(stream) => BufReader::new(stream),
                Err(_) if *stopping.borrow() => break,
                Err(error) => panic!("the instance is gone before the stop: {error}"),
            },
        };
        let work_ms = [20, 1000, 150, 3000][(caller + number) % 4];
        let deadline_ms = [1000, 20_000][number / 2 % 2];
        let id = format!("{route}-{caller}-{number}");
        let sent = stream.write_all(request(route, &id, work_ms, deadline_ms).as_bytes()).await;
        let answer = match sent {
            Ok(()) => read_response(&mut stream).await.ok(),
            Err(_) => None,
        };
        answers.insert(id, answer.map(|(status, _)| status));
        if keeps_connection && answer.is_some_and(|(_, is_kept)| is_kept) {
            kept = Some(stream);
        }
        // The instance refuses late requests at once.
        sleep(Duration::from_millis(10)).await;
    }
    answers
}

/// Planned stops in calm: requests that were taken late in the grace period were cut at its end
/// with no answer, among them requests that run at most once.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_stop_can_not_complete_are_refused_and_none_is_cut() {
    let checks = [(30, 0.5), (64, 2.0), (65, 6.0)].map(|(number, grace_s)| async move {
        let (rig, received) = start(number, grace_s).await;
        let (stopping_sender, stopping) = watch::channel(false);
        let callers: Vec<_> = (0..12)
            .map(|caller| {
                let rig_address = address(number, 8144);
                tokio::spawn(send_until_gone(rig_address, caller, stopping.clone()))
            })
            .collect();
        // Keeps the instance at work until the end of the grace period.
        let mut longest = BufReader::new(rig.connect().await);
        let longest_request = request("order", "longest", 15_000, 20_000);
        longest.write_all(longest_request.as_bytes()).await.unwrap();
        while received.lock().unwrap().len() < 24 {
            sleep(POLL_INTERVAL).await;
        }
        stopping_sender.send_replace(true);
        rig.terminate();
        sleep(POLL_INTERVAL).await;
        // A second signal changes nothing.
        rig.terminate();
        let longest_answer = read_response(&mut longest).await.ok().map(|(status, _)| status);
        let mut answers = Answers::from([("longest".to_owned(), longest_answer)]);
        for caller in callers {
            answers.extend(caller.await.unwrap());
        }
        check_answers(&answers, &received.lock().unwrap(), grace_s);
    });
    futures_util::future::join_all(checks).await;
}

fn check_answers(answers: &Answers, received: &BTreeMap<String, u32>, grace_s: f64) {
    let received_ids = |answer: Option<u16>| -> Vec<&String> {
        let ids =
            answers.iter().filter(|(id, given)| **given == answer && received.contains_key(*id));
        ids.map(|(id, _)| id).collect()
    };
    assert_eq!(received_ids(None), Vec::<&String>::new(), "cut, grace {grace_s} s");
    assert_eq!(received_ids(Some(503)), Vec::<&String>::new(), "refused, but sent on");
    assert!(received.values().all(|count| *count == 1), "run twice: {received:?}");
    let has = |status| answers.values().any(|answer| *answer == Some(status));
    assert!(has(200) && has(503), "grace {grace_s} s: {answers:?}");
    assert_eq!(answers["longest"], Some(504));
}

/// Planned stops that refused requests which would have been answered in good time: those that
/// may be repeated are taken if their route's latency objective leaves them the time.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_takes_late_requests_that_may_be_repeated_and_will_probably_complete() {
    let (rig, received) = start(43, 6.0).await;
    // Keeps the instance from exiting.
    let mut longest = BufReader::new(rig.connect().await);
    longest.write_all(request("menu", "longest", 15_000, 20_000).as_bytes()).await.unwrap();
    while received.lock().unwrap().is_empty() {
        sleep(POLL_INTERVAL).await;
    }
    rig.terminate();
    sleep(Duration::from_millis(300)).await;
    let mut statuses = Vec::new();
    for (route, deadline_ms) in
        [("menu", 20_000), ("order", 20_000), ("order", 2000), ("menu", 2000)]
    {
        let mut caller = BufReader::new(rig.connect().await);
        let id = format!("{route}-{deadline_ms}");
        caller.write_all(request(route, &id, 20, deadline_ms).as_bytes()).await.unwrap();
        statuses.push(read_response(&mut caller).await.unwrap());
    }
    assert_eq!(statuses, [(200, false), (503, false), (200, false), (200, false)]);
    assert!(!received.lock().unwrap().contains_key("order-20000"));
}

/// Planned stops while a caller's requests stand one behind another: those behind the first were
/// dropped, though they had been sent on.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_answers_all_pipelined_requests_that_were_sent_on() {
    let (rig, received) = start(44, 6.0).await;
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

/// Planned stops while a body arrives: the connection was cut although the request could have
/// been refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_refuses_a_request_whose_body_does_not_arrive_in_time() {
    let (rig, received) = start(49, 6.0).await;
    let mut caller = BufReader::new(rig.connect().await);
    let request = request("order", "r1", 1, 20_000).replace("Length: 0", "Length: 1000");
    caller.write_all(request.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    rig.terminate();
    assert_eq!(read_response(&mut caller).await.ok(), Some((503, false)));
    assert!(received.lock().unwrap().is_empty());
}

/// Peers that hand requests over to an instance while it stops: its refusals must name the
/// request, so that the next peer is tried instead of a failure passed on.
#[tokio::test(flavor = "multi_thread")]
async fn requests_handed_over_to_a_stopping_peer_are_sent_by_another_one() {
    let (stopping, _) = start(45, 6.0).await;
    let (_other, received) = start(46, 6.0).await;
    let peers = vec![peer(45), peer(46)];
    let rig = hand_over::start(47, control(unreachable_upstreams(47), peers, 1)).await;
    assert_eq!(hand_over::send(&rig, "menu/1", "first").await.0, 200);
    // Keeps the stopping instance from exiting.
    let mut longest = BufReader::new(stopping.connect().await);
    longest.write_all(request("menu", "longest", 15_000, 20_000).as_bytes()).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    stopping.terminate();
    for (number, pause_ms) in [300, 100, 600, 2000, 100].into_iter().enumerate() {
        sleep(Duration::from_millis(pause_ms)).await;
        let id = format!("o{number}");
        let (status, response) = hand_over::send(&rig, "order/1", &id).await;
        assert_eq!(status, 200, "{response}");
        assert_eq!(received.lock().unwrap().get(&id), Some(&1));
    }
}
