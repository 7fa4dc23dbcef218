//! Logging as JSON lines on standard output. It never blocks, and its memory is
//! bounded.
//!
//! Lines about single requests have the target [`REQUEST_TARGET`]. They are
//! dropped beyond [`REQUEST_LINES_PER_S`]. Lines of any target are dropped while
//! the queue to the writer thread is full. Both kinds of drops are counted.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicU64, Ordering},
};

use prometheus::IntGaugeVec;
use tracing::{Event, Subscriber, level_filters::LevelFilter};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    Layer,
    layer::{Context, SubscriberExt},
    util::SubscriberInitExt,
};

use super::clock::Clock;

/// The log target of lines about single requests.
pub const REQUEST_TARGET: &str = "request";
/// The maximum number of lines about single requests in a second.
const REQUEST_LINES_PER_S: u64 = 1000;
/// The maximum number of lines that wait for the writer thread.
const QUEUE_LINES: usize = 2000;

/// Counts the log lines that were dropped. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines {
    over_rate: Arc<AtomicU64>,
    queue_full: Option<ErrorCounter>,
}

/// Keeps the writer thread running. Queued lines are written when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    /// The counters of dropped lines.
    pub dropped_lines: DroppedLines,
    _writer: WorkerGuard,
}

impl DroppedLines {
    /// Returns how many lines were dropped because they exceeded the rate limit.
    pub fn over_rate(&self) -> u64 {
        self.over_rate.load(Ordering::Relaxed)
    }

    /// Returns how many lines were dropped because the queue was full.
    pub fn queue_full(&self) -> u64 {
        self.queue_full.as_ref().map_or(0, |counter| counter.dropped_lines() as u64)
    }

    /// Sets gauges to the numbers of dropped lines, by reason.
    pub(super) fn set_gauges(&self, gauges: &IntGaugeVec) {
        gauges.with_label_values(&["over_rate"]).set(self.over_rate() as i64);
        gauges.with_label_values(&["queue_full"]).set(self.queue_full() as i64);
    }
}

/// Starts the logging of this process.
///
/// # Errors
///
/// Returns an error when it was started before.
pub fn start_logs() -> Result<LogGuard, tracing_subscriber::util::TryInitError> {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_LINES);
    let (writer, guard) = builder.finish(std::io::stdout());
    let over_rate = Arc::new(AtomicU64::new(0));
    let dropped_lines =
        DroppedLines { over_rate: over_rate.clone(), queue_full: Some(writer.error_counter()) };
    let json_layer =
        tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(writer);
    tracing_subscriber::registry()
        .with(json_layer)
        .with(RateLimit { clock: Clock::new(), current: Mutex::default(), over_rate })
        .with(LevelFilter::INFO)
        .try_init()?;
    Ok(LogGuard { dropped_lines, _writer: guard })
}

/// Drops lines about single requests beyond [`REQUEST_LINES_PER_S`].
struct RateLimit {
    clock: Clock,
    /// The current second, and the number of lines in it.
    current: Mutex<(u64, u64)>,
    over_rate: Arc<AtomicU64>,
}

impl<S: Subscriber> Layer<S> for RateLimit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        if event.metadata().target() != REQUEST_TARGET {
            return true;
        }
        let second = self.clock.now().as_secs();
        let mut current = self.current.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if current.0 != second {
            *current = (second, 0);
        }
        current.1 += 1;
        let is_allowed = current.1 <= REQUEST_LINES_PER_S;
        if !is_allowed {
            self.over_rate.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }
}
