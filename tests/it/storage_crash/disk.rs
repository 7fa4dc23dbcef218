//! A disk in memory that fails at a chosen operation, and the states that a crash may leave.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    path::Path,
    sync::{Arc, Mutex},
};

use bulrushspan::storage::{FileOp, Files};

/// How an operation fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The process ends before the operation.
    Kill,
    /// The process ends when half of the bytes are written.
    KillHalf,
    /// The operation fails once. A write leaves half of its bytes, and a failed sync drops the
    /// data or the names from the disk although reads still return them.
    Fail,
    /// The operation fails like that, and the process ends before it handles the failure.
    FailAndKill,
    /// From this operation on, writes are refused.
    Full,
}

pub const FAULTS: [Fault; 5] =
    [Fault::Kill, Fault::KillHalf, Fault::Fail, Fault::FailAndKill, Fault::Full];

/// A disk, which is shared with the [`Files`] on it.
#[derive(Default)]
pub struct Disk {
    content: Arc<Mutex<Content>>,
    control: Arc<Mutex<Control>>,
}

/// The files, as a process sees them and as they are on the disk.
#[derive(Clone, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Content {
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced: Vec<NameChange>,
    files: BTreeMap<usize, FileData>,
}

#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
enum NameChange {
    Create(String, usize),
    Rename(String, String, usize),
    Remove(String),
}

#[derive(Clone, Default, Eq, Ord, PartialEq, PartialOrd)]
struct FileData {
    bytes: Vec<u8>,
    synced_bytes: Vec<u8>,
    unsynced: Vec<Edit>,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Edit {
    Cut(usize),
    Write { start: usize, end: usize },
}

/// What a loss of power leaves of a write that was not synced.
#[derive(Clone, Copy)]
enum Kept {
    Nothing,
    Half,
    Zeros,
    All,
}

#[derive(Default)]
struct Control {
    fault: Option<(usize, Fault)>,
    count: usize,
    is_killed: bool,
    is_full: bool,
    /// For each operation its verb and file, and whether it failed.
    trace: Vec<(&'static str, String, bool)>,
}

impl Disk {
    /// Creates a disk in the state that a crash left.
    pub fn new(content: Content) -> Self {
        Self { content: Arc::new(Mutex::new(content)), control: Arc::default() }
    }

    /// Returns the files, as a process opens them.
    pub fn files(&self) -> Files {
        let (content, control) = (self.content.clone(), self.control.clone());
        Files::new(Path::new("/data"), move |op| {
            let mut content = content.lock().unwrap();
            if let FileOp::Read(name) = op {
                return content.read(name);
            }
            let mut control = control.lock().unwrap();
            let fault = control.fault_for(&op)?;
            let result = content.run(op, fault);
            let (verb, name) = describe(&op);
            control.trace.push((verb, name.to_owned(), result.is_err()));
            result
        })
    }

    /// Makes the operation at this position from now on fail.
    pub fn set_fault(&self, position: usize, fault: Fault) {
        let mut control = self.control.lock().unwrap();
        control.fault = Some((control.count + position, fault));
    }

    /// Returns whether the fault has occurred.
    pub fn has_failed(&self) -> bool {
        self.control.lock().unwrap().fault.is_none()
    }

    /// Returns the number of operations that failed.
    pub fn failures(&self) -> usize {
        let control = self.control.lock().unwrap();
        control.trace.iter().filter(|(_, _, is_failed)| *is_failed).count()
    }

    /// Returns whether the process was killed.
    pub fn is_killed(&self) -> bool {
        self.control.lock().unwrap().is_killed
    }

    /// Lets a full disk accept writes again.
    pub fn make_room(&self) {
        self.control.lock().unwrap().is_full = false;
    }

    /// Returns the operations so far; failed ones are marked with `!`.
    pub fn trace(&self) -> String {
        let control = self.control.lock().unwrap();
        let ops = control.trace.iter().map(|(verb, name, is_failed)| {
            format!("{verb} {name}{}", if *is_failed { "!" } else { "" })
        });
        ops.collect::<Vec<_>>().join(", ")
    }

    /// Returns whether a process finds a file with this name.
    pub fn has_file(&self, name: &str) -> bool {
        self.content.lock().unwrap().names.contains_key(name)
    }

    /// Changes a byte of a file, on the disk as well.
    pub fn damage(&self, name: &str, offset: usize) {
        let mut content = self.content.lock().unwrap();
        let id = content.names[name];
        let file = content.files.get_mut(&id).unwrap();
        file.bytes[offset] ^= 0x10;
        file.synced_bytes[offset] ^= 0x10;
    }

    /// Returns each state that the end of the process, or a loss of power, may leave now.
    pub fn states_after_crash(&self) -> BTreeSet<Content> {
        let content = self.content.lock().unwrap();
        let mut states = BTreeSet::from([content.clone()]);
        for kept in [Kept::Nothing, Kept::Half, Kept::Zeros, Kept::All] {
            for kept_names in 0..1_u32 << content.unsynced.len() {
                states.insert(content.after_power_loss(kept, kept_names));
            }
        }
        states
    }
}

impl Control {
    /// Returns how this operation fails, or an error if the process was killed.
    fn fault_for(&mut self, op: &FileOp<'_>) -> io::Result<Option<Fault>> {
        let is_write = matches!(op, FileOp::Write(..) | FileOp::Append(..));
        let due = self.fault.filter(|(position, _)| *position == self.count && !self.is_killed);
        self.count += 1;
        if let Some((_, fault)) = due {
            self.fault = None;
            match fault {
                Fault::Kill => self.is_killed = true,
                Fault::KillHalf => {
                    self.is_killed = true;
                    return Ok(is_write.then_some(fault));
                }
                Fault::Fail => return Ok(Some(fault)),
                Fault::FailAndKill => {
                    self.is_killed = true;
                    return Ok(Some(fault));
                }
                Fault::Full => self.is_full = true,
            }
        }
        if self.is_killed {
            return Err(io::Error::other("the process was killed"));
        }
        Ok((self.is_full && is_write).then_some(Fault::Full))
    }
}

impl Content {
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.names.get(name).map(|id| self.files[id].bytes.clone()).ok_or_else(not_found)
    }

    fn run(&mut self, op: FileOp<'_>, fault: Option<Fault>) -> io::Result<Vec<u8>> {
        let is_failed = fault.is_some();
        match op {
            FileOp::Read(name) => return self.read(name),
            FileOp::Write(..) | FileOp::Append(..) if fault == Some(Fault::Full) => {}
            FileOp::Write(name, bytes) => {
                self.create(name);
                self.file(name)?.cut(0);
                self.file(name)?.append(if is_failed { &bytes[..bytes.len() / 2] } else { bytes });
            }
            FileOp::Append(name, bytes) => {
                self.file(name)?.append(if is_failed { &bytes[..bytes.len() / 2] } else { bytes });
            }
            FileOp::Sync(name) if is_failed => self.file(name)?.unsynced.clear(),
            FileOp::Sync(name) => {
                self.file(name)?.sync();
                let id = self.names[name];
                let is_creation = |change: &NameChange| matches!(change, NameChange::Create(_, created) if *created == id);
                if let Some(position) = self.unsynced.iter().position(is_creation) {
                    self.unsynced.remove(position);
                    self.synced_names.insert(name.to_owned(), id);
                }
            }
            FileOp::Rename(from, to) if !is_failed => {
                let id = self.names.remove(from).ok_or_else(not_found)?;
                self.names.insert(to.to_owned(), id);
                self.unsynced.push(NameChange::Rename(from.to_owned(), to.to_owned(), id));
            }
            FileOp::Remove(name) if !is_failed => {
                self.names.remove(name).ok_or_else(not_found)?;
                self.unsynced.push(NameChange::Remove(name.to_owned()));
            }
            FileOp::SyncFolder if is_failed => self.unsynced.clear(),
            FileOp::SyncFolder => {
                for change in std::mem::take(&mut self.unsynced) {
                    change.apply(&mut self.synced_names);
                }
            }
            _ => {}
        }
        match fault {
            Some(Fault::Full) => Err(io::ErrorKind::StorageFull.into()),
            Some(_) => Err(io::Error::other("the disk failed")),
            None => Ok(Vec::new()),
        }
    }

    /// Returns the files without one of them, which is gone from the disk as well.
    pub fn without(&self, name: &str) -> Self {
        let mut content = self.clone();
        content.names.remove(name);
        content.synced_names.remove(name);
        content
    }

    fn create(&mut self, name: &str) {
        if self.names.contains_key(name) {
            return;
        }
        let id = self.files.last_key_value().map_or(0, |(last_id, _)| last_id + 1);
        self.files.insert(id, FileData::default());
        self.names.insert(name.to_owned(), id);
        self.unsynced.push(NameChange::Create(name.to_owned(), id));
    }

    fn file(&mut self, name: &str) -> io::Result<&mut FileData> {
        let id = self.names.get(name).ok_or_else(not_found)?;
        self.files.get_mut(id).ok_or_else(not_found)
    }

    /// Returns the state after a loss of power that leaves the name changes in the set of bits.
    fn after_power_loss(&self, kept: Kept, kept_names: u32) -> Self {
        let mut state = Self { synced_names: self.synced_names.clone(), ..Self::default() };
        for (position, change) in self.unsynced.iter().enumerate() {
            if kept_names & 1 << position != 0 {
                change.apply(&mut state.synced_names);
            }
        }
        state.names = state.synced_names.clone();
        state.files = self.files.clone();
        let names: BTreeSet<usize> = state.names.values().copied().collect();
        state.files.retain(|id, _| names.contains(id));
        state.files.values_mut().for_each(|file| file.lose_power(kept));
        state
    }
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Self::Create(name, id) => drop(names.insert(name.clone(), *id)),
            Self::Rename(from, to, id) => {
                names.remove(from);
                names.insert(to.clone(), *id);
            }
            Self::Remove(name) => drop(names.remove(name)),
        }
    }
}

impl FileData {
    fn cut(&mut self, length: usize) {
        self.bytes.truncate(length);
        self.unsynced.push(Edit::Cut(length));
    }

    fn append(&mut self, bytes: &[u8]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(bytes);
        self.unsynced.push(Edit::Write { start, end: self.bytes.len() });
    }

    fn sync(&mut self) {
        self.write_unsynced(Kept::All);
    }

    fn lose_power(&mut self, kept: Kept) {
        self.write_unsynced(kept);
        self.bytes = self.synced_bytes.clone();
    }

    fn write_unsynced(&mut self, kept: Kept) {
        for edit in std::mem::take(&mut self.unsynced) {
            let (start, end) = match edit {
                Edit::Cut(length) => {
                    if !matches!(kept, Kept::Nothing) {
                        self.synced_bytes.truncate(length);
                    }
                    continue;
                }
                Edit::Write { start, end } => (start, end.min(self.bytes.len())),
            };
            let written_end = match kept {
                Kept::Nothing => continue,
                Kept::Half => start + end.saturating_sub(start) / 2,
                Kept::Zeros => start,
                Kept::All => end,
            };
            let length = if matches!(kept, Kept::Zeros) { end } else { written_end };
            if self.synced_bytes.len() < length {
                self.synced_bytes.resize(length, 0);
            }
            if start < written_end {
                self.synced_bytes[start..written_end]
                    .copy_from_slice(&self.bytes[start..written_end]);
            }
        }
    }
}

fn describe<'a>(op: &FileOp<'a>) -> (&'static str, &'a str) {
    match *op {
        FileOp::Read(name) => ("read", name),
        FileOp::Write(name, _) => ("write", name),
        FileOp::Append(name, _) => ("append to", name),
        FileOp::Sync(name) => ("sync", name),
        FileOp::Rename(_, to) => ("rename to", to),
        FileOp::Remove(name) => ("remove", name),
        FileOp::SyncFolder => ("sync", "the folder"),
    }
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}
