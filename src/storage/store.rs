//! The data folder: its files, and how they are written and recovered.

use std::{fmt, io, marker::PhantomData, path::Path};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    FileOp, Files, Identity, StoreError,
    record::{self, Parsed},
};
use crate::core::replication::{
    Ballot, DurableState, Entry, LogIndex, Members, Outputs, Snapshot, Term,
};

/// Represents an open data folder, which it locks against other processes.
///
/// `C` is the type of the commands in the log.
pub struct Store<C> {
    files: Files,
    identity: Identity,
    /// The length of the log file in bytes; `None` while the replica has no log.
    log_bytes: Option<u64>,
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

/// Represents an item of the log. Each record of the log file holds the items of
/// one save; a rewritten file begins with a record of its whole state.
#[derive(Deserialize, Serialize)]
enum LogItem<C> {
    /// The snapshot at which the log begins. Its data is in the snapshot file.
    Base { index: LogIndex, term: Term, members: Members },
    /// The current term and vote.
    Ballot(Ballot),
    /// An entry, which replaces any entries from its index on.
    Entry(Entry<C>),
    /// The commit index.
    Committed(LogIndex),
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
        let identity = read_identity(&mut files, new_identity)?;
        let mut store = Self { files, identity, log_bytes: None, command: PhantomData };
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
        self.rewrite_log(durable)?;
        self.identity.log_created = true;
        write_identity(&mut self.files, &self.identity)
    }

    /// Writes the parts of a step's outputs that have to be durable, and syncs
    /// them to the disk. `durable` is the state after the step; it is used only
    /// if the outputs hold a snapshot, at which the log is rewritten.
    ///
    /// # Errors
    ///
    /// Returns an error when writing or syncing fails. The store must then be
    /// opened again and rewritten with [`Store::rewrite_all`]: after a failed
    /// sync the operating system may drop the written data although reads
    /// still return it.
    pub fn save(
        &mut self,
        outputs: &Outputs<C>,
        durable: &DurableState<C>,
    ) -> Result<(), StoreError> {
        if let Some(snapshot) = &outputs.snapshot {
            self.write_snapshot(snapshot)?;
            return self.rewrite_log(durable);
        }
        let ballot = outputs.ballot.map(LogItem::Ballot);
        let entries = outputs.entries.iter().cloned().map(LogItem::Entry);
        let committed = outputs.commit_index.map(LogItem::Committed);
        let batch: Vec<LogItem<C>> = ballot.into_iter().chain(entries).chain(committed).collect();
        if batch.is_empty() {
            return Ok(());
        }
        let buffer = encode_batch(&batch)?;
        self.append(&buffer)
    }

    /// Rewrites the snapshot and the log, so that nothing depends on data that
    /// an earlier process or a failed sync left only in the operating system's
    /// page cache.
    ///
    /// # Errors
    ///
    /// Returns an error when the state can't be made durable.
    pub fn rewrite_all(&mut self, durable: &DurableState<C>) -> Result<(), StoreError> {
        if durable.snapshot.index > 0 {
            self.write_snapshot(&durable.snapshot)?;
        }
        self.rewrite_log(durable)
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

    /// Reads the state from the log and the snapshot, and removes an interrupted
    /// last write. Returns `None` if the replica has no log yet.
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
        let (mut durable, length) = replay(&path, &bytes)?;
        if length < bytes.len() {
            self.files.run(FileOp::Truncate(LOG, length as u64))?;
            self.files.run(FileOp::Sync(LOG))?;
        }
        // After a crash between writing a snapshot and rewriting the log to
        // begin at it, the older log still exists. It is compacted to the
        // snapshot, as the running replica would have done.
        if let Some(snapshot) = self.read_snapshot()? {
            if snapshot.index > durable.snapshot.index {
                durable.compact(snapshot);
            } else {
                durable.snapshot.data = snapshot.data;
            }
        } else if durable.snapshot.index > 0 {
            let reason = "the log begins at a snapshot, but the snapshot file is missing";
            return Err(StoreError::damaged(path, 0, reason));
        }
        // A killed process may have written to the log without syncing it.
        self.files.run(FileOp::Sync(LOG))?;
        self.files.run(FileOp::SyncFolder)?;
        self.log_bytes = Some(length as u64);
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

fn read_identity(files: &mut Files, new_identity: Identity) -> Result<Identity, StoreError> {
    let path = files.path(IDENTITY);
    let Some(bytes) = files.read_if_exists(IDENTITY)? else {
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
    record::decode(body).map_err(|reason| StoreError::damaged(path, 0, reason))
}

fn write_identity(files: &mut Files, identity: &Identity) -> Result<(), StoreError> {
    let mut buffer = Vec::new();
    record::append(&mut buffer, identity).map_err(|reason| StoreError::Encode { reason })?;
    files.replace(IDENTITY, &buffer)
}

/// Replays the log. Returns the state and the length of the log's intact part
/// in bytes.
fn replay<C>(path: &Path, bytes: &[u8]) -> Result<(DurableState<C>, usize), StoreError>
where
    C: Clone + DeserializeOwned,
{
    let mut durable = DurableState::new(Members::default());
    let mut offset = 0;
    loop {
        match record::parse(bytes, offset) {
            Parsed::Record { body, next } => {
                let batch: Vec<LogItem<C>> = record::decode(body)
                    .map_err(|reason| StoreError::damaged(path, offset as u64, reason))?;
                batch.into_iter().for_each(|item| replay_item(&mut durable, item));
                offset = next;
            }
            // The file is renamed into place with its first record, so a crash
            // never leaves that record incomplete.
            Parsed::Incomplete | Parsed::End if offset == 0 => {
                return Err(StoreError::damaged(
                    path,
                    0,
                    "the first record of the log is missing or incomplete",
                ));
            }
            Parsed::End | Parsed::Incomplete => return Ok((durable, offset)),
            Parsed::Damaged(_) if offset > 0 && !record::has_record_after(bytes, offset) => {
                return Ok((durable, offset));
            }
            Parsed::Damaged(reason) => {
                return Err(StoreError::damaged(path, offset as u64, reason));
            }
        }
    }
}

/// Encodes the items of one save as a single record, so that only the last
/// record of the file can be incomplete after a crash.
fn encode_batch<C: Serialize>(batch: &Vec<LogItem<C>>) -> Result<Vec<u8>, StoreError> {
    let mut buffer = Vec::new();
    record::append(&mut buffer, batch).map_err(|reason| StoreError::Encode { reason })?;
    Ok(buffer)
}

fn replay_item<C: Clone>(durable: &mut DurableState<C>, item: LogItem<C>) {
    match item {
        LogItem::Base { index, term, members } => {
            durable.snapshot = Snapshot { index, term, members, data: Vec::new() };
        }
        LogItem::Ballot(ballot) => durable.ballot = ballot,
        LogItem::Entry(entry) => durable.truncate_and_push(entry),
        LogItem::Committed(index) => durable.commit_index = index,
    }
}

/// Renames the files of a damaged data folder to `*.damaged`, so that a replica
/// can start in that folder under a new id, without a log. The lock file stays. Files
/// that were renamed earlier are overwritten.
///
/// # Errors
///
/// Returns an error when the files can't be moved.
pub fn move_damaged_files(folder: &Path) -> Result<(), StoreError> {
    move_damaged_files_with(&mut Files::lock(folder)?)
}

/// Renames the files of a damaged data folder like [`move_damaged_files`], without a lock.
///
/// # Errors
///
/// Returns an error when the files can't be moved.
pub fn move_damaged_files_with(files: &mut Files) -> Result<(), StoreError> {
    for name in [IDENTITY, SNAPSHOT, LOG] {
        match files.run(FileOp::Rename(name, &format!("{name}.damaged"))) {
            Err(StoreError::Io { source, .. }) if source.kind() == io::ErrorKind::NotFound => {}
            result => drop(result?),
        }
    }
    files.run(FileOp::SyncFolder)?;
    Ok(())
}
