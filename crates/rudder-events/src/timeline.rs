//! Merging event files into one time line.

use std::{
    collections::HashMap,
    fs::File,
    io::{self, BufRead as _, BufReader},
    path::PathBuf,
};

use rudder_model::InstanceId;

use crate::{Line, What};

/// How each line's object begins.
const BEGIN: &str = "{\"at\":";

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
    /// A line holds no event.
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

/// Reads all `paths` and orders their events by time; ties keep the order of the files. An
/// object cut short by a crash is passed over, and so is what stands before a line's object.
///
/// Wall clocks jump, steady clocks do not: the lines of one start of a process are placed by its steady
/// clock, at the median of the differences to its wall clock. A jump that lasts for less than half of the
/// process's lines moves none of them. Between processes the difference of their clocks remains.
///
/// # Errors
/// When a file cannot be read, or a line holds not even the beginning of an event.
pub fn timeline(paths: &[PathBuf]) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for path in paths {
        read(path, &mut lines)?;
    }
    place_by_steady_clock(&mut lines);
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

/// Sets the time of each line to its steady time after the start of its process.
fn place_by_steady_clock(lines: &mut [Line]) {
    let mut starts: HashMap<InstanceId, usize> = HashMap::new();
    let mut differences: HashMap<(InstanceId, usize), Vec<u64>> = HashMap::new();
    let mut keys = Vec::with_capacity(lines.len());
    for line in lines.iter() {
        let start = starts.entry(line.instance.clone()).or_default();
        if matches!(line.what, What::Started { .. }) {
            *start += 1;
        }
        let key = (line.instance.clone(), *start);
        differences.entry(key.clone()).or_default().push(line.at.saturating_sub(line.uptime));
        keys.push(key);
    }
    for values in differences.values_mut() {
        values.sort_unstable();
    }
    for (line, key) in lines.iter_mut().zip(keys) {
        // Logs of older versions have no steady time.
        if line.uptime > 0 {
            let values = &differences[&key];
            line.at = values[values.len() / 2] + line.uptime;
        }
    }
}

fn read(path: &PathBuf, lines: &mut Vec<Line>) -> Result<(), Error> {
    let to_read = |source| Error::Read { path: path.clone(), source };
    let file = File::open(path).map_err(to_read)?;
    for (index, text) in BufReader::new(file).lines().enumerate() {
        let text = text.map_err(to_read)?;
        read_objects(&text, lines).map_err(|source| Error::Parse { path: path.clone(), line: index + 1, source })?;
    }
    Ok(())
}

/// Takes the objects of one line. There may be several: a process killed in the middle of one leaves a
/// part of it, and the next start goes on behind it. Such a part is passed over.
fn read_objects(text: &str, lines: &mut Vec<Line>) -> Result<(), serde_json::Error> {
    let begins: Vec<usize> = text.match_indices(BEGIN).map(|(at, _)| at).collect();
    if begins.is_empty() {
        return serde_json::from_str(text).map(|line| lines.push(line));
    }
    for (number, begin) in begins.iter().enumerate() {
        let end = begins.get(number + 1).copied().unwrap_or(text.len());
        // What stands before the next object may be a prefix that whoever collected the lines put there.
        let mut objects = serde_json::Deserializer::from_str(&text[*begin..end]).into_iter();
        if let Some(Ok(line)) = objects.next() {
            lines.push(line);
        }
    }
    Ok(())
}
