//! The view: configuration and directory in force here, and proof of their freshness.
//!
//! Every instance, the leader included, learns both by asking the leader, or a relay that asks it. A leader answers
//! only while it holds its lease, so each answer proves that the configuration was complete at the time the
//! question was *sent*: a paused leader or a late answer cannot make old configuration look fresh. A relay says how old
//! its own proof was when it answered. It answered after the question was sent, so the time of the question less that
//! age is a time at which the relay's proof held; a relay that is paused or cut off adds to the age or answers nothing.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rudder_events::What;
use rudder_ledger::{Config, Delta, Document, Evacuations, Quarantine, QuarantineNews};
use rudder_model::{
    Endpoint, EndpointId, EndpointTag, HallId, InstanceId, Kind, Mark, Object, OrgId, Promise, Promises, RequestId, id,
};

use crate::{
    Effect, Group, Listing, Me, Options, PeerMessage, Watch, Watched,
    asking::{Asking, Target},
    clock::Clock,
    limits::{LimitReport, Limits, PeerSync},
    peer::{DirectoryNews, DocumentNews, Load},
    registry::{Change, Phase, Registration, Registry},
    subset::Scope,
    tree::Directory,
    watchers::{Source, Watchers},
};

/// Names of instances in one log line at most.
const NAMED: usize = 4;
/// Time between two exchanges of loads, for each of them: 10,000 entries of about ten bytes a second each way.
const LOADS_EACH: Duration = Duration::from_micros(100);
/// So many times that where relays stand between: a relay's link of 10 Mbit/s then spends less than a third on the loads of
/// twenty that ask it.
const RELAYED: u32 = 8;
/// The longest such time: what was told counts for half a second longer.
const LOADS_PAUSE_MOST: Duration = Duration::from_secs(1);
/// Time between two looks for limits to forget.
const AGE_LIMITS: Duration = Duration::from_secs(10);
/// A relay whose answers prove the configuration no younger than this is passed over: it has lost touch.
const RELAY_OLD: Duration = Duration::from_millis(1500);

/// Configuration and directory in force here.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration.
    pub config: Config,
    /// Key digests with the organisations that hold them, so that a call does not look through all.
    keys: BTreeSet<(String, OrgId)>,
    /// Live instances, by name.
    pub directory: Directory,
    proved: Option<Duration>,
    /// When the latest question was sent that was answered.
    answered: Option<Duration>,
    pub(crate) asking: Asking,
    was_fresh: bool,
    /// The configuration document in force here.
    pub document: Option<Document>,
    /// A patch did not fit, so the whole document is asked for.
    whole: bool,
    /// Endpoints that registered themselves.
    pub registry: Registry,
    /// Contents under which endpoints ended.
    pub quarantine: Arc<Quarantine>,
    /// Halls whose endpoints get nothing.
    pub evacuations: Arc<Evacuations>,
    /// Work of all other instances at endpoints, as of the question that proves the configuration.
    pub remote_loads: Vec<Load>,
    /// Counts the changes of what traffic needs: directory, document, registry.
    pub revision: u64,
    /// Counts the changes of the others' work.
    pub load_revision: u64,
    unconfirmed: BTreeMap<EndpointId, Unconfirmed>,
    /// Counts the heartbeats heard here.
    heard: u64,
    loads: Vec<Load>,
    /// When they were told last.
    loads_told: Option<Duration>,
    /// Rate limits that endpoints name.
    pub limits: Limits,
    /// What of them was told.
    limits_told: PeerSync,
    /// When they were last looked through for those to forget.
    limits_aged: Duration,
    /// When the others' work was as it is known here.
    remote_loads_at: Option<Duration>,
    /// The time of day.
    pub clock: Clock,
}

/// What an answer brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Learned {
    /// Configuration or directory changed.
    pub changed: bool,
    /// Something that those who ask here should know at once.
    pub urgent: bool,
}

/// A heartbeat heard here that the leader has not confirmed.
#[derive(Debug)]
struct Unconfirmed {
    registration: Registration,
    /// First round that carried it.
    round: Option<u64>,
    /// Place among all that was heard here: of two lives of one name the later is mostly heard later.
    place: u64,
}

impl View {
    /// True while the configuration is proved to be at most `bound` old.
    pub fn is_fresh(&self, now: Duration, bound: Duration) -> bool {
        self.proved.is_some_and(|proved| now < proved + bound)
    }

    /// True while the others list this instance as live: they do for at least `gone` after each question of it that was answered.
    pub(crate) fn is_listed(&self, now: Duration, gone: Duration) -> bool {
        self.answered.is_some_and(|answered| now < answered + gone)
    }

    /// Where to send what only the leader can answer.
    pub fn to_leader(&self) -> Option<InstanceId> {
        self.leader().cloned().or_else(|| self.asking.seat_of(&self.to_seats()))
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.asking.leader()
    }

    /// When the question was sent whose answer proves the configuration.
    pub fn proved(&self) -> Option<Duration> {
        self.proved
    }

    /// Sets where to start from: the instances that the settings name.
    pub fn set_seeds(&mut self, seeds: Vec<InstanceId>) {
        self.asking.seeds = seeds;
    }

    /// The instances that the settings name.
    pub(crate) fn seeds(&self) -> &[InstanceId] {
        &self.asking.seeds
    }

    /// Instances that may know the leader: those of the settings, then those known to have a disk.
    fn to_seats(&self) -> Vec<InstanceId> {
        let mut seats = self.asking.seeds.clone();
        for listing in self.directory.values().filter(|listing| listing.replica.is_some()) {
            if !seats.contains(&listing.name) {
                seats.push(listing.name.clone());
            }
        }
        seats
    }

    /// Records an endpoint's heartbeat heard here or by an instance that asks here.
    pub(crate) fn hear(&mut self, now: Duration, registration: Registration) {
        let change = self.registry.record_heartbeat(now, &registration);
        if change != Change::None {
            self.revision += 1;
            self.asking.ask_soon();
        }
        self.heard += 1;
        let unconfirmed = Unconfirmed { registration, round: None, place: self.heard };
        self.unconfirmed.insert(unconfirmed.registration.endpoint.clone(), unconfirmed);
    }

    /// True once the leader has confirmed all that was heard here of `endpoint`.
    pub(crate) fn is_confirmed(&self, endpoint: &EndpointId) -> bool {
        !self.unconfirmed.contains_key(endpoint)
    }

    /// When the others' work was as it is known here.
    pub fn remote_loads_at(&self) -> Option<Duration> {
        self.remote_loads_at
    }

    /// True where it is time to exchange loads: the more there are, the less often, so that a link carries as much of them
    /// in a second whatever the number of endpoints.
    fn are_loads_due(&self, now: Duration, options: &Options) -> bool {
        let factor = if options.tree.has_relays(&self.directory) { RELAYED } else { 1 };
        let pause = (LOADS_EACH * factor * self.remote_loads.len() as u32).min(LOADS_PAUSE_MOST);
        self.loads_told.is_none_or(|told| now >= told + pause)
    }

    /// Sets the work under way here.
    pub(crate) fn set_loads(&mut self, loads: Vec<Load>) {
        self.loads = loads;
    }

    /// Records what endpoints said of their rate limits to one that asks here.
    pub(crate) fn record_limits(&mut self, now: Duration, reports: &[LimitReport]) {
        for report in reports {
            self.limits.record_own(now, *report);
        }
    }

    /// Forgets the limits of endpoints that are gone; looks through all endpoints, so seldom.
    pub(crate) fn age_limits(&mut self, now: Duration) {
        if self.limits.is_empty() || now < self.limits_aged + AGE_LIMITS {
            return;
        }
        self.limits_aged = now;
        let known: BTreeSet<EndpointTag> = self.registry.iter().map(|held| id::endpoint_tag(&held.endpoint)).collect();
        self.limits.expire(now, |endpoint| known.contains(&endpoint));
    }

    /// The instance that decides for the pool of `model` in `hall`: by rendezvous hashing over the
    /// live instances of the hall, or of all halls where the hall has none.
    pub fn home(&self, hall: &HallId, model: &str) -> Option<InstanceId> {
        let live = self.directory.values().filter(|listing| !listing.stopping && !self.is_marked(&listing.name));
        let key = format!("{hall}/{model}");
        let weigh = |listing: &&Listing| (listing.hall == *hall, id::rendezvous(&key, &listing.name));
        live.max_by_key(weigh).map(|listing| listing.name.clone())
    }

    /// The operator's mark takes an instance out of use.
    pub fn is_marked(&self, name: &str) -> bool {
        self.mark_of(name) != Mark::None
    }

    /// The operator's mark on an instance.
    pub fn mark_of(&self, name: &str) -> Mark {
        match self.config.get(Kind::Instance, name).and_then(|held| held.object.as_ref()) {
            Some(Object::Instance(instance)) => instance.mark,
            _ => Mark::None,
        }
    }

    /// True while an endpoint of the configuration may get new work: it is not marked, and its hall not evacuated.
    pub fn is_usable(&self, endpoint: &Endpoint) -> bool {
        endpoint.mark == Mark::None && !self.evacuations.is_evacuated(&endpoint.hall)
    }

    /// True when the start that a request id names is still alive in `name`.
    pub fn is_alive(&self, name: &str, start: u64) -> bool {
        self.directory.get(name).is_some_and(|listing| listing.start == start)
    }

    /// True when the entry that a request came from is still alive.
    pub fn is_entry_alive(&self, entry: &str, request: RequestId) -> bool {
        self.is_alive(entry, id::start_of(request))
    }

    /// Entries for callers: nearest hall first, without those leaving or stopping and those that take no callers.
    pub fn to_entries(&self, nearest: &[HallId]) -> Vec<Listing> {
        let takes = |listing: &&Listing| listing.takes_callers() && !self.is_marked(&listing.name);
        let mut entries: Vec<Listing> = self.directory.values().filter(takes).cloned().collect();
        let distance = |hall: &HallId| nearest.iter().position(|near| near == hall).unwrap_or(nearest.len());
        entries.sort_by_key(|listing| (distance(&listing.hall), listing.name.clone()));
        entries
    }

    /// Asks for newer configuration when it is time to; `watchers` are those who ask here.
    pub(crate) fn ask(
        &mut self,
        now: Duration,
        me: &Me,
        (replica, stopping): (Option<u64>, bool),
        watchers: &Watchers,
        options: &Options,
        out: &mut Vec<Effect>,
    ) {
        self.log_freshness(now, options.freshness_bound, out);
        if !self.asking.is_due(now, options) {
            return;
        }
        let leaves = self.unconfirmed.values().any(|held| held.registration.phase >= Phase::Leaving);
        let leader = self.to_leader();
        let (target, to) = self.asking.begin(now, me, leaves, leader);
        let Some(to) = to else { return };
        let listing = Listing {
            name: me.name.clone(),
            hall: me.hall.clone(),
            address: me.address.clone(),
            start: me.start,
            stopping,
            replica,
        };
        let heard = self.carry_unconfirmed();
        let with_loads = target != Target::PastRelay && self.are_loads_due(now, options);
        if with_loads {
            self.loads_told = Some(now);
        }
        let limits = if with_loads { self.limits.own_changes(now, &mut self.limits_told) } else { Vec::new() };
        let watch = Watch {
            round: self.asking.round(),
            listing,
            index: self.config.index,
            directory: self.directory.version(),
            document: self.document.as_ref().filter(|_| !self.whole).map_or(0, |document| document.version),
            registry: self.registry.version(),
            quarantine: self.quarantine.index(),
            evacuations: self.evacuations.index(),
            heard,
            loads: with_loads.then(|| watchers.join_loads(&self.loads)),
            limits,
            group: self.to_group(watchers, options),
            clock: self.clock.to_reading(now),
        };
        out.push(Effect::Send { to, message: PeerMessage::Watch(Box::new(watch)) });
    }

    /// Those who ask here, for the leader; a relay's asker is told by the relay alone.
    fn to_group(&self, watchers: &Watchers, options: &Options) -> Option<Group> {
        self.is_relay(options).then(|| watchers.to_group(self.asking.group())).flatten()
    }

    /// The relays that this instance asks; none where it asks the leader.
    pub fn relays(&self) -> &[InstanceId] {
        self.asking.relays()
    }

    /// True where this instance asks the leader itself and so may answer others.
    fn is_relay(&self, options: &Options) -> bool {
        self.relays().is_empty() && options.tree.has_relays(&self.directory)
    }

    /// What a relay answers from; `None` at an instance that is none, or that has no fresh proof.
    pub(crate) fn to_source(&self, now: Duration, options: &Options) -> Option<Source<'_>> {
        let proved = self.proved.filter(|proved| self.is_relay(options) && now < *proved + options.freshness_bound)?;
        Some(Source {
            leader: self.asking.last_leader()?,
            age: now.saturating_sub(proved),
            config: &self.config,
            directory: &self.directory,
            document: self.document.as_ref(),
            registry: &self.registry,
            scope: self.registry.scope().cloned(),
            whole: false,
            tags: None,
            quarantine: &self.quarantine,
            evacuations: &self.evacuations,
            others: &self.remote_loads,
            limits: &self.limits,
            time: self.clock.agreed(now),
        })
    }

    /// Heartbeats for the next question, as they were heard one after the other; the question is noted for each as the first
    /// that carries it.
    fn carry_unconfirmed(&mut self) -> Vec<Registration> {
        let round = self.asking.round();
        let mut heard: Vec<&mut Unconfirmed> = self.unconfirmed.values_mut().collect();
        heard.sort_by_key(|unconfirmed| unconfirmed.place);
        for unconfirmed in &mut heard {
            unconfirmed.round.get_or_insert(round);
        }
        heard.into_iter().map(|unconfirmed| unconfirmed.registration.clone()).collect()
    }

    fn log_freshness(&mut self, now: Duration, bound: Duration, out: &mut Vec<Effect>) {
        let fresh = self.is_fresh(now, bound);
        if fresh != self.was_fresh {
            self.was_fresh = fresh;
            out.push(Effect::Log(What::Fresh { fresh, index: self.config.index }));
        }
    }

    /// Handles an answer.
    pub(crate) fn on_watched(
        &mut self,
        now: Duration,
        from: &InstanceId,
        watched: Watched,
        promises: &mut Promises,
        (me, options): (&Me, &Options),
        out: &mut Vec<Effect>,
    ) -> Learned {
        let Some(sent) = self.asking.sent(watched.round) else { return Learned::default() };
        self.answered = self.answered.max(Some(sent.at));
        let held = watched.index >= watched.asked;
        assert!(promises.check(Promise::NoRevert, held), "{from} answered with an older configuration");
        let before = self.config.index;
        let mut changed = false;
        for delta in watched.deltas {
            changed |= self.take_delta(delta);
        }
        assert!(self.config.index >= before, "the configuration index went back");
        if changed {
            out.push(Effect::Log(What::Configured { index: self.config.index }));
        }
        let mut urgent = self.take_document(watched.document, promises, out);
        urgent |= self.take_quarantine(watched.quarantine);
        let moved = self.take_evacuations(watched.evacuations, out);
        (changed, urgent) = (changed || moved, urgent || moved);
        self.confirm(watched.round, *from == watched.leader);
        let held = self.document.as_ref().map_or(0, |document| document.version);
        // Time counts from the start of this process; a proof from before that cannot be told, and is none.
        let age = watched.age;
        let proof = sent.at.checked_sub(age);
        if watched.complete && held >= watched.newest && !watched.pending {
            self.proved = self.proved.max(proof);
        }
        if !watched.complete {
            self.asking.ask_soon();
        }
        if let Some(time) = watched.time {
            self.clock.learn(now, sent.at, time);
        }
        let from_leader = *from == watched.leader;
        if !self.asking.note_answer(watched.round, from, watched.leader, watched.group) {
            return Learned { changed, urgent };
        }
        if !from_leader && now.saturating_sub(sent.at) + age >= RELAY_OLD {
            self.asking.pass_over_relay();
        }
        if let Some(news) = watched.registry {
            // Most versions of a large registry are about endpoints that are not told here.
            self.revision += u64::from(news.has_changes());
            urgent |= self.registry.apply_delta(now, news);
        }
        self.take_scope((me, options), watched.scope, out);
        if let Some(loads) = watched.loads.filter(|_| sent.target != Target::PastRelay) {
            self.remote_loads_at = proof.or(self.remote_loads_at);
            if self.remote_loads != loads {
                self.load_revision += 1;
                self.remote_loads = loads;
            }
        }
        for report in watched.limits {
            self.limits.record_received(now, report);
        }
        if let Some(news) = watched.directory {
            changed |= self.take_directory((me, options), news, out);
        }
        Learned { changed, urgent }
    }

    /// Records that an answer confirms what the question of `round` carried; only the leader confirms that an endpoint
    /// takes no more work.
    fn confirm(&mut self, round: u64, by_leader: bool) {
        self.unconfirmed.retain(|_, held| {
            let carried = held.round.is_some_and(|first| first <= round);
            !carried || (held.registration.phase >= Phase::Leaving && !by_leader)
        });
    }

    /// Applies a document that is above the one in force; the version here only grows.
    fn take_document(
        &mut self,
        document: Option<DocumentNews>,
        promises: &mut Promises,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(news) = document else { return false };
        let held = self.document.as_ref().map_or(0, |held| held.version);
        let Some(document) = news.to_document(self.document.as_ref()) else {
            // A patch for the version held before, which came late, or for other content under the same version.
            self.whole = true;
            out.push(Effect::Log(What::PatchUnfit { held }));
            return false;
        };
        self.whole = false;
        if document.version <= held {
            // An answer to an older question that came late.
            return false;
        }
        promises.check(Promise::NoRevert, document.version > held);
        out.push(Effect::Log(What::Documented { version: document.version, before: held }));
        self.document = Some(document);
        self.revision += 1;
        true
    }

    /// Records which contents are refused; an answer that came late tells nothing newer.
    fn take_quarantine(&mut self, news: Option<QuarantineNews>) -> bool {
        let Some(news) = news else { return false };
        let taken = Arc::make_mut(&mut self.quarantine).take(news);
        self.revision += u64::from(taken);
        taken
    }

    /// Records which halls are evacuated; an answer that came late tells nothing newer.
    fn take_evacuations(&mut self, news: Option<Evacuations>, out: &mut Vec<Effect>) -> bool {
        let Some(news) = news else { return false };
        let taken = Arc::make_mut(&mut self.evacuations).take(news);
        if taken {
            self.revision += 1;
            let halls = self.evacuations.evacuated().cloned().collect();
            out.push(Effect::Log(What::Evacuations { index: self.evacuations.index(), halls }));
        }
        taken
    }

    fn take_delta(&mut self, delta: Delta) -> bool {
        let (kind, name) = (delta.kind, delta.name.clone());
        let before = self.keys_of(kind, &name);
        if !self.config.take_delta(delta) {
            return false;
        }
        for entry in before {
            self.keys.remove(&entry);
        }
        let now = self.keys_of(kind, &name);
        self.keys.extend(now);
        true
    }

    fn keys_of(&self, kind: Kind, name: &str) -> Vec<(String, OrgId)> {
        match self.config.get(kind, name).and_then(|held| held.object.as_ref()) {
            Some(Object::Organisation(org)) => org.keys.iter().map(|key| (key.clone(), name.into())).collect(),
            _ => Vec::new(),
        }
    }

    /// The organisation that has this key digest, in hexadecimal; the first by name if several do.
    pub fn org_of_key(&self, bearer: &str) -> Option<OrgId> {
        let (key, org) = self.keys.range((bearer.to_owned(), OrgId::from(""))..).next()?;
        (key == bearer).then(|| org.clone())
    }

    fn take_directory(&mut self, (me, options): (&Me, &Options), news: DirectoryNews, out: &mut Vec<Effect>) -> bool {
        let before: BTreeSet<InstanceId> = self.directory.keys().cloned().collect();
        let touched = news.whole || !news.entries.is_empty() || !news.removed.is_empty();
        if !self.directory.apply(news, |_, _| true, |_, _| false) || !touched {
            return false;
        }
        let now: BTreeSet<InstanceId> = self.directory.keys().cloned().collect();
        if before != now {
            let few = |names: BTreeSet<InstanceId>| names.into_iter().take(NAMED).collect();
            let (came, went) = (few(&now - &before), few(&before - &now));
            out.push(Effect::Log(What::Directory { live: now.len(), came, went }));
        }
        self.choose_relays((me, options), out);
        self.revision += 1;
        true
    }

    /// Records what of the registry is not told here.
    fn take_scope(&mut self, (me, options): (&Me, &Options), scope: Option<Scope>, out: &mut Vec<Effect>) {
        if self.registry.scope() == scope.as_ref() {
            return;
        }
        self.registry.set_scope(&me.hall, scope);
        self.choose_relays((me, options), out);
        self.revision += 1;
    }

    /// Works out whom to ask. Relays know no more of the registry than their hall is told, so who may lead next asks the leader.
    fn choose_relays(&mut self, (me, options): (&Me, &Options), out: &mut Vec<Effect>) {
        let for_all = self.registry.asks_for_all();
        let relays = if for_all { Vec::new() } else { options.tree.relays_for(me, &self.directory) };
        if self.asking.set_relays(relays.clone()) {
            out.push(Effect::Log(What::Parent { relays }));
        }
    }
}
