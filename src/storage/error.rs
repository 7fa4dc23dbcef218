//! Says what went wrong with the data folder.

use std::{error::Error, fmt, io, path::PathBuf};

/// Says what went wrong with the data folder.
#[derive(Debug)]
pub enum StoreError {
    /// The operating system refused an operation. Nothing since the last
    /// successful save may be counted on, so the replica has to stop.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// Another process uses the folder.
    Locked {
        /// The file or folder.
        path: PathBuf,
    },
    /// A file is damaged in a place that no crash explains.
    Corrupt {
        /// The file or folder.
        path: PathBuf,
        /// The place of the chunk, in bytes.
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

    /// Returns the error of a store whose earlier failure was reported.
    pub(crate) fn earlier_failure() -> Self {
        let source = io::Error::other("an earlier write failed");
        Self::Io { path: PathBuf::new(), source }
    }

    pub(super) fn corrupt(
        path: impl Into<PathBuf>,
        offset: u64,
        reason: impl Into<String>,
    ) -> Self {
        Self::Corrupt { path: path.into(), offset, reason: reason.into() }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, source } => write!(f, "{}: {source}", path.display()),
            Self::Locked { path } => write!(
                f,
                "{}: another process uses this data folder; stop it or name another folder",
                path.display()
            ),
            Self::Corrupt { path, offset, reason } => write!(
                f,
                "{}: damaged at byte {offset}: {reason}; move the data folder away and start \
                 again, and the replica rejoins as a new member",
                path.display()
            ),
            Self::Encode { reason } => write!(f, "can't encode: {reason}"),
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
