//! Runs control replicas that are stopped while operators' orders wait to be read.

use std::time::{Duration, Instant};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use super::fleet::{Fleet, POLL_INTERVAL, WAIT_TIMEOUT};

const ZONE: &str = "a";
/// How long an operator waits before it sends an order to another replica.
const PATIENCE: Duration = Duration::from_secs(1);
pub(super) const REPLICAS: [&str; 3] = ["c1", "c2", "c3"];

impl Fleet {
    /// Sends an order to one replica, without waiting for the response.
    async fn send_order(&self, replica: &str, method: &str) -> TcpStream {
        let mut stream = TcpStream::connect(format!("{}:8146", self.ip(replica))).await.unwrap();
        stream.write_all(order(method).as_bytes()).await.unwrap();
        stream
    }

    /// Sends an order to the replicas in turn until one acknowledges it.
    pub(super) async fn order(&self, replicas: &[&str], method: &str) {
        let started_at = Instant::now();
        for replica in replicas.iter().cycle() {
            if status_within(PATIENCE, self.send_order(replica, method).await).await == Some(200) {
                return;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "no replica acknowledged {method}");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns a replica that doesn't lead, and the other two.
    async fn follower_and_others(&self) -> (&'static str, [&'static str; 2]) {
        for replica in REPLICAS {
            let url = format!("http://{}:9464/metrics", self.ip(replica));
            self.wait_for(&url, 200, "\nbulrushspan_leads ").await;
            let (_, text) = self.get(&url).await.unwrap();
            if text.contains("\nbulrushspan_leads 0\n") {
                let mut others = REPLICAS.into_iter().filter(|other| *other != replica);
                return (replica, [others.next().unwrap(), others.next().unwrap()]);
            }
        }
        panic!("every replica leads");
    }

    /// Waits until all replicas have applied as many evacuations.
    pub(super) async fn wait_evacuated(&self, zones: usize) {
        for replica in REPLICAS {
            let url = format!("http://{}:9464/metrics", self.ip(replica));
            let line = format!("\nbulrushspan_evacuated_zones {zones}\n");
            self.wait_for(&url, 200, &line).await;
        }
    }
}

fn order(method: &str) -> String {
    format!("{method} /api/evacuate/{ZONE} HTTP/1.1\r\nHost: control\r\n\r\n")
}

/// Returns the status of the response, or `None` if none comes within the time.
async fn status_within(time: Duration, mut stream: TcpStream) -> Option<u16> {
    let mut status_line = [0; 12];
    timeout(time, stream.read_exact(&mut status_line)).await.ok()?.ok()?;
    String::from_utf8_lossy(&status_line[9..]).parse().ok()
}

/// A replica that was stopped carried out the end of an evacuation which its operator had since
/// had acknowledged by another replica, and had followed by a new evacuation; or the reverse.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_was_stopped_does_not_revert_evacuation_orders_given_elsewhere() {
    let fleet = Fleet::start(4).await;
    fleet.configure("r2", "/book/").await;
    for (first, contrary, zones) in [("POST", "DELETE", 1), ("DELETE", "POST", 0)] {
        fleet.order(&REPLICAS, first).await;
        let (stopped, others) = fleet.follower_and_others().await;
        fleet.signal(stopped, "-STOP");
        let unanswered = fleet.send_order(stopped, contrary).await;
        sleep(PATIENCE).await;
        fleet.order(&others, contrary).await;
        fleet.order(&others, first).await;
        fleet.signal(stopped, "-CONT");
        assert_eq!(status_within(WAIT_TIMEOUT, unanswered).await, Some(503));
        fleet.wait_evacuated(zones).await;
        // The replica takes orders again, and the others still do.
        fleet.order(&[stopped], first).await;
        fleet.wait_evacuated(zones).await;
    }
}

/// An order that waits behind another on its connection may be read after its sender moved on.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_behind_another_request_of_its_connection_is_not_carried_out() {
    let fleet = Fleet::start(5).await;
    fleet.configure("r2", "/book/").await;
    let mut stream = fleet.send_order("c1", "POST").await;
    stream.write_all(order("DELETE").as_bytes()).await.unwrap();
    let mut responses = Vec::new();
    timeout(WAIT_TIMEOUT, stream.read_to_end(&mut responses)).await.unwrap().ok();
    let text = String::from_utf8_lossy(&responses);
    assert!(text.matches("HTTP/1.1 ").count() <= 1, "{text}");
    fleet.order(&REPLICAS, "POST").await;
    fleet.wait_evacuated(1).await;
}
