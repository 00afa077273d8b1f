//! `timeline` and `explain`.

use eyre::WrapErr as _;
use pico_args::Arguments;
use rudder_events::Line;

use super::{Error, to_paths, to_words};

/// Merges event logs.
pub(super) fn timeline(arguments: Arguments) -> Result<bool, Error> {
    let words = to_words(arguments)?;
    if words.is_empty() {
        return Err(Error::Usage("timeline needs at least one FILE".to_owned()));
    }
    let lines = rudder_events::timeline(&to_paths(&words)).wrap_err("merge event logs")?;
    for line in lines {
        println!("{}", serde_json::to_string(&line).wrap_err("write an event")?);
    }
    Ok(true)
}

/// Tells what the holder of duties did about a hall's engines or a window's report.
pub(super) fn duty(arguments: Arguments) -> Result<bool, Error> {
    tell(arguments, "duty", "HALL or WINDOW", rudder_events::explain_duty)
}

/// Tells the story of one request.
pub(super) fn explain(arguments: Arguments) -> Result<bool, Error> {
    tell(arguments, "explain", "REQUEST", rudder_events::explain)
}

/// Prints what `story` makes of the merged logs for the topic that the first word names.
fn tell(
    arguments: Arguments,
    command: &str,
    topic: &str,
    story: impl Fn(&str, &[Line]) -> Vec<String>,
) -> Result<bool, Error> {
    let words = to_words(arguments)?;
    let [named, files @ ..] = words.as_slice() else {
        return Err(Error::Usage(format!("{command} needs {topic} and at least one FILE")));
    };
    if files.is_empty() {
        return Err(Error::Usage(format!("{command} needs at least one FILE")));
    }
    let lines = rudder_events::timeline(&to_paths(files)).wrap_err("merge event logs")?;
    let story = story(named, &lines);
    for sentence in &story {
        println!("{sentence}");
    }
    if story.is_empty() {
        eprintln!("no event is about {named}");
    }
    Ok(!story.is_empty())
}
