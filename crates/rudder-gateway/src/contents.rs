//! What became of contents at endpoints: those refused because endpoints ended under them, and those answered of late.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use rudder_clock::Moment;
use rudder_ledger::{EndedUnder, Findings, Quarantine};
use rudder_model::{ContentTag, EndpointId, id::endpoint_tag};

/// A content is refused for this long after an endpoint ended under it: a faulty engine is mended in a day. The first end
/// after that begins it anew.
pub const REFUSED_FOR: Duration = Duration::from_secs(86_400);
/// Answered contents are remembered for this long at least, and twice as long at most.
const ANSWERED: Duration = Duration::from_secs(30);
/// Answered contents remembered from one such time: 9 KB. What many callers ask for is answered again soon.
const ANSWERED_MOST: usize = 512;

/// Broken connections remembered; an endpoint that starts again at once is known to have done so within seconds.
const UNSURE_MOST: usize = 256;

/// Contents as this instance knows them.
#[derive(Debug)]
pub struct Contents {
    told: Arc<Quarantine>,
    /// Contents in quarantine, with the log index at which they came into it and when that was learned here.
    refused: HashMap<ContentTag, Refused>,
    /// Contents answered in this span of time.
    answered: HashSet<ContentTag>,
    /// The same in the span before.
    earlier: HashSet<ContentTag>,
    turned: Moment,
    /// Contents whose connection broke off at an endpoint that could still be reached: it may have started again.
    unsure: VecDeque<Broken>,
}

/// A content whose connection broke off at an endpoint.
#[derive(Clone, Debug)]
struct Broken {
    content: ContentTag,
    endpoint: EndpointId,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    index: u64,
    learned: Moment,
}

impl Contents {
    /// Nothing known, at `now`.
    pub fn new(now: Moment) -> Contents {
        Contents {
            told: Arc::default(),
            refused: HashMap::new(),
            answered: HashSet::new(),
            earlier: HashSet::new(),
            turned: now,
            unsure: VecDeque::new(),
        }
    }

    /// Records what all instances found. Returns the contents that are refused from now on.
    pub fn publish(&mut self, told: &Arc<Quarantine>, now: Moment) -> Vec<ContentTag> {
        if Arc::ptr_eq(&self.told, told) {
            return Vec::new();
        }
        self.told = told.clone();
        self.refused.retain(|content, _| told.refused_since(*content).is_some());
        let mut new = Vec::new();
        for content in told.refused() {
            let index = told.refused_since(content).unwrap_or_default();
            let held = self.refused.get(&content);
            if held.is_some_and(|held| held.index == index) {
                continue;
            }
            self.refused.insert(content, Refused { index, learned: now });
            new.push(content);
        }
        new
    }

    /// For how much longer `content` is refused; `None` where it is not.
    pub fn refused_for(&self, content: ContentTag, now: Moment) -> Option<Duration> {
        let until = self.refused.get(&content)?.learned + REFUSED_FOR;
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }

    /// Contents refused.
    pub fn refused_count(&self) -> usize {
        self.refused.len()
    }

    /// How many endpoints ended under `content`, as far as all instances know.
    pub fn ended_count(&self, content: ContentTag) -> usize {
        self.told.count(content)
    }

    /// What is to be told of an endpoint that ended under `content`: nothing where the content was answered of late, so that
    /// something else ended the endpoint.
    pub fn note_ended(&self, content: ContentTag, endpoint: &EndpointId) -> Option<Findings> {
        if self.answered.contains(&content) || self.earlier.contains(&content) {
            return None;
        }
        let ended = EndedUnder { content, endpoint: endpoint_tag(endpoint) };
        Some(Findings { ended: vec![ended], ..Findings::default() })
    }

    /// Remembers that a connection broke off under `content` at an endpoint that can still be reached.
    pub fn note_broken(&mut self, content: ContentTag, endpoint: &EndpointId) {
        if self.unsure.len() >= UNSURE_MOST {
            self.unsure.pop_front();
        }
        self.unsure.push_back(Broken { content, endpoint: endpoint.clone() });
    }

    /// What is to be told of connections that broke off at endpoints which are known to have `ended` by now.
    pub fn take_ended(&mut self, ended: &HashSet<EndpointId>) -> Vec<Findings> {
        let is_over = |held: &Broken| ended.contains(&held.endpoint);
        let (over, unsure): (VecDeque<Broken>, VecDeque<Broken>) = self.unsure.drain(..).partition(is_over);
        self.unsure = unsure;
        over.iter().filter_map(|held| self.note_ended(held.content, &held.endpoint)).collect()
    }

    /// Records that `content` was answered whole. Returns what is to be told of it, where endpoints had ended under it.
    pub fn note_answered(&mut self, content: ContentTag, now: Moment) -> Option<Findings> {
        if now >= self.turned + ANSWERED || self.answered.len() >= ANSWERED_MOST {
            self.turned = now;
            self.earlier = std::mem::take(&mut self.answered);
        }
        self.answered.insert(content);
        (self.told.count(content) > 0).then(|| Findings { answered: vec![content], ..Findings::default() })
    }
}
