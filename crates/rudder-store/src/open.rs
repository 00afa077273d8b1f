//! Opening a data folder: crash recovery and detection of corruption.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
};

use rudder_model::InstanceId;
use rudder_replica::{Durable, Record, ReplicaId, Snapshot};

use crate::{
    Medium as _, Store,
    frame::{self, Frame},
    notes,
    write::{self, FileRecord},
};

/// The error of [`open`].
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file system operation failed.
    #[error("{operation} {path}: {source}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The state file is corrupt.
    #[error(
        "{path}: corrupt record at byte {offset}; to rejoin as a new replica, move the data folder away and restart"
    )]
    Corrupt {
        /// The state file.
        path: PathBuf,
        /// Offset of the first corrupt record.
        offset: usize,
    },
    /// The data folder belongs to another instance.
    #[error("{path}: belongs to instance {owner}, not to {expected}")]
    OtherOwner {
        /// The state file.
        path: PathBuf,
        /// The instance named in the file.
        owner: String,
        /// The instance that opens the folder.
        expected: String,
    },
    /// The first state file cannot be written.
    #[error(transparent)]
    Write(#[from] write::Error),
}

/// An opened data folder and its recovered state.
#[derive(Debug)]
pub struct Outcome {
    /// The store, ready to append.
    pub store: Store,
    /// The replica's id.
    pub id: ReplicaId,
    /// The recovered state.
    pub durable: Durable,
    /// Number of bytes of an incomplete last write that were truncated.
    pub cut: usize,
    /// The notes of the folder.
    pub notes: notes::Outcome,
}

/// Opens `folder` like [`open_with`], with the default limits of notes.
///
/// # Errors
/// As [`open_with`].
pub fn open(folder: &Path, name: &str, fresh_id: ReplicaId) -> Result<Outcome, Error> {
    open_with(folder, name, fresh_id, notes::Options::default())
}

/// Opens `folder` like [`open`], and records `founders` in it until there is a log. A fresh folder has them from its first
/// moment, as a process may end at any later one.
///
/// # Errors
/// As [`open_with`].
pub fn open_as_founder(
    folder: &Path,
    name: &str,
    fresh_id: ReplicaId,
    founders: &[InstanceId],
) -> Result<Outcome, Error> {
    open_all(folder, name, fresh_id, founders, notes::Options::default())
}

/// Opens `folder` for the instance `name`; a folder without a state file is initialised with `fresh_id`.
///
/// # Errors
/// If the folder cannot be read or written, is corrupt, or belongs to another instance. Notes cause no error.
pub fn open_with(
    folder: &Path,
    name: &str,
    fresh_id: ReplicaId,
    note_options: notes::Options,
) -> Result<Outcome, Error> {
    open_all(folder, name, fresh_id, &[], note_options)
}

fn open_all(
    folder: &Path,
    name: &str,
    fresh_id: ReplicaId,
    founders: &[InstanceId],
    note_options: notes::Options,
) -> Result<Outcome, Error> {
    let state = open_state(folder, name, fresh_id, founders)?;
    let notes = notes::open(folder, note_options, notes::wall_clock());
    Ok(Outcome { store: state.store, id: state.id, durable: state.durable, cut: state.cut, notes })
}

/// The recovered state of a data folder without its notes.
struct State {
    store: Store,
    id: ReplicaId,
    durable: Durable,
    cut: usize,
}

impl State {
    fn append(&mut self, record: Record) -> Result<(), write::Error> {
        self.store.append(std::slice::from_ref(&record))?;
        self.store.sync()?;
        self.durable.take(record);
        Ok(())
    }
}

fn open_state(folder: &Path, name: &str, fresh_id: ReplicaId, founders: &[InstanceId]) -> Result<State, Error> {
    fs::create_dir_all(folder).map_err(|source| io_error("create", folder, source))?;
    let generations = list_generations(folder)?;
    let Some(generation) = generations.last().copied() else {
        let mut durable = Durable::default();
        let record = durable.to_founding(founders);
        let store = write::create(folder, 1, fresh_id, name, &Snapshot::default(), record.as_slice())?;
        if let Some(record) = record {
            durable.take(record);
        }
        return Ok(State { store, id: fresh_id, durable, cut: 0 });
    };
    let mut state = read(folder, generation, name)?;
    if let Some(record) = state.durable.to_founding(founders) {
        state.append(record)?;
    }
    for older in &generations[..generations.len() - 1] {
        let _ = fs::remove_file(write::state_path(folder, *older));
    }
    Ok(state)
}

fn list_generations(folder: &Path) -> Result<Vec<u64>, Error> {
    let directory_entries = fs::read_dir(folder).map_err(|source| io_error("list", folder, source))?;
    let mut generations = Vec::new();
    for entry in directory_entries {
        let entry = entry.map_err(|source| io_error("list", folder, source))?;
        let file_name = entry.file_name();
        let number = file_name.to_str().and_then(|text| text.strip_prefix("state-"));
        let Some(number) = number.and_then(|text| text.parse().ok()) else { continue };
        generations.push(number);
    }
    generations.sort_unstable();
    Ok(generations)
}

fn read(folder: &Path, generation: u64, name: &str) -> Result<State, Error> {
    let path = write::state_path(folder, generation);
    let bytes = fs::read(&path).map_err(|source| io_error("read", &path, source))?;
    let mut durable = Durable::default();
    let mut identity = None;
    let mut offset = 0;
    let end = loop {
        match frame::read(&bytes, offset) {
            Frame::End => break offset,
            // The identity and the snapshot are synced before the rename, so only later records can be torn.
            Frame::Torn if identity.is_some() => break offset,
            Frame::Torn | Frame::Corrupt => return Err(Error::Corrupt { path, offset }),
            Frame::Complete(payload, next) => {
                let record =
                    rmp_serde::from_slice(payload).map_err(|_| Error::Corrupt { path: path.clone(), offset })?;
                apply(&mut durable, &mut identity, record);
                offset = next;
            }
        }
    };
    let Some((id, owner)) = identity else { return Err(Error::Corrupt { path, offset: 0 }) };
    if owner != name {
        return Err(Error::OtherOwner { path, owner, expected: name.to_owned() });
    }
    let mut file = File::reopen(&path).map_err(|source| io_error("open", &path, source))?;
    if end < bytes.len() {
        file.truncate(end as u64).map_err(|source| io_error("truncate", &path, source))?;
        file.sync().map_err(|source| io_error("sync", &path, source))?;
    }
    let store = Store { folder: folder.to_owned(), id, name: owner, generation, file, length: end as u64 };
    Ok(State { store, id, durable, cut: bytes.len() - end })
}

fn apply(durable: &mut Durable, identity: &mut Option<(ReplicaId, String)>, record: FileRecord) {
    match record {
        FileRecord::Identity { id, name } => *identity = Some((id, name)),
        FileRecord::Snapshot(snapshot) => {
            durable.term = snapshot.term;
            durable.snapshot = snapshot;
        }
        FileRecord::Record(record) => durable.take(record),
    }
}

fn io_error(operation: &'static str, path: &Path, source: io::Error) -> Error {
    Error::Io { operation, path: path.to_owned(), source }
}
