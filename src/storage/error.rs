//! The errors of the data folder.

use std::{error::Error, fmt, io, path::PathBuf};

/// Represents a failure to open, read or write the data folder.
#[derive(Debug)]
pub enum StoreError {
    /// An operation on a file or folder failed. Nothing written since the last
    /// successful save can be relied on, so the replica has to stop.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An earlier operation of this store failed, with an error of its own.
    Failed,
    /// Another process uses the data folder.
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A file is damaged in a way that a crash during a write does not explain.
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// The offset of the damaged record in the file, in bytes; 0 if a file is missing.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// A value could not be encoded.
    Encode {
        /// What is wrong.
        reason: String,
    },
}

impl StoreError {
    pub(super) fn io(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| Self::Io { path, source }
    }

    /// Returns the error for an operation on a store that has failed before.
    /// The first failure was reported with its cause.
    pub(crate) fn earlier_failure() -> Self {
        Self::Failed
    }

    pub(super) fn damaged(
        path: impl Into<PathBuf>,
        offset: u64,
        reason: impl Into<String>,
    ) -> Self {
        Self::Damaged { path: path.into(), offset, reason: reason.into() }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, source } => {
                write!(f, "{}: {source}; {}", path.display(), remedy(source.kind()))
            }
            Self::Failed => write!(
                f,
                "an earlier write to the data folder failed; follow the advice of the first error"
            ),
            Self::Locked { path } => write!(
                f,
                "{}: another process uses this data folder; stop it or choose another folder",
                path.display()
            ),
            Self::Damaged { path, offset, reason } => write!(
                f,
                "{}: damaged at byte {offset}: {reason}; move the data folder away and start \
                 again, and the replica rejoins as a new member",
                path.display()
            ),
            Self::Encode { reason } => {
                write!(f, "can't encode a record for the data folder: {reason}")
            }
        }
    }
}

fn remedy(kind: io::ErrorKind) -> &'static str {
    match kind {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
            "free space for the data folder; nothing that was acknowledged is lost"
        }
        io::ErrorKind::PermissionDenied
        | io::ErrorKind::ReadOnlyFilesystem
        | io::ErrorKind::NotADirectory => {
            "make the data folder writable for this process, or choose another folder"
        }
        _ => {
            "check the disk and its file system; if the disk is lost, start with an empty data \
             folder and settings that say that this is not the first start, and the replica \
             rejoins as a new member"
        }
    }
}

impl Error for StoreError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
