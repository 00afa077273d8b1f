//! Writing: appending records, replacing the file by a new snapshot.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
};

use rudder_replica::{Record, ReplicaId, Snapshot};
use serde::{Deserialize, Serialize};

use crate::{Medium, frame};

/// What one framed record of the file holds.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Item {
    /// First in each file: whose it is.
    Identity { id: ReplicaId, name: String },
    /// Second in each file.
    Snapshot(Snapshot),
    /// All others.
    Record(Record),
}

/// Why a save failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk takes no more; what was there before is untouched and the save may be tried again.
    #[error("{step} {path}: the disk is full")]
    Full {
        /// What was being done.
        step: &'static str,
        /// To which file.
        path: PathBuf,
    },
    /// Nothing more is known of the file: the process must end.
    #[error("{step} {path}: {source}")]
    Fatal {
        /// What was being done.
        step: &'static str,
        /// To which file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
}

/// An open data folder.
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
    /// A folder whose file is `file`, empty so far; for media other than the file system.
    pub fn on(folder: &Path, id: ReplicaId, name: &str, file: M) -> Store<M> {
        Store { folder: folder.to_owned(), id, name: name.to_owned(), generation: 1, file, length: 0 }
    }

    /// What it writes to.
    pub fn medium(&self) -> &M {
        &self.file
    }

    /// Bytes in the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends `records` without syncing.
    ///
    /// # Errors
    /// [`Error::Full`] leaves the file as it was; any other error is fatal.
    ///
    /// # Panics
    /// When a record cannot be encoded, which its type rules out.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        let mut bytes = Vec::new();
        for record in records {
            push_item(&mut bytes, &Item::Record(record.clone()));
        }
        let path = state_path(&self.folder, self.generation);
        if let Err(source) = self.file.append(&bytes) {
            let error = to_error("append to", &path, source);
            if matches!(error, Error::Full { .. }) {
                self.file.cut(self.length).map_err(|source| fatal("cut", &path, source))?;
            }
            return Err(error);
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Returns once all appended records are durable.
    ///
    /// # Errors
    /// Always fatal: after a failed sync the system may have dropped what it held.
    pub fn sync(&mut self) -> Result<(), Error> {
        let path = state_path(&self.folder, self.generation);
        self.file.sync().map_err(|source| fatal("sync", &path, source))
    }

    /// Writes a new file of `snapshot` and `records`, durable on return, and drops the old one.
    ///
    /// # Errors
    /// [`Error::Full`] leaves the old file in use; any other error is fatal.
    ///
    /// # Panics
    /// When a record cannot be encoded, which its type rules out.
    pub fn replace(&mut self, snapshot: &Snapshot, records: &[Record]) -> Result<(), Error> {
        let next = create::<M>(&self.folder, self.generation + 1, self.id, &self.name, snapshot, records)?;
        let old = state_path(&self.folder, self.generation);
        *self = next;
        // A leftover is harmless: the highest number counts.
        let _ = fs::remove_file(old);
        Ok(())
    }
}

/// Writes a whole new file and syncs it and the folder.
pub(crate) fn create<M: Medium>(
    folder: &Path,
    generation: u64,
    id: ReplicaId,
    name: &str,
    snapshot: &Snapshot,
    records: &[Record],
) -> Result<Store<M>, Error> {
    let mut bytes = Vec::new();
    push_item(&mut bytes, &Item::Identity { id, name: name.to_owned() });
    push_item(&mut bytes, &Item::Snapshot(snapshot.clone()));
    for record in records {
        push_item(&mut bytes, &Item::Record(record.clone()));
    }
    let path = state_path(folder, generation);
    let draft = folder.join("draft");
    let mut file = M::create(&draft).map_err(|source| to_error("create", &draft, source))?;
    file.append(&bytes).map_err(|source| to_error("write", &draft, source))?;
    file.sync().map_err(|source| fatal("sync", &draft, source))?;
    fs::rename(&draft, &path).map_err(|source| fatal("rename to", &path, source))?;
    sync_folder(folder)?;
    let file = M::reopen(&path).map_err(|source| fatal("reopen", &path, source))?;
    Ok(Store { folder: folder.to_owned(), id, name: name.to_owned(), generation, file, length: bytes.len() as u64 })
}

/// Makes names in `folder` durable.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), Error> {
    let opened = File::open(folder).map_err(|source| fatal("open", folder, source))?;
    opened.sync_all().map_err(|source| fatal("sync", folder, source))
}

pub(crate) fn state_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("state-{generation}"))
}

fn push_item(bytes: &mut Vec<u8>, item: &Item) {
    let payload = rmp_serde::to_vec(item).expect("records hold only plain data");
    frame::push(bytes, &payload);
}

fn fatal(step: &'static str, path: &Path, source: io::Error) -> Error {
    Error::Fatal { step, path: path.to_owned(), source }
}

fn to_error(step: &'static str, path: &Path, source: io::Error) -> Error {
    let full = [io::ErrorKind::StorageFull, io::ErrorKind::QuotaExceeded, io::ErrorKind::FileTooLarge];
    if full.contains(&source.kind()) {
        return Error::Full { step, path: path.to_owned() };
    }
    fatal(step, path, source)
}
