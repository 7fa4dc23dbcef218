//! Keeps a control replica's durable state under one data folder.
//!
//! The folder holds `LOCK`, `identity`, `snapshot` and `log`. Every record
//! carries its length and checksums. [`Store::save`] returns only after the
//! operating system confirmed that the data is on the disk.

mod error;
mod identity;
mod record;
mod store;

pub use self::{
    error::StoreError,
    identity::Identity,
    store::{Store, move_damaged_files},
};
