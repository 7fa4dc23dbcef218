//! The data folder: its files, and how they are written and recovered.

use std::{fmt, io, marker::PhantomData, path::Path};

use serde::{Serialize, de::DeserializeOwned};

use super::{
    FileOp, Files, Identity, StoreError,
    record::{self, Parsed},
    replay::{LogItem, replay},
};
use crate::core::replication::{DurableState, Outputs, Snapshot};

/// Represents an open data folder, which it locks against other processes.
///
/// `C` is the type of the commands in the log.
pub struct Store<C> {
    files: Files,
    identity: Identity,
    /// The length of the log file in bytes; `None` while the replica has no log.
    log_bytes: Option<u64>,
    /// Whether an operation has failed, so that the end of the log file is not known.
    has_failed: bool,
    command: PhantomData<fn() -> C>,
}

impl<C> fmt::Debug for Store<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("identity", &self.identity)
            .field("log_bytes", &self.log_bytes)
            .finish_non_exhaustive()
    }
}

impl<C: Clone + Serialize + DeserializeOwned> Store<C> {
    /// Opens a data folder, creating it if needed, and recovers its state.
    ///
    /// A folder without an identity gets `new_identity`. The state is `None`
    /// when the replica has no log yet; [`Store::create_log`] creates it.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder is in use, can't be read or written,
    /// or is damaged other than by an interrupted last write.
    pub fn open(
        folder: &Path,
        new_identity: Identity,
    ) -> Result<(Self, Option<DurableState<C>>), StoreError> {
        Self::open_with(Files::lock(folder)?, new_identity)
    }

    /// Opens the data folder of `files` like [`Store::open`], without a lock.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Store::open`] except [`StoreError::Locked`].
    pub fn open_with(
        mut files: Files,
        new_identity: Identity,
    ) -> Result<(Self, Option<DurableState<C>>), StoreError> {
        // The files that are read next may have been renamed by a process that ended before it
        // synced the folder. A loss of power must not undo that once they are relied on.
        files.run(FileOp::SyncFolder)?;
        let identity = read_identity(&mut files, new_identity)?;
        let mut store =
            Self { files, identity, log_bytes: None, has_failed: false, command: PhantomData };
        let durable = store.recover()?;
        Ok((store, durable))
    }

    /// Returns the identity of the replica.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns the length of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes.unwrap_or_default()
    }

    /// Creates the log with the initial state of the replica.
    ///
    /// # Errors
    ///
    /// Returns an error when the state can't be made durable.
    pub fn create_log(&mut self, durable: &DurableState<C>) -> Result<(), StoreError> {
        self.write(|store| {
            store.rewrite_log(durable)?;
            store.identity.log_created = true;
            write_identity(&mut store.files, &store.identity)
        })
    }

    /// Writes the parts of a step's outputs that have to be durable, and syncs
    /// them to the disk. `durable` is the state after the step; it is used only
    /// if the outputs hold a snapshot, at which the log is rewritten.
    ///
    /// # Errors
    ///
    /// Returns an error when writing or syncing fails, and [`StoreError::Failed`]
    /// at each later call. The store must then be opened again, which rewrites its files: after a
    /// failed sync the operating system may drop the written data although reads still return it.
    pub fn save(
        &mut self,
        outputs: &Outputs<C>,
        durable: &DurableState<C>,
    ) -> Result<(), StoreError> {
        if let Some(snapshot) = &outputs.snapshot {
            return self.write(|store| {
                store.write_snapshot(snapshot)?;
                store.rewrite_log(durable)
            });
        }
        let ballot = outputs.ballot.map(LogItem::Ballot);
        let entries = outputs.entries.iter().cloned().map(LogItem::Entry);
        let committed = outputs.commit_index.map(LogItem::Committed);
        let batch: Vec<LogItem<C>> = ballot.into_iter().chain(entries).chain(committed).collect();
        if batch.is_empty() {
            return Ok(());
        }
        let buffer = encode_batch(&batch)?;
        self.write(|store| store.append(&buffer))
    }

    /// Calls `write` unless an earlier write failed.
    fn write(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(StoreError::earlier_failure());
        }
        let result = write(self);
        self.has_failed = result.is_err();
        result
    }

    fn append(&mut self, buffer: &[u8]) -> Result<(), StoreError> {
        let Some(log_bytes) = &mut self.log_bytes else {
            let source = io::Error::other("the replica has no log yet");
            return Err(StoreError::Io { path: self.files.path(LOG), source });
        };
        self.files.append(LOG, buffer)?;
        *log_bytes += buffer.len() as u64;
        Ok(())
    }

    /// Replaces the log file by one that begins at the snapshot of `durable`.
    fn rewrite_log(&mut self, durable: &DurableState<C>) -> Result<(), StoreError> {
        let snapshot = &durable.snapshot;
        let base = LogItem::Base {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
        };
        let committed = LogItem::Committed(durable.commit_index);
        let mut batch = vec![base, LogItem::Ballot(durable.ballot), committed];
        batch.extend(durable.entries.iter().cloned().map(LogItem::Entry));
        let buffer = encode_batch(&batch)?;
        self.files.replace(LOG, &buffer)?;
        self.log_bytes = Some(buffer.len() as u64);
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let mut buffer = Vec::new();
        record::append(&mut buffer, snapshot).map_err(|reason| StoreError::Encode { reason })?;
        self.files.replace(SNAPSHOT, &buffer)
    }

    /// Reads the state from the log and the snapshot, and rewrites both. Returns `None` if the
    /// replica has no log yet.
    ///
    /// They are rewritten at each start because the log may end in an incomplete record, may begin
    /// before the snapshot if a crash came between the writes of the two, and because a failed
    /// sync may have left the data or the name of either only in the operating system's cache.
    fn recover(&mut self) -> Result<Option<DurableState<C>>, StoreError> {
        let path = self.files.path(LOG);
        let Some(bytes) = self.files.read_if_exists(LOG)? else {
            if self.identity.log_created {
                return Err(StoreError::damaged(
                    path,
                    0,
                    "the log file is missing, although the replica had one",
                ));
            }
            return Ok(None);
        };
        let snapshot = self.read_snapshot()?;
        let durable = replay(&path, &bytes, snapshot)?;
        // The log names the snapshot that it begins at, so that one has to be durable first.
        if durable.snapshot.index > 0 {
            self.write_snapshot(&durable.snapshot)?;
        }
        self.rewrite_log(&durable)?;
        // A crash may have come between the writes of the log and of the identity.
        if !self.identity.log_created {
            self.identity.log_created = true;
            write_identity(&mut self.files, &self.identity)?;
        }
        Ok(Some(durable))
    }

    fn read_snapshot(&mut self) -> Result<Option<Snapshot>, StoreError> {
        let path = self.files.path(SNAPSHOT);
        let Some(bytes) = self.files.read_if_exists(SNAPSHOT)? else { return Ok(None) };
        let Parsed::Record { body, .. } = record::parse(&bytes, 0) else {
            return Err(StoreError::damaged(
                path,
                0,
                "the snapshot is incomplete or its checksum is wrong",
            ));
        };
        let decode_result = record::decode(body);
        decode_result.map(Some).map_err(|reason| StoreError::damaged(path, 0, reason))
    }
}

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

/// Reads the identity and writes it again, or writes a new one if there is none.
fn read_identity(files: &mut Files, new_identity: Identity) -> Result<Identity, StoreError> {
    let path = files.path(IDENTITY);
    let Some(bytes) = files.read_if_exists(IDENTITY)? else {
        // A log that was moved belongs to a move that was interrupted.
        for name in [LOG.to_owned(), damaged_name(LOG)] {
            if files.read_if_exists(&name)?.is_some() {
                return Err(StoreError::damaged(
                    path,
                    0,
                    "the identity is missing, but there is a log",
                ));
            }
        }
        write_identity(files, &new_identity)?;
        return Ok(new_identity);
    };
    let Parsed::Record { body, .. } = record::parse(&bytes, 0) else {
        return Err(StoreError::damaged(
            path,
            0,
            "the identity is incomplete or its checksum is wrong",
        ));
    };
    let identity = record::decode(body).map_err(|reason| StoreError::damaged(path, 0, reason))?;
    // A failed sync may have left the name of the file only in the operating system's cache.
    write_identity(files, &identity)?;
    Ok(identity)
}

fn write_identity(files: &mut Files, identity: &Identity) -> Result<(), StoreError> {
    let mut buffer = Vec::new();
    record::append(&mut buffer, identity).map_err(|reason| StoreError::Encode { reason })?;
    files.replace(IDENTITY, &buffer)
}

/// Encodes the items of one save as a single record, so that only the last
/// record of the file can be incomplete after a crash.
fn encode_batch<C: Serialize>(batch: &Vec<LogItem<C>>) -> Result<Vec<u8>, StoreError> {
    let mut buffer = Vec::new();
    record::append(&mut buffer, batch).map_err(|reason| StoreError::Encode { reason })?;
    Ok(buffer)
}

/// Returns whether a replica has used the data folder before.
pub fn has_identity(folder: &Path) -> bool {
    folder.join(IDENTITY).exists()
}

/// Renames the log and the snapshot of a damaged data folder to `*.damaged`, keeps a copy of the
/// identity under such a name, and replaces the identity, so that a replica can start in that
/// folder under a new id, without a log. Files that were renamed earlier are overwritten.
///
/// The identity is replaced last: until then each start finds the folder damaged, and never
/// creates a log under an id that may have voted.
///
/// # Errors
///
/// Returns an error when the folder is in use or the files can't be moved.
pub fn move_damaged_files(folder: &Path, new_identity: Identity) -> Result<(), StoreError> {
    move_damaged_files_with(&mut Files::lock(folder)?, new_identity)
}

/// Returns the name to which a file of a damaged data folder is renamed.
fn damaged_name(name: &str) -> String {
    format!("{name}.damaged")
}

/// Renames the files of a damaged data folder like [`move_damaged_files`], without a lock.
///
/// # Errors
///
/// Returns an error when the files can't be moved.
pub fn move_damaged_files_with(
    files: &mut Files,
    new_identity: Identity,
) -> Result<(), StoreError> {
    for name in [LOG, SNAPSHOT] {
        match files.run(FileOp::Rename(name, &damaged_name(name))) {
            Err(StoreError::Io { source, .. }) if source.kind() == io::ErrorKind::NotFound => {}
            result => drop(result?),
        }
        files.run(FileOp::SyncFolder)?;
    }
    if let Some(bytes) = files.read_if_exists(IDENTITY)? {
        files.replace(&damaged_name(IDENTITY), &bytes)?;
    }
    write_identity(files, &new_identity)
}
