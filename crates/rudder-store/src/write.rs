//! Appending records and replacing the state file by a new snapshot.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
};

use rudder_replica::{Record, ReplicaId, Snapshot};
use serde::{Deserialize, Serialize};

use crate::{Medium, frame};

/// The payload of one frame of a state file.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum FileRecord {
    /// The owner of the file; always the first record.
    Identity { id: ReplicaId, name: String },
    /// Always the second record.
    Snapshot(Snapshot),
    /// A log record; all records after the snapshot.
    Record(Record),
}

/// The error of a write or sync.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk is full; existing data is intact and the write may be retried.
    #[error("{operation} {path}: the disk is full")]
    Full {
        /// The operation that failed.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
    },
    /// The state of the file is unknown; the process must exit.
    #[error("{operation} {path}: {source}")]
    Fatal {
        /// The operation that failed.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// An open data folder with its current state file.
#[derive(Debug)]
pub struct Store<M = File> {
    pub(crate) folder: PathBuf,
    pub(crate) id: ReplicaId,
    pub(crate) name: String,
    pub(crate) generation: u64,
    pub(crate) file: M,
    pub(crate) length: u64,
}

impl<M: Medium> Store<M> {
    /// Returns a store that appends to the empty `file`, for tests with their own [`Medium`].
    pub fn with_medium(folder: &Path, id: ReplicaId, name: &str, file: M) -> Store<M> {
        Store { folder: folder.to_owned(), id, name: name.to_owned(), generation: 1, file, length: 0 }
    }

    /// The current state file.
    pub fn medium(&self) -> &M {
        &self.file
    }

    /// Length of the current state file in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends `records` without syncing.
    ///
    /// # Errors
    /// [`Error::Full`] leaves the file as it was; any other error is fatal.
    ///
    /// # Panics
    /// If a record cannot be encoded, which its type rules out.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        let mut bytes = Vec::new();
        for record in records {
            push_record(&mut bytes, &FileRecord::Record(record.clone()));
        }
        let path = state_path(&self.folder, self.generation);
        if let Err(source) = self.file.append(&bytes) {
            let error = write_error("append to", &path, source);
            if matches!(error, Error::Full { .. }) {
                self.file.truncate(self.length).map_err(|source| fatal("truncate", &path, source))?;
            }
            return Err(error);
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Returns once all appended records are durable.
    ///
    /// # Errors
    /// Always fatal: after a failed sync the operating system may have dropped unwritten data.
    pub fn sync(&mut self) -> Result<(), Error> {
        let path = state_path(&self.folder, self.generation);
        self.file.sync().map_err(|source| fatal("sync", &path, source))
    }

    /// Replaces the state file by a new one with `snapshot` and `records`, which is durable on return.
    ///
    /// # Errors
    /// [`Error::Full`] leaves the old file in use; any other error is fatal.
    ///
    /// # Panics
    /// If a record cannot be encoded, which its type rules out.
    pub fn replace(&mut self, snapshot: &Snapshot, records: &[Record]) -> Result<(), Error> {
        let next = create::<M>(&self.folder, self.generation + 1, self.id, &self.name, snapshot, records)?;
        let old = state_path(&self.folder, self.generation);
        *self = next;
        // A leftover file is harmless: `open` reads the highest generation.
        let _ = fs::remove_file(old);
        Ok(())
    }
}

/// Writes a new state file through a temporary file and a rename, and syncs the file and the folder.
pub(crate) fn create<M: Medium>(
    folder: &Path,
    generation: u64,
    id: ReplicaId,
    name: &str,
    snapshot: &Snapshot,
    records: &[Record],
) -> Result<Store<M>, Error> {
    let mut bytes = Vec::new();
    push_record(&mut bytes, &FileRecord::Identity { id, name: name.to_owned() });
    push_record(&mut bytes, &FileRecord::Snapshot(snapshot.clone()));
    for record in records {
        push_record(&mut bytes, &FileRecord::Record(record.clone()));
    }
    let path = state_path(folder, generation);
    let temporary = folder.join("draft");
    let mut file = M::create(&temporary).map_err(|source| write_error("create", &temporary, source))?;
    file.append(&bytes).map_err(|source| write_error("write", &temporary, source))?;
    file.sync().map_err(|source| fatal("sync", &temporary, source))?;
    fs::rename(&temporary, &path).map_err(|source| fatal("rename to", &path, source))?;
    sync_folder(folder)?;
    let file = M::reopen(&path).map_err(|source| fatal("reopen", &path, source))?;
    Ok(Store { folder: folder.to_owned(), id, name: name.to_owned(), generation, file, length: bytes.len() as u64 })
}

/// Makes the directory entries of `folder` durable.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), Error> {
    let opened = File::open(folder).map_err(|source| fatal("open", folder, source))?;
    opened.sync_all().map_err(|source| fatal("sync", folder, source))
}

pub(crate) fn state_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("state-{generation}"))
}

fn push_record(bytes: &mut Vec<u8>, record: &FileRecord) {
    let payload = rmp_serde::to_vec(record).expect("records are serialisable");
    frame::push(bytes, &payload);
}

fn fatal(operation: &'static str, path: &Path, source: io::Error) -> Error {
    Error::Fatal { operation, path: path.to_owned(), source }
}

fn write_error(operation: &'static str, path: &Path, source: io::Error) -> Error {
    let disk_full_kinds = [io::ErrorKind::StorageFull, io::ErrorKind::QuotaExceeded, io::ErrorKind::FileTooLarge];
    if disk_full_kinds.contains(&source.kind()) {
        return Error::Full { operation, path: path.to_owned() };
    }
    fatal(operation, path, source)
}
