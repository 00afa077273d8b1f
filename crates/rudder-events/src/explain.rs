//! Why one request went where it went, waited or was refused.

use crate::{Line, What};

/// Tells the story of `request` in sentences, oldest first; empty when no event names it.
pub fn explain(request: &str, lines: &[Line]) -> Vec<String> {
    let own = lines.iter().filter(|line| line.what.request() == Some(request));
    let mut story = Vec::new();
    let mut began = None;
    for line in own {
        let start = *began.get_or_insert(line.at);
        let offset = line.at.saturating_sub(start) as f64 / 1000.0;
        story.push(format!("+{offset:.1} ms {}: {}", line.instance, to_sentence(&line.what)));
    }
    story
}

fn to_sentence(what: &What) -> String {
    match what {
        What::Arrived { class, org, model, .. } => format!("arrived for {model}, class {class}, organisation {org}"),
        What::Asked { hall, home, .. } => format!("asked {home}, which decides for hall {hall}"),
        What::Granted { endpoint, waited, .. } => format!("got a slot at {endpoint} after waiting {waited:?}"),
        What::Dispatched { endpoint, attempt, resume: 0, .. } => format!("sent to {endpoint}, attempt {attempt}"),
        What::Dispatched { endpoint, attempt, resume, .. } => {
            format!("sent to {endpoint}, attempt {attempt}, to go on after {resume} output events")
        }
        What::Failed { endpoint, ran, again, .. } => {
            let next = if *again { "tried again elsewhere" } else { "not tried again" };
            format!("failed at {endpoint}; ran: {ran:?}; {next}")
        }
        What::Recalled { cause, .. } => format!("stopped on its engine to make room for {cause}, of a higher tier"),
        What::Done { tokens, first, total, .. } => {
            format!("answered whole: {tokens} tokens, first after {first:?}, all after {total:?}")
        }
        What::Refused { code, text, ran, .. } => format!("refused ({code:?}, ran: {ran:?}): {text}"),
        What::Left { .. } => "the caller left".to_owned(),
        other => format!("{other:?}"),
    }
}
