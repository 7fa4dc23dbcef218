//! Runs instances of the product's own data path against upstreams whose refusals arrive once more,
//! late, on a connection. Their responses bear no id.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::deployment::Deployment;

/// How often each booking ran, by key.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

const REFUSAL: &str = "HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\"ok\"";
/// How long a booking runs after the late copy was written.
const RUN_TIME: Duration = Duration::from_millis(30);
const BOOKINGS: u32 = 40;

/// Refuses each second booking, and writes that refusal once more when the next one runs on the
/// connection.
async fn serve_connection(mut stream: TcpStream, runs: Runs, count: Arc<Mutex<u32>>) {
    let mut input = vec![0; 4096];
    let mut is_copy_due = false;
    while let Ok(length @ 1..) = stream.read(&mut input).await {
        let text = String::from_utf8_lossy(&input[..length]).to_lowercase();
        let key = text.lines().find_map(|line| line.strip_prefix("idempotency-key: "));
        let key = key.unwrap_or_default().to_owned();
        let refuses = {
            let mut count = count.lock().unwrap();
            *count += 1;
            *count % 2 == 1
        };
        if refuses {
            is_copy_due = true;
            stream.write_all(REFUSAL.as_bytes()).await.ok();
            continue;
        }
        *runs.lock().unwrap().entry(key).or_default() += 1;
        if std::mem::take(&mut is_copy_due) {
            stream.write_all(REFUSAL.as_bytes()).await.ok();
            sleep(RUN_TIME).await;
        }
        stream.write_all(RESPONSE.as_bytes()).await.ok();
    }
}

/// A late copy of a refusal was taken for the response to the next booking on the connection, which
/// was called `not_run` while it ran, or ran at a second upstream.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_is_not_taken_for_the_response_to_the_next_booking() {
    let mut deployment = Deployment::start_edited("", |settings| {
        settings
            .replace("\"deadline_ms\": 5000", "\"deadline_ms\": 5000, \"shed_means_not_run\": true")
    });
    deployment.wait_all_ready();
    let (runs, count) = (Runs::default(), Arc::<Mutex<u32>>::default());
    for (index, name) in deployment.upstreams.clone().into_iter().enumerate() {
        deployment.kill(&name);
        let listener = TcpListener::bind(deployment.upstream_address(index)).await.unwrap();
        let (runs, count) = (runs.clone(), count.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, runs.clone(), count.clone()));
            }
        });
    }
    let epoch = deployment.key_epoch();
    let mut served = 0;
    for number in 0..BOOKINGS {
        let key = format!("{epoch}-late-{number}");
        let Some((status, body)) = deployment.book("n1", &key, "").await else { continue };
        let count = runs.lock().unwrap().get(&key).copied().unwrap_or(0);
        assert!(count <= 1, "{key} ran {count} times");
        assert!(body["outcome"] != "not_run" || count == 0, "{key} ran: {status} {body}");
        served += u32::from(status == 200);
    }
    assert!(served > BOOKINGS / 4, "{served} bookings were served");
}
