//! What is held against parts of prompts when endpoints crash, and what clears them.

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_gateway::{
    contents::{Contents, RequestTags},
    dialect::{Prompt, PromptPart},
};
use rudder_ledger::{Findings, Quarantine};
use rudder_model::{ContentTag, EndpointId, part_tag};

const MODEL: &str = "m";
/// The part that all requests begin with.
const FIRST: u64 = 1;
/// The part of the session.
const SESSION: u64 = 2;
/// The part of the request alone.
const OWN: u64 = 3;

fn tags(content: ContentTag) -> RequestTags {
    let parts = [FIRST, SESSION, OWN].map(|id| PromptPart { id, tokens: 100 });
    let prompt = Prompt { parts: parts.to_vec(), ..Prompt::default() };
    RequestTags::new(content, Some(MODEL), Some(&prompt))
}

/// The parts that are reported after a crash of endpoint `number`.
fn reported(contents: &Contents, number: usize, now: Moment) -> Vec<u64> {
    let endpoint = EndpointId::from(format!("i-{number}"));
    let findings = contents.note_ended(&tags(7), &endpoint, now).unwrap_or_default();
    let is_reported = |part: &u64| findings.ended.iter().any(|ended| ended.content == part_tag(MODEL, *part));
    [FIRST, SESSION, OWN].into_iter().filter(is_reported).collect()
}

/// Guards against a request's own part that is suspected, and against shared ones that are not.
#[test]
fn all_parts_but_the_last_are_suspected() {
    let now = Moment::now();
    assert_eq!(reported(&Contents::new(now), 1, now), [FIRST, SESSION]);
}

/// Guards against parts that are refused although requests with them are answered.
#[test]
fn a_part_answered_lately_is_not_suspected() {
    let now = Moment::now();
    let mut contents = Contents::new(now);
    let other = RequestTags { content: 8, parts: vec![part_tag(MODEL, FIRST)] };
    contents.note_answered(&other, now);
    assert_eq!(reported(&contents, 1, now + Duration::from_secs(2)), [SESSION]);
    assert_eq!(reported(&contents, 2, now + Duration::from_secs(4)), [FIRST, SESSION]);
}

/// Guards against parts that end endpoints of one model and are answered by another one.
#[test]
fn an_answer_of_another_model_clears_no_part() {
    let now = Moment::now();
    let mut contents = Contents::new(now);
    contents.note_answered(&RequestTags { content: 8, parts: vec![part_tag("other", FIRST)] }, now);
    assert_eq!(reported(&contents, 1, now), [FIRST, SESSION]);
}

/// Guards against parts refused by all for crashes seen at instances that had not answered them.
#[test]
fn what_was_answered_here_is_cleared_when_it_is_suspected_elsewhere() {
    let now = Moment::now();
    let elsewhere = Contents::new(now);
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        let findings = elsewhere.note_ended(&tags(number), &EndpointId::from(format!("i-{number}")), now);
        quarantine.apply(number, &findings.expect("both parts are suspected"));
    }
    let quarantine = Arc::new(quarantine);
    let mut here = Contents::new(now);
    here.note_answered(&RequestTags { content: 8, parts: vec![part_tag(MODEL, FIRST)] }, now);
    let refused = here.publish(&quarantine, now);
    assert_eq!(refused.len(), 2);
    assert!(here.refused_for(&tags(9), now).is_some());
    let findings = here.vindicated(9, 0.0, now).expect("the first part was answered");
    assert_eq!(findings, Findings { answered: vec![part_tag(MODEL, FIRST)], ..Findings::default() });
    let mut cleared = Quarantine::clone(&quarantine);
    cleared.apply(4, &findings);
    here.publish(&Arc::new(cleared), now);
    let sound = RequestTags { content: 9, parts: vec![part_tag(MODEL, FIRST)] };
    assert_eq!((here.refused_for(&sound, now), here.refused_for(&tags(9), now).is_some()), (None, true));
}

/// Guards against hundreds of instances that all report the same answer at once.
#[test]
fn a_few_of_many_instances_report_what_was_answered() {
    let now = Moment::now();
    let mut quarantine = Quarantine::default();
    let mut contents = Contents::new(now);
    for number in 1..=2 {
        let findings = contents.note_ended(&tags(number), &EndpointId::from(format!("i-{number}")), now);
        quarantine.apply(number, &findings.expect("both parts are suspected"));
    }
    contents.publish(&Arc::new(quarantine), now);
    contents.note_answered(&tags(9), now);
    let reporting = (0..660).filter(|number| contents.vindicated(660, f64::from(*number) / 660.0, now).is_some());
    assert!((1..=10).contains(&reporting.count()));
}

/// Guards against parts that stay refused although their engines were repaired.
#[test]
fn a_part_is_refused_for_ten_minutes() {
    let now = Moment::now();
    let mut quarantine = Quarantine::default();
    let mut contents = Contents::new(now);
    for number in 1..=3 {
        let findings = contents.note_ended(&tags(number), &EndpointId::from(format!("i-{number}")), now);
        quarantine.apply(number, &findings.expect("both parts are suspected"));
    }
    contents.publish(&Arc::new(quarantine), now);
    assert!(contents.refused_for(&tags(9), now + Duration::from_secs(599)).is_some());
    assert_eq!(contents.refused_for(&tags(9), now + Duration::from_secs(601)), None);
}
