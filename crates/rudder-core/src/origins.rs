//! The software versions that began streams. Events of two versions of an endpoint's software do not fit together, so a
//! stream that breaks off may only go on at the version that began it, also at an instance that has never seen it.
//!
//! The instance that passes on the first event of a stream remembers its version. While several versions of a service are
//! known, it also tells two holders, chosen by rendezvous hashing over the live instances, in different halls if there
//! are several; when the second version becomes known, it tells them of the streams before. Whoever is asked to let a
//! stream go on asks the holders. The state is soft and kept only as long as a caller may take a stream up.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rudder_model::{InstanceId, id};
use serde::{Deserialize, Serialize};

use crate::{Effect, Me, PeerMessage, registry::Registry, tree::Directory, view::View};

/// How long the origin of a stream is remembered: longer than any caller waits.
const RETENTION: Duration = Duration::from_secs(60);
/// Most streams remembered, which bounds the memory to a few megabytes.
const MAX_STREAMS: usize = 50_000;
/// How long to wait for the holders.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Instances that remember a stream beside the one that began it.
const HOLDERS: usize = 2;
/// Interval between removals of old entries.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Identifies a stream by the digest of the id of the attempt that began it.
pub type StreamTag = u64;

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamTag,
    /// The service.
    pub service: Arc<str>,
    /// The version of the endpoint's software.
    pub version: Arc<str>,
}

/// What is known of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This version.
    Version(Arc<str>),
    /// Its service has had one version for as long as the stream can have been running.
    Only,
    /// One of several versions.
    Unknown,
}

/// What an answer about an origin rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Versions of the service that are known here.
    pub versions: usize,
    /// Holders that were asked.
    pub asked: usize,
    /// Holders that answered.
    pub answered: usize,
}

#[derive(Debug)]
struct Remembered {
    origin: StreamOrigin,
    at: Duration,
    /// It was begun here, and its holders are not told yet.
    untold: bool,
}

/// A question that the holders have not answered.
#[derive(Debug)]
struct Question {
    service: Arc<str>,
    until: Duration,
    asked: usize,
    answered: usize,
}

/// The origins of streams known to this instance.
#[derive(Debug, Default)]
pub struct Origins {
    streams: BTreeMap<StreamTag, Remembered>,
    questions: BTreeMap<u64, Question>,
    pruned_at: Duration,
}

impl Origins {
    /// Records a stream whose first event was passed on here.
    pub(crate) fn record_begun(
        &mut self,
        now: Duration,
        origin: StreamOrigin,
        (me, view): (&Me, &View),
        out: &mut Vec<Effect>,
    ) {
        let untold = !has_several_versions(&view.registry, &origin.service);
        if !untold {
            tell(me, &view.directory, vec![origin.clone()], out);
        }
        self.remember(now, origin, untold);
    }

    /// Records streams of which this instance is a holder.
    pub(crate) fn record_told(&mut self, now: Duration, origins: Vec<StreamOrigin>) {
        for origin in origins {
            self.remember(now, origin, false);
        }
    }

    fn remember(&mut self, now: Duration, origin: StreamOrigin, untold: bool) {
        if self.streams.len() < MAX_STREAMS {
            self.streams.entry(origin.stream).or_insert(Remembered { origin, at: now, untold });
        }
    }

    /// Returns the version that began a stream, as an answer to another instance.
    pub(crate) fn version_of(&self, stream: StreamTag) -> Option<Arc<str>> {
        self.streams.get(&stream).map(|held| held.origin.version.clone())
    }

    /// Looks up what began a stream, and asks its holders if it is not known here.
    pub(crate) fn ask(
        &mut self,
        now: Duration,
        (ticket, stream, service): (u64, StreamTag, Arc<str>),
        (me, view): (&Me, &View),
        out: &mut Vec<Effect>,
    ) {
        if let Some(version) = self.version_of(stream) {
            let evidence = Evidence { versions: count_versions(&view.registry, &service), ..Evidence::default() };
            out.push(Effect::OriginFound { ticket, origin: Origin::Version(version), evidence });
            return;
        }
        let holders = holders_of(stream, me, &view.directory);
        self.questions
            .insert(ticket, Question { service, until: now + ANSWER_TIMEOUT, asked: holders.len(), answered: 0 });
        if holders.is_empty() {
            self.give_up(ticket, &view.registry, out);
        }
        for to in holders {
            out.push(Effect::Send { to, message: PeerMessage::AskOrigin { ticket, start: me.start, stream } });
        }
    }

    /// Handles a holder's answer.
    pub(crate) fn on_answer(
        &mut self,
        ticket: u64,
        version: Option<Arc<str>>,
        registry: &Registry,
        out: &mut Vec<Effect>,
    ) {
        let Some(question) = self.questions.get_mut(&ticket) else { return };
        question.answered += 1;
        if let Some(version) = version {
            let evidence = question.evidence(registry);
            self.questions.remove(&ticket);
            out.push(Effect::OriginFound { ticket, origin: Origin::Version(version), evidence });
        } else if question.answered >= question.asked {
            self.give_up(ticket, registry, out);
        }
    }

    /// Answers a question to which no holder knows the answer.
    fn give_up(&mut self, ticket: u64, registry: &Registry, out: &mut Vec<Effect>) {
        let Some(question) = self.questions.remove(&ticket) else { return };
        let evidence = question.evidence(registry);
        let origin = if evidence.versions > 1 { Origin::Unknown } else { Origin::Only };
        out.push(Effect::OriginFound { ticket, origin, evidence });
    }

    /// Ends questions that nobody has answered and drops old entries.
    pub(crate) fn tick(&mut self, now: Duration, view: &View, out: &mut Vec<Effect>) {
        let late: Vec<u64> =
            self.questions.iter().filter(|(_, question)| now >= question.until).map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            self.give_up(ticket, &view.registry, out);
        }
        if now >= self.pruned_at + PRUNE_INTERVAL {
            self.pruned_at = now;
            self.streams.retain(|_, held| now < held.at + RETENTION);
        }
    }

    /// Tells the holders of untold streams whose service has several versions by now.
    pub(crate) fn on_registry(&mut self, (me, view): (&Me, &View), out: &mut Vec<Effect>) {
        let services: BTreeSet<Arc<str>> =
            self.streams.values().filter(|held| held.untold).map(|held| held.origin.service.clone()).collect();
        for service in services.into_iter().filter(|service| has_several_versions(&view.registry, service)) {
            let untold = self.streams.values_mut().filter(|held| held.untold && held.origin.service == service);
            let origins = untold.map(|held| {
                held.untold = false;
                held.origin.clone()
            });
            tell(me, &view.directory, origins.collect(), out);
        }
    }
}

impl Question {
    fn evidence(&self, registry: &Registry) -> Evidence {
        let versions = count_versions(registry, &self.service);
        Evidence { versions, asked: self.asked, answered: self.answered }
    }
}

/// Returns whether endpoints of several versions of a service are known, those that have ended lately included.
fn has_several_versions(registry: &Registry, service: &str) -> bool {
    count_versions(registry, service) > 1
}

/// Returns the number of versions of a service whose endpoints are known, those that have ended lately included.
fn count_versions(registry: &Registry, service: &str) -> usize {
    let versions = registry.iter().filter(|held| *held.service == *service).map(|held| &held.version);
    versions.collect::<BTreeSet<_>>().len()
}

/// Tells the holders of streams, in one message to each.
fn tell(me: &Me, directory: &Directory, origins: Vec<StreamOrigin>, out: &mut Vec<Effect>) {
    let mut told: BTreeMap<InstanceId, Vec<StreamOrigin>> = BTreeMap::new();
    for origin in origins {
        for holder in holders_of(origin.stream, me, directory) {
            told.entry(holder).or_default().push(origin.clone());
        }
    }
    for (to, origins) in told {
        out.push(Effect::Send { to, message: PeerMessage::StreamsBegun(origins) });
    }
}

/// Returns the holders of a stream without this instance: the first by rendezvous hashing, and the first of another hall
/// if there is one.
fn holders_of(stream: StreamTag, me: &Me, directory: &Directory) -> Vec<InstanceId> {
    let key = id::number_key(stream);
    let weight = |name: &str| id::rendezvous_key(key, id::node_key(name));
    let live = || directory.values().filter(|listing| !listing.stopping);
    let Some(first) = live().max_by_key(|listing| weight(&listing.name)) else { return Vec::new() };
    let others = live().filter(|listing| listing.name != first.name);
    let second = others.max_by_key(|listing| (listing.hall != first.hall, weight(&listing.name)));
    let holders = [Some(first), second].into_iter().flatten().take(HOLDERS);
    holders.filter(|listing| listing.name != me.name).map(|listing| listing.name.clone()).collect()
}
