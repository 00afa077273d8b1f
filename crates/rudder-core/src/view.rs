//! The view: the configuration and directory in force at this instance, and the proof of their freshness.
//!
//! Every instance, the leader included, learns both through watch requests to the leader or to a relay. A leader
//! replies only while it holds its lease, so a reply proves that the configuration was complete when the request was
//! *sent*: a paused leader or a late reply cannot make old configuration look fresh. A relay reports the age of its own
//! proof at the time of its reply. As the reply is later than the request, the proof held at the time of the request
//! minus that age. A relay that is paused or partitioned reports a greater age or does not reply.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rudder_events::What;
use rudder_ledger::{Config, Delta, Document, Evacuations, Quarantine, QuarantineNews, Releases, Software, Stage};
use rudder_model::{
    Endpoint, EndpointId, EndpointTag, HallId, InstanceId, Kind, Mark, Object, OrgId, Promise, Promises, RequestId, id,
};
use rudder_route::shares::WorkReport;

use crate::{
    Effect, Listing, Me, Options, PeerMessage, RelayGroup, WatchReply, WatchRequest,
    clock::Clock,
    limits::{LimitReport, Limits, PeerSync},
    peer::{DirectoryDelta, DocumentUpdate, Load},
    registry::{Change, Phase, Registration, Registry},
    subset::Scope,
    tree::Directory,
    upstream::{Target, Upstream},
    watchers::{Source, Watchers},
};

/// Maximum number of instance names in one log event.
const MAX_LOGGED_NAMES: usize = 4;
/// Maximum number of versions in one log event.
const MAX_LOGGED_VERSIONS: usize = 16;
/// Interval between load exchanges for each endpoint, which limits them to 10,000 entries per second in each direction.
const LOAD_INTERVAL_PER_ENDPOINT: Duration = Duration::from_micros(100);
/// Factor on that interval when there are relays, so that loads for 20 watchers fit a relay's link of 10 Mbit/s.
const RELAY_LOAD_FACTOR: u32 = 8;
/// Upper bound of the interval; must stay below the time for which reported loads are kept.
const MAX_LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between removals of rate limits of unknown endpoints.
const LIMIT_PRUNE_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between log lines of an instance that knows no leader.
const SEARCH_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of heartbeats in one request: some 40 KB. The others follow in the next ones.
const MAX_HEARTBEATS: usize = 256;
/// A relay whose replies prove nothing more recent than this is skipped.
const MAX_RELAY_PROOF_AGE: Duration = Duration::from_millis(1500);

/// The configuration and directory in force at this instance.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration.
    pub config: Config,
    /// Index from key digests to organisations.
    keys: BTreeSet<(String, OrgId)>,
    /// Live instances, by name.
    pub directory: Directory,
    /// Time as of which the configuration is proved to be complete.
    proved: Option<Duration>,
    /// Time as of which the registry of endpoints is proved to be complete.
    registry_proved: Option<Duration>,
    /// Sending time of the latest request that was answered.
    last_answered: Option<Duration>,
    pub(crate) upstream: Upstream,
    was_fresh: bool,
    /// The configuration document in force.
    pub document: Option<Document>,
    /// A patch did not apply, so the next request asks for the complete document.
    needs_whole_document: bool,
    /// Endpoints that registered themselves.
    pub registry: Registry,
    /// Quarantined contents: those being processed when endpoints failed.
    pub quarantine: Arc<Quarantine>,
    /// Halls whose endpoints receive no requests.
    pub evacuations: Arc<Evacuations>,
    /// Versions of endpoints' software that may have begun streams.
    pub releases: Arc<Releases>,
    /// Time as of which these are proved to be complete.
    releases_proved: Option<Duration>,
    /// Loads of all other instances.
    pub remote_loads: Vec<Load>,
    /// Work by organisation of all other instances.
    pub remote_work: Vec<WorkReport>,
    /// Incremented on every change of the directory, document, registry, quarantine, evacuations or releases.
    pub revision: u64,
    /// Incremented on every change of `remote_loads`.
    pub load_revision: u64,
    /// Heartbeats received here that the leader has not confirmed.
    unconfirmed: BTreeMap<EndpointId, Unconfirmed>,
    /// Number of heartbeats received here.
    heartbeat_count: u64,
    /// Loads of this instance.
    own_loads: Vec<Load>,
    /// Work of this instance by organisation.
    own_work: Vec<WorkReport>,
    /// Time of the last report of loads and work.
    loads_sent_at: Option<Duration>,
    /// Rate limits reported by endpoints.
    pub limits: Limits,
    /// Rate limits already reported upstream.
    limits_sent: PeerSync,
    /// Time of the last removal of rate limits.
    limits_pruned_at: Duration,
    /// Time as of which `remote_loads` holds.
    remote_loads_at: Option<Duration>,
    /// The agreed time of day.
    pub clock: Clock,
    /// Time of the last log line of the search for a leader.
    search_logged_at: Option<Duration>,
}

/// The effect of a watch reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Changes {
    /// The configuration or directory changed.
    pub changed: bool,
    /// The change must be passed on to watchers immediately.
    pub urgent: bool,
}

/// A heartbeat received here that the leader has not confirmed.
#[derive(Debug)]
struct Unconfirmed {
    registration: Registration,
    /// Time of arrival.
    at: Duration,
    /// The first request that carried it.
    round: Option<u64>,
    /// Order of arrival, which usually tells apart two lives of one name.
    order: u64,
}

impl View {
    /// Returns whether the configuration is proved to be at most `bound` old.
    pub fn is_fresh(&self, now: Duration, bound: Duration) -> bool {
        self.proved.is_some_and(|proved| now < proved + bound)
    }

    /// Returns whether other instances still list this one as live, which they do for at least `timeout` after each of
    /// its requests that was answered.
    pub(crate) fn is_listed(&self, now: Duration, timeout: Duration) -> bool {
        self.last_answered.is_some_and(|answered| now < answered + timeout)
    }

    /// Returns the target of messages that only the leader can answer.
    pub fn to_leader(&self) -> Option<InstanceId> {
        self.leader().cloned().or_else(|| self.upstream.pick_candidate(&self.leader_candidates()))
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.upstream.leader()
    }

    /// Returns the time as of which the configuration is proved to be complete.
    pub fn proved(&self) -> Option<Duration> {
        self.proved
    }

    /// Returns the time as of which the registry of endpoints is proved to be complete. Unlike the configuration's, this
    /// proof does not wait for a document that is under way.
    pub fn registry_proved(&self) -> Option<Duration> {
        self.registry_proved
    }

    /// Returns the time as of which the versions in service are proved to be complete.
    pub(crate) fn releases_proved(&self) -> Option<Duration> {
        self.releases_proved
    }

    /// Returns whether the versions in service are proved to be complete as of `lease` before `at`.
    pub fn knows_releases(&self, at: Duration, lease: Duration) -> bool {
        self.releases_proved.is_some_and(|proved| at < proved + lease)
    }

    /// Sets the instances named in the settings as first contacts.
    pub fn set_seeds(&mut self, seeds: Vec<InstanceId>) {
        self.upstream.seeds = seeds;
    }

    /// Returns the instances named in the settings as first contacts.
    pub(crate) fn seeds(&self) -> &[InstanceId] {
        &self.upstream.seeds
    }

    /// Returns the instances that may know the leader: the seeds, then those known to have a disk.
    fn leader_candidates(&self) -> Vec<InstanceId> {
        let mut candidates = self.upstream.seeds.clone();
        for listing in self.directory.values().filter(|listing| listing.replica.is_some()) {
            if !candidates.contains(&listing.name) {
                candidates.push(listing.name.clone());
            }
        }
        candidates
    }

    /// Records a heartbeat received by this instance or by one of its watchers.
    pub(crate) fn record_heartbeat(&mut self, now: Duration, registration: Registration) {
        let change = self.registry.record_heartbeat(now, &registration);
        if change != Change::None {
            self.revision += 1;
            self.upstream.request_after_reply();
        }
        self.heartbeat_count += 1;
        let unconfirmed = Unconfirmed { registration, at: now, round: None, order: self.heartbeat_count };
        self.unconfirmed.insert(unconfirmed.registration.endpoint.clone(), unconfirmed);
    }

    /// Drops heartbeats that no reply has confirmed for `timeout`. Their endpoints have sent others since.
    pub(crate) fn expire_unconfirmed(&mut self, now: Duration, timeout: Duration) {
        self.unconfirmed.retain(|_, held| now < held.at + timeout);
    }

    /// Returns the time as of which the loads of other instances hold.
    pub fn remote_loads_at(&self) -> Option<Duration> {
        self.remote_loads_at
    }

    /// Returns whether a load exchange is due. The interval grows with the number of loads, which bounds the bandwidth.
    fn is_load_exchange_due(&self, now: Duration, options: &Options) -> bool {
        let factor = if options.tree.has_relays(&self.directory) { RELAY_LOAD_FACTOR } else { 1 };
        let interval = (LOAD_INTERVAL_PER_ENDPOINT * factor * self.remote_loads.len() as u32).min(MAX_LOAD_INTERVAL);
        self.loads_sent_at.is_none_or(|sent| now >= sent + interval)
    }

    /// Sets the loads of this instance.
    pub(crate) fn set_loads(&mut self, loads: Vec<Load>) {
        self.own_loads = loads;
    }

    /// Sets the work of this instance by organisation.
    pub(crate) fn set_work(&mut self, work: Vec<WorkReport>) {
        self.own_work = work;
    }

    /// Records rate limits that endpoints reported to a watcher.
    pub(crate) fn record_limits(&mut self, now: Duration, reports: &[LimitReport]) {
        for report in reports {
            self.limits.record_own(now, *report);
        }
    }

    /// Drops rate limits of endpoints that are no longer registered, at most once per [`LIMIT_PRUNE_INTERVAL`].
    pub(crate) fn prune_limits(&mut self, now: Duration) {
        if self.limits.is_empty() || now < self.limits_pruned_at + LIMIT_PRUNE_INTERVAL {
            return;
        }
        self.limits_pruned_at = now;
        let known: BTreeSet<EndpointTag> = self.registry.iter().map(|held| id::endpoint_tag(&held.endpoint)).collect();
        self.limits.expire(now, |endpoint| known.contains(&endpoint));
    }

    /// Returns the instance that schedules the pool of `model` in `hall`, chosen by rendezvous hashing over the live
    /// instances of the hall, or of all halls if it has none.
    pub fn home(&self, hall: &HallId, model: &str) -> Option<InstanceId> {
        let live = self.directory.values().filter(|listing| !listing.stopping && !self.is_marked(&listing.name));
        let key = format!("{hall}/{model}");
        let rank = |listing: &&Listing| (listing.hall == *hall, id::rendezvous(&key, &listing.name));
        live.max_by_key(rank).map(|listing| listing.name.clone())
    }

    /// Returns whether an operator's mark takes the instance out of use.
    pub fn is_marked(&self, name: &str) -> bool {
        self.mark_of(name) != Mark::None
    }

    /// Returns the operator's mark on an instance.
    pub fn mark_of(&self, name: &str) -> Mark {
        match self.config.get(Kind::Instance, name).and_then(|held| held.object.as_ref()) {
            Some(Object::Instance(instance)) => instance.mark,
            _ => Mark::None,
        }
    }

    /// Returns whether a configured endpoint may receive new work: it is not marked and its hall is not evacuated.
    pub fn is_usable(&self, endpoint: &Endpoint) -> bool {
        endpoint.mark == Mark::None && !self.evacuations.is_evacuated(&endpoint.hall)
    }

    /// Returns whether `name` is live and still in its start number `start`.
    pub fn is_alive(&self, name: &str, start: u64) -> bool {
        self.directory.get(name).is_some_and(|listing| listing.start == start)
    }

    /// Returns whether the entry that accepted a request is still alive in the same start.
    pub fn is_entry_alive(&self, entry: &str, request: RequestId) -> bool {
        self.is_alive(entry, id::start_of(request))
    }

    /// Returns the entries for callers, nearest hall first, without marked or stopping ones.
    pub fn to_entries(&self, nearest: &[HallId]) -> Vec<Listing> {
        let takes = |listing: &&Listing| listing.takes_callers() && !self.is_marked(&listing.name);
        let mut entries: Vec<Listing> = self.directory.values().filter(takes).cloned().collect();
        let distance = |hall: &HallId| nearest.iter().position(|near| near == hall).unwrap_or(nearest.len());
        entries.sort_by_key(|listing| (distance(&listing.hall), listing.name.clone()));
        entries
    }

    /// Sends a watch request if one is due.
    pub(crate) fn send_watch_request(
        &mut self,
        now: Duration,
        me: &Me,
        (replica, stopping): (Option<u64>, bool),
        watchers: &Watchers,
        options: &Options,
        out: &mut Vec<Effect>,
    ) {
        self.log_freshness(now, options.max_proof_age, out);
        if !self.upstream.is_due(now, options) {
            return;
        }
        let leaves = self.unconfirmed.values().any(|held| held.registration.phase >= Phase::Leaving);
        let leader = self.to_leader();
        let (target, to) = self.upstream.begin_round(now, me, leaves, leader);
        self.log_search(now, to.as_ref(), out);
        let Some(to) = to else { return };
        let listing = Listing {
            name: me.name.clone(),
            hall: me.hall.clone(),
            address: me.address.clone(),
            start: me.start,
            stopping,
            replica,
        };
        let is_search = target == Target::Search;
        let heartbeats = if is_search { Vec::new() } else { self.attach_unconfirmed() };
        let with_loads = !is_search && target != Target::BypassRelay && self.is_load_exchange_due(now, options);
        if with_loads {
            self.loads_sent_at = Some(now);
        }
        let limits = if with_loads { self.limits.own_changes(now, &mut self.limits_sent) } else { Vec::new() };
        let request = WatchRequest {
            round: self.upstream.round(),
            listing,
            index: self.config.index,
            directory: self.directory.version(),
            document: self
                .document
                .as_ref()
                .filter(|_| !self.needs_whole_document)
                .map_or(0, |document| document.version),
            registry: self.registry.version(),
            quarantine: self.quarantine.index(),
            evacuations: self.evacuations.index(),
            releases: self.releases.index(),
            heartbeats,
            loads: with_loads.then(|| watchers.total_loads(&self.own_loads)),
            limits,
            group: self.to_group(watchers, options).filter(|_| !is_search),
            clock: self.clock.reading(now),
            work: if with_loads { watchers.total_work(&self.own_work) } else { Vec::new() },
        };
        out.push(Effect::Send { to, message: PeerMessage::WatchRequest(Box::new(request)) });
    }

    /// Returns the watchers to report to the leader, if this instance is a relay.
    fn to_group(&self, watchers: &Watchers, options: &Options) -> Option<RelayGroup> {
        self.is_relay(options).then(|| watchers.to_group(self.upstream.group())).flatten()
    }

    /// Returns the relays of this instance; empty if it queries the leader.
    pub fn relays(&self) -> &[InstanceId] {
        self.upstream.relays()
    }

    /// Returns whether this instance queries the leader itself and so may act as a relay.
    fn is_relay(&self, options: &Options) -> bool {
        self.relays().is_empty() && options.tree.has_relays(&self.directory)
    }

    /// Returns the state that a relay replies from; `None` if this instance is no relay or has no fresh proof.
    pub(crate) fn relay_source(&self, now: Duration, options: &Options) -> Option<Source<'_>> {
        let proved = self.proved.filter(|proved| self.is_relay(options) && now < *proved + options.max_proof_age)?;
        Some(Source {
            leader: self.upstream.last_leader()?,
            age: now.saturating_sub(proved),
            config: &self.config,
            directory: &self.directory,
            document: self.document.as_ref(),
            registry: &self.registry,
            scope: self.registry.scope().cloned(),
            unscoped: false,
            load_tags: None,
            quarantine: &self.quarantine,
            evacuations: &self.evacuations,
            releases: &self.releases,
            remote_loads: &self.remote_loads,
            remote_work: &self.remote_work,
            limits: &self.limits,
            time: self.clock.agreed(now),
        })
    }

    /// Returns the oldest unconfirmed heartbeats in order of arrival and records the current request as carrying them.
    fn attach_unconfirmed(&mut self) -> Vec<Registration> {
        let round = self.upstream.round();
        let mut pending: Vec<&mut Unconfirmed> = self.unconfirmed.values_mut().collect();
        pending.sort_by_key(|unconfirmed| unconfirmed.order);
        pending.truncate(MAX_HEARTBEATS);
        for unconfirmed in &mut pending {
            unconfirmed.round.get_or_insert(round);
        }
        pending.into_iter().map(|unconfirmed| unconfirmed.registration.clone()).collect()
    }

    /// Logs whom this instance asks while it knows no leader.
    fn log_search(&mut self, now: Duration, asked: Option<&InstanceId>, out: &mut Vec<Effect>) {
        let is_due = self.search_logged_at.is_none_or(|logged| now >= logged + SEARCH_LOG_INTERVAL);
        if self.leader().is_some() || !is_due {
            return;
        }
        self.search_logged_at = Some(now);
        let candidates = self.leader_candidates().len() as u32;
        out.push(Effect::Log(What::LeaderSearch { asked: asked.map(ToString::to_string), candidates }));
    }

    fn log_freshness(&mut self, now: Duration, bound: Duration, out: &mut Vec<Effect>) {
        let fresh = self.is_fresh(now, bound);
        if fresh != self.was_fresh {
            self.was_fresh = fresh;
            out.push(Effect::Log(What::Fresh { fresh, index: self.config.index }));
        }
    }

    /// Handles a watch reply.
    pub(crate) fn on_watch_reply(
        &mut self,
        now: Duration,
        from: &InstanceId,
        reply: WatchReply,
        promises: &mut Promises,
        (me, options): (&Me, &Options),
        out: &mut Vec<Effect>,
    ) -> Changes {
        let Some(request) = self.upstream.sent(reply.round) else { return Changes::default() };
        self.last_answered = self.last_answered.max(Some(request.at));
        let held = reply.index >= reply.requested_index;
        assert!(promises.check(Promise::NoRevert, held), "{from} answered with an older configuration");
        let before = self.config.index;
        let mut changed = false;
        for delta in reply.deltas {
            changed |= self.apply_delta(delta);
        }
        assert!(self.config.index >= before, "the configuration index went back");
        if changed {
            out.push(Effect::Log(What::Configured { index: self.config.index }));
        }
        let mut urgent = reply.document.is_some_and(|update| self.apply_document(&update, promises, out));
        urgent |= self.apply_quarantine(reply.quarantine);
        let moved = self.apply_evacuations(reply.evacuations, out);
        (changed, urgent) = (changed || moved, urgent || moved);
        // Requests wait for a new version, so nobody is notified.
        self.apply_releases(reply.releases, out);
        self.confirm(reply.round, request.target, *from == reply.leader);
        let held = self.document.as_ref().map_or(0, |document| document.version);
        // Time counts from the start of this process, so an earlier proof has no representation and is discarded.
        let age = reply.age;
        let proof = request.at.checked_sub(age);
        if !reply.complete {
            self.upstream.request_soon();
        }
        if let Some(time) = reply.time {
            self.clock.learn(now, request.at, time);
        }
        let from_leader = *from == reply.leader;
        if !self.upstream.on_reply(reply.round, from, reply.leader, reply.group) {
            // A newer reply came first. The rest of this one is not applied, so it proves nothing.
            return Changes { changed, urgent };
        }
        self.releases_proved = self.releases_proved.max(proof);
        if reply.complete && held >= reply.latest_document && !reply.pending {
            self.proved = self.proved.max(proof);
        }
        if !from_leader && now.saturating_sub(request.at) + age >= MAX_RELAY_PROOF_AGE {
            self.upstream.skip_relay();
        }
        if let Some(delta) = reply.registry {
            // In a large registry most new versions concern endpoints outside this hall's scope.
            self.revision += u64::from(delta.has_changes());
            urgent |= self.registry.apply_delta(now, delta);
        }
        if !reply.pending {
            self.registry_proved = self.registry_proved.max(proof);
        }
        self.apply_scope((me, options), reply.scope, out);
        if let Some(loads) = reply.loads.filter(|_| request.target != Target::BypassRelay) {
            self.remote_loads_at = proof.or(self.remote_loads_at);
            self.remote_work = reply.work;
            if self.remote_loads != loads {
                self.load_revision += 1;
                self.remote_loads = loads;
            }
        }
        for report in reply.limits {
            self.limits.record_received(now, report);
        }
        if let Some(delta) = reply.directory {
            changed |= self.apply_directory((me, options), delta, out);
        }
        Changes { changed, urgent }
    }

    /// Removes heartbeats confirmed by a reply to the request of `round` to `target`. Only the leader can confirm a
    /// departure.
    fn confirm(&mut self, round: u64, target: Target, by_leader: bool) {
        if target == Target::Search {
            return;
        }
        self.unconfirmed.retain(|_, held| {
            let carried = held.round.is_some_and(|first| first <= round);
            !carried || (held.registration.phase >= Phase::Leaving && !by_leader)
        });
    }

    /// Applies a document with a higher version than the one in force. Returns whether it was applied.
    pub(crate) fn apply_document(
        &mut self,
        update: &DocumentUpdate,
        promises: &mut Promises,
        out: &mut Vec<Effect>,
    ) -> bool {
        let held = self.document.as_ref().map_or(0, |held| held.version);
        let Some(document) = update.to_document(self.document.as_ref()) else {
            // A late patch of an earlier version, or one of different content under the same version.
            self.needs_whole_document = true;
            out.push(Effect::Log(What::PatchUnfit { held }));
            return false;
        };
        self.needs_whole_document = false;
        if document.version <= held {
            // A late reply to an earlier request.
            return false;
        }
        promises.check(Promise::NoRevert, document.version > held);
        out.push(Effect::Log(What::Documented {
            version: document.version,
            before: held,
            size: document.body.len(),
            received: update.size(),
            patched: matches!(update, DocumentUpdate::Patch(_)),
        }));
        self.document = Some(document);
        self.revision += 1;
        true
    }

    /// Applies a newer quarantine state. Returns whether it was newer.
    fn apply_quarantine(&mut self, update: Option<QuarantineNews>) -> bool {
        let Some(update) = update else { return false };
        let applied = Arc::make_mut(&mut self.quarantine).take(update);
        self.revision += u64::from(applied);
        applied
    }

    /// Applies a newer evacuation state. Returns whether it was newer.
    fn apply_evacuations(&mut self, update: Option<Evacuations>, out: &mut Vec<Effect>) -> bool {
        let Some(update) = update else { return false };
        let applied = Arc::make_mut(&mut self.evacuations).take(update);
        if applied {
            self.revision += 1;
            let halls = self.evacuations.evacuated().cloned().collect();
            out.push(Effect::Log(What::Evacuations { index: self.evacuations.index(), halls }));
        }
        applied
    }

    /// Applies a newer state of the versions in service.
    fn apply_releases(&mut self, update: Option<Releases>, out: &mut Vec<Effect>) {
        let Some(update) = update else { return };
        if Arc::make_mut(&mut self.releases).take(update) {
            self.revision += 1;
            out.push(Effect::Log(to_log(&self.releases)));
        }
    }

    fn apply_delta(&mut self, delta: Delta) -> bool {
        let (kind, name) = (delta.kind, delta.name.clone());
        let before = self.org_keys(kind, &name);
        if !self.config.take_delta(delta) {
            return false;
        }
        for entry in before {
            self.keys.remove(&entry);
        }
        let now = self.org_keys(kind, &name);
        self.keys.extend(now);
        true
    }

    fn org_keys(&self, kind: Kind, name: &str) -> Vec<(String, OrgId)> {
        match self.config.get(kind, name).and_then(|held| held.object.as_ref()) {
            Some(Object::Organisation(org)) => org.keys.iter().map(|key| (key.clone(), name.into())).collect(),
            _ => Vec::new(),
        }
    }

    /// Returns the organisation with this hexadecimal key digest; the first by name if there are several.
    pub fn org_of_key(&self, bearer: &str) -> Option<OrgId> {
        let (key, org) = self.keys.range((bearer.to_owned(), OrgId::from(""))..).next()?;
        (key == bearer).then(|| org.clone())
    }

    fn apply_directory(
        &mut self,
        (me, options): (&Me, &Options),
        delta: DirectoryDelta,
        out: &mut Vec<Effect>,
    ) -> bool {
        let before: BTreeSet<InstanceId> = self.directory.keys().cloned().collect();
        let touched = delta.whole || !delta.entries.is_empty() || !delta.removed.is_empty();
        if !self.directory.apply(delta, |_, _| true, |_, _| false) || !touched {
            return false;
        }
        let now: BTreeSet<InstanceId> = self.directory.keys().cloned().collect();
        if before != now {
            let truncate = |names: BTreeSet<InstanceId>| names.into_iter().take(MAX_LOGGED_NAMES).collect();
            let (came, went) = (truncate(&now - &before), truncate(&before - &now));
            out.push(Effect::Log(What::Directory { live: now.len(), came, went }));
        }
        self.choose_relays((me, options), out);
        self.revision += 1;
        true
    }

    /// Sets the scope of the registry that this instance receives.
    fn apply_scope(&mut self, (me, options): (&Me, &Options), scope: Option<Scope>, out: &mut Vec<Effect>) {
        if self.registry.scope() == scope.as_ref() {
            return;
        }
        self.registry.set_scope(&me.hall, scope);
        self.choose_relays((me, options), out);
        self.revision += 1;
    }

    /// Updates the relays of this instance. One that may become leader needs the full registry and queries the leader.
    fn choose_relays(&mut self, (me, options): (&Me, &Options), out: &mut Vec<Effect>) {
        let for_all = self.registry.asks_for_all();
        let relays = if for_all { Vec::new() } else { options.tree.relays_for(me, &self.directory) };
        if self.upstream.set_relays(relays.clone()) {
            out.push(Effect::Log(What::Parent { relays }));
        }
    }
}

fn to_log(releases: &Releases) -> What {
    let name = |(software, stage): (Software, Stage)| {
        let Software { service, version } = software;
        let stage = format!("{stage:?}").to_lowercase();
        format!("{service} {version} {stage}")
    };
    What::Releases {
        index: releases.index(),
        count: releases.iter().count(),
        versions: releases.iter().take(MAX_LOGGED_VERSIONS).map(name).collect(),
        full: releases.iter().any(|(software, _)| releases.is_full(&software.service)),
        moves: releases.moves().len(),
    }
}
