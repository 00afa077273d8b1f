//! The commands. Each takes its arguments, calls a library crate and prints.

mod events;
mod instance;
mod load;
mod measure;
mod operate;
mod soak;

use std::{path::PathBuf, str::FromStr};

use pico_args::Arguments;

/// Why a command did not succeed.
pub(crate) enum Error {
    /// It was called wrongly, or settings were refused.
    Usage(String),
    /// It failed.
    Failed(eyre::Report),
}

impl From<eyre::Report> for Error {
    fn from(report: eyre::Report) -> Error {
        Error::Failed(report)
    }
}

impl From<pico_args::Error> for Error {
    fn from(error: pico_args::Error) -> Error {
        Error::Usage(error.to_string())
    }
}

/// Runs a command; true when all went well.
pub(crate) fn run(name: &str, arguments: Arguments) -> Result<bool, Error> {
    match name {
        "demo" => instance::demo(arguments),
        "check" => instance::check(arguments),
        "run" => instance::run(arguments),
        "platform" => instance::platform(arguments),
        "stand-in" => instance::stand_in(arguments),
        "get" => operate::get(arguments),
        "apply" => operate::apply(arguments),
        "label" => operate::label(arguments),
        "mark" => operate::mark(arguments),
        "evacuate" => operate::evacuate(arguments),
        "soak" => soak::soak(arguments),
        "measure" => measure::measure(arguments),
        "load" => load::load(arguments),
        "timeline" => events::timeline(arguments),
        "explain" => events::explain(arguments),
        "duty" => events::duty(arguments),
        _ => Err(Error::Usage(format!("there is no command {name}"))),
    }
}

/// An option with a default.
fn option_or<T>(arguments: &mut Arguments, key: &'static str, default: T) -> Result<T, Error>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    Ok(arguments.opt_value_from_str(key)?.unwrap_or(default))
}

/// All remaining words; options among them are not known.
fn to_words(arguments: Arguments) -> Result<Vec<String>, Error> {
    let mut words = Vec::new();
    for word in arguments.finish() {
        let word = word.into_string().map_err(|_| Error::Usage("an argument is not UTF-8".to_owned()))?;
        if word.starts_with('-') {
            return Err(Error::Usage(format!("there is no option {word}")));
        }
        words.push(word);
    }
    Ok(words)
}

fn no_more(arguments: Arguments) -> Result<(), Error> {
    match to_words(arguments)?.first() {
        None => Ok(()),
        Some(word) => Err(Error::Usage(format!("{word} is one argument too many"))),
    }
}

fn to_paths(words: &[String]) -> Vec<PathBuf> {
    words.iter().map(PathBuf::from).collect()
}
