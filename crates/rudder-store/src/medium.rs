//! The one interface at which tests put a failing disk.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write as _},
    path::Path,
};

/// A file that grows at its end.
pub trait Medium {
    /// Makes or empties the file at `path`.
    ///
    /// # Errors
    /// As the file system reports.
    fn create(path: &Path) -> io::Result<Self>
    where
        Self: Sized;

    /// Opens the file at `path` to go on at its end.
    ///
    /// # Errors
    /// As the file system reports.
    fn reopen(path: &Path) -> io::Result<Self>
    where
        Self: Sized;

    /// Writes all of `bytes` at the end.
    ///
    /// # Errors
    /// As the file system reports; a part may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file to `length` bytes.
    ///
    /// # Errors
    /// As the file system reports.
    fn cut(&mut self, length: u64) -> io::Result<()>;

    /// Returns once all that was written is durable.
    ///
    /// # Errors
    /// As the file system reports; after an error nothing is known of what was written.
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

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)?;
        io::Seek::seek(self, io::SeekFrom::End(0)).map(drop)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
