//! Which version began a stream: an instance that does not know is not sure that there is one version only.

mod mesh;

use std::{sync::Arc, time::Duration};

use mesh::{Layout, Mesh};
use rudder_core::{
    Event, Registration,
    origins::{Origin, StreamOrigin, StreamRoute},
};
use rudder_ledger::{Document, Software, Stage};
use rudder_model::{EndpointId, id};

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const TOTAL: usize = 9;
/// Instances with a disk, which are the first ones.
const DISKS: usize = 3;
/// An instance without a disk that begins streams.
const BEGINNER: usize = 7;
/// One that is asked to let them go on.
const ASKED: usize = 5;
/// One that is suspended, so that it does not report what it holds.
const SUSPENDED: usize = 4;
const STREAM: u64 = 77;
/// Longer than the time until a version without endpoints is retired, and then dropped.
const RETENTION: Duration = Duration::from_secs(65);

/// The start of an endpoint, as it tells it.
const BORN: u64 = 1_792_914_332_612;
/// Longer than the time for which the streams of an endpoint that has started again may be its next life's.
const CONFIRMED: Duration = Duration::from_secs(15);

/// The place of the route for streams.
const HOST: &str = "h.example";
const PREFIX: &str = "/resume/";
/// A place within it, which may have a route of its own.
const INNER: &str = "/resume/inner/";

/// The route of a request at `path`, whose services now are these.
fn route_at(path: &str, services: &[&str]) -> Arc<StreamRoute> {
    let services = services.iter().map(|service| Arc::from(*service)).collect();
    Arc::new(StreamRoute { services, places: id::place_tags(HOST, path).collect() })
}

/// A document whose routes for streams are at these places.
fn document(version: u64, routes: &[(&str, &str)]) -> Document {
    let share = |(prefix, service): &(&str, &str)| {
        let place = id::place_tags(HOST, prefix).last().expect("a place");
        id::share_tag(place, service)
    };
    Document::with_shares(version, format!("{routes:?}").into_bytes(), routes.iter().map(share).collect())
}

fn software(version: &str) -> Software {
    Software { service: "model".into(), version: version.into() }
}

/// Instances before endpoints of several versions that send heartbeats.
struct Deployment {
    mesh: Mesh,
    versions: Vec<&'static str>,
    sequence: u64,
    tickets: u64,
}

impl Deployment {
    fn start(versions: &[&'static str]) -> Deployment {
        let mut mesh = Mesh::start_as(Layout { total: TOTAL, disks: DISKS, ..Layout::default() });
        mesh.run(SECOND * 4);
        let mut deployment = Deployment { mesh, versions: Vec::new(), sequence: 0, tickets: 0 };
        for version in versions {
            deployment.release(version);
        }
        deployment
    }

    /// Starts an endpoint of a version, and waits until streams may begin there.
    fn release(&mut self, version: &'static str) {
        self.versions.push(version);
        self.run(SECOND * 4);
        assert!(self.is_admitted(BEGINNER, version), "{version} is in service");
    }

    /// Advances time; endpoints send a heartbeat every second.
    fn run(&mut self, span: Duration) {
        let end = self.mesh.now + span;
        while self.mesh.now < end {
            self.sequence += 1;
            for (number, version) in self.versions.iter().enumerate() {
                let endpoint = format!("e-{version}");
                self.mesh.version_beat(number % TOTAL, &endpoint, version, self.sequence);
            }
            self.mesh.run(SECOND.min(end.saturating_sub(self.mesh.now)));
        }
    }

    fn is_admitted(&self, number: usize, version: &str) -> bool {
        self.mesh.releases_at(number).is_some_and(|releases| releases.is_admitted("model", version))
    }

    fn stage(&self, version: &str) -> Option<Stage> {
        self.mesh.releases_at(ASKED).and_then(|releases| releases.stage(&software(version)))
    }

    fn begin(&mut self, version: &str) {
        self.begin_at(BEGINNER, version, &["model"]);
    }

    /// Begins the stream at an instance, on a route with these services.
    fn begin_at(&mut self, number: usize, version: &str, services: &[&str]) {
        self.send_begun(number, version, services, None);
    }

    fn send_begun(&mut self, number: usize, version: &str, services: &[&str], endpoint: Option<EndpointId>) {
        let origin = StreamOrigin { stream: STREAM, software: Some(software(version)) };
        let route = route_at(PREFIX, services);
        self.mesh.send_event(number, Event::StreamBegun { origin, route, endpoint });
        self.mesh.run(MILLISECOND * 20);
    }

    /// Begins a stream at the endpoint whose life that began at `BORN` is known, with v1; its next life says that it has
    /// `version` the given time later.
    fn begin_before_upgrade(&mut self, later: Duration, version: &str) {
        self.mesh.upgraded_beat(0, BORN, "v1", 1);
        self.run(SECOND);
        self.send_begun(BEGINNER, "v1", &["model"], Some(id::life_id("e-1", Some(BORN))));
        self.run(later);
        self.mesh.upgraded_beat(1, BORN + 900, version, 1);
        self.run(SECOND);
    }

    /// Sends a heartbeat of an endpoint of another service, with version w1.
    fn beat_other(&mut self, number: usize) {
        self.sequence += 1;
        let registration = Registration {
            service: "other".into(),
            version: "w1".into(),
            sequence: self.sequence,
            ..mesh::registration("o-1", "hall-0")
        };
        self.mesh.send_event(number, Event::Register { ticket: 0, registration });
    }

    /// Starts an endpoint of another service, and waits until streams may begin there.
    fn release_other(&mut self) {
        for _ in 0..10 {
            self.beat_other(BEGINNER);
            self.run(MILLISECOND * 200);
        }
        assert!(self.admits_other(ASKED));
    }

    /// Puts a document with these routes for streams in force.
    fn configure(&mut self, version: u64, routes: &[(&str, &str)]) {
        self.mesh.send_event(0, Event::PutDocument { ticket: 0, document: document(version, routes) });
        self.run(SECOND);
        assert_eq!(self.mesh.version_at(ASKED), version);
    }

    fn admits_other(&self, number: usize) -> bool {
        self.mesh.releases_at(number).is_some_and(|releases| releases.is_admitted("other", "w1"))
    }

    /// Ends all instances with a loss of power, which takes what was not synced, and starts them again.
    fn lose_power(&mut self) {
        for node in &mut self.mesh.nodes {
            node.notes.clear();
        }
        self.mesh.restart_all();
    }

    /// Asks an instance what began the stream.
    fn ask(&mut self, number: usize) -> Origin {
        self.ask_of(number, &["model"])
    }

    /// Asks an instance which version of a route's services began the stream.
    fn ask_of(&mut self, number: usize, services: &[&str]) -> Origin {
        self.ask_route(number, route_at(PREFIX, services))
    }

    /// Asks an instance which version began the stream, which is of this route.
    fn ask_route(&mut self, number: usize, route: Arc<StreamRoute>) -> Origin {
        self.tickets += 1;
        self.mesh.send_event(number, Event::AskOrigin { ticket: self.tickets, stream: STREAM, route });
        self.mesh.run(MILLISECOND * 400);
        self.mesh.origins.get(&self.tickets).cloned().expect("an answer within the timeout")
    }
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $versions:expr, $test:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let test: fn(&mut Deployment) = $test;
                test(&mut Deployment::start(&$versions));
            }
        )*
    };
}

cases! {
    /// Guards against refusals while one version serves.
    a_stream_of_the_only_version_goes_on: ["v1"], |deployment| {
        assert_eq!(deployment.ask(ASKED), Origin::Only(software("v1")));
    };
    /// Guards against a stream whose version only its holders know.
    holders_know_a_stream_of_one_of_two_versions: ["v1", "v2"], |deployment| {
        deployment.begin("v2");
        deployment.mesh.kill(BEGINNER);
        assert_eq!(deployment.ask(ASKED), Origin::Known(software("v2")));
    };
    /// Guards against a stream that goes on at the version that was heard of first after a start.
    a_version_that_is_not_heard_of_after_a_start_counts: ["v1", "v2"], |deployment| {
        deployment.begin("v2");
        deployment.lose_power();
        deployment.versions = vec!["v1"];
        for _ in 0..20 {
            deployment.run(MILLISECOND * 200);
            assert_eq!(deployment.ask(ASKED), Origin::Unknown);
        }
    };
    /// Guards against streams that are all refused after a start.
    holders_with_a_disk_know_a_stream_after_a_start: ["v1", "v2"], |deployment| {
        deployment.begin("v2");
        deployment.mesh.restart_all();
        deployment.run(SECOND * 4);
        for number in 0..TOTAL {
            assert_eq!(deployment.ask(number), Origin::Known(software("v2")));
        }
    };
    /// Guards against streams whose holders are told only of those that begin later.
    streams_of_the_first_version_are_known_after_a_second_came: ["v1"], |deployment| {
        deployment.begin("v1");
        deployment.release("v2");
        deployment.mesh.kill(BEGINNER);
        assert_eq!(deployment.ask(ASKED), Origin::Known(software("v1")));
    };
    /// Guards against a stream that goes on at the version that is left.
    a_version_that_ended_before_a_start_counts: ["v1", "v2"], |deployment| {
        deployment.begin("v1");
        deployment.versions = vec!["v2"];
        deployment.run(SECOND * 10);
        deployment.lose_power();
        deployment.run(SECOND * 4);
        assert_eq!(deployment.ask(ASKED), Origin::Unknown);
    };
    /// Guards against refusals after a start where one version has served alone.
    the_only_version_is_known_after_a_start: ["v1"], |deployment| {
        deployment.mesh.restart_all();
        deployment.run(SECOND * 4);
        assert_eq!(deployment.ask(ASKED), Origin::Only(software("v1")));
    };
    /// Guards against an instance that has lost touch and takes what it knows for all there is.
    an_old_state_shows_no_only_version: ["v1"], |deployment| {
        deployment.mesh.nodes[ASKED].cut = true;
        deployment.run(SECOND * 2);
        assert_eq!(deployment.ask(ASKED), Origin::Unknown);
        deployment.mesh.nodes[ASKED].cut = false;
        deployment.run(SECOND * 2);
        assert_eq!(deployment.ask(ASKED), Origin::Only(software("v1")));
    };
    /// Guards against an instance that was suspended while a second version came.
    an_instance_that_was_suspended_shows_no_only_version: ["v1"], |deployment| {
        deployment.mesh.nodes[ASKED].paused = true;
        deployment.release("v2");
        deployment.begin("v2");
        deployment.mesh.kill(BEGINNER);
        deployment.mesh.wake(ASKED);
        assert_eq!(deployment.ask(ASKED), Origin::Known(software("v2")));
    };
    /// Guards against streams that are refused for a version at which none can have begun yet.
    a_version_that_is_only_announced_began_no_stream: ["v1"], |deployment| {
        deployment.begin("v1");
        deployment.mesh.kill(BEGINNER);
        deployment.mesh.nodes[SUSPENDED].paused = true;
        deployment.mesh.version_beat(ASKED, "e-v2", "v2", 1);
        deployment.mesh.run(MILLISECOND * 600);
        assert_eq!(deployment.stage("v2"), Some(Stage::Announced));
        assert_eq!(deployment.ask(ASKED), Origin::Only(software("v1")));
    };
    /// Guards against a new version in use before an instance with a valid proof knows of it.
    a_version_is_admitted_once_every_live_instance_counts_it: ["v1"], |deployment| {
        deployment.versions.push("v2");
        for _ in 0..400 {
            deployment.mesh.run(MILLISECOND * 5);
            deployment.sequence += 1;
            let sequence = deployment.sequence;
            deployment.mesh.version_beat(BEGINNER, "e-v2", "v2", sequence);
            if !(0..TOTAL).any(|number| deployment.is_admitted(number, "v2")) {
                continue;
            }
            let counts = |number: &usize| deployment.mesh.releases_at(*number).is_some_and(|held| held.of("model").count() == 2);
            assert!((0..TOTAL).all(|number| counts(&number)));
            return;
        }
        panic!("v2 is never admitted");
    };
    /// Guards against versions that stay in the log, and against one dropped while its streams may still go on.
    a_version_without_endpoints_is_retired_and_dropped: ["v1", "v2"], |deployment| {
        deployment.versions = vec!["v2"];
        deployment.run(SECOND * 50);
        assert_eq!(deployment.stage("v1"), Some(Stage::Admitted));
        deployment.run(RETENTION);
        assert_eq!(deployment.stage("v1"), Some(Stage::Retired));
        deployment.run(RETENTION);
        assert_eq!(deployment.stage("v1"), None);
        assert_eq!(deployment.ask(ASKED), Origin::Only(software("v2")));
    };
    /// Guards against a version that comes back and stays out of use.
    a_retired_version_is_admitted_again: ["v1", "v2"], |deployment| {
        deployment.versions = vec!["v2"];
        deployment.run(SECOND * 110);
        assert_eq!(deployment.stage("v1"), Some(Stage::Retired));
        deployment.versions = vec!["v1", "v2"];
        deployment.run(SECOND * 2);
        assert_eq!(deployment.stage("v1"), Some(Stage::Admitted));
    };
    /// Guards against retirements by a new leader whose registry is still empty.
    versions_stay_admitted_across_a_restart: ["v1", "v2"], |deployment| {
        deployment.mesh.restart_all();
        for _ in 0..40 {
            deployment.mesh.run(MILLISECOND * 100);
            let held = deployment.stage("v1");
            assert!(held.is_none_or(|stage| stage == Stage::Admitted), "{held:?}");
        }
        assert!(deployment.is_admitted(ASKED, "v1") && deployment.is_admitted(ASKED, "v2"));
    };
    /// Guards against the first version of a route's second service, which is admitted before all instances count it.
    the_first_version_of_a_second_service_of_a_route_counts: ["v1"], |deployment| {
        deployment.mesh.nodes[ASKED].cut = true;
        for _ in 0..150 {
            deployment.beat_other(BEGINNER);
            deployment.mesh.run(MILLISECOND * 20);
            if deployment.admits_other(BEGINNER) {
                break;
            }
        }
        assert!(deployment.admits_other(BEGINNER), "streams begin at w1 of the other service");
        let origin = deployment.ask_of(ASKED, &["model", "other"]);
        assert_eq!(origin, Origin::Unknown, "a stream may have begun at w1 of the other service");
    };
    /// Guards against an instance that has started since a route was moved and takes its new service for the only one.
    a_stream_of_a_service_that_its_route_has_left_does_not_go_on_elsewhere: ["v1"], |deployment| {
        deployment.release_other();
        deployment.configure(1, &[(PREFIX, "model")]);
        deployment.begin("v1");
        deployment.configure(2, &[(PREFIX, "other")]);
        deployment.mesh.restart_all();
        deployment.run(SECOND * 4);
        for number in 0..TOTAL {
            let origin = deployment.ask_of(number, &["other"]);
            assert!(!matches!(origin, Origin::Only(_)), "{origin:?}, and v1 of model has begun it");
        }
    };
    /// Guards against the same where power was lost, and with it what the holders noted.
    a_moved_route_counts_after_a_loss_of_power: ["v1"], |deployment| {
        deployment.release_other();
        deployment.configure(1, &[(PREFIX, "model")]);
        deployment.begin("v1");
        deployment.configure(2, &[(PREFIX, "other")]);
        deployment.lose_power();
        deployment.run(SECOND * 4);
        assert_eq!(deployment.ask_of(ASKED, &["other"]), Origin::Unknown);
    };
    /// Guards against streams that are refused where the instance that began them was up when their route was moved.
    holders_know_a_stream_whose_route_was_moved: ["v1"], |deployment| {
        deployment.release_other();
        deployment.configure(1, &[(PREFIX, "model")]);
        deployment.begin("v1");
        deployment.configure(2, &[(PREFIX, "other")]);
        deployment.mesh.kill(BEGINNER);
        assert_eq!(deployment.ask_of(ASKED, &["other"]), Origin::Known(software("v1")));
    };
    /// Guards against a stream that goes on at the service of a longer route that was added while it ran.
    a_stream_does_not_go_on_at_a_route_that_was_added_for_its_path: ["v1"], |deployment| {
        deployment.release_other();
        deployment.configure(1, &[(PREFIX, "model")]);
        deployment.begin("v1");
        deployment.configure(2, &[(PREFIX, "model"), (INNER, "other")]);
        deployment.lose_power();
        deployment.run(SECOND * 4);
        let route = route_at(INNER, &["model", "other"]);
        assert_eq!(deployment.ask_route(ASKED, route), Origin::Unknown);
    };
    /// Guards against a stream that goes on at the service of a shorter route after its own route was removed.
    a_stream_does_not_go_on_at_the_route_that_is_left_for_its_path: ["v1"], |deployment| {
        deployment.release_other();
        deployment.configure(1, &[(INNER, "model"), (PREFIX, "other")]);
        deployment.begin("v1");
        deployment.configure(2, &[(PREFIX, "other")]);
        deployment.lose_power();
        deployment.run(SECOND * 4);
        assert_eq!(deployment.ask_route(ASKED, route_at(INNER, &["other"])), Origin::Unknown);
    };
    /// Guards against refusals at places that a change of the configuration did not touch.
    a_move_of_another_route_does_not_count: ["v1"], |deployment| {
        deployment.release_other();
        deployment.configure(1, &[(PREFIX, "model"), ("/else/", "model")]);
        deployment.configure(2, &[(PREFIX, "model"), ("/else/", "other")]);
        deployment.mesh.restart_all();
        deployment.run(SECOND * 4);
        assert_eq!(deployment.ask(ASKED), Origin::Only(software("v1")));
    };
    /// Guards against moves that count for longer than streams last.
    a_move_is_dropped_after_a_while: ["v1"], |deployment| {
        deployment.release_other();
        deployment.configure(1, &[(PREFIX, "model")]);
        deployment.configure(2, &[(PREFIX, "other")]);
        deployment.run(RETENTION);
        let count = |deployment: &Deployment| deployment.mesh.releases_at(ASKED).map(|releases| releases.moves().len());
        assert_eq!(count(deployment), Some(0));
        deployment.beat_other(BEGINNER);
        deployment.run(SECOND);
        assert!(matches!(deployment.ask_of(ASKED, &["other"]), Origin::Only(_)));
    };
    /// Guards against a stream that goes on as the moves of routes are too many to be held.
    too_many_moves_leave_no_only_version: ["v1"], |deployment| {
        deployment.release_other();
        let names: Vec<String> = (0..3_000).map(|number| format!("/route-{number}/")).collect();
        let mut routes: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "model")).collect();
        routes.push((PREFIX, "model"));
        deployment.configure(1, &routes);
        deployment.begin("v1");
        deployment.configure(2, &[(PREFIX, "other")]);
        deployment.lose_power();
        deployment.run(SECOND * 4);
        assert_eq!(deployment.ask_of(ASKED, &["other"]), Origin::Unknown);
    };
    /// Guards against streams of a split route that nobody is told of, as each of its services has one version only.
    holders_know_a_stream_of_one_of_two_services_of_a_route: ["v1"], |deployment| {
        for _ in 0..10 {
            deployment.beat_other(BEGINNER);
            deployment.run(MILLISECOND * 200);
        }
        assert!(deployment.admits_other(ASKED));
        deployment.begin_at(BEGINNER, "v1", &["model", "other"]);
        let origin = deployment.ask_of(ASKED, &["model", "other"]);
        assert_eq!(origin, Origin::Known(software("v1")));
    };
    /// Guards against a stream of a call that was passed on, brought no event, and began anew at another version.
    a_stream_that_begins_anew_goes_on_at_its_later_version: ["v1", "v2"], |deployment| {
        deployment.begin("v1");
        deployment.mesh.kill(BEGINNER);
        deployment.run(SECOND);
        deployment.begin_at(BEGINNER - 1, "v2", &["model"]);
        deployment.run(SECOND);
        let origin = deployment.ask(ASKED);
        assert_ne!(origin, Origin::Known(software("v1")), "the caller has events of v2");
    };
    /// Guards against the version of an endpoint's last life counting for a stream that its next life may have begun.
    a_stream_of_an_endpoint_that_was_upgraded_has_no_known_version: ["v1", "v2"], |deployment| {
        deployment.begin_before_upgrade(MILLISECOND * 500, "v2");
        for number in [BEGINNER, ASKED] {
            assert_eq!(deployment.ask(number), Origin::Unknown);
        }
    };
    /// Guards against the same after all processes have ended, which leaves the notes of the version.
    a_stream_of_an_endpoint_that_was_upgraded_has_no_known_version_after_a_kill: ["v1", "v2"], |deployment| {
        deployment.begin_before_upgrade(MILLISECOND * 500, "v2");
        deployment.mesh.restart_all();
        deployment.run(SECOND * 5);
        assert_eq!(deployment.ask(ASKED), Origin::Unknown);
    };
    /// Guards against streams that are refused because their endpoint has crashed and started again.
    a_stream_of_an_endpoint_that_started_again_is_known: ["v1", "v2"], |deployment| {
        deployment.begin_before_upgrade(MILLISECOND * 500, "v1");
        assert_eq!(deployment.ask(ASKED), Origin::Known(software("v1")));
    };
    /// Guards against streams that are refused as their endpoint is upgraded long after they began.
    a_stream_that_began_long_before_an_upgrade_is_known: ["v1", "v2"], |deployment| {
        deployment.begin_before_upgrade(CONFIRMED, "v2");
        assert_eq!(deployment.ask(ASKED), Origin::Known(software("v1")));
    };
    /// Guards against notes of old streams that leave no room for new ones after a start.
    notes_of_old_streams_leave_room_for_new_ones: ["v1", "v2"], |deployment| {
        for number in 0..DISKS {
            let old = |stream: u64| StreamOrigin { stream: 1_000_000 + stream, software: Some(software("v1")) };
            deployment.mesh.nodes[number].notes = (0..50_000).map(old).collect();
        }
        deployment.mesh.restart_all();
        deployment.run(SECOND * 5);
        deployment.begin("v2");
        (DISKS..TOTAL).for_each(|number| deployment.mesh.kill(number));
        deployment.mesh.run(SECOND * 2);
        assert_eq!(deployment.ask(0), Origin::Known(software("v2")));
    };
    /// Guards against a stream that lasts, and is forgotten before its end.
    a_stream_of_more_than_a_minute_is_known: ["v1", "v2"], |deployment| {
        deployment.begin("v2");
        deployment.run(SECOND * 70);
        deployment.mesh.kill(BEGINNER);
        assert_eq!(deployment.ask(ASKED), Origin::Known(software("v2")));
    };
    /// Guards against a stream that went on and is then forgotten with the instance that began it.
    a_stream_that_went_on_as_the_only_one_is_known_after_a_release: ["v1"], |deployment| {
        deployment.begin("v1");
        deployment.mesh.kill(BEGINNER);
        assert_eq!(deployment.ask(ASKED), Origin::Only(software("v1")));
        deployment.run(SECOND * 2);
        deployment.versions.push("v2");
        deployment.run(SECOND * 4);
        assert_eq!(deployment.ask(ASKED), Origin::Known(software("v1")));
    };
    /// Guards against a service that is out of use as the endpoints of another one name too many versions.
    versions_of_one_service_leave_room_for_another: ["v1"], |deployment| {
        for number in 0..1_100 {
            deployment.mesh.version_beat(number % TOTAL, &format!("p-{number}"), &format!("pod-{number}"), 1);
        }
        deployment.run(SECOND * 5);
        for _ in 0..10 {
            deployment.beat_other(BEGINNER);
            deployment.run(MILLISECOND * 200);
        }
        let count = deployment.mesh.releases_at(ASKED).map(|releases| releases.iter().count());
        assert!(deployment.admits_other(ASKED), "{count:?} versions are held");
    };
}
