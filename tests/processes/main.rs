//! Tests of complete deployments, each with its own processes on loopback.

mod control;
mod deployment;
mod guide;
mod platform;
mod requests;
mod stops;
mod whole_path;
