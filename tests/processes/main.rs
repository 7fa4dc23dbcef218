//! Tests of complete deployments, each with its own processes on loopback.

mod cold_upstreams;
mod control;
mod copied_refusals;
mod crashing_requests;
mod deployment;
mod endless_bytes;
mod entry;
mod evacuations;
mod faulty_upstreams;
mod fleet;
mod follow;
mod guide;
mod hand_over;
mod large_configurations;
mod late_refusals;
mod late_requests;
mod limits;
mod notices;
mod pauses;
mod platform;
mod recovery;
mod requests;
mod retry_budget;
mod soak;
mod stops;
mod whole_path;
