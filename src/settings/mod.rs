//! Defines the settings of a deployment and those of a single process.
//!
//! Files with the settings of a deployment, which are JSON with comments, are loaded and
//! validated here. Files with the settings of a single process are decoded in
//! [`crate::platform::node_file`].

mod capacity;
mod check;
mod finding;
mod model;
mod node;
mod parse;
mod reader;

pub use self::{
    finding::{Finding, Findings},
    model::{InstanceResources, InstanceSettings, PlatformListSource, Settings, Timing},
    node::{
        Bounds, ListenAddresses, NodeSettings, Resources, ToleratedFailures, UpstreamListSource,
    },
    parse::{load, parse},
};
