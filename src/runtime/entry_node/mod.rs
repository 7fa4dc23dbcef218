//! Runs an entry instance, which forwards callers' requests to upstreams.
//!
//! An entry instance finds the control replicas itself, starting from the seeds
//! in its settings, and follows one of them for the policy and the list of
//! upstreams.

mod announce;
mod attempt;
mod callers;
mod exchange;
mod follow;
mod hand_over;
mod health;
mod link;
mod links;
mod metrics;
mod notices;
mod pool;
mod readiness;
mod reading;
mod ready_response;
mod refusal;
mod replica_call;
mod replica_search;
mod request;
mod response;
mod room;
mod state;

use std::{rc::Rc, sync::Arc, time::Duration};

use tracing::info;

use self::{metrics::EntryMetrics, ready_response::Sender, state::EntryState};
use super::{
    http_handler::{HandlerLimits, listen, serve_http_handler},
    metrics_server::{MetricsConfig, TextFuture, serve_metrics},
    node_error::NodeError,
};
use crate::{core::StopPhase, settings::NodeSettings};

/// A running entry instance. All of its tasks run on one thread, inside a
/// `LocalSet`.
pub struct EntryNode {
    state: Rc<EntryState>,
}

/// How often [`EntryNode::stop`] checks whether all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl EntryNode {
    /// Starts the entry instance that the settings describe. Must be called
    /// inside a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings have no address for callers, if an
    /// address can't be bound, or if the metrics can't be registered.
    pub async fn start(
        settings: NodeSettings,
        metrics_config: MetricsConfig,
    ) -> Result<Self, NodeError> {
        let Some(callers_address) = settings.listen.callers else {
            return Err(NodeError::Settings(
                "an entry instance needs a listen address for callers in its settings file"
                    .to_owned(),
            ));
        };
        let readiness = settings.listen.readiness;
        let listener = listen(callers_address).await?;
        let relay_address = settings.cluster_address();
        let relay_listener = listen(relay_address).await?;
        let metrics = EntryMetrics::new().map_err(NodeError::Metrics)?;
        if let Some(port) = metrics_config.metrics_port {
            let metrics = metrics.clone();
            let text = move || -> TextFuture { Box::pin(std::future::ready(metrics.text())) };
            let connections = settings.platform_connections();
            serve_metrics((settings.ip, port).into(), connections, text).await?;
        }
        let state = Rc::new(EntryState::new(settings, metrics, metrics_config.dropped_lines));
        if let Some(address) = readiness {
            let listener = listen(address).await?;
            let handler = readiness::handler(state.is_ready.clone());
            let limits = HandlerLimits::without_body(state.settings.platform_connections());
            tokio::spawn(serve_http_handler(listener, handler, limits));
        }
        tokio::task::spawn_local(follow::follow_control(state.clone()));
        tokio::task::spawn_local(health::check_upstreams(state.clone()));
        tokio::task::spawn_local(links::probe_upstreams(state.clone()));
        tokio::task::spawn_local(links::check_silent_services(state.clone()));
        tokio::task::spawn_local(announce::announce(state.clone(), callers_address));
        tokio::task::spawn_local(callers::accept(state.clone(), relay_listener, Sender::Peer));
        tokio::task::spawn_local(callers::accept(state.clone(), listener, Sender::Caller));
        info!(instance = state.settings.instance, "entry started");
        Ok(Self { state })
    }

    /// Applies changed settings while the process runs. Only changes of the seeds
    /// take effect.
    pub fn reload(&self, settings: &NodeSettings) {
        info!(seeds = ?settings.seeds, "settings reloaded");
        self.state.reload(settings);
    }

    /// Withdraws the instance from the directory, lets requests in flight
    /// finish, and returns when they have. Shortly before the end of the stop grace
    /// period, those that are left are answered with errors.
    pub async fn stop(&self) {
        let plan = self.state.begin_stop();
        let open_requests = || self.state.open_requests.get();
        info!(instance = self.state.settings.instance, open = open_requests(), "entry stops");
        // Callers may use an address that the directory returned earlier, even if none does now.
        tokio::time::sleep(plan.refuse_at.saturating_sub(self.state.clock.now())).await;
        self.state.stop_phase.send_replace(StopPhase::Refusing);
        self.wait_idle_until(plan.answer_by).await;
        let unfinished = open_requests();
        self.state.stop_phase.send_replace(StopPhase::Ending);
        self.wait_idle_until(plan.exit_at).await;
        info!(unfinished, open = open_requests(), "entry stopped");
    }

    /// Waits until no request is open, or until `deadline`, by the instance's clock.
    async fn wait_idle_until(&self, deadline: Duration) {
        loop {
            let time_left = deadline.saturating_sub(self.state.clock.now());
            if time_left.is_zero() {
                return;
            }
            // Connections first act on the new phase, which may open refused requests.
            tokio::time::sleep(STOP_POLL_INTERVAL.min(time_left)).await;
            if self.state.open_requests.get() == 0 {
                return;
            }
        }
    }
}

/// A boolean that is shared between threads.
type Flag = Arc<std::sync::atomic::AtomicBool>;
