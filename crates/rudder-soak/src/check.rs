//! The judgement: which promises were tested how often, and which were broken, from what was seen outside alone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    History,
    history::{Arrival, Call, Event, Kind, Outcome, Pushback, Stream},
};

/// The time over which requests at a cold endpoint are counted.
const SECOND: Duration = Duration::from_secs(1);

/// A promise that callers, endpoints and operators can see kept or broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Each caller gets the whole answer to its own call, or an end that does not look whole.
    OwnAnswer,
    /// A stream is written by one software version over all tries of its caller, each event once and in order.
    Order,
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// What is called "not run" did not run and never will.
    NotRun,
    /// An endpoint that leaves gets no new work.
    Drained,
    /// An endpoint that asked an instance for rest gets none of its calls until that is over.
    Rested,
    /// A zone that is evacuated gets nothing.
    Evacuated,
    /// An endpoint that names a rate limit gets no more than it over all instances.
    Limited,
    /// An endpoint that is cold gets no more than it bears.
    SlowStart,
    /// A configuration that was accepted never reverts, and one that cannot work is never accepted.
    NeverReverts,
    /// A key that was taken away opens nothing.
    KeyTaken,
    /// A content, or a part of a prompt, that ends endpoints stops reaching them.
    Quarantine,
    /// Callers of an instance without links to endpoints are served as those of the others.
    Reached,
    /// Calls sent again stay a share of the calls.
    Budget,
    /// A planned stop cuts nothing off.
    PlannedStop,
    /// Every kind of call is served again once the faults are over.
    Served,
    /// No process ends by itself.
    OwnEnd,
}

/// Times and shares within which promises hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From a leave's acknowledgement.
    pub drain: Duration,
    /// An instance that was away is not held to the time from a leave's acknowledgement for so long afterwards: it has still
    /// to learn of it, and its proof may be as old as it was away.
    pub touch: Duration,
    /// From an answer in which an endpoint asked for rest: what was on its way may still come.
    pub rest_slack: Duration,
    /// Calls that may reach it afterwards all the same, before the rest is over.
    pub late_requests: usize,
    /// From an evacuation's acknowledgement.
    pub evacuate: Duration,
    /// From the first answer that names a limit until it is kept.
    pub limit_settle: Duration,
    /// Time over which calls at an endpoint with a limit are counted.
    pub limit_window: Duration,
    /// Calls in that time, as a multiple of what the limit allows.
    pub limit_factor: f64,
    /// Calls in that time beyond that.
    pub limit_extra: f64,
    /// Requests within a second that a cold endpoint bears.
    pub cold: usize,
    /// From a configuration's acknowledgement until no older one is read.
    pub apply: Duration,
    /// From the acknowledgement of a key's removal.
    pub revoke: Duration,
    /// From the third end under a content until all refuse it.
    pub spread: Duration,
    /// Times that such a content may reach endpoints afterwards.
    pub strays: usize,
    /// Endpoints that end under a part before it counts.
    pub part_ended: usize,
    /// From the beginning of an isolation until callers have to be served.
    pub reach: Duration,
    /// Share of those served at the other instances that has to be served then.
    pub reach_ratio: f64,
    /// Calls at an isolated instance that may fail all the same, and one in so many beyond.
    pub reach_extra: usize,
    /// As above.
    pub reach_part: usize,
    /// Calls sent again, as a share of the calls in a window.
    pub retry_ratio: f64,
    /// Calls sent again beyond that.
    pub retry_extra: usize,
    /// The window.
    pub retry_window: Duration,
    /// From the end of the faults until all has to be served.
    pub recover: Duration,
    /// Share of each kind of call that has to be served then.
    pub served: f64,
    /// A planned stop has this long.
    pub grace: Duration,
}

impl Default for Bounds {
    /// The bounds of the smaller deployments; of calm times nine in ten calls at least are served.
    fn default() -> Self {
        Bounds {
            drain: Duration::from_secs(2),
            touch: Duration::from_secs(3),
            rest_slack: Duration::from_millis(500),
            late_requests: 2,
            evacuate: Duration::from_secs(5),
            limit_settle: Duration::from_secs(3),
            limit_window: Duration::from_secs(4),
            limit_factor: 1.5,
            limit_extra: 5.0,
            cold: 11,
            apply: Duration::from_secs(2),
            revoke: Duration::from_secs(5),
            spread: Duration::from_secs(3),
            strays: 3,
            part_ended: 5,
            reach: Duration::from_secs(3),
            reach_ratio: 2.0 / 3.0,
            reach_extra: 10,
            reach_part: 50,
            retry_ratio: 0.2,
            retry_extra: 50,
            retry_window: Duration::from_secs(10),
            recover: Duration::from_secs(6),
            served: 0.9,
            grace: Duration::from_secs(8),
        }
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub what: String,
}

/// What came out.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// How often each promise was tested.
    pub tested: BTreeMap<Promise, usize>,
    /// What was broken.
    pub broken: Vec<Broken>,
    /// Streams that broke off and were taken up.
    pub taken_up: usize,
    /// Of these, streams of which more events came.
    pub gone_on: usize,
}

impl Verdict {
    fn test(&mut self, promise: Promise, holds: bool, what: impl FnOnce() -> String) {
        *self.tested.entry(promise).or_default() += 1;
        if !holds {
            self.broken.push(Broken { promise, what: what() });
        }
    }
}

/// Judges what was seen.
pub fn check(history: &History, bounds: &Bounds) -> Verdict {
    let mut verdict = Verdict::default();
    let mut arrivals: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &history.arrivals {
        arrivals.entry(&arrival.call).or_default().push(arrival);
    }
    for call in &history.calls {
        let arrived = arrivals.get(call.id.as_str()).map(Vec::as_slice).unwrap_or_default();
        check_call(call, arrived, &mut verdict);
    }
    check_streams(history, &mut verdict);
    check_drains(history, bounds, &mut verdict);
    check_pushbacks(history, bounds, &mut verdict);
    check_limits(history, bounds, &mut verdict);
    check_evacuations(history, bounds, &mut verdict);
    check_slow_starts(history, bounds, &mut verdict);
    check_configuration(history, bounds, &mut verdict);
    check_keys(history, bounds, &arrivals, &mut verdict);
    check_quarantine(history, bounds, &mut verdict);
    check_parts(history, bounds, &mut verdict);
    check_reached(history, bounds, &mut verdict);
    check_budget(history, bounds, &mut verdict);
    check_stops(history, bounds, &arrivals, &mut verdict);
    check_served(history, bounds, &mut verdict);
    verdict.test(Promise::OwnEnd, history.own_ends.is_empty(), || format!("{:?}", history.own_ends));
    verdict
}

/// Statuses that promise that a call did not run.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn check_call(call: &Call, arrived: &[&Arrival], verdict: &mut Verdict) {
    let runs = arrived.iter().filter(|arrival| arrival.ran).count();
    if call.kind.runs_once() {
        verdict.test(Promise::AtMostOnce, runs <= 1, || format!("{} ran {runs} times: {arrived:?}", call.id));
    }
    let Outcome::Answered { status, whole, right } = call.outcome else { return };
    if promises_not_run(status) {
        verdict.test(Promise::NotRun, runs == 0, || format!("{} got {status} and ran: {arrived:?}", call.id));
    }
    if status == 200 {
        verdict
            .test(Promise::OwnAnswer, right || !whole, || format!("{} got a wrong answer that looks whole", call.id));
    }
}

fn check_streams(history: &History, verdict: &mut Verdict) {
    for stream in &history.streams {
        let disorder = find_disorder(stream);
        verdict.test(Promise::Order, disorder.is_none(), || {
            format!("{}: {}", disorder.unwrap_or_default(), to_story(stream))
        });
        let Some(first) = stream.tries.iter().position(|held| !held.events.is_empty()) else { continue };
        let later = &stream.tries[first + 1..];
        verdict.taken_up += usize::from(!later.is_empty());
        verdict.gone_on += usize::from(later.iter().any(|held| !held.events.is_empty()));
    }
}

/// What is wrong with the events of a stream.
fn find_disorder(stream: &Stream) -> Option<String> {
    let mut versions: BTreeSet<&str> = BTreeSet::new();
    let mut last = 0;
    for held in &stream.tries {
        for Event { id, version } in &held.events {
            if *id != last + 1 {
                return Some(format!("event {id} of {} follows event {last}", held.id));
            }
            last = *id;
            versions.insert(version);
        }
        if held.whole && held.status == Some(200) && last != stream.last {
            return Some(format!("{} looks whole after event {last} of {}", held.id, stream.last));
        }
    }
    (versions.len() > 1).then(|| format!("events of {}", Vec::from_iter(versions).join(" and ")))
}

/// What each try of a stream brought.
fn to_story(stream: &Stream) -> String {
    let mut parts = Vec::new();
    for held in &stream.tries {
        let status = held.status.map_or_else(|| "nothing".to_owned(), |status| status.to_string());
        parts.push(format!("{} at instance {} from {:?} got {status}", held.id, held.instance, held.sent));
        for events in held.events.chunk_by(|one, next| one.version == next.version) {
            let (Some(from), Some(to)) = (events.first(), events.last()) else { continue };
            parts.push(format!("{} to {} of {}", from.id, to.id, from.version));
        }
    }
    parts.join(", ")
}

/// The instance and the time of each call and each try of a stream, by its id.
fn find_sent(history: &History) -> BTreeMap<&str, (usize, Duration)> {
    let calls = history.calls.iter().map(|call| (call.id.as_str(), (call.instance, call.sent)));
    let tries = history.streams.iter().flat_map(|stream| &stream.tries);
    calls.chain(tries.map(|held| (held.id.as_str(), (held.instance, held.sent)))).collect()
}

/// Tells which arrivals came from an instance that was not there, or not long enough to have learned what is new.
fn find_away<'a>(history: &'a History, bounds: &Bounds) -> impl Fn(&Arrival) -> bool + use<'a> {
    let calls = find_sent(history);
    let touch = bounds.touch;
    move |arrival| {
        let called = || calls.get(arrival.call.as_str()).map(|(instance, _)| *instance);
        let Some(instance) = arrival.sender.or_else(called) else { return false };
        let near = |from: Duration, until: Duration| from <= arrival.at && arrival.at <= until + touch;
        history.absences.iter().any(|absence| absence.instance == instance && near(absence.from, absence.until))
    }
}

fn check_evacuations(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let was_away = find_away(history, bounds);
    for evacuation in &history.evacuations {
        let meanwhile = evacuation.from + bounds.evacuate..evacuation.until;
        let late = |arrival: &&Arrival| {
            arrival.zone == evacuation.zone && meanwhile.contains(&arrival.at) && !was_away(arrival)
        };
        let late = history.arrivals.iter().find(late);
        verdict.test(Promise::Evacuated, late.is_none(), || format!("{evacuation:?} got {late:?}"));
    }
}

fn check_slow_starts(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let was_away = find_away(history, bounds);
    for cold in &history.colds {
        let meanwhile = |arrival: &&Arrival| arrival.life == cold.life && (cold.from..cold.until).contains(&arrival.at);
        let counted = history.arrivals.iter().filter(meanwhile).filter(|arrival| !was_away(arrival));
        let mut times: Vec<Duration> = counted.map(|arrival| arrival.at).collect();
        times.sort_unstable();
        let within = |first: &Duration| times.iter().filter(|at| (*first..*first + SECOND).contains(*at)).count();
        let most = times.iter().map(within).max().unwrap_or_default();
        verdict.test(Promise::SlowStart, most <= bounds.cold, || format!("{cold:?} got {most} in a second"));
    }
}

fn check_drains(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let was_away = find_away(history, bounds);
    for leave in &history.leaves {
        let late = |arrival: &&Arrival| {
            arrival.life == leave.life && arrival.at > leave.at + bounds.drain && !was_away(arrival)
        };
        let late = history.arrivals.iter().find(late);
        verdict.test(Promise::Drained, late.is_none(), || format!("{leave:?} got {late:?}"));
    }
}

/// The calls of one instance that reached one life of an endpoint.
struct Exchange<'a> {
    instance: usize,
    life: &'a str,
    /// Each arrival, and when its call was sent.
    arrivals: Vec<(&'a Arrival, Duration)>,
}

/// Each instance keeps what endpoints have asked of it in their answers, as long as its process runs.
fn check_pushbacks(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    for exchange in find_exchanges(history) {
        for (asking, _) in &exchange.arrivals {
            match asking.pushback {
                Some(Pushback::Backoff(rest)) => check_rest(history, bounds, &exchange, (asking, rest), verdict),
                Some(Pushback::Leaving) => check_leaving(history, bounds, &exchange, asking, verdict),
                None => {}
            }
        }
    }
}

fn find_exchanges(history: &History) -> Vec<Exchange<'_>> {
    let calls = find_sent(history);
    let mut met: BTreeMap<(usize, &str), Vec<(&Arrival, Duration)>> = BTreeMap::new();
    for arrival in &history.arrivals {
        let Some((instance, sent)) = calls.get(arrival.call.as_str()) else { continue };
        met.entry((arrival.sender.unwrap_or(*instance), &arrival.life)).or_default().push((arrival, *sent));
    }
    met.into_iter().map(|((instance, life), arrivals)| Exchange { instance, life, arrivals }).collect()
}

fn check_rest(
    history: &History,
    bounds: &Bounds,
    exchange: &Exchange,
    (asking, rest): (&Arrival, Duration),
    verdict: &mut Verdict,
) {
    let Exchange { instance, life, arrivals } = exchange;
    let meanwhile = asking.at + bounds.rest_slack..asking.at + rest;
    let is_late = |at: Duration| meanwhile.contains(&at) && !lost_memory(history, *instance, asking.at, at);
    let strays = arrivals.iter().filter(|(later, _)| is_late(later.at)).count();
    verdict.test(Promise::Rested, strays <= bounds.late_requests, || {
        format!("{life} asked instance {instance} for {rest:?} of rest and got {strays}: {asking:?}")
    });
}

fn check_leaving(history: &History, bounds: &Bounds, exchange: &Exchange, asking: &Arrival, verdict: &mut Verdict) {
    let Exchange { instance, life, arrivals } = exchange;
    let is_late = |later: &Arrival, sent: Duration| {
        sent > asking.at + bounds.drain && !lost_memory(history, *instance, asking.at, later.at)
    };
    let late = arrivals.iter().find(|(later, sent)| is_late(later, *sent));
    verdict.test(Promise::Drained, late.is_none(), || {
        format!("{life} told instance {instance} that it leaves, and got {late:?}")
    });
}

/// What endpoints bear counts over all instances that they told.
fn check_limits(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let exchanges = find_exchanges(history);
    let was_away = find_away(history, bounds);
    for limit in &history.limits {
        let exchanges = || exchanges.iter().filter(|exchange| exchange.life == limit.life);
        let tells = |arrival: &Arrival| arrival.limit.is_some() && (limit.from..limit.until).contains(&arrival.at);
        let named = exchanges().flat_map(|exchange| &exchange.arrivals).filter(|(arrival, _)| tells(arrival));
        let Some(first) = named.map(|(arrival, _)| arrival.at).min() else { continue };
        let kept = first + bounds.limit_settle..limit.until;
        let mut times: Vec<Duration> = Vec::new();
        for Exchange { instance, arrivals, .. } in exchanges() {
            let was_told = |at: Duration| {
                arrivals.iter().any(|(told, _)| {
                    tells(told) && told.at + bounds.rest_slack <= at && !lost_memory(history, *instance, told.at, at)
                })
            };
            let counts = |arrival: &Arrival| kept.contains(&arrival.at) && was_told(arrival.at) && !was_away(arrival);
            times.extend(arrivals.iter().map(|(arrival, _)| arrival).filter(|arrival| counts(arrival)).map(|a| a.at));
        }
        let within =
            |first: &Duration| times.iter().filter(|at| (*first..*first + bounds.limit_window).contains(*at)).count();
        let most = times.iter().map(within).max().unwrap_or_default();
        let span = bounds.limit_window.as_secs_f64();
        let allowed = bounds.limit_factor * limit.limit * span + bounds.limit_extra;
        verdict.test(Promise::Limited, most as f64 <= allowed, || {
            format!("{limit:?} got {most} calls in {:?}", bounds.limit_window)
        });
    }
}

/// True where an instance's process was ended, or its time did not go on as usual, between two times.
fn lost_memory(history: &History, instance: usize, from: Duration, until: Duration) -> bool {
    let absences = history.absences.iter().map(|absence| (absence.instance, absence.from, absence.until));
    let stops = history.stops.iter().map(|stop| (stop.instance, stop.from, stop.until));
    let ends = history.own_ends.iter().map(|end| (end.instance, end.at, end.at));
    let mut away = absences.chain(stops).chain(ends);
    away.any(|(held, begin, end)| held == instance && begin <= until && end >= from)
}

fn check_configuration(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    for read in &history.read {
        let before = history.accepted.iter().filter(|accepted| accepted.at + bounds.apply < read.at);
        let newest = before.map(|accepted| accepted.version).max().unwrap_or_default();
        verdict.test(Promise::NeverReverts, read.version >= newest, || {
            format!("read version {} at {:?}, {newest} was accepted before", read.version, read.at)
        });
    }
    let newest = history.accepted.iter().map(|accepted| accepted.version).max();
    verdict.test(Promise::NeverReverts, history.last >= newest, || {
        format!("the last version read is {:?}, {newest:?} was accepted", history.last)
    });
    verdict.test(Promise::NeverReverts, history.invalid_taken == 0, || {
        format!("{} configurations that cannot work were accepted", history.invalid_taken)
    });
}

fn check_keys(history: &History, bounds: &Bounds, arrivals: &BTreeMap<&str, Vec<&Arrival>>, verdict: &mut Verdict) {
    for removal in &history.removals {
        for call in history.calls.iter().filter(|call| call.key == removal.key) {
            if call.sent <= removal.at + bounds.revoke {
                continue;
            }
            let ran = arrivals.get(call.id.as_str()).is_some_and(|arrived| arrived.iter().any(|arrival| arrival.ran));
            verdict.test(Promise::KeyTaken, !ran, || format!("{} ran, its key was taken away: {removal:?}", call.id));
        }
    }
}

fn check_quarantine(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let is_whole = |arrival: &&Arrival| arrival.deadly && arrival.part.is_none();
    let mut reached: Vec<&Arrival> = history.arrivals.iter().filter(is_whole).collect();
    reached.sort_by_key(|arrival| arrival.at);
    let Some(third) = reached.iter().filter(|arrival| arrival.ran).nth(2) else { return };
    let strays: Vec<_> = reached.iter().filter(|arrival| arrival.at > third.at + bounds.spread).collect();
    verdict.test(Promise::Quarantine, strays.len() <= bounds.strays, || {
        format!("a content under which three endpoints had ended reached {} more: {strays:?}", strays.len())
    });
}

fn check_parts(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let mut parts: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &history.arrivals {
        let Some(part) = &arrival.part else { continue };
        parts.entry(part).or_default().push(arrival);
    }
    for (part, mut reached) in parts {
        reached.sort_by_key(|arrival| arrival.at);
        let Some(last) = reached.iter().filter(|arrival| arrival.ran).nth(bounds.part_ended - 1) else { continue };
        let strays: Vec<_> = reached.iter().filter(|arrival| arrival.at > last.at + bounds.spread).collect();
        verdict.test(Promise::Quarantine, strays.len() <= bounds.strays, || {
            format!("part {part}, under which endpoints had ended, reached {} more: {strays:?}", strays.len())
        });
    }
}

fn check_reached(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let is_isolated = |instance: usize, at: Duration| {
        history.isolations.iter().any(|held| held.instance == instance && held.from <= at && at <= held.until)
    };
    let good = |call: &&&Call| matches!(call.outcome, Outcome::Answered { status: 200, whole: true, right: true });
    for isolation in &history.isolations {
        let meanwhile = |call: &&Call| call.sent >= isolation.from + bounds.reach && call.ended <= isolation.until;
        let counts = |call: &&Call| {
            let removed = history.removals.iter().any(|removal| removal.key == call.key);
            let was_away = lost_memory(history, call.instance, call.sent.saturating_sub(bounds.touch), call.ended);
            !call.deadly && !removed && !was_away
        };
        let calls = || history.calls.iter().filter(meanwhile).filter(counts);
        let here: Vec<&Call> = calls().filter(|call| call.instance == isolation.instance).collect();
        let others: Vec<&Call> = calls().filter(|call| !is_isolated(call.instance, call.sent)).collect();
        if here.is_empty() || others.is_empty() {
            continue;
        }
        let (served, others_served) = (here.iter().filter(good).count(), others.iter().filter(good).count());
        let ratio = served as f64 / here.len() as f64;
        let others_ratio = others_served as f64 / others.len() as f64;
        let few = here.len() - served <= bounds.reach_extra + here.len() / bounds.reach_part;
        verdict.test(Promise::Reached, few || ratio >= bounds.reach_ratio * others_ratio, || {
            let (total, others) = (here.len(), others.len());
            format!("{served} of {total} calls served, {others_served} of {others} at others, during {isolation:?}")
        });
    }
}

fn check_budget(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let mut firsts: BTreeMap<&str, Duration> = BTreeMap::new();
    for arrival in &history.arrivals {
        let first = firsts.entry(&arrival.call).or_insert(arrival.at);
        *first = arrival.at.min(*first);
    }
    let mut again: Vec<Duration> = history
        .arrivals
        .iter()
        .filter(|arrival| firsts[arrival.call.as_str()] != arrival.at)
        .map(|arrival| arrival.at)
        .collect();
    again.sort_unstable();
    let mut sent: Vec<Duration> = find_sent(history).into_values().map(|(_, sent)| sent).collect();
    sent.sort_unstable();
    let within = |times: &[Duration], from: Duration, to: Duration| {
        times.partition_point(|at| *at <= to) - times.partition_point(|at| *at < from)
    };
    for end in &again {
        let begin = end.saturating_sub(bounds.retry_window);
        let (repeats, calls) = (within(&again, begin, *end), within(&sent, begin, *end));
        let allowed = bounds.retry_ratio * calls as f64 + bounds.retry_extra as f64;
        verdict.test(Promise::Budget, repeats as f64 <= allowed, || {
            format!("{repeats} sent again for {calls} calls in the time before {end:?}")
        });
    }
}

fn check_stops(history: &History, bounds: &Bounds, arrivals: &BTreeMap<&str, Vec<&Arrival>>, verdict: &mut Verdict) {
    for stop in &history.stops {
        let took = stop.until.saturating_sub(stop.from);
        verdict.test(Promise::PlannedStop, took <= bounds.grace, || format!("{stop:?} took {took:?}"));
        if !stop.alone {
            continue;
        }
        for call in history.calls.iter().filter(|call| call.instance == stop.instance && !call.deadly) {
            let meanwhile = call.sent < stop.until && call.ended >= stop.from;
            let passed_on = arrivals.contains_key(call.id.as_str());
            if !meanwhile || !passed_on {
                continue;
            }
            let cut = matches!(call.outcome, Outcome::Lost | Outcome::Answered { whole: false, .. });
            verdict.test(Promise::PlannedStop, !cut, || format!("{stop:?} cut off {call:?}"));
        }
    }
}

fn check_served(history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    for kind in Kind::ALL {
        let late = |call: &&Call| call.kind == kind && !call.deadly && call.sent >= history.calm + bounds.recover;
        let removed = |call: &&Call| history.removals.iter().any(|removal| removal.key == call.key);
        let calls: Vec<&Call> = history.calls.iter().filter(late).filter(|call| !removed(call)).collect();
        let good = |call: &&&Call| matches!(call.outcome, Outcome::Answered { status: 200, whole: true, right: true });
        let served = calls.iter().filter(good).count();
        let enough = !calls.is_empty() && served as f64 >= bounds.served * calls.len() as f64;
        verdict.test(Promise::Served, enough, || format!("{served} of {} {kind:?} calls in calm times", calls.len()));
    }
}
