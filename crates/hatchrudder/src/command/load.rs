//! `load`.

use std::time::Duration;

use pico_args::Arguments;
use rudder_load::{
    calls::{self, Target},
    changes, streams,
};

use super::{Error, option_or, to_words};

/// Runs an experiment against running processes.
pub(super) fn load(mut arguments: Arguments) -> Result<bool, Error> {
    let entries: Vec<String> = arguments.values_from_str("--entry")?;
    let Some(entry) = entries.first().cloned() else { return Err(Error::Usage("load needs --entry".to_owned())) };
    let key: String = arguments.value_from_str("--key")?;
    let class = option_or(&mut arguments, "--class", "read".to_owned())?;
    let service = option_or(&mut arguments, "--service", "lasku".to_owned())?;
    let model = option_or(&mut arguments, "--model", "model".to_owned())?;
    let direct: Option<String> = arguments.opt_value_from_str("--direct")?;
    let threads = option_or(&mut arguments, "--threads", 32)?;
    let count = option_or(&mut arguments, "--count", 1000)?;
    let length = Duration::from_secs(option_or(&mut arguments, "--seconds", 5)?);
    let keyed = arguments.contains("--keyed");
    let words = to_words(arguments)?;
    let target = Target { entry: entry.clone(), key: key.clone(), service, class: class.clone(), keyed };
    match words.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["added"] => {
            let direct = direct.ok_or_else(|| Error::Usage("added needs --direct".to_owned()))?;
            let added = calls::added(&target, &direct, count)?;
            println!("direct:  {}\nthrough: {}", added.direct, added.through);
        }
        ["calls"] => {
            let sum = calls::throughput(&target, threads, length)?;
            println!("{:.0} calls/s, {} failed; {}", sum.rate, sum.failed, sum.times);
        }
        ["streams"] => {
            let sum = streams::streams(&entry, &key, &model, &class, count)?;
            println!("{} whole, {} failed in {:?}", sum.whole, sum.failed, sum.length);
            println!("first token: {}\nbetween tokens: {}", sum.first, sum.pace);
        }
        ["in-force"] => println!("in force everywhere: {}", changes::in_force(&entries, &key, count)?),
        ["changes"] => {
            let (rate, times) = changes::rate(&entry, &key, threads, length)?;
            println!("{rate:.0} changes/s; {times}");
        }
        _ => return Err(Error::Usage("load needs one of added, calls, streams, in-force, changes".to_owned())),
    }
    Ok(true)
}
