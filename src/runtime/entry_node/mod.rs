//! Runs an entry instance that finds control by itself: it takes callers'
//! requests and sends each to an upstream.

mod announce;
mod attempt;
mod callers;
mod exchange;
mod follow;
mod health;
mod metrics;
mod pool;
mod readiness;
mod request;
mod response;
mod state;

use std::{rc::Rc, sync::Arc, time::Duration};

use tracing::info;

use self::{metrics::EntryMetrics, state::EntryState};
use super::{
    http_handler::{listen, serve_http_handler},
    metrics_server::{MetricsConfig, TextFuture, serve_metrics},
    node_error::NodeError,
};
use crate::settings::NodeSettings;

/// Runs an entry instance. It lives on one thread, inside a `LocalSet`.
pub struct EntryNode {
    state: Rc<EntryState>,
}

/// How often a stop looks whether all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long before its end the time for a stop counts as over.
const STOP_MARGIN: Duration = Duration::from_millis(350);

impl EntryNode {
    /// Starts the entry instance that the settings describe.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be used.
    pub async fn start(settings: NodeSettings, exposed: MetricsConfig) -> Result<Self, NodeError> {
        let Some(callers_address) = settings.listen.callers else {
            return Err(NodeError::Settings("entry needs an address for callers".to_owned()));
        };
        let readiness = settings.listen.readiness;
        let listener = listen(callers_address).await?;
        let metrics = EntryMetrics::new().map_err(NodeError::Metrics)?;
        if let Some(port) = exposed.metrics_port {
            let metrics = metrics.clone();
            let text = move || -> TextFuture { Box::pin(std::future::ready(metrics.text())) };
            serve_metrics((settings.ip, port).into(), text).await?;
        }
        let state = Rc::new(EntryState::new(settings, metrics, exposed.dropped));
        if let Some(address) = readiness {
            let listener = listen(address).await?;
            tokio::spawn(serve_http_handler(listener, readiness::handler(state.is_ready.clone())));
        }
        tokio::task::spawn_local(follow::follow_control(state.clone()));
        tokio::task::spawn_local(health::check_upstreams(state.clone()));
        tokio::task::spawn_local(announce::announce(state.clone(), callers_address));
        tokio::task::spawn_local(callers::accept(state.clone(), listener));
        info!(instance = state.settings.instance, "entry started");
        Ok(Self { state })
    }

    /// Takes over settings that changed while the process runs.
    pub fn reload(&self, settings: &NodeSettings) {
        info!(seeds = ?settings.seeds, "settings reloaded");
        self.state.reload(settings);
    }

    /// Leaves the directory, lets the requests in flight finish, and returns
    /// when they have or the time for a stop is over.
    pub async fn stop(&self) {
        info!(instance = self.state.settings.instance, "entry stops");
        self.state.begin_stop();
        let limit = self.state.settings.bounds.stop_grace.saturating_sub(STOP_MARGIN);
        let deadline = tokio::time::Instant::now() + limit;
        tokio::time::sleep(STOP_SERVE_MIN.min(limit)).await;
        while self.state.open_requests.get() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        info!(open = self.state.open_requests.get(), "entry stopped");
    }
}

/// How long callers that still know this instance are served after a stop
/// began.
const STOP_SERVE_MIN: Duration = Duration::from_millis(2500);

/// Shares a truth value with other threads.
type Flag = Arc<std::sync::atomic::AtomicBool>;
