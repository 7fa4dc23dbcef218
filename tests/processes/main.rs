//! Runs whole deployments as separate processes on loopback.

mod deployment;
mod whole_path;
