//! Notes: short-lived records that are appended without a sync.
//!
//! A write that has returned belongs to the operating system, so notes outlive the process, also if it is killed. A
//! loss of power may lose or damage them; they are for state that callers can do without.
//!
//! The file `notes` holds the present generation and `notes-old` the one before. Both begin with the wall-clock time at
//! which the generation began. Once the present generation has reached its size or age, it replaces the one before.
//! Neither file nor folder is ever synced: if a loss of power undoes the rename or a removal, a generation that should be
//! gone is back, and its own time of beginning expires it.

use std::{
    fs::{self, File},
    io, mem,
    path::{Path, PathBuf},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    Medium,
    frame::{self, Frame},
};

/// Size of the first frame of a generation, in bytes; its payload is the time of beginning in milliseconds.
const START_LENGTH: usize = frame::HEADER_LENGTH + size_of::<u64>();

/// The limits of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Largest size of a generation in bytes. Two generations are kept.
    pub max_bytes: u64,
    /// Age at which a generation is replaced. A note is kept for at least this time, unless others displace it by their
    /// size, and is not returned after twice this time.
    pub max_age: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options { max_bytes: 2 << 20, max_age: Duration::from_secs(60) }
    }
}

/// The error of an operation on notes; none of them affects the state file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file system operation failed.
    #[error("{operation} {path}: {source}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The note does not fit into a generation.
    #[error("a note of {length} bytes does not fit into {max_bytes} bytes")]
    TooLarge {
        /// Length of the note in bytes.
        length: usize,
        /// Largest size of a generation in bytes.
        max_bytes: u64,
    },
}

/// The notes of a data folder, ready to append.
#[derive(Debug)]
pub struct Notes<M = File> {
    folder: PathBuf,
    options: Options,
    /// Absent before the first note, and after a failure that leaves the end of the file unknown.
    present: Option<Present<M>>,
    /// Number of notes in the present file.
    count: u64,
    /// Number of notes in the file of the generation before.
    old_count: u64,
}

#[derive(Debug)]
struct Present<M> {
    file: M,
    began: Duration,
    length: u64,
}

/// The notes that [`open`] found.
#[derive(Debug)]
pub struct Outcome<M = File> {
    /// The notes, ready to append.
    pub notes: Notes<M>,
    /// The notes that have not expired, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes that were skipped from the first torn or damaged record of a file to its end.
    pub cut: u64,
    /// Files that could not be read, truncated or removed.
    pub errors: Vec<Error>,
}

/// A generation as read from its file.
struct Generation {
    began: Duration,
    records: Vec<Vec<u8>>,
    /// End of the last whole record, in bytes.
    end: u64,
    /// Length of the file in bytes.
    length: u64,
}

/// Opens the notes in `folder` at the wall-clock time `now`, since the Unix epoch.
///
/// Missing, damaged and unreadable files are no error, as notes may be lost at any time.
pub fn open<M: Medium>(folder: &Path, options: Options, now: Duration) -> Outcome<M> {
    let notes = Notes { folder: folder.to_owned(), options, present: None, count: 0, old_count: 0 };
    let mut outcome = Outcome { notes, records: Vec::new(), cut: 0, errors: Vec::new() };
    if let Err(error) = outcome.read_old(now) {
        outcome.errors.push(error);
    }
    if let Err(error) = outcome.read_present(now) {
        outcome.errors.push(error);
    }
    outcome
}

impl<M: Medium> Outcome<M> {
    fn read_old(&mut self, now: Duration) -> Result<(), Error> {
        let Some(generation) = self.read_generation(&old_path(&self.notes.folder), now)? else { return Ok(()) };
        self.notes.old_count = generation.records.len() as u64;
        self.records.extend(generation.records);
        Ok(())
    }

    fn read_present(&mut self, now: Duration) -> Result<(), Error> {
        let path = present_path(&self.notes.folder);
        let Some(generation) = self.read_generation(&path, now)? else { return Ok(()) };
        let Generation { began, records, end, length } = generation;
        self.notes.count = records.len() as u64;
        self.records.extend(records);
        let mut file = M::reopen(&path).map_err(|source| io_error("open", &path, source))?;
        if end < length {
            file.truncate(end).map_err(|source| io_error("truncate", &path, source))?;
        }
        self.notes.present = Some(Present { file, began, length: end });
        Ok(())
    }

    /// Reads the file of a generation, and removes it if it has expired or its beginning is damaged.
    fn read_generation(&mut self, path: &Path, now: Duration) -> Result<Option<Generation>, Error> {
        let bytes = match fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(io_error("read", path, source)),
        };
        let generation = parse(&bytes);
        self.cut += bytes.len() as u64 - generation.as_ref().map_or(0, |generation| generation.end);
        let max_age = self.notes.options.max_age;
        // A generation from the future is as old as it is early, or it would stay after the clock was set back.
        let generation = generation.filter(|generation| generation.began.abs_diff(now) < max_age.saturating_mul(2));
        if generation.is_none() {
            remove(path)?;
        }
        Ok(generation)
    }
}

impl<M: Medium> Notes<M> {
    /// Number of notes in both generations.
    pub fn count(&self) -> u64 {
        self.old_count + self.count
    }

    /// Appends `note` at the wall-clock time `now`, since the Unix epoch, without syncing.
    ///
    /// # Errors
    /// If the note does not fit into a generation or a file cannot be written. The note is lost then, and the next one
    /// may be tried as before.
    ///
    /// # Panics
    /// If the note is 4 GiB or larger and [`Options::max_bytes`] permits it.
    pub fn append(&mut self, now: Duration, note: &[u8]) -> Result<(), Error> {
        let max_bytes = self.options.max_bytes;
        let frame_length = (frame::HEADER_LENGTH + note.len()) as u64;
        if START_LENGTH as u64 + frame_length > max_bytes {
            return Err(Error::TooLarge { length: note.len(), max_bytes });
        }
        let mut bytes = Vec::with_capacity(frame_length as usize);
        frame::push(&mut bytes, note);
        let present = match self.present.take() {
            Some(present) if present.has_room(frame_length, now, &self.options) => present,
            _ => self.replace_generation(now)?,
        };
        self.write(present, &bytes)
    }

    /// Removes all notes, for example to make room on a full disk.
    ///
    /// # Errors
    /// If a file cannot be removed.
    pub fn clear(&mut self) -> Result<(), Error> {
        self.present = None;
        (self.count, self.old_count) = (0, 0);
        let old_removed = remove(&old_path(&self.folder));
        remove(&present_path(&self.folder))?;
        old_removed
    }

    /// Makes the present generation the one before, which frees that one's space, and begins a new generation.
    fn replace_generation(&mut self, now: Duration) -> Result<Present<M>, Error> {
        let path = present_path(&self.folder);
        // A generation without notes, as a failed write leaves it, does not displace the one before.
        if self.count == 0 {
            remove(&path)?;
        } else {
            fs::rename(&path, old_path(&self.folder)).map_err(|source| io_error("rename", &path, source))?;
            self.old_count = mem::take(&mut self.count);
        }
        let mut bytes = Vec::with_capacity(START_LENGTH);
        frame::push(&mut bytes, &(now.as_millis() as u64).to_le_bytes());
        let mut file = M::create(&path).map_err(|source| io_error("create", &path, source))?;
        file.append(&bytes).map_err(|source| io_error("write", &path, source))?;
        Ok(Present { file, began: now, length: bytes.len() as u64 })
    }

    /// Appends a frame to the present generation, and removes what a failed write leaves of it.
    fn write(&mut self, mut present: Present<M>, bytes: &[u8]) -> Result<(), Error> {
        let path = present_path(&self.folder);
        let written = present.file.append(bytes);
        if written.is_ok() {
            present.length += bytes.len() as u64;
            self.count += 1;
        } else if present.file.truncate(present.length).is_err() {
            // Notes after a torn record would not be read, so the next one begins a new generation.
            return written.map_err(|source| io_error("append to", &path, source));
        }
        self.present = Some(present);
        written.map_err(|source| io_error("append to", &path, source))
    }
}

impl<M> Present<M> {
    fn has_room(&self, frame_length: u64, now: Duration, options: &Options) -> bool {
        self.length + frame_length <= options.max_bytes && self.began.abs_diff(now) < options.max_age
    }
}

/// Parses the file of a generation up to the first torn or damaged record; `None` if that is the first one.
fn parse(bytes: &[u8]) -> Option<Generation> {
    let Frame::Complete(start, mut end) = frame::read(bytes, 0) else { return None };
    let began = Duration::from_millis(u64::from_le_bytes(start.try_into().ok()?));
    let mut records = Vec::new();
    while let Frame::Complete(payload, next) = frame::read(bytes, end) {
        records.push(payload.to_vec());
        end = next;
    }
    Some(Generation { began, records, end: end as u64, length: bytes.len() as u64 })
}

/// The wall-clock time since the Unix epoch.
pub(crate) fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn present_path(folder: &Path) -> PathBuf {
    folder.join("notes")
}

fn old_path(folder: &Path) -> PathBuf {
    folder.join("notes-old")
}

fn remove(path: &Path) -> Result<(), Error> {
    match fs::remove_file(path) {
        Err(source) if source.kind() != io::ErrorKind::NotFound => Err(io_error("remove", path, source)),
        _ => Ok(()),
    }
}

fn io_error(operation: &'static str, path: &Path, source: io::Error) -> Error {
    Error::Io { operation, path: path.to_owned(), source }
}
