//! Contents under which endpoints ended, and those that are refused for it. A content is a whole request, or a part of a
//! prompt that requests share.
//!
//! A request may end each endpoint that begins to run it, and comes again under other ids, at any instance. So the end of an
//! endpoint is held against all that was under way there, by content. At [`BOUND`] endpoints a content is in quarantine. One
//! that is answered whole is cleared: what ended its endpoints was something else.

use std::collections::BTreeMap;

use rudder_model::{ContentTag, EndpointTag};
use serde::{Deserialize, Serialize};

/// Endpoints that end under a content before it is refused. Whatever else ran at an endpoint that ends is counted as well,
/// so one or two may be chance where many end; three under a content that was answered nowhere are not.
pub const BOUND: usize = 3;
/// Endpoints under a content before all instances are told of it: most contents stand under one and never come again.
const TOLD: usize = BOUND - 1;
/// Contents held: some 40 KB. Those longest unchanged give way, those in quarantine last.
const HELD_MOST: usize = 1024;

/// The end of an endpoint under a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedUnder {
    /// The content.
    pub content: ContentTag,
    /// The endpoint.
    pub endpoint: EndpointTag,
}

/// What an instance has seen become of contents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// Endpoints that ended.
    pub ended: Vec<EndedUnder>,
    /// Contents that were answered whole.
    pub answered: Vec<ContentTag>,
}

impl Findings {
    /// True where there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.ended.is_empty() && self.answered.is_empty()
    }

    /// Adds what was seen later.
    pub fn append(&mut self, mut later: Findings) {
        self.ended.append(&mut later.ended);
        self.answered.append(&mut later.answered);
    }
}

/// What is held against one content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The endpoints that ended under it, latest last; none where it was cleared.
    endpoints: Vec<EndpointTag>,
    /// Log index of the last change.
    changed: u64,
    /// Instances have been told of it.
    told: bool,
}

/// A record as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    content: ContentTag,
    record: Record,
}

/// What the holder of an older state lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    index: u64,
    records: Vec<Told>,
}

/// All contents under which endpoints ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    records: BTreeMap<ContentTag, Record>,
    /// Log index of the last change that instances are told of.
    index: u64,
}

impl Quarantine {
    /// Log index of the last change that instances are told of.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// How many endpoints ended under `content`, as far as is known here; at most [`BOUND`].
    pub fn count(&self, content: ContentTag) -> usize {
        self.records.get(&content).map_or(0, |record| record.endpoints.len())
    }

    /// Log index of the last end of an endpoint under `content`, where it is in quarantine.
    pub fn refused_since(&self, content: ContentTag) -> Option<u64> {
        self.records.get(&content).filter(|record| record.is_refused()).map(|record| record.changed)
    }

    /// Contents in quarantine.
    pub fn refused(&self) -> impl Iterator<Item = ContentTag> {
        self.records.iter().filter(|(_, record)| record.is_refused()).map(|(content, _)| *content)
    }

    /// Contents under which endpoints ended, as far as is known here.
    pub fn suspected(&self) -> impl Iterator<Item = ContentTag> {
        self.records.iter().filter(|(_, record)| !record.endpoints.is_empty()).map(|(content, _)| *content)
    }

    /// Records findings at log index `index`. Returns whether instances are to be told.
    pub fn apply(&mut self, index: u64, findings: &Findings) -> bool {
        let before = self.index;
        for ended in &findings.ended {
            self.note_ended(index, ended);
        }
        for content in &findings.answered {
            self.clear(index, *content);
        }
        self.prune();
        self.index > before
    }

    fn note_ended(&mut self, index: u64, ended: &EndedUnder) {
        let record = self.records.entry(ended.content).or_default();
        if record.endpoints.contains(&ended.endpoint) {
            // Several requests of the content were under way there.
            return;
        }
        if record.is_refused() {
            record.endpoints.remove(0);
        }
        record.endpoints.push(ended.endpoint);
        record.changed = index;
        record.told |= record.endpoints.len() >= TOLD;
        if record.told {
            self.index = index;
        }
    }

    fn clear(&mut self, index: u64, content: ContentTag) {
        let Some(record) = self.records.get_mut(&content) else { return };
        if !record.told {
            self.records.remove(&content);
            return;
        }
        if record.endpoints.is_empty() {
            return;
        }
        record.endpoints.clear();
        record.changed = index;
        self.index = index;
    }

    fn prune(&mut self) {
        while self.records.len() > HELD_MOST {
            let first = self.records.iter().min_by_key(|(_, record)| (record.is_refused(), record.changed));
            let Some(content) = first.map(|(content, _)| *content) else { return };
            self.records.remove(&content);
        }
    }

    /// What the holder of the state as of `held` lacks; `None` where that is nothing.
    pub fn news_after(&self, held: u64) -> Option<QuarantineNews> {
        if held >= self.index {
            return None;
        }
        let lacks = |record: &Record| record.told && record.changed > held;
        let records = self.records.iter().filter(|(_, record)| lacks(record));
        let records = records.map(|(content, record)| Told { content: *content, record: record.clone() }).collect();
        Some(QuarantineNews { index: self.index, records })
    }

    /// Applies news, unless they are older than what is held. Returns whether they are newer.
    pub fn take(&mut self, news: QuarantineNews) -> bool {
        if news.index <= self.index {
            return false;
        }
        self.index = news.index;
        for told in news.records {
            self.records.insert(told.content, told.record);
        }
        self.prune();
        true
    }
}

impl Record {
    fn is_refused(&self) -> bool {
        self.endpoints.len() >= BOUND
    }
}
