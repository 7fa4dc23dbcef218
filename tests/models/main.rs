//! Model checking of the core: the model is the core's own step functions,
//! driven through every order of events within small bounds.

mod claims;
mod explore;
mod ownership;
mod replication;
mod replication_world;
