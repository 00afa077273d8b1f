//! Configuration changes: how many a second, and how long until each is in force everywhere.

use std::{
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, bail, eyre};
use rudder_client::{Changed, Operator};
use rudder_model::{Object, Selector};

use crate::Figures;

/// Time between two looks at an instance.
const LOOK: Duration = Duration::from_millis(5);
/// A change not in force after this long is a failure.
const PATIENCE: Duration = Duration::from_secs(20);

/// Makes `count` changes one after the other; the time from each answer until all `entries` hold it.
///
/// # Errors
/// When a change is not accepted or does not get in force.
pub fn in_force(entries: &[String], key: &str, count: u32) -> Result<Figures> {
    let Some(first) = entries.first() else { bail!("name at least one entry") };
    let operator = Operator::new(first, key);
    let all: Vec<Operator> = entries.iter().map(|entry| Operator::new(entry, key)).collect();
    let mut figures = Figures::default();
    for number in 0..count {
        let index = change(&operator, &format!("load-{}", number % 10))?;
        let accepted = Instant::now();
        for operator in &all {
            wait(operator, index, accepted)?;
        }
        figures.add(accepted.elapsed());
    }
    Ok(figures)
}

fn wait(operator: &Operator, index: u64, since: Instant) -> Result<()> {
    loop {
        let (_, status) = operator.get("status")?;
        if status["index"].as_u64() >= Some(index) {
            return Ok(());
        }
        if since.elapsed() > PATIENCE {
            bail!("index {index} is not in force after {PATIENCE:?}: {status}");
        }
        thread::sleep(LOOK);
    }
}

/// Makes changes by `threads` operators for `length`; changes a second and the time of each.
///
/// # Errors
/// When a change is not accepted.
pub fn rate(entry: &str, key: &str, threads: u32, length: Duration) -> Result<(f64, Figures)> {
    let start = Instant::now();
    let operators: Vec<_> = (0..threads)
        .map(|thread| {
            let operator = Operator::new(entry, key);
            thread::spawn(move || -> Result<Figures> {
                let mut figures = Figures::default();
                while start.elapsed() < length {
                    let before = Instant::now();
                    change(&operator, &format!("load-{thread}"))?;
                    figures.add(before.elapsed());
                }
                Ok(figures)
            })
        })
        .collect();
    let mut sum = Figures::default();
    for operator in operators {
        sum.merge(&operator.join().map_err(|_| eyre!("an operator failed"))??);
    }
    Ok((sum.count() as f64 / start.elapsed().as_secs_f64(), sum))
}

/// Changes a selector; the number to replace may have been read from a view that lags, so a conflict
/// tells the right one.
fn change(operator: &Operator, name: &str) -> Result<u64> {
    let object = || Object::Selector(Selector { halls: vec!["nowhere".into()], ..Selector::default() });
    let mut replaces = operator.object(rudder_model::Kind::Selector, name)?.map_or(0, |held| held.number);
    loop {
        match operator.put(name, replaces, object())? {
            Changed::Accepted { index, .. } => return Ok(index),
            Changed::Conflict { standing } => replaces = standing.number,
            other => bail!("{name}: {other:?}"),
        }
    }
}
