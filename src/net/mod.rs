//! Implements the network protocols: HTTP with callers and operators, and two
//! transports between instances, gRPC and [`mesh`].

mod cluster;
pub(crate) mod connections;
pub(crate) mod held_bytes;
pub mod http1;
mod http_server;
mod limited_stream;
pub mod mesh;
mod packed_list;
pub mod relay;
pub(crate) mod socket_buffers;
pub mod wire;

#[allow(clippy::all, clippy::pedantic, clippy::nursery, missing_docs)]
mod generated {
    include!("generated/cluster.rs");
}

pub use self::{
    cluster::{ClusterClient, ClusterError, ClusterHandlers, serve_cluster},
    held_bytes::SharedBudget,
    http_server::{HttpLimits, PeerAddr, serve_http},
};
