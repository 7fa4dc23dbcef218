//! Durable storage of a control replica: its log, snapshot and identity.
//!
//! The data folder holds the files `LOCK`, `identity`, `snapshot` and `log`.
//! Every record in them carries its length and checksums. [`Store::save`]
//! returns only after the operating system has confirmed that the data is on
//! the disk.

mod error;
mod identity;
mod record;
mod store;

pub use self::{
    error::StoreError,
    identity::Identity,
    store::{Store, move_damaged_files},
};
