//! Tests of callers that do not keep to the protocol, such as crowds that stop short of the end of
//! a request, send without end, or read slowly.
//!
//! They check that the process lives, that its memory and descriptors stay within its limits, and
//! that an ordinary request is answered. Only one of them runs at a time.

mod control;
mod crowd;
#[path = "../processes/deployment.rs"]
#[allow(dead_code)]
mod deployment;
mod entry;
mod gateway;
mod rig;
mod usage;
