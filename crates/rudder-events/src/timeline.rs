//! Merging event files into one time line.

use std::{
    fs::File,
    io::{self, BufRead as _, BufReader},
    path::PathBuf,
};

use crate::Line;

/// Why event files could not be merged.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A line before the last is no event.
    #[error("{path}:{line}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// Reads all `paths` and orders their events by time; ties keep the order of the files. A last
/// line cut short by a crash is passed over.
///
/// # Errors
/// When a file cannot be read, or a line that is not its last is no event.
pub fn timeline(paths: &[PathBuf]) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for path in paths {
        read(path, &mut lines)?;
    }
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

fn read(path: &PathBuf, lines: &mut Vec<Line>) -> Result<(), Error> {
    let to_read = |source| Error::Read { path: path.clone(), source };
    let file = File::open(path).map_err(to_read)?;
    let mut broken: Option<(usize, serde_json::Error)> = None;
    for (index, text) in BufReader::new(file).lines().enumerate() {
        let text = text.map_err(to_read)?;
        if let Some((line, source)) = broken.take() {
            return Err(Error::Parse { path: path.clone(), line, source });
        }
        match serde_json::from_str(&text) {
            Ok(line) => lines.push(line),
            Err(source) => broken = Some((index + 1, source)),
        }
    }
    Ok(())
}
