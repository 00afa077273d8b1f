//! Fair shares of contended services between organisations, see [`rudder_route::shares`].

use rudder_clock::Moment;
use rudder_model::{OrgTag, id};
use rudder_route::shares::{self, EQUAL_WEIGHT, Excess, Fate, Group, WorkReport};

use crate::dialect::Prompt;

/// The work of organisations at this instance and, as far as it is known, at the others.
#[derive(Debug)]
pub struct Shares {
    started: Moment,
    inner: shares::Shares,
}

impl Shares {
    /// Creates the state of an instance that started at `started`.
    pub fn new(started: Moment) -> Shares {
        Shares { started, inner: shares::Shares::default() }
    }

    /// Records a request of an organisation, `None` if it has none, of `units` of work.
    pub fn record(&mut self, organisation: Option<&str>, group: Group, units: u32, fate: Fate, now: Moment) {
        let now = now.saturating_duration_since(self.started);
        self.inner.record(organisation.map(id::org_tag), group, units, fate, now);
    }

    /// Whether a request of an organisation is to be refused in favour of the others of its service and level.
    pub fn is_over(&mut self, organisation: &str, service: &str, level: usize, now: Moment) -> bool {
        self.excess(organisation, group_of(service, level), now).is_some()
    }

    /// As [`Shares::is_over`], with the figures.
    pub fn excess(&mut self, organisation: &str, group: Group, now: Moment) -> Option<Excess> {
        let tag: OrgTag = id::org_tag(organisation);
        self.inner.excess(tag, group, EQUAL_WEIGHT, now.saturating_duration_since(self.started))
    }

    /// Records the sums of the other instances as of `at`.
    pub fn set_others(&mut self, reports: &[WorkReport], at: Moment) {
        self.inner.set_others(reports, at.saturating_duration_since(self.started));
    }

    /// The work of this instance to be reported to the others; empty while no capacity is short.
    pub fn to_reports(&mut self, now: Moment) -> Vec<WorkReport> {
        self.inner.to_reports(now.saturating_duration_since(self.started))
    }

    /// Number of known organisations over their share, over all services and levels.
    pub fn count_over(&self, now: Moment) -> usize {
        self.inner.count_over(now.saturating_duration_since(self.started))
    }
}

/// The group of requests of a service and priority level.
pub fn group_of(service: &str, level: usize) -> Group {
    Group { service: id::service_tag(service), level: u8::try_from(level).unwrap_or(u8::MAX) }
}

/// The work of a request in units. Only the request's own tokens count as prompt: whether an engine has the shared parts
/// cached is not known for refused requests, whose work must compare with that of admitted ones.
pub fn units_of(prompt: &Prompt) -> u32 {
    shares::to_units(prompt.own_tokens(), prompt.expected_answer())
}
