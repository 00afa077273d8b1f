//! Commands on their way to the leader: sent again until answered or given up.

use std::{collections::BTreeMap, time::Duration};

use rudder_ledger::{Answer, Attempt, Command};
use rudder_model::RequestId;

use crate::{Effect, Me, PeerMessage, view::View};

/// A proposal without an answer is sent again after this long.
const RETRY: Duration = Duration::from_millis(400);

/// After news of another leader, it is sent again after this long.
const SOON: Duration = Duration::from_millis(50);

/// Whom the answer is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// An operator's connection.
    Admin(u64),
    /// An operator's connection that sent a document.
    Document(u64),
    /// An operator's connection that ordered an evacuation or its end.
    Evacuation(u64),
    /// A request that claims its key.
    Claim(RequestId),
    /// A request whose answer waits until its end is recorded.
    Finish(RequestId),
    /// Nobody waits.
    Record,
}

#[derive(Clone, Debug)]
struct Proposal {
    purpose: Purpose,
    command: Command,
    sent: Option<Duration>,
    deadline: Duration,
}

/// All proposals under way.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    count: u64,
    open: BTreeMap<u64, Proposal>,
}

impl Proposals {
    /// Starts a proposal; it is sent at once and again until `deadline`.
    pub(crate) fn start(&mut self, purpose: Purpose, command: Command, deadline: Duration) {
        self.count += 1;
        self.open.insert(self.count, Proposal { purpose, command, sent: None, deadline });
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Sends what is new or has waited long. Returns the purposes given up.
    pub(crate) fn send(&mut self, now: Duration, me: &Me, view: &View, out: &mut Vec<Effect>) -> Vec<Purpose> {
        let mut ended = Vec::new();
        for (ticket, proposal) in &mut self.open {
            if now >= proposal.deadline {
                ended.push(*ticket);
                continue;
            }
            if proposal.sent.is_some_and(|sent| now < sent + RETRY) {
                continue;
            }
            let Some(to) = view.to_leader() else { continue };
            proposal.sent = Some(now);
            let message = PeerMessage::Propose { ticket: *ticket, start: me.start, command: proposal.command.clone() };
            out.push(Effect::Send { to, message });
        }
        ended.into_iter().filter_map(|ticket| self.open.remove(&ticket)).map(|proposal| proposal.purpose).collect()
    }

    /// True when a release or an end of this attempt is on its way.
    pub(crate) fn has_pending(&self, key: &str, attempt: &Attempt) -> bool {
        self.open.values().any(|proposal| match &proposal.command {
            Command::Release { key: held, attempt: of } | Command::Finish { key: held, attempt: of, .. } => {
                held == key && of == attempt
            }
            _ => false,
        })
    }

    /// Sends all again soon, because the leader is another than thought. Not at once: an instance that
    /// takes itself for the leader would ask itself for ever.
    pub(crate) fn retry_soon(&mut self, now: Duration) {
        let early = now.saturating_sub(RETRY.saturating_sub(SOON));
        for proposal in self.open.values_mut() {
            proposal.sent = proposal.sent.map(|sent| sent.min(early));
        }
    }

    /// Handles an answer; `None` for one that came twice or too late.
    pub(crate) fn end(&mut self, ticket: u64, answer: Answer) -> Option<(Purpose, Answer)> {
        self.open.remove(&ticket).map(|proposal| (proposal.purpose, answer))
    }
}
