//! Which life of an endpoint's name is the latest.
//!
//! A replica may start again under the name that it had, and knows nothing of before. Its start, by its own clock, tells the
//! lives apart: the later one replaces the earlier, whose words may still come late and count for nothing. The clock may have
//! stepped back between two starts, so that the later life bears the earlier time. Such a life is taken for the latest once
//! the other has fallen silent while it goes on speaking: what was held up on its way comes at once, not over time. It goes
//! unused until the other is shown as silent, and one heartbeat, or for [`DOUBT`] where that is longer.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rudder_model::{Born, EndpointId};

use crate::registry::{Phase, Registration};

/// A life with an earlier start must speak for so long, with rising sequence numbers, before it can follow a later one:
/// nearly two of the usual 1.2 s between heartbeats.
const DOUBT: Duration = Duration::from_secs(2);

/// What a word's life is to the other lives of its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The latest, or the only one known.
    Latest,
    /// It follows this one.
    Follows(EndpointId),
    /// An earlier one, or none that can be told.
    Late,
}

/// A life with an earlier start than the latest known.
#[derive(Clone, Debug)]
struct Doubt {
    life: EndpointId,
    since: Duration,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Life {
    endpoint: EndpointId,
    born: Born,
    doubt: Option<Box<Doubt>>,
}

/// The latest life of each name that tells its starts. Others have one life, known by the name alone.
#[derive(Clone, Debug, Default)]
pub struct Lives {
    latest: HashMap<Arc<str>, Life>,
}

impl Lives {
    /// Judges a word whose life is `held` or not; `unheard` tells for how long a life has not been heard of, and `silence`
    /// after how long it has fallen silent.
    pub fn judge(
        &mut self,
        now: Duration,
        said: &Registration,
        held: bool,
        silence: Duration,
        unheard: impl Fn(&EndpointId) -> Duration,
    ) -> Standing {
        let Some(latest) = self.latest.get_mut(said.name()) else { return Standing::Latest };
        if latest.endpoint == said.endpoint {
            latest.doubt = None;
            return Standing::Latest;
        }
        // A life that is held was replaced. A word without a start, of an endpoint that tells it, is another writer's.
        let Some(born) = said.born.filter(|_| !held) else { return Standing::Late };
        let later = latest.born < born;
        if later || latest.note_doubt(now, said, unheard(&latest.endpoint) >= silence) {
            return Standing::Follows(latest.endpoint.clone());
        }
        Standing::Late
    }

    /// Sets the latest life of a name.
    pub fn set(&mut self, life: &Registration) {
        let Some(born) = life.born else { return };
        if self.latest.get(life.name()).is_some_and(|latest| latest.endpoint == life.endpoint) {
            return;
        }
        let next = Life { endpoint: life.endpoint.clone(), born, doubt: None };
        self.latest.insert(life.name().into(), next);
    }

    /// Records what the leader told of lives: it knows which one replaced which. A later life, heard here first, stays.
    /// Returns the lives, known here, that others have followed by it.
    pub fn learn<'a>(&mut self, told: impl Iterator<Item = &'a Arc<Registration>> + Clone) -> Vec<EndpointId> {
        let mut followed = Vec::new();
        for life in told.clone().filter(|life| life.phase == Phase::Replaced) {
            if self.latest.get(life.name()).is_some_and(|latest| latest.endpoint == life.endpoint) {
                self.latest.remove(life.name());
            }
        }
        for life in told.filter(|life| life.phase != Phase::Replaced) {
            match self.latest.get(life.name()) {
                Some(latest) if latest.endpoint == life.endpoint => {}
                Some(latest) if Some(latest.born) >= life.born => followed.push(life.endpoint.clone()),
                latest => {
                    followed.extend(latest.map(|latest| latest.endpoint.clone()));
                    self.set(life);
                }
            }
        }
        followed
    }

    /// Drops the lives that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&EndpointId) -> bool) {
        self.latest.retain(|_, life| known(&life.endpoint));
    }
}

impl Life {
    /// Records the word of a life with an earlier start. Returns whether it has outlived this one, which may be `silent`.
    fn note_doubt(&mut self, now: Duration, said: &Registration, silent: bool) -> bool {
        let speaks = self.doubt.as_mut().filter(|doubt| doubt.life == said.endpoint);
        let Some(doubt) = speaks else {
            let doubt = Doubt { life: said.endpoint.clone(), since: now, sequence: said.sequence };
            self.doubt = Some(Box::new(doubt));
            return false;
        };
        if said.sequence <= doubt.sequence {
            return false;
        }
        doubt.sequence = said.sequence;
        now >= doubt.since + DOUBT && silent
    }
}
