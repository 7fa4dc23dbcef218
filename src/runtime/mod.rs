//! Drives the core: actors, timers, calls to other processes.

mod clock;
mod control_client;
mod control_node;
mod desk;
mod entry_node;
mod follower;
mod founding;
mod gateway;
mod http_answers;
mod http_get;
mod instance;
mod logs;
mod metrics;
mod metrics_server;
mod node_error;
mod operators;
mod peers;
mod platform;
mod replica;
mod replica_start;
mod view;

pub use self::{
    clock::Clock,
    control_client::{ControlClient, SubmitError},
    control_node::ControlNode,
    entry_node::EntryNode,
    instance::{Instance, InstanceError, stop_signal},
    logs::{DroppedLines, LogGuard, start_logs},
    metrics_server::Exposed,
    node_error::NodeError,
    operators::{ChangeAnswer, LookUpAnswer, OfferedInstance},
    platform::{ListedInstance, PlatformList},
};
