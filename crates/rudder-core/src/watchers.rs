//! Watchers: the instances that send watch requests to this one, which is the leader or a relay. Tracks their listings,
//! the loads that they report and what they have been sent.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rudder_ledger::{Config, Document, Evacuations, Quarantine, Releases};
use rudder_model::{EndpointTag, InstanceId};
use rudder_route::shares::WorkReport;

use crate::{
    Effect, Listing, PeerMessage, Registry, RelayGroup, WatchReply, WatchRequest,
    delta_map::Version,
    document_history::{DocumentHistory, Update},
    joining::defer_time,
    limits::{LimitReport, Limits, PeerSync},
    loads::{self, Loads},
    pacer::Pacer,
    peer::Load,
    registry::RegistryDelta,
    subset::Scope,
    tree::Directory,
    work::{self, WorkTotals},
};

/// Maximum number of configuration deltas in one reply.
const MAX_DELTAS: usize = 200;
/// Minimum interval between notifications; updates in between share one.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which an update counts as in flight and is not sent again to the same watcher. When many instances start at
/// once, copies would delay each other.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// Share of the rate of pieces at which updates are sent: that is half of the link, and pieces are rare.
const UPDATE_SHARE: f64 = 1.5;
/// Largest rate of updates in bytes per second: coding takes time, too.
const MAX_UPDATE_RATE: u64 = 8 << 20;
/// Updates of up to this many bytes are not paced.
const SMALL_UPDATE: usize = 8 << 10;
/// Updates are sent while those before them take up to this long; well below [`RESEND_INTERVAL`].
const MAX_AHEAD: Duration = Duration::from_millis(150);
/// Longest time in which the leader sends all newcomers what they lack, without relays. Within it none of them is dropped, and
/// relays, which need an update of their own first, would hardly be faster.
const MAX_SERVING_TIME: Duration = Duration::from_millis(400);
/// Approximate encoded size of an entry of the directory or the registry.
const ENTRY_BYTES: usize = 100;

/// An instance that sends watch requests to this one.
#[derive(Clone, Debug)]
struct Watcher {
    listing: Listing,
    last_seen: Duration,
    /// Version of the document last sent to it, and the time.
    document: u64,
    document_at: Duration,
    /// Last updates of the directory and the registry sent to it.
    directory: Sent,
    registry: Sent,
    /// Rate limits already sent to it.
    limits: PeerSync,
    /// It holds a directory.
    has_directory: bool,
    /// Log index of the versions in service that it holds.
    releases: u64,
    /// Its own watchers and the version of that list, if it is a relay.
    group: Option<(u64, Vec<Listing>)>,
}

/// The last update sent to a watcher, and the version that the watcher held at that time.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    held: Version,
    at: Option<Duration>,
}

impl Sent {
    /// Returns whether a watcher that holds `held` may be sent an update: none from that version is in flight.
    fn may_send(&self, now: Duration, held: Version) -> bool {
        held != self.held || self.at.is_none_or(|at| now >= at + RESEND_INTERVAL)
    }
}

/// The watchers of this instance.
#[derive(Debug)]
pub struct Watchers {
    instances: BTreeMap<InstanceId, Watcher>,
    loads: Loads,
    work: WorkTotals,
    /// Changes whenever a watcher is added, removed or modified.
    version: u64,
    /// Older documents that watchers may still hold.
    documents: DocumentHistory,
    notified_at: Option<Duration>,
    /// An update arrived after the last notification.
    update_pending: bool,
    /// Paces large updates of the directory and the registry.
    pacer: Pacer,
}

/// The state that replies are made from: the leader's own, or a relay's copy.
#[derive(Clone, Debug)]
pub struct Source<'a> {
    /// The leader.
    pub leader: &'a InstanceId,
    /// Age of the proof that this state is current.
    pub age: Duration,
    /// The configuration objects.
    pub config: &'a Config,
    /// The directory of live instances.
    pub directory: &'a Directory,
    /// The configuration document.
    pub document: Option<&'a Document>,
    /// The registry of endpoints.
    pub registry: &'a Registry,
    /// The part of the registry that is withheld from the watcher's hall.
    pub scope: Option<Scope>,
    /// The watcher receives the complete registry regardless of the scope.
    pub unscoped: bool,
    /// Endpoints whose loads and rate limits are sent; `None` for all.
    pub load_tags: Option<Arc<HashSet<EndpointTag>>>,
    /// Quarantined contents.
    pub quarantine: &'a Quarantine,
    /// Halls whose endpoints receive no requests.
    pub evacuations: &'a Evacuations,
    /// Versions of endpoints' software in service.
    pub releases: &'a Releases,
    /// Loads of instances that are neither watchers nor watchers of watchers.
    pub remote_loads: &'a [Load],
    /// Work by organisation of the same instances.
    pub remote_work: &'a [WorkReport],
    /// Rate limits reported by endpoints.
    pub limits: &'a Limits,
    /// The agreed time of day, if known.
    pub time: Option<Duration>,
}

impl Watchers {
    /// Creates an empty set, at an instance that sends pieces of large messages at `rate` bytes per second.
    pub fn new(rate: u64) -> Watchers {
        Watchers {
            instances: BTreeMap::new(),
            loads: Loads::default(),
            work: WorkTotals::default(),
            version: 0,
            documents: DocumentHistory::default(),
            notified_at: None,
            update_pending: false,
            pacer: Pacer::new(((rate as f64 * UPDATE_SHARE) as u64).min(MAX_UPDATE_RATE), MAX_AHEAD),
        }
    }

    /// Replies to a request of a recorded watcher. A large document update is sent apart from the reply.
    pub fn reply(&mut self, now: Duration, mut watch: WatchRequest, group: u64, source: Source, out: &mut Vec<Effect>) {
        let name = watch.listing.name.clone();
        // Loads are needed by instances that accept callers, and by relays to pass them on.
        let send_loads = watch.loads.is_some() && (watch.listing.address.is_some() || watch.group.is_some());
        if let Some(loads) = watch.loads.take() {
            self.loads.record(now, &name, loads);
            self.work.record(now, &name, std::mem::take(&mut watch.work));
        }
        let loads = send_loads.then(|| {
            let mut loads = loads::merge(source.remote_loads, self.loads.total_excluding(&name));
            if let Some(tags) = &source.load_tags {
                loads.retain(|load| tags.contains(&load.endpoint) || load.is_of_service());
            }
            loads
        });
        let work =
            if send_loads { work::merge(source.remote_work, &self.work.total_excluding(&name)) } else { Vec::new() };
        let limits = if send_loads { self.limit_changes(now, &name, &source) } else { Vec::new() };
        let scope = source.scope.as_ref().filter(|_| !source.unscoped);
        let (directory_due, registry_due) = self.are_updates_due(now, &watch);
        let registry = source.registry.delta_since(watch.registry, &watch.listing.hall, scope);
        let directory = source.directory.delta_since(watch.directory).filter(|_| directory_due);
        let registry_entries = registry.as_ref().filter(|_| registry_due).map_or(0, |delta| delta.entries.len());
        let entries = registry_entries + directory.as_ref().map_or(0, |delta| delta.entries.len());
        let admitted = self.admit_update(now, entries * ENTRY_BYTES);
        let (directory, registry_due) = (directory.filter(|_| admitted), registry_due && admitted);
        let pending = registry
            .as_ref()
            .is_some_and(|delta| delta.has_changes() && !registry_due || delta.version < source.registry.version());
        let registry = registry.filter(|delta| registry_due || !delta.has_changes());
        let sends_registry = registry.as_ref().is_some_and(RegistryDelta::has_changes);
        self.record_sent(now, &watch, directory.is_some(), sends_registry);
        let update = self.document_for(now, &name, watch.document, source.document);
        let (document, large) = match update {
            Some(Update::Small(update)) => (Some(update), None),
            Some(Update::Large(packed)) => (None, Some(packed)),
            None => (None, None),
        };
        let deltas = source.config.deltas_after(watch.index, MAX_DELTAS);
        let complete = deltas.len() < MAX_DELTAS;
        let last = deltas.last().map_or(watch.index, |delta| delta.held.index);
        let reply = WatchReply {
            round: watch.round,
            leader: source.leader.clone(),
            age: source.age,
            requested_index: watch.index,
            // A relay may be behind the watcher.
            index: if complete { source.config.index.max(watch.index) } else { last },
            complete,
            deltas,
            directory,
            latest_document: source.document.map_or(0, |document| document.version),
            document,
            registry,
            pending,
            scope: source.scope,
            quarantine: source.quarantine.news_after(watch.quarantine),
            evacuations: source.evacuations.news_after(watch.evacuations),
            releases: source.releases.news_after(watch.releases),
            loads,
            limits,
            group,
            time: source.time,
            work,
        };
        out.push(Effect::Send { to: name.clone(), message: PeerMessage::WatchReply(Box::new(reply)) });
        if let Some(packed) = large {
            out.push(Effect::Send { to: name, message: PeerMessage::Document(packed) });
        }
    }

    /// Returns whether an update of about `bytes` may be sent now.
    fn admit_update(&mut self, now: Duration, bytes: usize) -> bool {
        if bytes <= SMALL_UPDATE {
            return true;
        }
        let admitted = self.pacer.wait(now) == Duration::ZERO;
        if admitted {
            self.pacer.record(now, bytes);
        }
        admitted
    }

    /// Returns the rate limits to send to a watcher.
    fn limit_changes(&mut self, now: Duration, name: &InstanceId, source: &Source) -> Vec<LimitReport> {
        let Some(held) = self.instances.get_mut(name) else { return Vec::new() };
        let mut changes = source.limits.all_changes(now, &mut held.limits);
        if let Some(tags) = &source.load_tags {
            changes.retain(|report| tags.contains(&report.endpoint));
        }
        changes
    }

    /// Returns whether updates of the directory and of the registry may be sent to a watcher.
    fn are_updates_due(&self, now: Duration, watch: &WatchRequest) -> (bool, bool) {
        let Some(held) = self.instances.get(&watch.listing.name) else { return (true, true) };
        (held.directory.may_send(now, watch.directory), held.registry.may_send(now, watch.registry))
    }

    fn record_sent(&mut self, now: Duration, watch: &WatchRequest, directory: bool, registry: bool) {
        let Some(held) = self.instances.get_mut(&watch.listing.name) else { return };
        held.has_directory = watch.directory > 0;
        held.releases = watch.releases;
        if directory {
            held.directory = Sent { held: watch.directory, at: Some(now) };
        }
        if registry {
            held.registry = Sent { held: watch.registry, at: Some(now) };
        }
    }

    /// Records a watcher. Returns whether it is new or its listing has changed.
    pub fn record(&mut self, now: Duration, listing: &Listing) -> bool {
        let known = self.instances.get_mut(&listing.name).filter(|held| held.listing.start == listing.start);
        let Some(held) = known else {
            let watcher = Watcher {
                listing: listing.clone(),
                last_seen: now,
                document: 0,
                document_at: now,
                directory: Sent::default(),
                registry: Sent::default(),
                limits: PeerSync::default(),
                has_directory: false,
                releases: 0,
                group: None,
            };
            self.instances.insert(listing.name.clone(), watcher);
            self.version += 1;
            return true;
        };
        held.last_seen = now.max(held.last_seen);
        if held.listing == *listing {
            return false;
        }
        held.listing = listing.clone();
        self.version += 1;
        true
    }

    /// Returns whether this instance can soon have sent `entries` of the directory and the registry to each of `count` watchers.
    pub(crate) fn can_serve(&self, count: usize, entries: usize) -> bool {
        self.pacer.time_for(count * entries * ENTRY_BYTES) <= MAX_SERVING_TIME
    }

    /// Returns the time after which a watcher that holds no directory is to ask again while this instance sends it to others.
    /// The watcher counts as live until then.
    pub(crate) fn defer(&mut self, now: Duration, watch: &WatchRequest) -> Option<Duration> {
        let wait = self.pacer.wait(now);
        if watch.directory > 0 || wait == Duration::ZERO {
            return None;
        }
        let after = wait + defer_time(watch, self.instances.len());
        self.record(now + after, &watch.listing);
        Some(after)
    }

    /// Returns whether a watcher holds a directory, as the last of its requests that was answered told.
    pub(crate) fn holds_directory(&self, name: &InstanceId) -> bool {
        self.instances.get(name).is_some_and(|held| held.has_directory)
    }

    /// Returns whether a watcher holds the versions in service as of log index `index`, as its last request told.
    pub(crate) fn holds_releases(&self, listing: &Listing, index: u64) -> bool {
        let held = self.instances.get(&listing.name).filter(|held| held.listing.start == listing.start);
        held.is_some_and(|held| held.releases >= index)
    }

    /// Records the group of a relay. Returns its version and members, if the members of that version are held.
    pub fn record_group(&mut self, name: &InstanceId, group: Option<&RelayGroup>) -> Option<&(u64, Vec<Listing>)> {
        let held = self.instances.get_mut(name)?;
        let Some(group) = group else {
            held.group = None;
            return None;
        };
        if let Some(members) = &group.members {
            held.group = Some((group.version, members.clone()));
        }
        held.group.as_ref().filter(|(version, _)| *version == group.version)
    }

    /// Returns the document update for a watcher that holds an older version, unless one is in flight.
    fn document_for(
        &mut self,
        now: Duration,
        name: &InstanceId,
        held: u64,
        newest: Option<&Document>,
    ) -> Option<Update> {
        self.documents.record(newest?);
        let newest = newest.filter(|newest| newest.version > held)?;
        if let Some(watcher) = self.instances.get_mut(name) {
            if watcher.document == newest.version && now < watcher.document_at + RESEND_INTERVAL {
                return None;
            }
            (watcher.document, watcher.document_at) = (newest.version, now);
        }
        Some(self.documents.update_from(held, newest))
    }

    /// Drops watchers not seen for `timeout` and outdated loads.
    pub fn age(&mut self, now: Duration, timeout: Duration) {
        let before = self.instances.len();
        self.instances.retain(|_, watcher| now < watcher.last_seen + timeout);
        if self.instances.len() != before {
            self.version += 1;
        }
        self.loads.expire(now);
        self.work.expire(now);
    }

    /// Returns the watchers as a relay group, without its members if the leader already holds version `known`.
    pub fn to_group(&self, known: u64) -> Option<RelayGroup> {
        if self.instances.is_empty() {
            return None;
        }
        let members = || self.instances.values().map(|watcher| watcher.listing.clone()).collect();
        Some(RelayGroup { version: self.version, members: (known != self.version).then(members) })
    }

    /// Returns the loads of all watchers and `own` combined.
    pub fn total_loads(&self, own: &[Load]) -> Vec<Load> {
        loads::merge(own, self.loads.total())
    }

    /// Returns the work of all watchers and `own` combined.
    pub fn total_work(&self, own: &[WorkReport]) -> Vec<WorkReport> {
        work::merge(own, &self.work.total())
    }

    /// Returns the number of in-flight requests at the endpoint `tag` over all instances.
    pub fn calls_at(&self, tag: EndpointTag) -> u32 {
        self.loads.calls_at(tag)
    }

    /// Notifies all watchers but `except` of an update, delayed by up to `NOTIFY_INTERVAL` after the last
    /// notification.
    pub fn notify(&mut self, now: Duration, except: Option<&InstanceId>, out: &mut Vec<Effect>) {
        if self.notified_at.is_some_and(|at| now < at + NOTIFY_INTERVAL) {
            self.update_pending = true;
            return;
        }
        (self.notified_at, self.update_pending) = (Some(now), false);
        for name in self.instances.keys().filter(|name| Some(*name) != except) {
            out.push(Effect::Send { to: name.clone(), message: PeerMessage::Notify });
        }
    }

    /// Sends a delayed notification.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.update_pending {
            self.notify(now, None, out);
        }
    }

    /// Forgets all watchers and loads.
    pub fn clear(&mut self) {
        self.instances.clear();
        (self.loads, self.work) = (Loads::default(), WorkTotals::default());
        self.version += 1;
        (self.notified_at, self.update_pending) = (None, false);
        self.pacer.clear();
    }
}
