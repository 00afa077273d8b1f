//! Those who ask this instance for news, at the leader and at relays alike: who they are, the work they tell, and what
//! they have been sent.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rudder_ledger::{Config, Document, Evacuations, Quarantine};
use rudder_model::{EndpointTag, InstanceId};

use crate::{
    Effect, Group, Listing, PeerMessage, Registry, Watch, Watched,
    delta_map::Version,
    document_history::DocumentHistory,
    limits::{LimitReport, Limits, PeerSync},
    loads::{self, Loads},
    peer::{DocumentNews, Load},
    registry::RegistryDelta,
    subset::Scope,
    tree::Directory,
};

/// Deltas in one answer.
const DELTAS: usize = 200;
/// Time between two rounds of notices: what comes in between is told in one.
const NOTIFY_PAUSE: Duration = Duration::from_millis(50);

/// What an asker lacks is not sent to it again within this time: it is on its way, and in a start of many
/// instances the copies would hold up each other.
const RESEND: Duration = Duration::from_millis(400);

/// One that asks.
#[derive(Clone, Debug)]
struct Watcher {
    listing: Listing,
    seen: Duration,
    /// The document it was sent last, and when.
    document: u64,
    document_at: Duration,
    /// What it held of directory and registry when it was sent more of them, and when.
    directory: Sent,
    registry: Sent,
    /// What of the limits it was told.
    limits: PeerSync,
    /// Those who ask it, and the version of that list.
    group: Option<(u64, Vec<Listing>)>,
}

/// What was sent to one that held this version.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    held: Version,
    at: Option<Duration>,
}

impl Sent {
    /// True where the holder of `held` may be sent what it lacks: nothing that it still lacks is on its way.
    fn may_send(&self, now: Duration, held: Version) -> bool {
        held != self.held || self.at.is_none_or(|at| now >= at + RESEND)
    }
}

/// All that ask.
#[derive(Debug, Default)]
pub struct Watchers {
    asking: BTreeMap<InstanceId, Watcher>,
    loads: Loads,
    /// Changes with the members or with what they are.
    version: u64,
    /// Documents that askers may still hold.
    past: DocumentHistory,
    notified: Option<Duration>,
    /// News has come since the last notice.
    news: bool,
}

/// What answers are made from: the leader's own state, or a relay's copy of it.
#[derive(Clone, Debug)]
pub struct Source<'a> {
    /// Who leads.
    pub leader: &'a InstanceId,
    /// How old the proof is that the rest is the newest.
    pub age: Duration,
    /// The objects.
    pub config: &'a Config,
    /// Live instances.
    pub directory: &'a Directory,
    /// The configuration document.
    pub document: Option<&'a Document>,
    /// Endpoints.
    pub registry: &'a Registry,
    /// What of them the asker's hall is not told of.
    pub scope: Option<Scope>,
    /// The asker is told everything all the same.
    pub whole: bool,
    /// The endpoints whose loads the asker is told; all where there are none.
    pub tags: Option<Arc<HashSet<EndpointTag>>>,
    /// Contents under which endpoints ended.
    pub quarantine: &'a Quarantine,
    /// Halls whose endpoints get nothing.
    pub evacuations: &'a Evacuations,
    /// Work of instances that neither ask here nor ask those who do.
    pub others: &'a [Load],
    /// Rate limits that endpoints name.
    pub limits: &'a Limits,
    /// The agreed time of day, where it is known.
    pub time: Option<Duration>,
}

impl Watchers {
    /// Answers a question; who asks has been noted.
    pub fn answer(&mut self, now: Duration, mut watch: Watch, group: u64, source: Source) -> Watched {
        let name = watch.listing.name.clone();
        // Only who takes callers chooses among endpoints, and relays pass the loads on.
        let told = watch.loads.is_some() && (watch.listing.address.is_some() || watch.group.is_some());
        if let Some(loads) = watch.loads.take() {
            self.loads.record(now, &name, loads);
        }
        let loads = told.then(|| {
            let mut loads = loads::merge(source.others, self.loads.total_excluding(&name));
            if let Some(tags) = &source.tags {
                loads.retain(|load| tags.contains(&load.endpoint));
            }
            loads
        });
        let limits = if told { self.limit_news(now, &name, &source) } else { Vec::new() };
        let told = source.scope.as_ref().filter(|_| !source.whole);
        let (directory_due, registry_due) = self.are_due(now, &watch);
        let registry = source.registry.delta_since(watch.registry, &watch.listing.hall, told);
        let pending = registry
            .as_ref()
            .is_some_and(|news| news.has_changes() && !registry_due || news.version < source.registry.version());
        let registry = registry.filter(|news| registry_due || !news.has_changes());
        let directory = source.directory.delta_since(watch.directory).filter(|_| directory_due);
        let tells = registry.as_ref().is_some_and(RegistryDelta::has_changes);
        self.note_sent(now, &watch, directory.is_some(), tells);
        let deltas = source.config.deltas_after(watch.index, DELTAS);
        let complete = deltas.len() < DELTAS;
        let last = deltas.last().map_or(watch.index, |delta| delta.held.index);
        Watched {
            round: watch.round,
            leader: source.leader.clone(),
            age: source.age,
            asked: watch.index,
            // A relay may hold less than the asker, who then learns nothing.
            index: if complete { source.config.index.max(watch.index) } else { last },
            complete,
            deltas,
            directory,
            newest: source.document.map_or(0, |document| document.version),
            document: self.document_for(now, &name, watch.document, source.document),
            registry,
            pending,
            scope: source.scope,
            quarantine: source.quarantine.news_after(watch.quarantine),
            evacuations: source.evacuations.news_after(watch.evacuations),
            loads,
            limits,
            group,
            time: source.time,
        }
    }

    /// What the asker is told of the limits of the endpoints that it is told of.
    fn limit_news(&mut self, now: Duration, name: &InstanceId, source: &Source) -> Vec<LimitReport> {
        let Some(held) = self.asking.get_mut(name) else { return Vec::new() };
        let mut news = source.limits.all_changes(now, &mut held.limits);
        if let Some(tags) = &source.tags {
            news.retain(|report| tags.contains(&report.endpoint));
        }
        news
    }

    /// Whether the asker may be sent what it lacks of the directory and of the registry.
    fn are_due(&self, now: Duration, watch: &Watch) -> (bool, bool) {
        let Some(held) = self.asking.get(&watch.listing.name) else { return (true, true) };
        (held.directory.may_send(now, watch.directory), held.registry.may_send(now, watch.registry))
    }

    fn note_sent(&mut self, now: Duration, watch: &Watch, directory: bool, registry: bool) {
        let Some(held) = self.asking.get_mut(&watch.listing.name) else { return };
        if directory {
            held.directory = Sent { held: watch.directory, at: Some(now) };
        }
        if registry {
            held.registry = Sent { held: watch.registry, at: Some(now) };
        }
    }

    /// Records that `listing` asks. Returns whether anything of it has changed.
    pub fn note(&mut self, now: Duration, listing: &Listing) -> bool {
        let known = self.asking.get_mut(&listing.name).filter(|held| held.listing.start == listing.start);
        let Some(held) = known else {
            let fresh = Watcher {
                listing: listing.clone(),
                seen: now,
                document: 0,
                document_at: now,
                directory: Sent::default(),
                registry: Sent::default(),
                limits: PeerSync::default(),
                group: None,
            };
            self.asking.insert(listing.name.clone(), fresh);
            self.version += 1;
            return true;
        };
        held.seen = now;
        if held.listing == *listing {
            return false;
        }
        held.listing = listing.clone();
        self.version += 1;
        true
    }

    /// Records the group of a relay. Returns the version that it tells with its members, where they are held.
    pub fn note_group(&mut self, name: &InstanceId, group: Option<&Group>) -> Option<&(u64, Vec<Listing>)> {
        let held = self.asking.get_mut(name)?;
        let Some(group) = group else {
            held.group = None;
            return None;
        };
        if let Some(members) = &group.members {
            held.group = Some((group.version, members.clone()));
        }
        held.group.as_ref().filter(|(version, _)| *version == group.version)
    }

    /// What the asker is sent of the document, where it holds an older one and none is on its way to it.
    fn document_for(
        &mut self,
        now: Duration,
        name: &InstanceId,
        held: u64,
        newest: Option<&Document>,
    ) -> Option<DocumentNews> {
        self.past.record(newest?);
        let newest = newest.filter(|newest| newest.version > held)?;
        if let Some(watcher) = self.asking.get_mut(name) {
            if watcher.document == newest.version && now < watcher.document_at + RESEND {
                return None;
            }
            (watcher.document, watcher.document_at) = (newest.version, now);
        }
        Some(self.past.to_news(held, newest))
    }

    /// Drops those not heard for `gone` and work told too long ago.
    pub fn age(&mut self, now: Duration, gone: Duration) {
        let before = self.asking.len();
        self.asking.retain(|_, watcher| now < watcher.seen + gone);
        if self.asking.len() != before {
            self.version += 1;
        }
        self.loads.expire(now);
    }

    /// Who they are, for the leader; all members unless it holds `known` already.
    pub fn to_group(&self, known: u64) -> Option<Group> {
        if self.asking.is_empty() {
            return None;
        }
        let members = || self.asking.values().map(|watcher| watcher.listing.clone()).collect();
        Some(Group { version: self.version, members: (known != self.version).then(members) })
    }

    /// The work of all that ask, and `own`.
    pub fn join_loads(&self, own: &[Load]) -> Vec<Load> {
        loads::merge(own, self.loads.total())
    }

    /// Requests under way at the endpoint `tag`, over all instances.
    pub fn calls_at(&self, tag: EndpointTag) -> u32 {
        self.loads.calls_at(tag)
    }

    /// Tells all but `except` to ask for news, now or, where they were told just before, at the next tick after a pause.
    pub fn notify(&mut self, now: Duration, except: Option<&InstanceId>, out: &mut Vec<Effect>) {
        if self.notified.is_some_and(|notified| now < notified + NOTIFY_PAUSE) {
            self.news = true;
            return;
        }
        (self.notified, self.news) = (Some(now), false);
        for name in self.asking.keys().filter(|name| Some(*name) != except) {
            out.push(Effect::Send { to: name.clone(), message: PeerMessage::Notify });
        }
    }

    /// Tells those who ask of news that came during the pause.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.news {
            self.notify(now, None, out);
        }
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        let past = std::mem::take(&mut self.past);
        *self = Watchers { version: self.version + 1, past, ..Watchers::default() };
    }
}
