//! Reads settings: JSON with comments, checked as a whole.

mod check;
mod finding;
mod model;
mod parse;
mod reader;

pub use self::{
    finding::{Finding, Findings},
    model::{InstanceSettings, PlatformSource, Settings, Timing},
    parse::{load, parse},
};
