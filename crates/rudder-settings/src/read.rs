//! Reading TOML with errors that name file, line and key.

use std::{
    fs, io,
    ops::Range,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;

use crate::{Settings, check};

/// Why a file was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It cannot be read.
    #[error("read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// It says something that cannot be.
    #[error("{path}:{line}: {key}: {text}")]
    Refused {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key.
        key: String,
        /// What is wrong.
        text: String,
    },
}

/// A fault at a place in the text.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) span: Range<usize>,
    pub(crate) key: String,
    pub(crate) text: String,
}

/// Reads and checks settings.
///
/// # Errors
/// When the file cannot be read or a setting is refused.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let (settings, text): (Settings, String) = read_text(path)?;
    if let Some(fault) = check::fault_of(&settings) {
        let line = line_of_key(&text, &fault.key).unwrap_or_else(|| line_of(&text, fault.span.start));
        return Err(Error::Refused { path: path.to_owned(), line, key: fault.key, text: fault.text });
    }
    Ok(settings)
}

/// Reads any TOML file whose shape `T` describes.
///
/// # Errors
/// When the file cannot be read or does not have that shape.
pub fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    read_text(path).map(|(value, _)| value)
}

fn read_text<T: DeserializeOwned>(path: &Path) -> Result<(T, String), Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    let parsed = toml::from_str(&text);
    match parsed {
        Ok(value) => Ok((value, text)),
        Err(error) => Err(to_refused(path, &text, &error)),
    }
}

fn to_refused(path: &Path, text: &str, error: &toml::de::Error) -> Error {
    let start = error.span().map_or(0, |span| span.start);
    let line = line_of(text, start);
    let content = text.lines().nth(line - 1).unwrap_or_default();
    let key = content.split('=').next().unwrap_or_default().trim();
    let key = if key.is_empty() { "(file)" } else { key };
    let message = error.message().trim().replace('\n', " ");
    Error::Refused { path: path.to_owned(), line, key: key.to_owned(), text: message }
}

fn line_of(text: &str, at: usize) -> usize {
    let before = text.get(..at).unwrap_or(text);
    before.matches('\n').count() + 1
}

/// The line that sets a key of a table, such as `control.fresh`, or a key at the top. Keys of peers
/// stand many times; their faults carry their place with them.
fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let key = key.strip_prefix("control.").or_else(|| key.strip_prefix("traffic.")).unwrap_or(key);
    let sets = |line: &str| line.split_once('=').is_some_and(|(name, _)| name.trim() == key);
    let at_peer = key.starts_with("peers.") || key == "name";
    let at = if at_peer { None } else { text.lines().position(sets) };
    at.map(|line| line + 1)
}
