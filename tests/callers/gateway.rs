//! Crowds at an instance of a deployment with one settings file.

use std::{net::SocketAddr, time::Duration};

use bulrushspan::{
    core::control::Command,
    net::{ClusterClient, wire::SubmitRequest},
};
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{
    crowd::{Script, send_crowd},
    deployment::Deployment,
    rig::take_turn,
    usage::UsageSampler,
};

/// The memory that the instance may take, in MiB.
const MEMORY_MIB: u64 = 128;
/// The number of sockets that it may open.
const SOCKETS: usize = 4096;
const CROWD: usize = 20;
const MIB: usize = 1024 * 1024;
const INSTANCE: &str = "n1";

/// Plays a crowd at one of the instance's URLs, and checks its usage and that it still answers
/// look-ups and operators.
async fn play<F>(url: fn(&Deployment) -> String, send: F)
where
    F: AsyncFnOnce(SocketAddr) -> Vec<TcpStream>,
{
    let _turn = take_turn().await;
    let mut deployment = Deployment::start();
    deployment.wait_all_ready();
    let url = url(&deployment);
    let address: SocketAddr = url.trim_start_matches("http://").parse().unwrap();
    let process = deployment.process_id(INSTANCE);
    // All instances of a deployment share one address, so the queues are those of all.
    let sampler = UsageSampler::new(process, &address.ip().to_string());
    let crowd = send(address).await;
    deployment.wait_revision(INSTANCE, 0).await;
    deployment.run_json(&["status"]);
    let usage = sampler.peak();
    assert!(deployment.is_running(INSTANCE));
    assert!(usage.memory_mib <= MEMORY_MIB, "{usage:?}; {MEMORY_MIB} MiB allowed");
    assert!(usage.sockets <= SOCKETS, "{usage:?}; {SOCKETS} sockets allowed");
    println!("{usage:?}");
    drop(crowd);
}

async fn play_heads(url: fn(&Deployment) -> String) {
    let start = "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Field: ".to_owned();
    let script = Script::with_bytes(start, 1_000_000);
    play(url, async |address| send_crowd(address, 150, &script).await).await;
}

/// Heads of nearly 1 MB at the port for callers.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_of_callers_fit_into_memory() {
    play_heads(|deployment| deployment.callers_url(INSTANCE)).await;
}

/// The same at the port for forwarded requests.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_at_the_port_for_forwarded_requests_fit_into_memory() {
    play_heads(|deployment| deployment.forward_url(INSTANCE)).await;
}

/// Uploads that stop short of their end, and go on to an upstream.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_uploads_fit_into_memory() {
    let start = "POST /services/orders/files HTTP/1.1\r\nHost: a\r\n\
                 Transfer-Encoding: chunked\r\n\r\n";
    let script = Script::with_chunks(start.to_owned(), MIB / 2, 24);
    let url = |deployment: &Deployment| deployment.callers_url(INSTANCE);
    play(url, async |address| send_crowd(address, 200, &script).await).await;
}

/// Bodies of changes from senders without a token.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_changes_fit_into_memory() {
    let start =
        format!("PUT /v1/blocks HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", 16 * MIB);
    let script = Script::with_bytes(start, 12 * MIB);
    let url = |deployment: &Deployment| deployment.operators_url(INSTANCE);
    play(url, async |address| send_crowd(address, CROWD, &script).await).await;
}

/// Calls of senders without the cluster key, which were read in full before the key was checked.
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_the_cluster_key_fit_into_memory() {
    let url = |deployment: &Deployment| deployment.cluster_url(INSTANCE);
    play(url, async |address| {
        let command = Command::Release { upstream: "x".repeat(12 * MIB), epoch: 1 };
        let message = SubmitRequest::Command(command);
        join_all((0..CROWD).map(async |_| {
            let client = ClusterClient::new(address, "another-key".to_owned());
            client.submit(&message, Duration::from_secs(10)).await.unwrap_err();
        }))
        .await;
        Vec::new()
    })
    .await;
}

/// Connections beyond the descriptors of the instance.
#[tokio::test(flavor = "multi_thread")]
async fn connections_at_every_port_leave_descriptors_free() {
    let url = |deployment: &Deployment| deployment.callers_url(INSTANCE);
    play(url, async |callers| {
        let mut crowd = Vec::new();
        // The ports for callers, operators, control traffic and forwarded requests.
        for offset in 0..4 {
            let address = SocketAddr::new(callers.ip(), callers.port() + offset);
            crowd.extend(send_crowd(address, 1500, &Script::new("G")).await);
        }
        crowd
    })
    .await;
}

/// Reads the head of a request, answers with the start of a body that has no length, and resets the
/// connection while the request is still being sent.
async fn serve_early_answers(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut head = [0; 2048];
            if stream.read(&mut head).await.unwrap_or(0) == 0 {
                return;
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").await.ok();
            sleep(Duration::from_millis(300)).await;
            stream.set_zero_linger().unwrap();
        });
    }
}

/// Upstreams that answer a long upload at once and reset the connection: the caller was still
/// sending, and could read no answer at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_upload_is_answered_while_the_caller_sends() {
    let _turn = take_turn().await;
    let mut deployment = Deployment::start();
    deployment.wait_all_ready();
    for (index, name) in deployment.upstreams.clone().iter().enumerate() {
        deployment.kill(name);
        let listener = TcpListener::bind(deployment.upstream_address(index)).await.unwrap();
        tokio::spawn(serve_early_answers(listener));
    }
    let url = format!("{}/services/orders/files", deployment.callers_url(INSTANCE));
    for _ in 0..5 {
        let body = vec![b'x'; 8 * MIB];
        let response = deployment.http.put(&url).body(body).send().await.unwrap();
        assert!(!response.status().is_success(), "{response:?}");
        response.bytes().await.unwrap();
    }
}
