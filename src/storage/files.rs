//! The file operations of a data folder.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

use fs4::fs_std::FileExt;

use super::StoreError;

/// Represents an operation on a file of the data folder, named without the folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FileOp<'a> {
    /// Returns the content of a file.
    Read(&'a str),
    /// Creates a file or empties an existing one, and writes the content.
    Write(&'a str, &'a [u8]),
    /// Writes at the end of a file.
    Append(&'a str, &'a [u8]),
    /// Syncs the content and the length of a file to the disk.
    Sync(&'a str),
    /// Renames the first file to the second name, which may exist.
    Rename(&'a str, &'a str),
    /// Removes a file.
    Remove(&'a str),
    /// Syncs the names of the files to the disk.
    SyncFolder,
}

impl<'a> FileOp<'a> {
    /// Returns the name of the file, or `None` for an operation on the folder.
    fn name(&self) -> Option<&'a str> {
        match *self {
            Self::Read(name)
            | Self::Write(name, _)
            | Self::Append(name, _)
            | Self::Sync(name)
            | Self::Rename(_, name)
            | Self::Remove(name) => Some(name),
            Self::SyncFolder => None,
        }
    }
}

type Operate = Box<dyn FnMut(FileOp<'_>) -> io::Result<Vec<u8>> + Send>;

/// Holds a data folder and the function that operates on its files.
pub struct Files {
    folder: PathBuf,
    operate: Operate,
}

impl Files {
    /// Creates the files of `folder` with the function that performs each operation. Only
    /// [`FileOp::Read`] returns bytes.
    pub fn new(
        folder: &Path,
        operate: impl FnMut(FileOp<'_>) -> io::Result<Vec<u8>> + Send + 'static,
    ) -> Self {
        Self { folder: folder.to_owned(), operate: Box::new(operate) }
    }

    /// Opens a folder of the file system, creating it if needed, and locks it against other
    /// processes until the files are dropped.
    pub(super) fn lock(folder: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(folder).map_err(StoreError::io(folder))?;
        let lock = lock_folder(folder)?;
        let (owned_folder, mut open_file) = (folder.to_owned(), None);
        Ok(Self::new(folder, move |op| {
            let _ = &lock;
            operate_on_disk(&owned_folder, &mut open_file, op)
        }))
    }

    /// Returns the path of a file.
    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Performs an operation.
    pub(super) fn run(&mut self, op: FileOp<'_>) -> Result<Vec<u8>, StoreError> {
        let path = op.name().map_or_else(|| self.folder.clone(), |name| self.path(name));
        (self.operate)(op).map_err(StoreError::io(path))
    }

    /// Returns the content of a file, or `None` if there is none.
    pub(super) fn read_if_exists(&mut self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        match self.run(FileOp::Read(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(StoreError::Io { source, .. }) if source.kind() == io::ErrorKind::NotFound => {
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Writes at the end of a file and syncs it.
    pub(super) fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.run(FileOp::Append(name, bytes))?;
        self.run(FileOp::Sync(name))?;
        Ok(())
    }

    /// Replaces a file atomically: a crash leaves either the old or the new one.
    pub(super) fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let temp_name = format!("{name}.new");
        let write_result = self
            .run(FileOp::Write(&temp_name, bytes))
            .and_then(|_| self.run(FileOp::Sync(&temp_name)));
        if let Err(error) = write_result {
            // On a full disk the log may need the space. The first error is the one to report.
            self.run(FileOp::Remove(&temp_name)).ok();
            return Err(error);
        }
        self.run(FileOp::Rename(&temp_name, name))?;
        self.run(FileOp::SyncFolder)?;
        Ok(())
    }
}

const LOCK: &str = "LOCK";

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

/// Performs an operation on the file system. `open_file` is the file that was written last, with
/// its name.
fn operate_on_disk(
    folder: &Path,
    open_file: &mut Option<(String, File)>,
    op: FileOp<'_>,
) -> io::Result<Vec<u8>> {
    match op {
        FileOp::Read(name) => return fs::read(folder.join(name)),
        FileOp::Write(name, bytes) => {
            let file = File::create(folder.join(name))?;
            open_file.insert((name.to_owned(), file)).1.write_all(bytes)?;
        }
        FileOp::Append(name, bytes) => reopen(folder, open_file, name)?.write_all(bytes)?,
        FileOp::Sync(name) => reopen(folder, open_file, name)?.sync_data()?,
        FileOp::Rename(from, to) => {
            fs::rename(folder.join(from), folder.join(to))?;
            if let Some((name, _)) = open_file.as_mut().filter(|(name, _)| name == from) {
                *name = to.to_owned();
            }
        }
        FileOp::Remove(name) => fs::remove_file(folder.join(name))?,
        FileOp::SyncFolder => File::open(folder)?.sync_all()?,
    }
    Ok(Vec::new())
}

/// Returns the open file if it has this name, or else opens the file with this name instead.
fn reopen<'a>(
    folder: &Path,
    open_file: &'a mut Option<(String, File)>,
    name: &str,
) -> io::Result<&'a mut File> {
    if open_file.as_ref().is_none_or(|(open_name, _)| open_name != name) {
        *open_file = None;
    }
    let (_, file) = match open_file.take() {
        Some(open) => open_file.insert(open),
        None => {
            let file = OpenOptions::new().append(true).open(folder.join(name))?;
            open_file.insert((name.to_owned(), file))
        }
    };
    Ok(file)
}
