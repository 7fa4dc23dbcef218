//! Runs entry instances and control replicas against others that send bytes without end.

use std::{
    collections::BTreeMap,
    fs,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bulrushspan::net::{
    mesh::MeshHandler,
    wire::{NodeReply, NodeRequest},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::{
    entry::{
        MEMORY_MB, Rig, SERVICE, WAIT_TIMEOUT, address, ip, listed_upstream, peak_memory_mib,
        silent_seed, upstream_number,
    },
    hand_over::{FILES, control, send, serve, start},
};

const FAULTY_UPSTREAMS: u16 = 8;
/// The number of requests at faulty upstreams, each over a connection of its own.
const FAULTY_REQUESTS: usize = 1200;
/// How long the upstreams wait between two bytes once they have sent as much as an instance
/// takes of one response.
const DRIP_INTERVAL: Duration = Duration::from_millis(200);

/// What a faulty upstream sends: a start, then a piece again and again up to a number of bytes,
/// then single bytes.
#[derive(Clone, Copy)]
struct Fault {
    start: &'static str,
    piece: &'static str,
    bytes: usize,
}

/// Serves connections with a fault, and counts the faulty responses.
async fn serve_fault(listener: TcpListener, fault: Fault, begun: Arc<AtomicUsize>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let begun = begun.clone();
        tokio::spawn(async move {
            let mut head = vec![0; 4096];
            if !stream.read(&mut head).await.is_ok_and(|length| length > 0) {
                return;
            }
            begun.fetch_add(1, Ordering::Relaxed);
            write_fault(&mut stream, fault).await.ok();
        });
    }
}

async fn write_fault(stream: &mut TcpStream, fault: Fault) -> std::io::Result<()> {
    stream.write_all(fault.start.as_bytes()).await?;
    let block = fault.piece.repeat(16 * 1024 / fault.piece.len());
    let mut left = fault.bytes;
    while left > 0 {
        let length = left.min(block.len());
        stream.write_all(&block.as_bytes()[..length]).await?;
        left -= length;
    }
    loop {
        sleep(DRIP_INTERVAL).await;
        stream.write_all(b"x").await?;
    }
}

/// Starts an instance with faulty upstreams of one service and a sound one of the other.
async fn start_with_fault(number: u32, fault: Fault) -> (Rig, Arc<AtomicUsize>) {
    let begun = Arc::<AtomicUsize>::default();
    let mut upstreams = Vec::new();
    for index in 0..FAULTY_UPSTREAMS {
        let address = address(upstream_number(number), 9000 + index);
        let mut upstream = listed_upstream(address.parse().unwrap());
        (upstream.id, upstream.service) = (format!("f{index}"), FILES.to_owned());
        upstream.slots = 1000;
        upstreams.push(upstream);
        let listener = TcpListener::bind(address).await.unwrap();
        tokio::spawn(serve_fault(listener, fault, begun.clone()));
    }
    let sound = listed_upstream(address(upstream_number(number), 8080).parse().unwrap());
    assert_eq!(sound.service, SERVICE);
    serve(address(upstream_number(number), 8080), false).await;
    upstreams.push(sound);
    (start(number, control(upstreams, Vec::new(), 1)).await, begun)
}

/// Sends requests to the faulty upstreams, and returns their connections.
async fn send_faulty(rig: &Rig) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for number in 0..FAULTY_REQUESTS {
        let mut caller = rig.connect().await;
        let request = format!(
            "GET /files/{number} HTTP/1.1\r\nHost: shop.example\r\n\
             Bulrushspan-Request-Id: f{number}\r\nBulrushspan-Deadline-Ms: 15000\r\n\r\n"
        );
        caller.write_all(request.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    callers
}

async fn play(number: u32, fault: Fault) {
    let (rig, begun) = start_with_fault(number, fault).await;
    let callers = send_faulty(&rig).await;
    for request in 0..60 {
        let (status, response) = send(&rig, "order/1", &format!("o{request}")).await;
        assert_eq!(status, 200, "{response}");
        sleep(Duration::from_millis(50)).await;
    }
    let begun = begun.load(Ordering::Relaxed);
    assert!(begun >= 100, "only {begun} faulty responses");
    let memory_mib = rig.peak_memory_mib();
    assert!(memory_mib < MEMORY_MB, "{memory_mib} MiB used for {begun} responses");
    // Those callers get an answer by their deadlines, and the instance forgets the bytes.
    for mut caller in callers {
        let mut status_line = [0; 12];
        timeout(WAIT_TIMEOUT, caller.read_exact(&mut status_line)).await.unwrap().unwrap();
    }
}

/// Many upstreams that sent bodies without end: each was bounded, all together took more
/// memory than the instance has, and it was killed with the requests of all other callers.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_of_many_upstreams_fit_into_memory_and_harm_no_other_request() {
    let bytes = MEMORY_MB as usize * 1024 * 1024 / 32 - 4096;
    play(90, Fault { start: "HTTP/1.1 200 OK\r\n\r\n", piece: "body", bytes }).await;
}

/// The same with heads without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_of_many_upstreams_fit_into_memory_and_harm_no_other_request() {
    let (start, piece) = ("HTTP/1.1 200 OK\r\nX-Field: ", "head");
    play(91, Fault { start, piece, bytes: 63 * 1024 }).await;
}

/// Reads the start of a request, and sends an answer and then a number of zeros. After that the
/// connection is closed if there are none, and otherwise goes silent.
async fn serve_zeros(listener: TcpListener, answer: impl Fn(&str) -> (String, usize)) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = vec![0; 4096];
        let length = stream.read(&mut head).await.unwrap_or(0);
        let (start, zeros) = answer(&String::from_utf8_lossy(&head[..length]));
        tokio::spawn(async move {
            stream.write_all(start.as_bytes()).await?;
            if zeros > 0 {
                stream.write_all(&vec![0; zeros]).await?;
                sleep(WAIT_TIMEOUT).await;
            }
            stream.shutdown().await
        });
    }
}

/// Addresses of control replicas that other servers have taken over, and that send what looks
/// like replies without end: the instance kept all of them.
#[tokio::test(flavor = "multi_thread")]
async fn endless_replies_in_place_of_control_replicas_fit_into_memory() {
    let mut replicas = vec![format!("{}:7660", silent_seed(92))];
    replicas.extend([94, 95, 96].map(|number| address(number, 7660)));
    for replica in &replicas {
        let listener = TcpListener::bind(replica).await.unwrap();
        // The length of a frame of 59 MB.
        tokio::spawn(serve_zeros(listener, |_| ("\u{3}\u{7f}\u{7f}\u{7f}".to_owned(), 58_000_000)));
    }
    let upstream = listed_upstream(address(upstream_number(92), 8080).parse().unwrap());
    serve(address(upstream_number(92), 8080), false).await;
    let sound = control(vec![upstream], Vec::new(), 1);
    let control: MeshHandler<NodeRequest, NodeReply> = Arc::new(move |call, peer| {
        let (reply, replicas) = (sound(call, peer), replicas.clone());
        Box::pin(async move {
            let mut reply = reply.await;
            if let Some(NodeReply::Follow(reply)) = &mut reply {
                reply.replicas = replicas;
                // So the instance asks all others again and again.
                reply.behind_ms = Some(60_000);
            }
            reply
        })
    });
    let rig = start(92, control).await;
    for request in 0..40 {
        let (status, response) = send(&rig, "order/1", &format!("o{request}")).await;
        assert_eq!(status, 200, "{response}");
        sleep(Duration::from_millis(50)).await;
    }
    let memory_mib = rig.peak_memory_mib();
    assert!(memory_mib < MEMORY_MB, "{memory_mib} MiB used");
}

/// A platform whose list has no end, in all availability zones at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn endless_pages_of_the_list_fit_into_memory() {
    const ZONES: u32 = 10;
    let listener = TcpListener::bind(address(upstream_number(93), 8142)).await.unwrap();
    let page = json!({"instances": [], "next_token": "1"}).to_string();
    tokio::spawn(serve_zeros(listener, move |request| {
        let is_of_zone = request.contains("zone=");
        let length = if is_of_zone { 1 << 30 } else { page.len() };
        let head =
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
        if is_of_zone { (head, 15_000_000) } else { (head + &page, 0) }
    }));
    let zones: BTreeMap<String, &str> = (0..ZONES).map(|zone| (format!("z{zone}"), "r")).collect();
    let ip = ip(93);
    let folder = std::env::temp_dir().join(format!("bulrushspan-list-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let settings = json!({
        "node": "c1", "ip": ip, "zone": "z0", "region": "r", "zones": zones,
        "listen": {"control": format!("{ip}:8146"), "directory": format!("{ip}:8147")},
        "cluster_ports": [7660, 7675], "seeds": [format!("{ip}:8146")], "bootstrap": true,
        "data_dir": folder, "bounds": {},
        "limits": {"cpu_share": 1.0, "memory_mb": MEMORY_MB, "max_fds": 4000, "link_mbps": 1000},
        "cloud": {"addr": address(upstream_number(93), 8142), "rate_per_s": 50, "max_lag_s": 0.8},
    });
    let file = folder.join("node.json");
    fs::write(&file, settings.to_string()).unwrap();
    let log = fs::File::create(folder.join("out")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushspan"));
    let mut process =
        command.args(["control", "--settings"]).arg(&file).stdout(log).spawn().unwrap();
    sleep(Duration::from_secs(6)).await;
    let memory_mib = peak_memory_mib(process.id());
    process.kill().unwrap();
    process.wait().unwrap();
    let log = fs::read_to_string(folder.join("out")).unwrap();
    assert!(log.contains("can't read the list of upstreams"), "{log}");
    assert!(memory_mib < MEMORY_MB, "{memory_mib} MiB used");
    fs::remove_dir_all(folder).unwrap();
}
