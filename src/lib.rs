//! Steers callers' requests between regions whose capacity is fixed.

pub mod cli;
pub mod core;
pub mod demo;
pub mod explain;
pub mod net;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod runtime;
pub mod settings;
pub mod storage;
