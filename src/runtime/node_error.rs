//! The error of a process that can't start.

use std::{error::Error, fmt, net::SocketAddr};

use crate::storage::StoreError;

/// Represents the reason why a control or entry process can't start.
#[derive(Debug)]
pub enum NodeError {
    /// The settings lack something that the role of the process needs.
    Settings(String),
    /// An address can't be bound.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The data folder can't be used.
    Store(StoreError),
    /// The metrics can't be set up.
    Metrics(prometheus::Error),
    /// The control state on the disk can't be decoded.
    State(rmp_serde::decode::Error),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(reason) => write!(f, "the settings don't fit the role: {reason}"),
            Self::Listen { address, source } => {
                write!(
                    f,
                    "can't listen on {address}: {source}; free the address, or change it in the \
                     settings or flags"
                )
            }
            Self::Store(error) => error.fmt(f),
            Self::Metrics(error) => write!(f, "can't set up the metrics: {error}"),
            Self::State(error) => write!(
                f,
                "can't decode the control state in the data folder: {error}; start the version \
                 that wrote it, or move the data folder away and change the settings to say that \
                 this is not the first start, and the replica rejoins as a new member"
            ),
        }
    }
}

impl Error for NodeError {}
