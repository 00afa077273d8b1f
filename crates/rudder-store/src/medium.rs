//! The file interface of the store, which tests replace to inject disk failures.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write as _},
    path::Path,
};

/// An append-only file.
pub trait Medium {
    /// Creates the file at `path`, or truncates it if it exists.
    ///
    /// # Errors
    /// Any file system error.
    fn create(path: &Path) -> io::Result<Self>
    where
        Self: Sized;

    /// Opens the existing file at `path` for appending.
    ///
    /// # Errors
    /// Any file system error.
    fn reopen(path: &Path) -> io::Result<Self>
    where
        Self: Sized;

    /// Appends all of `bytes`.
    ///
    /// # Errors
    /// Any file system error; part of `bytes` may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    /// Any file system error.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Returns once all written data is durable.
    ///
    /// # Errors
    /// Any file system error; the durable content is unknown afterwards.
    fn sync(&mut self) -> io::Result<()>;
}

impl Medium for File {
    fn create(path: &Path) -> io::Result<File> {
        File::create(path)
    }

    fn reopen(path: &Path) -> io::Result<File> {
        OpenOptions::new().append(true).open(path)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)?;
        io::Seek::seek(self, io::SeekFrom::End(0)).map(drop)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
