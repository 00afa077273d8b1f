//! An instance that is cut off or stands still for a moment while a second version joins: from the moment at which streams may
//! begin at the second one, it must not take the first for the only one.

mod mesh;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rudder_core::{
    Event,
    origins::{Origin, StreamRoute},
};
use rudder_model::id;

use mesh::{Layout, Mesh};

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);
const DISKS: usize = 5;
/// From the first heartbeat of the second version until the end of a run.
const AFTER: Duration = Duration::from_millis(4500);
/// Latest start of the trouble before that heartbeat.
const BEFORE: Duration = Duration::from_millis(1200);

/// What happens to the instance.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// It is cut off from all others, and still serves its callers.
    Cut,
    /// It stands still; questions that come meanwhile wait.
    Pause,
}

/// Instances that callers ask all the time whether a stream may go on.
struct Fleet {
    mesh: Mesh,
    asked: usize,
    tickets: u64,
    /// Questions that came when streams could begin at the second version somewhere.
    late: BTreeMap<u64, Duration>,
}

impl Fleet {
    fn start(total: usize, asked: usize) -> Fleet {
        let mesh = Mesh::start_as(Layout { total, disks: DISKS, ..Layout::default() });
        let mut fleet = Fleet { mesh, asked, tickets: 0, late: BTreeMap::new() };
        fleet.mesh.run(SECOND * 4);
        for sequence in 1..8 {
            fleet.mesh.version_beat(0, "e-v1", "v1", sequence);
            fleet.mesh.run(MILLISECOND * 500);
        }
        fleet
    }

    fn is_admitted_somewhere(&self, version: &str) -> bool {
        let admits = |number| self.mesh.releases_at(number).is_some_and(|held| held.is_admitted("model", version));
        (0..self.mesh.nodes.len()).any(admits)
    }

    fn ask(&mut self) {
        self.tickets += 1;
        if self.is_admitted_somewhere("v2") {
            self.late.insert(self.tickets, self.mesh.now);
        }
        let places = id::place_tags("h.example", "/resume/").collect();
        let route = Arc::new(StreamRoute { services: vec!["model".into()], places });
        self.mesh.send_event(self.asked, Event::AskOrigin { ticket: self.tickets, stream: self.tickets, route });
    }

    fn set(&mut self, trouble: Trouble, begins: bool) {
        match trouble {
            Trouble::Cut => self.mesh.nodes[self.asked].cut = begins,
            Trouble::Pause if begins => self.mesh.nodes[self.asked].paused = true,
            Trouble::Pause => self.mesh.wake(self.asked),
        }
    }

    /// Lets the trouble begin `offset` after `BEFORE` before the second version's first heartbeat, and last for `span`.
    fn run(&mut self, trouble: Trouble, offset: Duration, span: Duration) {
        let start = self.mesh.now;
        let joins = start + BEFORE;
        let (begins, ends) = (start + offset, start + offset + span);
        let (mut has_begun, mut has_ended) = (false, false);
        while self.mesh.now < joins + AFTER {
            let now = self.mesh.now;
            if !has_begun && now >= begins {
                has_begun = true;
                self.set(trouble, true);
            }
            if !has_ended && now >= ends {
                has_ended = true;
                self.set(trouble, false);
            }
            let sequence = 100 + now.as_millis() as u64;
            let beats = (now.saturating_sub(start)).as_millis().is_multiple_of(200);
            if beats {
                self.mesh.version_beat(0, "e-v1", "v1", sequence);
            }
            if beats && now >= joins {
                self.mesh.version_beat(1, "e-v2", "v2", sequence);
            }
            self.ask();
            self.mesh.run(STEP);
        }
        self.mesh.run(SECOND);
    }

    /// Questions to which the first version was named although a stream may have begun at the second.
    fn wrong(&self) -> usize {
        let is_wrong = |ticket: &u64| matches!(self.mesh.origins.get(ticket), Some(Origin::Only(software)) if *software.version == *"v1");
        self.late.keys().filter(|ticket| is_wrong(ticket)).count()
    }
}

fn sweep(total: usize, asked: usize, trouble: Trouble) {
    for span in [300, 700, 900, 3000].map(Duration::from_millis) {
        for offset in (0..2000).step_by(100).map(Duration::from_millis) {
            let mut fleet = Fleet::start(total, asked);
            fleet.run(trouble, offset, span);
            assert!(!fleet.late.is_empty(), "the second version is admitted");
            let (wrong, late) = (fleet.wrong(), fleet.late.len());
            assert_eq!(wrong, 0, "of {late} questions, {trouble:?} for {span:?} from {offset:?}");
        }
    }
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $total:expr, $asked:expr, $trouble:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            sweep($total, $asked, $trouble);
        })*
    };
}

cases! {
    /// Guards against a stream that goes on at another version at an instance without links to the others.
    an_instance_that_is_cut_off_shows_no_only_version: 8, 6, Trouble::Cut;
    an_instance_with_a_disk_that_is_cut_off_shows_no_only_version: 8, 3, Trouble::Cut;
    /// Guards against the same at an instance that answers the questions of a pause by what it knew before.
    an_instance_that_stood_still_shows_no_only_version: 8, 6, Trouble::Pause;
    an_instance_with_a_disk_that_stood_still_shows_no_only_version: 8, 3, Trouble::Pause;
    /// Guards against the same where the state comes through relays.
    an_instance_behind_relays_that_is_cut_off_shows_no_only_version: 40, 33, Trouble::Cut;
    an_instance_behind_relays_that_stood_still_shows_no_only_version: 40, 33, Trouble::Pause;
}
