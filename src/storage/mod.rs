//! Durable storage of a control replica: its log, snapshot and identity.
//!
//! The data folder holds the files `LOCK`, `identity`, `snapshot` and `log`.
//! A file that is being replaced is written as `*.new` first, and damaged files
//! are kept as `*.damaged`. All data is stored in records with their length and
//! checksums. The log names the index and term of the snapshot at which it begins. If
//! the snapshot file is newer, the log is rewritten to begin at it before anything is
//! appended; if it is older or missing, the folder is damaged. [`Store::save`] returns only after the operating system has
//! confirmed that the data is on the disk.

mod error;
mod files;
mod identity;
mod record;
mod replay;
mod store;

pub use self::{
    error::StoreError,
    files::{FileOp, Files},
    identity::Identity,
    store::{Store, has_identity, move_damaged_files, move_damaged_files_with},
};
