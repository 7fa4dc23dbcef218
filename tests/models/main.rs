//! Model checking of the core.
//!
//! The models call the core's own step functions and search every order of
//! events within small bounds.

mod claims;
mod explore;
mod ownership;
mod replication;
mod replication_world;
