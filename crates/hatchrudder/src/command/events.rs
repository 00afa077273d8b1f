//! `timeline` and `explain`.

use eyre::WrapErr as _;
use pico_args::Arguments;

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
    let words = to_words(arguments)?;
    let [topic, files @ ..] = words.as_slice() else {
        return Err(Error::Usage("duty needs HALL or WINDOW and at least one FILE".to_owned()));
    };
    if files.is_empty() {
        return Err(Error::Usage("duty needs at least one FILE".to_owned()));
    }
    let lines = rudder_events::timeline(&to_paths(files)).wrap_err("merge event logs")?;
    let story = rudder_events::explain_duty(topic, &lines);
    for sentence in &story {
        println!("{sentence}");
    }
    if story.is_empty() {
        eprintln!("no event of a duty is about {topic}");
    }
    Ok(!story.is_empty())
}

/// Tells the story of one request.
pub(super) fn explain(arguments: Arguments) -> Result<bool, Error> {
    let words = to_words(arguments)?;
    let [request, files @ ..] = words.as_slice() else {
        return Err(Error::Usage("explain needs REQUEST and at least one FILE".to_owned()));
    };
    if files.is_empty() {
        return Err(Error::Usage("explain needs at least one FILE".to_owned()));
    }
    let lines = rudder_events::timeline(&to_paths(files)).wrap_err("merge event logs")?;
    let story = rudder_events::explain(request, &lines);
    for sentence in &story {
        println!("{sentence}");
    }
    if story.is_empty() {
        eprintln!("no event names request {request}");
    }
    Ok(!story.is_empty())
}
