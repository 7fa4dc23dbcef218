//! Measures the memory and the sockets of a process while a test runs.

use std::{
    fs,
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const KIB: u64 = 1024;

/// Samples a process until dropped.
pub struct UsageSampler {
    process: u32,
    peaks: Arc<Peaks>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Peaks {
    memory_bytes: AtomicU64,
    queued_bytes: AtomicU64,
    sockets: AtomicUsize,
    is_done: AtomicBool,
}

/// The greatest usage of a process.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code)]
pub struct PeakUsage {
    /// The memory, with the bytes in the queues of its sockets, rounded up.
    pub memory_mib: u64,
    /// The bytes in the queues of its sockets alone.
    pub queued_mib: u64,
    pub sockets: usize,
}

impl UsageSampler {
    /// Begins to sample a process whose sockets are bound to `ip`, which no other process uses.
    pub fn new(process: u32, ip: &str) -> Self {
        let address: Ipv4Addr = ip.parse().unwrap();
        // As /proc/net/tcp writes it.
        let address = format!("{:08X}:", u32::from_ne_bytes(address.octets()));
        let peaks = Arc::<Peaks>::default();
        let thread = std::thread::spawn({
            let peaks = peaks.clone();
            move || {
                while !peaks.is_done.load(Ordering::Relaxed) {
                    let queued = queued_bytes(&address);
                    let memory = status_kib(process, "VmRSS") * KIB + queued;
                    peaks.queued_bytes.fetch_max(queued, Ordering::Relaxed);
                    peaks.memory_bytes.fetch_max(memory, Ordering::Relaxed);
                    peaks.sockets.fetch_max(socket_count(process), Ordering::Relaxed);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            }
        });
        Self { process, peaks, thread: Some(thread) }
    }

    pub fn peak(&self) -> PeakUsage {
        let high_water = status_kib(self.process, "VmHWM") * KIB;
        let memory_bytes = high_water.max(self.peaks.memory_bytes.load(Ordering::Relaxed));
        let sockets = self.peaks.sockets.load(Ordering::Relaxed);
        let queued_bytes = self.peaks.queued_bytes.load(Ordering::Relaxed);
        PeakUsage {
            memory_mib: memory_bytes.div_ceil(KIB * KIB),
            queued_mib: queued_bytes.div_ceil(KIB * KIB),
            sockets,
        }
    }
}

impl Drop for UsageSampler {
    fn drop(&mut self) {
        self.peaks.is_done.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

/// Returns a value of a process's status in KiB, or 0 if it does not run.
fn status_kib(process: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.map_or(0, |value| value.parse().unwrap())
}

/// Returns the bytes in the send and receive queues of connections with a local address.
fn queued_bytes(address: &str) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let connections = table.lines().skip(1).filter_map(|line| {
        let mut columns = line.split_whitespace().skip(1);
        columns.next().filter(|local| local.starts_with(address))?;
        // Of a listener, the queues hold counts of connections.
        columns.nth(1).filter(|state| *state != "0A")?;
        columns.next()
    });
    let queues = connections.flat_map(|queues| queues.split(':'));
    queues.map(|bytes| u64::from_str_radix(bytes, 16).unwrap()).sum()
}

fn socket_count(process: u32) -> usize {
    let descriptors = fs::read_dir(format!("/proc/{process}/fd"));
    let targets =
        descriptors.into_iter().flatten().flatten().map(|file| fs::read_link(file.path()));
    targets.flatten().filter(|target| target.to_string_lossy().starts_with("socket:")).count()
}
