//! Starts an instance and carries out its planned stop.

use std::{
    collections::BTreeMap, error::Error, fmt, fs, net::SocketAddr, path::Path, sync::Arc,
    time::Duration,
};

use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
    task::JoinHandle,
};
use tracing::info;
use xtra::{Address, Mailbox};

use super::{
    admin_api::AdminApi,
    admission_actor::{AdmissionActor, HasNoUpstreams, IsIdle, ReleaseAll, TICK_INTERVAL, Tick},
    clock::Clock,
    control_client::ControlClient,
    control_watcher::{ControlWatcher, report_stopped},
    gateway::{Gateway, GatewayParts, caller_routes, forward_routes},
    metrics::InstanceMetrics,
    platform::poll_platform,
    replica_start::{ReplicaParts, start_replica, tick},
    view::View,
};
use crate::{
    core::control::{Holder, InstanceName},
    net::{ClusterClient, HttpLimits, serve_http},
    settings::Settings,
    storage::StoreError,
};

/// Represents a running instance. It has the entry role, and also the control role
/// if the settings give it a data folder.
#[derive(Debug)]
pub struct Instance {
    stop_sender: watch::Sender<bool>,
    server_task: JoinHandle<()>,
    replica_failure: Option<oneshot::Receiver<()>>,
}

/// Represents the reason why an instance can't start.
#[derive(Debug)]
pub enum InstanceError {
    /// The settings name no such instance.
    Unknown {
        /// The name of the requested instance.
        instance: InstanceName,
        /// The instances in the settings.
        known: Vec<InstanceName>,
    },
    /// A file with a secret, the cluster key or an operator's token, can't be used.
    SecretFile {
        /// The path of the file.
        path: String,
        /// Why the file can't be used.
        reason: String,
    },
    /// An address can't be bound.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The data folder can't be used.
    Store(StoreError),
    /// The HTTP client can't be set up.
    Http(reqwest::Error),
    /// The metrics can't be set up.
    Metrics(prometheus::Error),
    /// The control state on the disk can't be decoded.
    State(rmp_serde::decode::Error),
}

impl fmt::Display for InstanceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown { instance, known } => write!(
                f,
                "the settings have no instance `{instance}`; use one of: {}",
                known.join(", ")
            ),
            Self::SecretFile { path, reason } => {
                write!(f, "can't use the secret in {path}: {reason}")
            }
            Self::Listen { address, source } => {
                write!(
                    f,
                    "can't listen on {address}: {source}; free the address, or change it in the \
                     settings"
                )
            }
            Self::Store(error) => error.fmt(f),
            Self::Http(error) => write!(f, "can't set up the HTTP client: {error}"),
            Self::Metrics(error) => write!(f, "can't set up the metrics: {error}"),
            Self::State(error) => write!(
                f,
                "can't decode the control state in the data folder: {error}; start the version \
                 that wrote it, or move the data folder away, and the replica rejoins as a new \
                 member"
            ),
        }
    }
}

impl Error for InstanceError {}

/// The minimum length of a cluster key or operator token.
const SECRET_MIN_BYTES: usize = 16;
/// How often a stop checks whether requests are in flight or upstreams are owned.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Holds the listeners of an instance.
struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    cluster: TcpListener,
    forward: TcpListener,
}

impl Instance {
    /// Starts the instance with this name in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings have no such instance, when a key
    /// file, an address or the data folder can't be used, or when the HTTP
    /// client, the metrics or the control state can't be set up.
    pub async fn start(settings: Arc<Settings>, name: &str) -> Result<Self, InstanceError> {
        let Some(instance) = settings.instances.get(name) else {
            let known = settings.instances.keys().cloned().collect();
            return Err(InstanceError::Unknown { instance: name.to_owned(), known });
        };
        let cluster_key = read_secret(&settings.cluster_key_file)?;
        let tokens = read_tokens(&settings)?;
        let listeners = Listeners {
            callers: listen(instance.caller_address).await?,
            operators: listen(instance.operator_address).await?,
            cluster: listen(instance.cluster_address).await?,
            forward: listen(instance.forward_address).await?,
        };
        let clock = Clock::new();
        let metrics = InstanceMetrics::new().map_err(InstanceError::Metrics)?;
        let holder = Holder::new(name, rand::random());
        let clients = control_clients(&settings, &cluster_key);
        let control = ControlClient::new(clients.clone());
        let view = View::new(settings.clone(), clock);
        let (stop_sender, stop_receiver) = watch::channel(false);
        let (cluster_stop_sender, cluster_stop_receiver) = oneshot::channel();
        let replica_failure = start_replica(ReplicaParts {
            settings: &settings,
            name,
            instance,
            clock,
            metrics: &metrics,
            control: &control,
            clients: &clients,
            cluster: (listeners.cluster, cluster_key.clone(), cluster_stop_receiver),
        })
        .await?;
        let admission = AdmissionActor::new(
            holder.clone(),
            settings.clone(),
            clock,
            control.clone(),
            metrics.clone(),
        );
        let admission = xtra::spawn_tokio(admission, Mailbox::unbounded());
        tokio::spawn(tick(admission.clone(), TICK_INTERVAL, || Tick));
        if let Some(source) = settings.platform.clone() {
            tokio::spawn(poll_platform(source, settings.clone(), admission.clone()));
        }
        let gateway = Gateway::new(GatewayParts {
            local_id: holder.clone(),
            settings: settings.clone(),
            clock,
            view: view.clone(),
            control: control.clone(),
            admission: admission.clone(),
            metrics: metrics.clone(),
            cluster_key,
        })
        .map_err(InstanceError::Http)?;
        let watcher = ControlWatcher {
            holder: holder.clone(),
            settings: settings.clone(),
            clock,
            control: control.clone(),
            view: view.clone(),
            admission: admission.clone(),
            metrics: metrics.clone(),
            stopping: stop_receiver.clone(),
        };
        tokio::spawn(watcher.run());
        let operators = AdminApi {
            clock,
            control: control.clone(),
            view: view.clone(),
            gateway: gateway.clone(),
            metrics,
            tokens: Arc::new(tokens),
        };
        let server = Server {
            holder,
            settings: settings.clone(),
            clock,
            control,
            view,
            admission,
            stopping: stop_receiver,
            cluster_stop_sender,
        };
        let server_task = tokio::spawn(server.serve(
            (listeners.callers, listeners.operators, listeners.forward),
            gateway,
            operators,
        ));
        info!(instance = name, callers = %instance.caller_address, "started");
        Ok(Self { stop_sender, server_task, replica_failure })
    }

    /// Begins a planned stop. Requests in flight finish, within a time limit.
    pub fn stop(&self) {
        self.stop_sender.send(true).ok();
    }

    /// Waits until the instance has stopped. Returns `true` if it stopped as
    /// planned, and `false` if its control replica stopped because its data folder
    /// could not be written or a snapshot could not be decoded.
    pub async fn wait_stopped(&mut self) -> bool {
        let replica_failure = async {
            match &mut self.replica_failure {
                // The sender is dropped unused when the replica ends normally.
                Some(receiver) => match receiver.await {
                    Ok(()) => {}
                    Err(_) => std::future::pending().await,
                },
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = &mut self.server_task => true,
            () = replica_failure => false,
        }
    }
}

/// Holds what an instance needs to serve requests and to carry out a planned stop.
struct Server {
    holder: Holder,
    settings: Arc<Settings>,
    clock: Clock,
    control: ControlClient,
    view: View,
    admission: Address<AdmissionActor>,
    stopping: watch::Receiver<bool>,
    cluster_stop_sender: oneshot::Sender<()>,
}

impl Server {
    /// Serves until a stop is requested, and then stops in this order: look-ups
    /// no longer name this instance; the look-ups cached by callers expire;
    /// requests in flight finish; the upstreams are released to other instances.
    async fn serve(
        mut self,
        (callers, operators, forward): (TcpListener, TcpListener, TcpListener),
        gateway: Gateway,
        operator_routes: AdminApi,
    ) {
        let (callers_stop_sender, callers_stop_receiver) = oneshot::channel::<()>();
        let (forward_stop_sender, forward_stop_receiver) = oneshot::channel::<()>();
        let resources = self.settings.resources;
        let limits = |connections| HttpLimits { connections, ..HttpLimits::default() };
        let caller_service = warp::service(caller_routes(gateway.clone()));
        let callers = tokio::spawn(serve_http(
            callers,
            caller_service,
            limits(resources.caller_connections()),
            wait_for_stop(callers_stop_receiver),
        ));
        let forward_service = warp::service(forward_routes(gateway));
        let forward = tokio::spawn(serve_http(
            forward,
            forward_service,
            limits(resources.forward_connections()),
            wait_for_stop(forward_stop_receiver),
        ));
        let operator_service = warp::service(operator_routes.routes());
        let operators = tokio::spawn(serve_http(
            operators,
            operator_service,
            limits(resources.operator_connections()),
            std::future::pending(),
        ));
        if self.stopping.wait_for(|stopping| *stopping).await.is_err() {
            return;
        }
        let started_at = self.clock.now();
        info!("stopping: look-ups no longer name this instance, and requests in flight finish");
        let timeout = self.settings.timing.stop_timeout;
        let stages = async {
            tokio::time::sleep(self.settings.topology.look_up_ttl).await;
            callers_stop_sender.send(()).ok();
            callers.await.ok();
            self.release_upstreams().await;
            forward_stop_sender.send(()).ok();
            forward.await.ok();
        };
        let completed = tokio::time::timeout(timeout, stages).await.is_ok();
        report_stopped(&self.control, self.holder.clone(), &self.view).await;
        self.cluster_stop_sender.send(()).ok();
        operators.abort();
        let took_ms = self.clock.now().saturating_sub(started_at).as_millis() as u64;
        info!(whole = completed, took_ms, "stopped");
    }

    /// Releases all upstreams. Waits until no request is in flight and then, for at
    /// most the duration of a lease, until the control replicas have confirmed that
    /// it owns none. Without that confirmation, the upstreams change owner once the
    /// lease is known to have expired.
    async fn release_upstreams(&self) {
        self.admission.send(ReleaseAll).await.ok();
        while !self.admission.send(IsIdle).await.unwrap_or(true) {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
        let deadline = self.clock.now() + self.settings.timing.lease;
        while self.clock.now() < deadline
            && !self.admission.send(HasNoUpstreams).await.unwrap_or(true)
        {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }
}

/// Waits until the sender has sent the request to stop or is dropped.
pub(super) async fn wait_for_stop(receiver: oneshot::Receiver<()>) {
    receiver.await.ok();
}

fn control_clients(settings: &Settings, key: &str) -> BTreeMap<InstanceName, ClusterClient> {
    settings
        .control_instances()
        .into_iter()
        .map(|(name, instance)| {
            (name.clone(), ClusterClient::new(instance.cluster_address, key.to_owned()))
        })
        .collect()
}

async fn listen(address: SocketAddr) -> Result<TcpListener, InstanceError> {
    TcpListener::bind(address).await.map_err(|source| InstanceError::Listen { address, source })
}

fn read_secret(path: &Path) -> Result<String, InstanceError> {
    let path_text = path.display().to_string();
    let secret_file_error =
        |reason: String| InstanceError::SecretFile { path: path_text.clone(), reason };
    let text = fs::read_to_string(path).map_err(|error| {
        secret_file_error(format!(
            "{error}; make it a readable file with a secret that nothing else uses"
        ))
    })?;
    let secret = text.trim().to_owned();
    if secret.len() < SECRET_MIN_BYTES || !secret.bytes().all(|byte| byte.is_ascii_graphic()) {
        let reason = format!(
            "it must have at least {SECRET_MIN_BYTES} printable ASCII characters without spaces; \
             write one that does"
        );
        return Err(secret_file_error(reason));
    }
    Ok(secret)
}

fn read_tokens(settings: &Settings) -> Result<BTreeMap<String, String>, InstanceError> {
    let mut tokens = BTreeMap::new();
    for (name, path) in &settings.operator_tokens {
        tokens.insert(read_secret(path)?, name.clone());
    }
    Ok(tokens)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when no signal handler can be installed.
pub async fn stop_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
