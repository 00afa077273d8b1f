//! Request contents under which endpoints crashed: which are quarantined, and which were recently answered.
//!
//! A request is known by its whole content, and by each part of its prompt that other requests may share. A crash counts
//! against all of these, and an answer speaks for all of these, so what remains suspect is what no answered request has.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use rudder_clock::Moment;
use rudder_ledger::{EndedUnder, Findings, Quarantine};
use rudder_model::{ContentTag, EndpointId, id::endpoint_tag, part_tag};

use crate::dialect::Prompt;

/// Time that a content is refused after it was quarantined, by which a faulty engine is repaired. The first crash after
/// that starts a new period.
pub const REFUSED_FOR: Duration = Duration::from_secs(86_400);
/// Length of a generation of answered contents, of which the current and the previous one are kept.
const GENERATION_SPAN: Duration = Duration::from_secs(30);
/// Maximum number of answered contents in a generation: about 9 KB. Popular contents are soon answered again.
const MAX_ANSWERED: usize = 512;

/// Time that a part of a prompt is refused after it was quarantined. It is shorter than that of a whole content, as requests
/// that are sound otherwise are refused with it.
const PART_REFUSED_FOR: Duration = Duration::from_secs(600);
/// A part answered within this time is not at fault. It may become so with another version of the model, and has to be
/// suspected soon then.
const PART_ANSWER_SPAN: Duration = Duration::from_secs(3);
/// Maximum number of parts known to be answered: about 100 KB.
const MAX_ANSWERED_PARTS: usize = 4096;
/// Instances that report at once that a suspected part was answered, on average.
const VINDICATORS: f64 = 8.0;

/// Maximum number of broken connections to keep. A restart of their endpoint is known within seconds.
const MAX_UNRESOLVED: usize = 256;

/// What a request may share with others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTags {
    /// Its whole content.
    pub content: ContentTag,
    /// The parts of its prompt, without the last one, which is its own.
    pub parts: Vec<ContentTag>,
}

impl RequestTags {
    /// The tags of a request for `model`.
    pub fn new(content: ContentTag, model: Option<&str>, prompt: Option<&Prompt>) -> RequestTags {
        let parts = prompt.map(|prompt| prompt.parts.as_slice()).unwrap_or_default();
        let shared = parts.split_last().map(|(_, shared)| shared).unwrap_or_default();
        let model = model.unwrap_or_default();
        RequestTags { content, parts: shared.iter().map(|part| part_tag(model, part.id)).collect() }
    }

    /// The same without the parts.
    #[must_use]
    pub fn without_parts(&self) -> RequestTags {
        RequestTags { parts: Vec::new(), ..*self }
    }

    fn all(&self) -> impl Iterator<Item = ContentTag> {
        std::iter::once(self.content).chain(self.parts.iter().copied())
    }
}

/// What this instance knows of request contents.
#[derive(Debug)]
pub struct Contents {
    /// The quarantine as last published.
    quarantine: Arc<Quarantine>,
    /// Quarantined contents.
    refused: HashMap<ContentTag, Refused>,
    /// Contents answered in the current generation.
    answered: HashSet<ContentTag>,
    /// Contents answered in the previous generation.
    answered_before: HashSet<ContentTag>,
    generation_start: Moment,
    /// When each part was last answered.
    answered_parts: HashMap<ContentTag, Moment>,
    /// Broken connections to endpoints that were still reachable, and that may have restarted.
    unresolved: VecDeque<BrokenConnection>,
}

/// A connection that broke while its endpoint processed a content.
#[derive(Clone, Debug)]
struct BrokenConnection {
    tags: RequestTags,
    endpoint: EndpointId,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    /// Log index at which it was quarantined.
    index: u64,
    /// When this instance learned that.
    learned: Moment,
}

impl Contents {
    /// The initial state.
    pub fn new(now: Moment) -> Contents {
        Contents {
            quarantine: Arc::default(),
            refused: HashMap::new(),
            answered: HashSet::new(),
            answered_before: HashSet::new(),
            generation_start: now,
            answered_parts: HashMap::new(),
            unresolved: VecDeque::new(),
        }
    }

    /// Whether this state of the quarantine has been applied.
    pub fn is_published(&self, quarantine: &Arc<Quarantine>) -> bool {
        Arc::ptr_eq(&self.quarantine, quarantine)
    }

    /// Applies a newer state of the quarantine. Returns the contents that are newly refused.
    pub fn publish(&mut self, quarantine: &Arc<Quarantine>, now: Moment) -> Vec<ContentTag> {
        self.quarantine = quarantine.clone();
        self.refused.retain(|content, _| quarantine.refused_since(*content).is_some());
        let mut new = Vec::new();
        for content in quarantine.refused() {
            let index = quarantine.refused_since(content).unwrap_or_default();
            let known = self.refused.get(&content);
            if known.is_some_and(|known| known.index == index) {
                continue;
            }
            self.refused.insert(content, Refused { index, learned: now });
            new.push(content);
        }
        new
    }

    /// Remaining time for which a request with these tags is refused; `None` if it is not.
    pub fn refused_for(&self, tags: &RequestTags, now: Moment) -> Option<Duration> {
        let remaining = |tag: ContentTag, span: Duration| {
            let until = self.refused.get(&tag)?.learned + span;
            until.checked_duration_since(now).filter(|remaining| !remaining.is_zero())
        };
        let of_parts = tags.parts.iter().filter_map(|part| remaining(*part, PART_REFUSED_FOR));
        remaining(tags.content, REFUSED_FOR).into_iter().chain(of_parts).max()
    }

    /// Number of quarantined contents.
    pub fn refused_count(&self) -> usize {
        self.refused.len()
    }

    /// Number of endpoints known to have crashed under the content, or under one of the parts.
    pub fn ended_count(&self, tags: &RequestTags) -> usize {
        tags.all().map(|tag| self.quarantine.count(tag)).max().unwrap_or_default()
    }

    /// The findings to report after an endpoint crashed under a request. There are none for what was recently answered, as the
    /// crash then had another cause.
    pub fn note_ended(&self, tags: &RequestTags, endpoint: &EndpointId, now: Moment) -> Option<Findings> {
        let is_answered = self.answered.contains(&tags.content) || self.answered_before.contains(&tags.content);
        let content = (!is_answered).then_some(tags.content);
        let parts = tags.parts.iter().copied().filter(|part| !self.is_part_answered(*part, now));
        let endpoint = endpoint_tag(endpoint);
        let ended: Vec<EndedUnder> =
            content.into_iter().chain(parts).map(|content| EndedUnder { content, endpoint }).collect();
        (!ended.is_empty()).then(|| Findings { ended, ..Findings::default() })
    }

    /// Records a connection that broke under a request while its endpoint was still reachable.
    pub fn note_broken(&mut self, tags: RequestTags, endpoint: &EndpointId) {
        if self.unresolved.len() >= MAX_UNRESOLVED {
            self.unresolved.pop_front();
        }
        self.unresolved.push_back(BrokenConnection { tags, endpoint: endpoint.clone() });
    }

    /// The findings to report of broken connections whose endpoints are now known to have `ended`.
    pub fn take_ended(&mut self, ended: &HashSet<EndpointId>, now: Moment) -> Vec<Findings> {
        let has_ended = |broken: &BrokenConnection| ended.contains(&broken.endpoint);
        let (resolved, unresolved): (VecDeque<BrokenConnection>, VecDeque<BrokenConnection>) =
            self.unresolved.drain(..).partition(has_ended);
        self.unresolved = unresolved;
        resolved.iter().filter_map(|broken| self.note_ended(&broken.tags, &broken.endpoint, now)).collect()
    }

    /// Records a complete answer. Returns the findings to report if endpoints had crashed under what was answered.
    pub fn note_answered(&mut self, tags: &RequestTags, now: Moment) -> Option<Findings> {
        if now >= self.generation_start + GENERATION_SPAN || self.answered.len() >= MAX_ANSWERED {
            self.generation_start = now;
            self.answered_before = std::mem::take(&mut self.answered);
        }
        self.answered.insert(tags.content);
        self.note_parts_answered(&tags.parts, now);
        let answered: Vec<ContentTag> = tags.all().filter(|tag| self.quarantine.count(*tag) > 0).collect();
        (!answered.is_empty()).then(|| Findings { answered, ..Findings::default() })
    }

    /// The findings to report of parts under which endpoints crashed elsewhere, and that were answered here. `draw` is uniform
    /// from 0 to 1: of many `instances` that know the same, a few are enough.
    pub fn vindicated(&self, instances: usize, draw: f64, now: Moment) -> Option<Findings> {
        if draw * instances.max(1) as f64 > VINDICATORS {
            return None;
        }
        let answered: Vec<ContentTag> =
            self.quarantine.suspected().filter(|part| self.is_part_answered(*part, now)).collect();
        (!answered.is_empty()).then(|| Findings { answered, ..Findings::default() })
    }

    fn is_part_answered(&self, part: ContentTag, now: Moment) -> bool {
        let at = self.answered_parts.get(&part);
        at.is_some_and(|at| now.saturating_duration_since(*at) < PART_ANSWER_SPAN)
    }

    fn note_parts_answered(&mut self, parts: &[ContentTag], now: Moment) {
        if self.answered_parts.len() + parts.len() > MAX_ANSWERED_PARTS {
            self.answered_parts.retain(|_, at| now.saturating_duration_since(*at) < PART_ANSWER_SPAN);
        }
        for part in parts {
            if self.answered_parts.len() < MAX_ANSWERED_PARTS || self.answered_parts.contains_key(part) {
                self.answered_parts.insert(*part, now);
            }
        }
    }
}
