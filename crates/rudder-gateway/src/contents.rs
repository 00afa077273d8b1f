//! Request contents under which endpoints crashed: which are quarantined, and which were recently answered.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use rudder_clock::Moment;
use rudder_ledger::{EndedUnder, Findings, Quarantine};
use rudder_model::{ContentTag, EndpointId, id::endpoint_tag};

/// Time that a content is refused after it was quarantined, by which a faulty engine is repaired. The first crash after
/// that starts a new period.
pub const REFUSED_FOR: Duration = Duration::from_secs(86_400);
/// Length of a generation of answered contents, of which the current and the previous one are kept.
const GENERATION_SPAN: Duration = Duration::from_secs(30);
/// Maximum number of answered contents in a generation: about 9 KB. Popular contents are soon answered again.
const MAX_ANSWERED: usize = 512;

/// Maximum number of broken connections to keep. A restart of their endpoint is known within seconds.
const MAX_UNRESOLVED: usize = 256;

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
    /// Broken connections to endpoints that were still reachable, and that may have restarted.
    unresolved: VecDeque<BrokenConnection>,
}

/// A connection that broke while its endpoint processed a content.
#[derive(Clone, Debug)]
struct BrokenConnection {
    content: ContentTag,
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
            unresolved: VecDeque::new(),
        }
    }

    /// Applies a newer state of the quarantine. Returns the contents that are newly refused.
    pub fn publish(&mut self, quarantine: &Arc<Quarantine>, now: Moment) -> Vec<ContentTag> {
        if Arc::ptr_eq(&self.quarantine, quarantine) {
            return Vec::new();
        }
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

    /// Remaining time for which `content` is refused; `None` if it is not refused.
    pub fn refused_for(&self, content: ContentTag, now: Moment) -> Option<Duration> {
        let until = self.refused.get(&content)?.learned + REFUSED_FOR;
        until.checked_duration_since(now).filter(|remaining| !remaining.is_zero())
    }

    /// Number of quarantined contents.
    pub fn refused_count(&self) -> usize {
        self.refused.len()
    }

    /// Number of endpoints known to have crashed under `content`.
    pub fn ended_count(&self, content: ContentTag) -> usize {
        self.quarantine.count(content)
    }

    /// The findings to report after an endpoint crashed under `content`. There are none if the content was recently
    /// answered, as the crash then had another cause.
    pub fn note_ended(&self, content: ContentTag, endpoint: &EndpointId) -> Option<Findings> {
        if self.answered.contains(&content) || self.answered_before.contains(&content) {
            return None;
        }
        let ended = EndedUnder { content, endpoint: endpoint_tag(endpoint) };
        Some(Findings { ended: vec![ended], ..Findings::default() })
    }

    /// Records a connection that broke under `content` while its endpoint was still reachable.
    pub fn note_broken(&mut self, content: ContentTag, endpoint: &EndpointId) {
        if self.unresolved.len() >= MAX_UNRESOLVED {
            self.unresolved.pop_front();
        }
        self.unresolved.push_back(BrokenConnection { content, endpoint: endpoint.clone() });
    }

    /// The findings to report of broken connections whose endpoints are now known to have `ended`.
    pub fn take_ended(&mut self, ended: &HashSet<EndpointId>) -> Vec<Findings> {
        let has_ended = |broken: &BrokenConnection| ended.contains(&broken.endpoint);
        let (resolved, unresolved): (VecDeque<BrokenConnection>, VecDeque<BrokenConnection>) =
            self.unresolved.drain(..).partition(has_ended);
        self.unresolved = unresolved;
        resolved.iter().filter_map(|broken| self.note_ended(broken.content, &broken.endpoint)).collect()
    }

    /// Records a complete answer to `content`. Returns the findings to report if endpoints had crashed under it.
    pub fn note_answered(&mut self, content: ContentTag, now: Moment) -> Option<Findings> {
        if now >= self.generation_start + GENERATION_SPAN || self.answered.len() >= MAX_ANSWERED {
            self.generation_start = now;
            self.answered_before = std::mem::take(&mut self.answered);
        }
        self.answered.insert(content);
        (self.quarantine.count(content) > 0).then(|| Findings { answered: vec![content], ..Findings::default() })
    }
}
