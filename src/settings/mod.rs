//! Loads settings files, which are JSON with comments, and validates them as a
//! whole.

mod check;
mod finding;
mod model;
mod node;
mod parse;
mod reader;

pub use self::{
    finding::{Finding, Findings},
    model::{InstanceSettings, PlatformListSource, Settings, Timing},
    node::{
        Bounds, ListenAddresses, NodeSettings, Resources, ToleratedFailures, UpstreamListSource,
    },
    parse::{load, parse},
};
