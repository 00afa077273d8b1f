//! What began streams: a version of a service's software. Events of two versions do not fit together, so a stream that
//! breaks off may only go on at the version that began it, also at an instance that has never seen it.
//!
//! The instance that passes on the first event of a stream remembers its version. While the services of its route have
//! several versions that may have begun streams ([`rudder_ledger::release`]), it also tells two holders, chosen by rendezvous
//! hashing over the live instances, one of them with a disk; when a second version comes, it tells them of earlier streams. Whoever
//! is asked to let a stream go on asks the holders. Services that its route had a short while ago count too, as told by the
//! log ([`rudder_ledger::Moves`]), since an instance that started later knows the newest document only.
//!
//! What holders remember is soft state and kept only as long as a caller may take a stream up. Holders with a disk also note
//! it there without a sync, so that it outlasts the end of all processes; what a loss of power takes of it is not known any
//! more.
//!
//! The version is the one in the endpoint's last heartbeat. An endpoint may have started again since, with other software,
//! so a stream whose endpoint turns out to have done so shortly after counts as begun by an unknown version.
//!
//! Not knowing a version proves nothing: holders may be lost, late, or have started since. A version counts as the only one
//! by the replicated state alone, and only while that is proved to be recent.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rudder_ledger::{Moves, Releases, Software, Stage};
use rudder_model::{EndpointId, InstanceId, PlaceTag, id};
use serde::{Deserialize, Serialize};

use crate::{Effect, Listing, Me, PeerMessage, tree::Directory, view::View};

/// How long the origin of a stream is remembered from its beginning: longer than any stream lasts.
const RETENTION: Duration = Duration::from_secs(600);
/// The same while many streams are remembered.
const MIN_RETENTION: Duration = Duration::from_secs(60);
/// Most streams remembered, which bounds the memory to a few megabytes.
const MAX_STREAMS: usize = 50_000;
/// How long to wait for the holders, or for a proof of the versions in service.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Instances with a disk that are asked, as the directory may have changed since one of them was told.
const ASKED_DISKS: usize = 3;
/// Most streams restored from notes, which leaves room for those that begin after the start.
const MAX_RESTORED: usize = MAX_STREAMS / 2;
/// Most streams in one note on the disk.
const MAX_NOTED: usize = 1_000;
/// Interval between removals of old entries.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Identifies a stream by the digest of the id of the attempt that began it.
pub type StreamTag = u64;

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamTag,
    /// The version of the endpoint's software; `None` if the endpoint may have had another one than it was thought to have.
    pub software: Option<Software>,
}

/// What is known of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This version.
    Known(Software),
    /// This version, as no other can have begun a stream of the services.
    Only(Software),
    /// One of several versions.
    Unknown,
}

/// What an answer about an origin rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Versions that may have begun the stream, as known here.
    pub versions: usize,
    /// These are proved to be complete.
    pub current: bool,
    /// Instances that were asked.
    pub asked: usize,
    /// Instances that answered.
    pub answered: usize,
}

#[derive(Debug)]
struct Remembered {
    software: Option<Software>,
    at: Duration,
    /// Its route, if it was begun here and its holders are not told yet.
    untold: Option<Arc<StreamRoute>>,
}

/// A stream that was begun here, and whose endpoint may still turn out to have started again before.
#[derive(Debug)]
struct Unconfirmed {
    stream: StreamTag,
    endpoint: EndpointId,
    software: Software,
    at: Duration,
}

/// The route of a stream, which tells what may have begun it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamRoute {
    /// The services of the routes that match its requests now.
    pub services: Vec<Arc<str>>,
    /// The places of all routes that may have matched them before.
    pub places: Vec<PlaceTag>,
}

impl StreamRoute {
    /// Returns whether a service may have begun a stream of this route.
    fn may_begin_at(&self, service: &Arc<str>, moves: &Moves) -> bool {
        let was_moved = || self.places.iter().any(|place| moves.contains(id::share_tag(*place, service)));
        self.services.contains(service) || moves.has_excess() || (!moves.is_empty() && was_moved())
    }

    /// Returns the versions that may have begun a stream of this route, with their stages.
    fn versions<'a>(&'a self, releases: &'a Releases) -> impl Iterator<Item = (Software, Stage)> + 'a {
        let services = releases.services().filter(|service| self.may_begin_at(service, releases.moves()));
        services.flat_map(|service| releases.stages(service))
    }

    /// Returns whether several versions may have begun a stream of this route.
    fn has_several_versions(&self, releases: &Releases) -> bool {
        self.versions(releases).nth(1).is_some()
    }
}

/// A question about the origin of a stream.
#[derive(Clone, Debug)]
pub(crate) struct OriginQuestion {
    /// Identifies the question in the effect that answers it.
    pub(crate) ticket: u64,
    /// The stream.
    pub(crate) stream: StreamTag,
    /// Its route.
    pub(crate) route: Arc<StreamRoute>,
}

/// A question that is not answered yet.
#[derive(Debug)]
struct Pending {
    stream: StreamTag,
    route: Arc<StreamRoute>,
    arrived: Duration,
    asked: usize,
    answered: usize,
}

/// What the reducer knows beside the origins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Surroundings<'a> {
    pub(crate) me: &'a Me,
    pub(crate) view: &'a View,
    /// Age of the proof beyond which the versions in service are not relied on.
    pub(crate) lease: Duration,
}

/// The origins of streams known to this instance.
#[derive(Debug, Default)]
pub struct Origins {
    streams: BTreeMap<StreamTag, Remembered>,
    pending: BTreeMap<u64, Pending>,
    /// In order of their beginning.
    unconfirmed: VecDeque<Unconfirmed>,
    pruned_at: Duration,
}

impl Origins {
    /// Records a stream whose first event was passed on here.
    pub(crate) fn record_begun(
        &mut self,
        now: Duration,
        (origin, route): (StreamOrigin, Arc<StreamRoute>),
        around: Surroundings,
        out: &mut Vec<Effect>,
    ) {
        let is_told = route.has_several_versions(&around.view.releases);
        if is_told {
            tell(around, vec![origin.clone()], out);
        }
        self.remember(now, origin, Some(route).filter(|_| !is_told));
    }

    /// Records the life of an endpoint that is thought to have begun a stream, with this version.
    pub(crate) fn record_endpoint(
        &mut self,
        now: Duration,
        stream: StreamTag,
        endpoint: EndpointId,
        software: Software,
    ) {
        if self.unconfirmed.len() < MAX_STREAMS {
            self.unconfirmed.push_back(Unconfirmed { stream, endpoint, software, at: now });
        }
    }

    /// Forgets the versions of streams whose endpoints have started again with other software, which may have begun them.
    fn forget_upgraded(&mut self, now: Duration, around: Surroundings, out: &mut Vec<Effect>) {
        let registry = &around.view.registry;
        // The first heartbeat of the next life is known by then.
        let is_confirmed = |begun: &Unconfirmed| now >= begun.at + registry.silence();
        while self.unconfirmed.front().is_some_and(is_confirmed) {
            self.unconfirmed.pop_front();
        }
        let mut origins = Vec::new();
        for begun in &self.unconfirmed {
            let held = self.streams.get_mut(&begun.stream);
            // A stream that began anew has a version of its own.
            let Some(held) = held.filter(|held| held.software.as_ref() == Some(&begun.software)) else { continue };
            if !registry.is_upgraded(&begun.endpoint, &begun.software) {
                continue;
            }
            held.software = None;
            origins.push(StreamOrigin { stream: begun.stream, software: None });
        }
        tell(around, origins, out);
    }

    /// Records streams of which this instance is a holder, and has them noted if it has a disk.
    pub(crate) fn record_told(
        &mut self,
        now: Duration,
        origins: Vec<StreamOrigin>,
        has_disk: bool,
        out: &mut Vec<Effect>,
    ) {
        for noted in origins.chunks(MAX_NOTED).filter(|_| has_disk) {
            out.push(Effect::NoteOrigins(noted.to_vec()));
        }
        for origin in origins {
            self.remember(now, origin, None);
        }
    }

    /// Records streams that were noted before this start, the newest ones if they are too many.
    pub(crate) fn restore(&mut self, now: Duration, origins: Vec<StreamOrigin>) {
        let excess = origins.len().saturating_sub(MAX_RESTORED);
        for origin in origins.into_iter().skip(excess) {
            self.remember(now, origin, None);
        }
    }

    /// Remembers a stream. It may have begun anew, without an event of the earlier run.
    fn remember(
        &mut self,
        now: Duration,
        StreamOrigin { stream, software }: StreamOrigin,
        untold: Option<Arc<StreamRoute>>,
    ) {
        if self.streams.len() < MAX_STREAMS || self.streams.contains_key(&stream) {
            self.streams.insert(stream, Remembered { software, at: now, untold });
        }
    }

    /// Returns what began a stream, as an answer to another instance.
    pub(crate) fn software_of(&self, stream: StreamTag) -> Option<Software> {
        self.streams.get(&stream).and_then(|held| held.software.clone())
    }

    /// Looks up what began a stream. Unless it is known here or follows from the versions in service, asks its holders.
    pub(crate) fn ask(&mut self, now: Duration, question: OriginQuestion, around: Surroundings, out: &mut Vec<Effect>) {
        let OriginQuestion { ticket, stream, route } = question;
        let mut pending = Pending { stream, route, arrived: now, asked: 0, answered: 0 };
        if let Some(software) = self.software_of(stream) {
            let evidence = pending.evidence(around);
            out.push(Effect::OriginFound { ticket, origin: Origin::Known(software), evidence });
            return;
        }
        if pending.only_version(around).is_some() {
            self.pending.insert(ticket, pending);
            self.settle(now, ticket, around, out);
            return;
        }
        let holders = possible_holders(stream, around.me, &around.view.directory);
        pending.asked = holders.len();
        self.pending.insert(ticket, pending);
        for to in holders {
            out.push(Effect::Send { to, message: PeerMessage::AskOrigin { ticket, start: around.me.start, stream } });
        }
        self.settle(now, ticket, around, out);
    }

    /// Handles an instance's answer.
    pub(crate) fn on_answer(
        &mut self,
        now: Duration,
        (ticket, software): (u64, Option<Software>),
        around: Surroundings,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else { return };
        pending.answered += 1;
        let Some(software) = software else { return self.settle(now, ticket, around, out) };
        let evidence = pending.evidence(around);
        self.pending.remove(&ticket);
        out.push(Effect::OriginFound { ticket, origin: Origin::Known(software), evidence });
    }

    /// Answers a question if nothing more can become known.
    fn settle(&mut self, now: Duration, ticket: u64, around: Surroundings, out: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&ticket) else { return };
        let evidence = pending.evidence(around);
        let only = pending.only_version(around);
        // The first version of a service may be on its way, and a newer proof may leave one version.
        let is_final = pending.is_proved(around) && evidence.versions > 1 && pending.answered >= pending.asked;
        if only.is_none() && !is_final && now < pending.arrived + ANSWER_TIMEOUT {
            return;
        }
        if let (Some(software), Some(Pending { stream, route, .. })) = (&only, self.pending.remove(&ticket)) {
            // The instance that began it may be gone when another version comes.
            let origin = StreamOrigin { stream, software: Some(software.clone()) };
            self.record_begun(now, (origin, route), around, out);
        }
        let origin = only.map_or(Origin::Unknown, Origin::Only);
        out.push(Effect::OriginFound { ticket, origin, evidence });
    }

    /// Settles questions and drops old entries.
    pub(crate) fn tick(&mut self, now: Duration, around: Surroundings, out: &mut Vec<Effect>) {
        let tickets: Vec<u64> = self.pending.keys().copied().collect();
        for ticket in tickets {
            self.settle(now, ticket, around, out);
        }
        self.forget_upgraded(now, around, out);
        if now >= self.pruned_at + PRUNE_INTERVAL {
            self.pruned_at = now;
            let is_crowded = self.streams.len() > MAX_STREAMS / 2;
            let retention = if is_crowded { MIN_RETENTION } else { RETENTION };
            self.streams.retain(|_, held| now < held.at + retention);
        }
    }

    /// Tells the holders of untold streams that one of several versions may have begun by now.
    pub(crate) fn on_releases(&mut self, around: Surroundings, out: &mut Vec<Effect>) {
        let releases = &around.view.releases;
        let mut origins = Vec::new();
        for (stream, held) in &mut self.streams {
            if held.untold.take_if(|route| route.has_several_versions(releases)).is_some() {
                origins.push(StreamOrigin { stream: *stream, software: held.software.clone() });
            }
        }
        tell(around, origins, out);
    }
}

impl Pending {
    fn evidence(&self, around: Surroundings) -> Evidence {
        Evidence {
            versions: self.versions(around).len(),
            current: around.view.knows_releases(self.arrived, around.lease),
            asked: self.asked,
            answered: self.answered,
        }
    }

    /// Returns the version that alone may have begun the stream, if that is proved.
    fn only_version(&self, around: Surroundings) -> Option<Software> {
        if !around.view.knows_releases(self.arrived, around.lease) {
            return None;
        }
        let versions = self.versions(around);
        let mut versions = versions.iter();
        versions.next().filter(|_| versions.next().is_none()).cloned()
    }

    /// Returns whether the versions in service are proved as of a time after the stream began.
    fn is_proved(&self, around: Surroundings) -> bool {
        around.view.releases_proved().is_some_and(|proved| proved >= self.arrived)
    }

    /// Returns the versions that may have begun the stream. With a proof from before, one that is announced there may have
    /// been admitted since.
    fn versions(&self, around: Surroundings) -> Vec<Software> {
        let (releases, is_proved) = (&around.view.releases, self.is_proved(around));
        let held = self.route.versions(releases);
        held.filter(|(_, stage)| !is_proved || *stage != Stage::Announced).map(|(software, _)| software).collect()
    }
}

/// Tells the holders of streams, in one message to each. This instance may be one of them.
fn tell(around: Surroundings, origins: Vec<StreamOrigin>, out: &mut Vec<Effect>) {
    let mut told: BTreeMap<InstanceId, Vec<StreamOrigin>> = BTreeMap::new();
    for origin in origins {
        for holder in holders_of(origin.stream, &around.view.directory) {
            told.entry(holder).or_default().push(origin.clone());
        }
    }
    for (to, origins) in told {
        out.push(Effect::Send { to, message: PeerMessage::StreamsBegun(origins) });
    }
}

/// Returns the holders of a stream: the first of all instances by rendezvous hashing, and the first of the others, if
/// possible one with a disk and of another hall.
fn holders_of(stream: StreamTag, directory: &Directory) -> Vec<InstanceId> {
    let Some(first) = first_holder(stream, directory) else { return Vec::new() };
    let others = live(directory).filter(|listing| listing.name != first.name);
    let rank = |listing: &&Listing| (listing.replica.is_some(), listing.hall != first.hall, weight(stream, listing));
    let holders = [Some(first), others.max_by_key(rank)].into_iter().flatten();
    holders.map(|listing| listing.name.clone()).collect()
}

/// Returns the instances that may hold a stream without this one: its holders by the present directory, and the first
/// ones with a disk.
fn possible_holders(stream: StreamTag, me: &Me, directory: &Directory) -> Vec<InstanceId> {
    let mut holders = holders_of(stream, directory);
    let mut disks: Vec<&Listing> = live(directory).filter(|listing| listing.replica.is_some()).collect();
    disks.sort_by_key(|listing| std::cmp::Reverse(weight(stream, listing)));
    for listing in disks.into_iter().take(ASKED_DISKS) {
        if !holders.contains(&listing.name) {
            holders.push(listing.name.clone());
        }
    }
    holders.retain(|holder| *holder != me.name);
    holders
}

fn first_holder(stream: StreamTag, directory: &Directory) -> Option<&Listing> {
    live(directory).max_by_key(|listing| weight(stream, listing))
}

fn live(directory: &Directory) -> impl Iterator<Item = &Listing> {
    directory.values().filter(|listing| !listing.stopping)
}

fn weight(stream: StreamTag, listing: &Listing) -> u64 {
    id::rendezvous_key(id::number_key(stream), id::node_key(&listing.name))
}
