//! Opening a data folder: recovery after a crash, refusal of damage.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
};

use rudder_replica::{Durable, ReplicaId, Snapshot};

use crate::{
    Medium as _, Store,
    frame::{self, Frame},
    write::{self, Item},
};

/// Why a data folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system refused.
    #[error("{step} {path}: {source}")]
    Io {
        /// What was being done.
        step: &'static str,
        /// To which file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A record that was once whole is not any more.
    #[error("{path}: damaged at byte {at}; to join as a new replica, move the data folder away and start again")]
    Damaged {
        /// Which file.
        path: PathBuf,
        /// Where the first unsound record starts.
        at: usize,
    },
    /// The folder belongs to another instance.
    #[error("{path}: belongs to instance {held}, not to {wanted}")]
    OtherOwner {
        /// Which file.
        path: PathBuf,
        /// Whose it is.
        held: String,
        /// Who asked for it.
        wanted: String,
    },
    /// The first file cannot be written.
    #[error(transparent)]
    Write(#[from] write::Error),
}

/// What opening found.
#[derive(Debug)]
pub struct Outcome {
    /// The open folder.
    pub store: Store,
    /// The replica's id.
    pub id: ReplicaId,
    /// Term, vote, snapshot and entries.
    pub durable: Durable,
    /// Bytes of an unfinished last write that were cut off.
    pub cut: usize,
}

/// Opens `folder` for the instance called `name`; an empty one gets the identity `fresh_id`.
///
/// # Errors
/// When the folder cannot be read or written, is damaged before its end, or is another instance's.
pub fn open(folder: &Path, name: &str, fresh_id: ReplicaId) -> Result<Outcome, Error> {
    fs::create_dir_all(folder).map_err(|source| to_io("create", folder, source))?;
    let generations = to_generations(folder)?;
    let Some(generation) = generations.last().copied() else {
        let store = write::create(folder, 1, fresh_id, name, &Snapshot::default(), &[])?;
        return Ok(Outcome { store, id: fresh_id, durable: Durable::default(), cut: 0 });
    };
    let outcome = read(folder, generation, name)?;
    for older in &generations[..generations.len() - 1] {
        let _ = fs::remove_file(write::state_path(folder, *older));
    }
    Ok(outcome)
}

fn to_generations(folder: &Path) -> Result<Vec<u64>, Error> {
    let listed = fs::read_dir(folder).map_err(|source| to_io("list", folder, source))?;
    let mut generations = Vec::new();
    for entry in listed {
        let entry = entry.map_err(|source| to_io("list", folder, source))?;
        let file_name = entry.file_name();
        let number = file_name.to_str().and_then(|text| text.strip_prefix("state-"));
        let Some(number) = number.and_then(|text| text.parse().ok()) else { continue };
        generations.push(number);
    }
    generations.sort_unstable();
    Ok(generations)
}

fn read(folder: &Path, generation: u64, name: &str) -> Result<Outcome, Error> {
    let path = write::state_path(folder, generation);
    let bytes = fs::read(&path).map_err(|source| to_io("read", &path, source))?;
    let mut durable = Durable::default();
    let mut identity = None;
    let mut at = 0;
    let end = loop {
        match frame::read(&bytes, at) {
            Frame::End => break at,
            // The identity and the snapshot were synced before the file got its name.
            Frame::Torn if identity.is_some() => break at,
            Frame::Torn | Frame::Damaged => return Err(Error::Damaged { path, at }),
            Frame::Whole(payload, next) => {
                let item = rmp_serde::from_slice(payload).map_err(|_| Error::Damaged { path: path.clone(), at })?;
                take(&mut durable, &mut identity, item);
                at = next;
            }
        }
    };
    let Some((id, held)) = identity else { return Err(Error::Damaged { path, at: 0 }) };
    if held != name {
        return Err(Error::OtherOwner { path, held, wanted: name.to_owned() });
    }
    let mut file = File::reopen(&path).map_err(|source| to_io("open", &path, source))?;
    if end < bytes.len() {
        file.cut(end as u64).map_err(|source| to_io("cut", &path, source))?;
        file.sync().map_err(|source| to_io("sync", &path, source))?;
    }
    let store = Store { folder: folder.to_owned(), id, name: held, generation, file, length: end as u64 };
    Ok(Outcome { store, id, durable, cut: bytes.len() - end })
}

fn take(durable: &mut Durable, identity: &mut Option<(ReplicaId, String)>, item: Item) {
    match item {
        Item::Identity { id, name } => *identity = Some((id, name)),
        Item::Snapshot(snapshot) => {
            durable.term = snapshot.term;
            durable.snapshot = snapshot;
        }
        Item::Record(record) => durable.take(record),
    }
}

fn to_io(step: &'static str, path: &Path, source: io::Error) -> Error {
    Error::Io { step, path: path.to_owned(), source }
}
