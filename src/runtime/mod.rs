//! Drives the core: actors, timers, calls to other processes.

mod clock;
mod control_client;
mod desk;
mod follower;
mod founding;
mod gateway;
mod instance;
mod metrics;
mod operators;
mod peers;
mod platform;
mod replica;
mod replica_start;
mod view;

pub use self::{
    clock::Clock,
    control_client::{ControlClient, SubmitError},
    instance::{Instance, InstanceError, stop_signal},
    operators::{ChangeAnswer, LookUpAnswer, OfferedInstance},
    platform::{ListedInstance, PlatformList},
};
