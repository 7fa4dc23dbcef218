//! Runs the core: its actors, timers, log output and calls to other processes.

mod admin_api;
mod admission_actor;
mod bootstrap;
mod clock;
mod control_client;
mod control_node;
mod control_watcher;
mod entry_node;
mod gateway;
mod http_client;
mod http_handler;
mod instance;
mod logs;
mod metrics;
mod metrics_server;
mod node_error;
mod peers;
mod platform;
mod replica;
mod replica_start;
mod view;

pub use self::{
    admin_api::{ChangeResponse, InstanceAddress, LookUpResponse},
    clock::Clock,
    control_client::{ControlClient, SubmitError},
    control_node::ControlNode,
    entry_node::EntryNode,
    instance::{Instance, InstanceError, stop_signal},
    logs::{DroppedLines, LogGuard, start_logs},
    metrics_server::MetricsConfig,
    node_error::NodeError,
    platform::{PlatformList, PlatformUpstream},
};
