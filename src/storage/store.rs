//! The data folder: its files, and how they are written and recovered.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    marker::PhantomData,
    path::{Path, PathBuf},
};

use fs4::fs_std::FileExt;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    Identity, StoreError,
    record::{self, Parsed},
};
use crate::core::replication::{
    Ballot, DurableState, Entry, LogIndex, Members, Outputs, Snapshot, Term,
};

/// Represents an open data folder, which it locks against other processes.
///
/// `C` is the type of the commands in the log.
#[derive(Debug)]
pub struct Store<C> {
    folder: PathBuf,
    identity: Identity,
    log: Option<File>,
    log_bytes: u64,
    /// Keeps the data folder locked while the store is open.
    _lock: File,
    command: PhantomData<fn() -> C>,
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
        fs::create_dir_all(folder).map_err(StoreError::io(folder))?;
        let lock = lock_folder(folder)?;
        let identity = read_identity(folder, new_identity)?;
        let mut store = Self {
            folder: folder.to_owned(),
            identity,
            log: None,
            log_bytes: 0,
            _lock: lock,
            command: PhantomData,
        };
        let durable = store.recover()?;
        Ok((store, durable))
    }

    /// Returns the identity of the replica.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns the length of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Creates the log with the initial state of the replica.
    ///
    /// # Errors
    ///
    /// Returns an error when the state can't be made durable.
    pub fn create_log(&mut self, durable: &DurableState<C>) -> Result<(), StoreError> {
        self.rewrite_log(durable)?;
        self.identity.log_created = true;
        write_identity(&self.folder, &self.identity)
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
        let path = self.log_path();
        let Some(log) = &mut self.log else {
            let source = io::Error::other("the replica has no log yet");
            return Err(StoreError::Io { path, source });
        };
        log.write_all(buffer).map_err(StoreError::io(&path))?;
        log.sync_data().map_err(StoreError::io(&path))?;
        self.log_bytes += buffer.len() as u64;
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
        replace_file(&self.folder, LOG, &buffer)?;
        self.open_log(buffer.len() as u64)
    }

    fn open_log(&mut self, log_bytes: u64) -> Result<(), StoreError> {
        let path = self.log_path();
        let log = OpenOptions::new().append(true).open(&path).map_err(StoreError::io(&path))?;
        self.log = Some(log);
        self.log_bytes = log_bytes;
        Ok(())
    }

    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let mut buffer = Vec::new();
        record::append(&mut buffer, snapshot).map_err(|reason| StoreError::Encode { reason })?;
        replace_file(&self.folder, SNAPSHOT, &buffer)
    }

    /// Reads the state from the log and the snapshot, and removes an interrupted
    /// last write. Returns `None` if the replica has no log yet.
    fn recover(&mut self) -> Result<Option<DurableState<C>>, StoreError> {
        let path = self.log_path();
        let Some(bytes) = read_if_exists(&path)? else {
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
            truncate(&path, length)?;
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
        self.open_log(length as u64)?;
        // A killed process may have written to the log without syncing it.
        if let Some(log) = &self.log {
            log.sync_all().map_err(StoreError::io(&path))?;
        }
        sync_folder(&self.folder)?;
        Ok(Some(durable))
    }

    fn read_snapshot(&self) -> Result<Option<Snapshot>, StoreError> {
        let path = self.folder.join(SNAPSHOT);
        let Some(bytes) = read_if_exists(&path)? else { return Ok(None) };
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

    fn log_path(&self) -> PathBuf {
        self.folder.join(LOG)
    }
}

const LOCK: &str = "LOCK";
const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK);
    let open_result = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = open_result.map_err(StoreError::io(&path))?;
    let is_locked = FileExt::try_lock_exclusive(&file).map_err(StoreError::io(&path))?;
    if !is_locked {
        return Err(StoreError::Locked { path });
    }
    Ok(file)
}

fn read_identity(folder: &Path, new_identity: Identity) -> Result<Identity, StoreError> {
    let path = folder.join(IDENTITY);
    let Some(bytes) = read_if_exists(&path)? else {
        write_identity(folder, &new_identity)?;
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

fn write_identity(folder: &Path, identity: &Identity) -> Result<(), StoreError> {
    let mut buffer = Vec::new();
    record::append(&mut buffer, identity).map_err(|reason| StoreError::Encode { reason })?;
    replace_file(folder, IDENTITY, &buffer)
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

fn read_if_exists(path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(StoreError::io(path)(error)),
    }
}

fn truncate(path: &Path, length_bytes: usize) -> Result<(), StoreError> {
    let file = OpenOptions::new().write(true).open(path).map_err(StoreError::io(path))?;
    file.set_len(length_bytes as u64).map_err(StoreError::io(path))?;
    file.sync_all().map_err(StoreError::io(path))
}

/// Replaces a file atomically: a crash leaves either the old or the new one.
fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let path = folder.join(name);
    let temp_path = folder.join(format!("{name}.new"));
    let mut file = File::create(&temp_path).map_err(StoreError::io(&temp_path))?;
    file.write_all(bytes).map_err(StoreError::io(&temp_path))?;
    file.sync_all().map_err(StoreError::io(&temp_path))?;
    fs::rename(&temp_path, &path).map_err(StoreError::io(&path))?;
    sync_folder(folder)
}

/// Syncs a folder, so that the creation and renaming of its files is durable.
fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    let directory = File::open(folder).map_err(StoreError::io(folder))?;
    directory.sync_all().map_err(StoreError::io(folder))
}

/// Renames the files of a damaged data folder to `*.damaged`, so that a replica
/// can start in that folder under a new id, without a log. The lock file stays. Files
/// that were renamed earlier are overwritten.
///
/// # Errors
///
/// Returns an error when the files can't be moved.
pub fn move_damaged_files(folder: &Path) -> Result<(), StoreError> {
    for name in [IDENTITY, SNAPSHOT, LOG] {
        let path = folder.join(name);
        let damaged_path = folder.join(format!("{name}.damaged"));
        match fs::rename(&path, &damaged_path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(StoreError::io(path)(error));
            }
            _ => {}
        }
    }
    sync_folder(folder)
}
