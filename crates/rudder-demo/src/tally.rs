//! What callers got, by class, and the promises as seen from outside.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{Promise, Promises, Ran};
use rudder_standin::service::Runs;

use crate::load::Call;

/// Targets of a class.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// First token or answer.
    pub first: Duration,
    /// Mean time between tokens.
    pub pace: Duration,
}

/// Figures of one class.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Calls made.
    pub calls: u32,
    /// Answered whole.
    pub whole: u32,
    /// Answered whole and within the target.
    pub attained: u32,
    /// Refused as not run.
    pub refused: u32,
    /// Refused as perhaps run.
    pub unknown: u32,
    /// Neither whole nor refused.
    pub broken: u32,
    /// Tokens of answers received whole, late ones included.
    pub received: u64,
    /// Refusals by code.
    pub codes: BTreeMap<String, u32>,
    /// Tokens of answers within the target.
    pub useful: u64,
    /// Times to the first token, sorted once all are in.
    pub first: Vec<Duration>,
}

/// Adds up calls by class.
pub fn to_figures(calls: &[Call], target: impl Fn(&str) -> Target) -> BTreeMap<&'static str, Figures> {
    let mut classes: BTreeMap<&'static str, Figures> = BTreeMap::new();
    for call in calls {
        let figures = classes.entry(call.class).or_default();
        figures.calls += 1;
        let reply = &call.reply;
        if reply.whole {
            figures.whole += 1;
            figures.received += u64::from(reply.tokens);
            figures.first.push(reply.first);
            if attains(call, target(call.class)) {
                figures.attained += 1;
                figures.useful += u64::from(reply.tokens.max(1));
            }
            continue;
        }
        *figures.codes.entry(reply.code.clone()).or_default() += 1;
        match reply.ran {
            Some(Ran::No) => figures.refused += 1,
            Some(_) => figures.unknown += 1,
            None => figures.broken += 1,
        }
    }
    for figures in classes.values_mut() {
        figures.first.sort_unstable();
    }
    classes
}

fn attains(call: &Call, target: Target) -> bool {
    let reply = &call.reply;
    let between = reply.total.saturating_sub(reply.first) / reply.tokens.saturating_sub(1).max(1);
    reply.first <= target.first && (reply.tokens < 2 || between <= target.pace)
}

/// Checks P3, P4 and P5 by what callers got and what the service ran.
pub fn check_answers(calls: &[Call], runs: &Runs, promises: &mut Promises) {
    let runs = runs.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for call in calls {
        let reply = &call.reply;
        if reply.status == 200 {
            // A stream that broke off must have said so.
            promises.check(Promise::WholeAnswer, reply.whole || reply.ran.is_some());
        }
        let Some(key) = &call.key else { continue };
        let ran = runs.get(key).copied().unwrap_or_default();
        promises.check(Promise::AtMostOnce, ran <= 1);
        if reply.ran == Some(Ran::No) {
            promises.check(Promise::NotRun, ran == 0);
        }
    }
}

/// The value below which `share` of the sorted `values` lie.
pub fn quantile(values: &[Duration], share: f64) -> Duration {
    let at = ((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1));
    values.get(at).copied().unwrap_or_default()
}
