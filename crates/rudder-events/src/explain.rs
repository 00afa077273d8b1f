//! Why one request went where it went, waited or was refused.

use std::collections::BTreeSet;

use crate::{Line, StreamEnd, What};

/// Changes of state this long before a request, in microseconds, are told with it.
const BEFORE: u64 = 5_000_000;

/// Tells the story of `request` in sentences, oldest first; empty when no event names it. What the
/// instances that took it believed and did shortly before and meanwhile is told with it, where it speaks
/// of the endpoints that the request went to, or of the instance as a whole.
pub fn explain(request: &str, lines: &[Line]) -> Vec<String> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.what.request() == Some(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let (start, end) = (first.at, last.at);
    let endpoints: BTreeSet<&str> = own.iter().filter_map(|line| line.what.endpoint()).collect();
    let mut story = Vec::new();
    for line in lines.iter().filter(|line| line.at + BEFORE >= start && line.at <= end) {
        let told = line.what.request() == Some(request)
            || (line.what.request().is_none()
                && line.instance == first.instance
                && line.what.endpoint().is_none_or(|endpoint| endpoints.contains(endpoint)));
        if !told {
            continue;
        }
        let offset = (line.at as f64 - start as f64) / 1000.0;
        story.push(format!("{offset:+.1} ms {}: {}", line.instance, to_sentence(&line.what)));
    }
    story
}

/// What the holder of duties did and why, oldest first, as far as it is about `topic`: a hall, for its engines, or the
/// number of a window, for its report. Who held the duties when is told with it.
pub fn explain_duty(topic: &str, lines: &[Line]) -> Vec<String> {
    let mut story = Vec::new();
    for line in lines.iter().filter(|line| is_about(&line.what, topic)) {
        let seconds = line.at as f64 / 1e6;
        story.push(format!("{seconds:.3} s {}: {}", line.instance, to_sentence(&line.what)));
    }
    story
}

fn is_about(what: &What, topic: &str) -> bool {
    let names = |text: &str| text.split([' ', ',']).any(|word| word == topic);
    match what {
        What::DutyHeld { .. } => true,
        What::WindowClosed { window, .. } => window.to_string() == topic,
        What::EnginesWanted { hall, .. } => **hall == *topic,
        What::DutyCalled { subject, .. } => names(subject),
        _ => false,
    }
}

/// Which version of the configuration came into force, or which version of an endpoint's software began a stream.
fn to_version_sentence(what: &What) -> String {
    match what {
        What::Documented { version, before, size, received, patched } => {
            let how = if *patched { "a patch" } else { "a whole document" };
            format!("configuration {version} of {size} bytes is in force by {how} of {received}, {before} before")
        }
        What::Releases { index, count, versions, full, moves } => {
            let full = if *full { "; no further one is recorded" } else { "" };
            let moves = if *moves > 0 { format!("; {moves} recent moves of routes") } else { String::new() };
            format!("versions in service as of {index}, {count} in all: {}{full}{moves}", versions.join(", "))
        }
        What::StreamTakenUp { began, version: Some(version), .. } => {
            format!("its stream was begun by {began} at version {version}, and goes on there")
        }
        What::StreamTakenUp { began, several: true, versions, asked, answered, .. } => format!(
            "nobody knows which version began its stream, {began}, so it may not go on ({versions} known here, {answered} of \
             {asked} instances answered)"
        ),
        _ => String::new(),
    }
}

/// What an endpoint said of itself in an answer.
fn to_notice_sentence(what: &What) -> String {
    match what {
        What::AskedToRest { endpoint, rest_ms } => format!("was asked by {endpoint} to send nothing for {rest_ms} ms"),
        What::SaidLeaving { endpoint } => format!("was told by {endpoint} that it leaves"),
        What::LimitNamed { endpoint, per_second: Some(rate) } => {
            format!("was told by {endpoint} that it takes {rate} requests a second from all instances")
        }
        What::LimitNamed { endpoint, per_second: None } => {
            format!("was told by {endpoint} that it has no limit any more")
        }
        What::BrittleNamed { endpoint, per_second: Some(rate) } => {
            format!("was told by {endpoint} that it falls over after more than {rate} rejections a second")
        }
        What::BrittleNamed { endpoint, per_second: None } => {
            format!("was told by {endpoint} that rejections do not make it fall over any more")
        }
        _ => String::new(),
    }
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
        What::CallTaken { route, org, content, version, proof_ms, left_ms, via, .. } => {
            let org = org.as_deref().unwrap_or("nobody");
            let via = via.as_ref().map_or(String::new(), |via| format!(", passed on by {via}"));
            format!(
                "taken on route {route} for {org}, content {content}, by configuration {version} (proved {proof_ms} ms ago), \
                 {left_ms} ms allowed{via}"
            )
        }
        What::CallSent { .. } => to_sent_sentence(what),
        What::RetryAsked { service, granted, retries, allowed, requests, instances, .. } => {
            let outcome = if *granted { "granted" } else { "denied" };
            format!(
                "a retry at {service} was {outcome}: {retries} of {allowed:.1} allowed for {requests} requests, \
                 with {instances} instances"
            )
        }
        What::CallHopeless { endpoint, ahead, queued, urgent_rate, capacity, wait_ms, target_ms, .. } => format!(
            "the best engine, {endpoint}, has {queued} of its {ahead} prompt tokens to read first, while more urgent ones \
             come at {urgent_rate} of {capacity} a second: about {wait_ms} ms, too long for a target of {target_ms} ms"
        ),
        What::CallOverCapacity { .. } => to_capacity_sentence(what),
        What::CallOverShare { organisation, service, admitted, refused, level, others_ms, .. } => {
            let basis = others_ms.map_or("by this instance's figures alone".to_owned(), |age| {
                format!("over all instances, others' part {age} ms old")
            });
            format!(
                "{organisation} was admitted {admitted} tokens of work at {service} and refused {refused}, above the fair \
                 level of {level} ({basis}), while others were refused for lack of capacity"
            )
        }
        What::CallFailed { endpoint, attempt, why, ran, .. } => {
            format!("attempt {attempt} at {endpoint} failed: {why}; ran: {ran:?}")
        }
        What::CallAnswered { .. } => to_answered_sentence(what),
        What::CallRefused { route, level, status, why, ran, retry_ms, scheduled, position, .. } => {
            let route = route.as_ref().map_or(String::new(), |route| format!(" on route {route}"));
            let level = level.map_or(String::new(), |level| format!(" of priority level {level}"));
            let back = retry_ms.map_or(String::new(), |retry| format!(", come back in {retry} ms"));
            let place = position.map_or(String::new(), |position| format!(" at position {position}"));
            let back = match scheduled {
                Some(true) => format!("{back}, scheduled{place}"),
                Some(false) => format!("{back}, unscheduled"),
                None => back,
            };
            format!("the instance itself answered {status}{route}{level}: {why}; ran: {ran:?}{back}")
        }
        What::CallReturned { arrival, age_ms, admitted, .. } => {
            let outcome = if *admitted { "admitted" } else { "refused again" };
            format!("had been refused before: came {arrival} after {age_ms} ms and was {outcome}")
        }
        What::CallCut { endpoint, why, events, pause_ms, .. } => {
            format!("broken off at {endpoint} after {events} events, longest pause {pause_ms} ms: {why}")
        }
        What::EndedUnder { endpoint, content, .. } => format!("{endpoint} ended while it ran content {content}"),
        What::Woke { after } => format!("woke: its machine had been suspended for {after:?}"),
        What::WordRefused { endpoint, why } => format!("took no word in the name of {endpoint}: {why}"),
        What::Quarantined { content, refused } => {
            format!("refuses content {content} for {refused:?}: endpoints ended under it, one after the other")
        }
        What::Endpoint { endpoint, phase, sequence, .. } => {
            format!("learned that {endpoint} is {phase} (heartbeat {sequence})")
        }
        What::Suspect { endpoint, ended, failed } => {
            format!("leaves {endpoint} out: {failed} of its last {ended} requests failed, over all instances")
        }
        What::AskedToRest { .. } | What::SaidLeaving { .. } | What::LimitNamed { .. } | What::BrittleNamed { .. } => {
            to_notice_sentence(what)
        }
        What::Ejected { endpoint, why, pause } => format!("leaves {endpoint} out for {pause:?}: {why}"),
        What::DutyHeld { .. } | What::WindowClosed { .. } | What::EnginesWanted { .. } | What::DutyCalled { .. } => {
            to_duty_sentence(what)
        }
        other => to_instance_sentence(other),
    }
}

/// The sentence of [`What::CallOverCapacity`]; empty for other events.
fn to_capacity_sentence(what: &What) -> String {
    let What::CallOverCapacity {
        service,
        level,
        reason,
        predicted_ms,
        target_ms,
        left_ms,
        taken,
        slots,
        waiting,
        admitted,
        refused,
        report_ms,
        ..
    } = what
    else {
        return String::new();
    };
    let predicted = predicted_ms.map_or(String::new(), |wait| format!("first event after about {wait} ms, "));
    let age = report_ms.map_or("no reports of others".to_owned(), |age| format!("others' part {age} ms old"));
    format!(
        "refused for lack of capacity of {service} ({reason}) at priority level {level}: {predicted}target {target_ms} ms, \
         {left_ms} ms left; {taken} of {slots} slots taken, {waiting} requests wait; by level, {admitted:?} were lately \
         sent and {refused:?} refused ({age})"
    )
}

/// The sentence of [`What::CallAnswered`]; empty for other events.
fn to_answered_sentence(what: &What) -> String {
    let What::CallAnswered { endpoint, status, first_ms, total_ms, pause_ms, stream, .. } = what else {
        return String::new();
    };
    let stream = stream.map_or(String::new(), |StreamEnd { events, repeated, framed }| {
        let end = if framed { "" } else { ", ended by a closed connection" };
        format!(", {events} events, {repeated} repeated{end}")
    });
    format!(
        "{endpoint} answered {status}: first byte after {first_ms} ms, all after {total_ms} ms, longest pause \
         {pause_ms} ms{stream}"
    )
}

/// The sentence of [`What::CallSent`]; empty for other events.
fn to_sent_sentence(what: &What) -> String {
    let What::CallSent {
        endpoint,
        attempt,
        calls,
        ahead,
        unread,
        predicted_ms,
        queued,
        wait_ms,
        held,
        rank,
        others_ms,
        reused,
        left_ms,
        fetch_from,
        keeper,
        limit,
        brittle,
        token_us,
        prefill_speed,
        pace,
        ..
    } = what
    else {
        return String::new();
    };
    let connection = if *reused { "a kept" } else { "a new" };
    let fetched = fetch_from.as_ref().map_or(String::new(), |from| format!(", its session taken from {from}"));
    let kept = keeper.as_ref().map_or(String::new(), |keeper| format!(", a copy kept by {keeper}"));
    let ranked = rank.map_or(String::new(), |rank| format!(", rank {rank} there, {held} tokens of memory in use"));
    let predicted = predicted_ms.map_or(String::new(), |time| format!(", first event predicted after {time} ms"));
    let queue = match (queued, wait_ms) {
        (Some(queued), Some(wait)) => format!(", {queued} tokens of its priority and above ahead, a wait of {wait} ms"),
        _ => String::new(),
    };
    let timed = match (token_us, prefill_speed, pace) {
        (Some(token), Some(prefill), Some(pace)) => {
            format!(", {token} us per output token and {prefill} prompt tokens per ms there, at a pace of {pace}")
        }
        _ => String::new(),
    };
    let limited = limit.map_or(String::new(), |rate| format!(", within its limit of {rate} requests a second"));
    let fragile = brittle.map_or(String::new(), |borne| format!(", where it bears {borne} rejections a second"));
    format!(
        "sent to {endpoint} on {connection} connection, attempt {attempt}: {calls} requests known there, \
         {ahead} prompt tokens ahead of its {unread} (others' part {others_ms} ms old), {left_ms} ms left\
         {ranked}{predicted}{queue}{fetched}{kept}{limited}{fragile}{timed}"
    )
}

/// Sentences on an instance as a whole: what it knows of the others, and of the configuration.
fn to_instance_sentence(what: &What) -> String {
    match what {
        What::Evacuations { halls, .. } if halls.is_empty() => "learned that no hall is evacuated any more".to_owned(),
        What::Evacuations { halls, .. } => {
            format!("learned that these halls are evacuated: {}", halls.join(", "))
        }
        What::DepartureAnswered { ended, status, took_us, .. } => {
            let departure = if *ended { "end" } else { "drain" };
            format!("answers its {departure} with {status} after {took_us} us")
        }
        What::ControlLate { late_ms, queued, busiest, busiest_events, busiest_ms, .. } => format!(
            "its control thread ticks {late_ms} ms late, {queued} events wait; {busiest_events} of {busiest} took \
             {busiest_ms} ms"
        ),
        What::TrafficLate { late_ms, backlog, queued } => {
            format!(
                "its traffic thread is {late_ms} ms late, {backlog} entries wait for it and {queued} events for the other"
            )
        }
        What::RegistryTaken { term, endpoints, departed } => {
            format!("takes over {endpoints} endpoints in term {term}, {departed} of them departed")
        }
        What::EvacuationOrdered { hall, begins, status, took_ms } => {
            let order = if *begins { "evacuate" } else { "end the evacuation of" };
            format!("an operator's order to {order} {hall} was answered {status} after {took_ms} ms")
        }
        What::CallPassed { to, runs, .. } => format!("passed to {to}; attempts that may have run before: {runs}"),
        What::EndpointsLost { lost, tried } => {
            format!("reaches no endpoint: lost {lost} in a row, then probed {tried} more in vain")
        }
        What::EndpointsReached { after } => format!("reaches endpoints again after {after:?}"),
        What::Fresh { fresh: true, .. } => "can prove its configuration the newest again".to_owned(),
        What::Fresh { fresh: false, .. } => "can no longer prove its configuration the newest".to_owned(),
        What::Documented { .. } | What::StreamTakenUp { .. } | What::Releases { .. } => to_version_sentence(what),
        What::NotesLost { count, resumed: false } => {
            format!("lost {count} notes that could not be written to the disk")
        }
        What::NotesLost { count, .. } => format!("writes notes to the disk again, after {count} more were lost"),
        What::PatchUnfit { held } => format!("a change does not fit configuration {held}; the whole is asked for"),
        What::Directory { live, came, went } => {
            format!("knows {live} live instances; came: {}; went: {}", came.join(", "), went.join(", "))
        }
        What::Parent { relays } if relays.is_empty() => "asks the leader".to_owned(),
        What::Parent { relays } => format!("asks the relays {}", relays.join(", ")),
        What::Leads { leads: true, term } => format!("leads in term {term}"),
        What::Leads { leads: false, term } => format!("leads no more, in term {term}"),
        What::Started { hall, .. } => format!("started in hall {hall}"),
        What::Stopping => "began a planned stop".to_owned(),
        What::Stopped => "ended as planned".to_owned(),
        What::Dropped { budget, blocked } => {
            format!("left {budget} log lines out for its budget and {blocked} for a slow reader")
        }
        other => format!("{other:?}"),
    }
}

/// How logs call engines that may be taken away, and the others.
pub fn to_price(cheap: bool) -> &'static str {
    if cheap { "cheap" } else { "full price" }
}

/// Sentences on the duties that one instance holds for all.
fn to_duty_sentence(what: &What) -> String {
    match what {
        What::DutyHeld { held: true, fence } => format!("holds the duties, with fences from {fence}"),
        What::DutyHeld { held: false, .. } => "holds the duties no more".to_owned(),
        What::WindowClosed { window, organisations, requests, missing, lag_ms } => format!(
            "closed window {window} {lag_ms} ms after its end: {requests} requests of {organisations} organisations; \
             {missing} instances may have had more to tell"
        ),
        What::EnginesWanted { service, hall, cheap, wanted, there, calls, fence } => {
            format!(
                "wants {wanted} engines of {service} in {hall}, {}, where {there} take work and {calls} requests \
                 are under way in all halls; orders them with fence {fence}",
                to_price(*cheap)
            )
        }
        What::DutyCalled { duty, subject, fence, outcome, said, took_ms, age_ms } => format!(
            "call for {duty} ({subject}, fence {fence}) ended after {took_ms} ms: {outcome}; said: {said:?}; \
             about what was {age_ms} ms ago"
        ),
        other => format!("{other:?}"),
    }
}
