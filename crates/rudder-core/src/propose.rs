//! Commands proposed to the leader, retried until they are answered or their deadline passes.

use std::{collections::BTreeMap, time::Duration};

use rudder_ledger::{Answer, Attempt, Command, Document, Patch};
use rudder_model::RequestId;

use crate::{Effect, Me, PeerMessage, view::View};

/// Interval between two attempts of a proposal.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// A document is proposed as a patch if that is smaller than its encoded form by at least this factor.
const MIN_SIZE_RATIO: usize = 2;

/// Delay before the next attempt after a change of leader.
const REDIRECT_DELAY: Duration = Duration::from_millis(50);

/// What a proposal is for, and who waits for its answer.
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
    /// An endpoint that departs.
    Departure(u64),
    /// Nobody waits.
    Record,
}

#[derive(Clone, Debug)]
struct Proposal {
    purpose: Purpose,
    command: Command,
    /// The document that a patch makes, which is proposed if the patch does not fit.
    whole: Option<Document>,
    sent: Option<Duration>,
    deadline: Duration,
}

impl Proposal {
    /// Returns the version of the document proposed; 0 for none.
    fn document_version(&self) -> u64 {
        match &self.command {
            Command::Document(document) => document.version,
            Command::DocumentPatch(patch) => patch.version,
            _ => 0,
        }
    }
}

/// All open proposals.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    count: u64,
    open: BTreeMap<u64, Proposal>,
}

impl Proposals {
    /// Adds a proposal, which is retried until `deadline`.
    pub(crate) fn start(&mut self, purpose: Purpose, command: Command, deadline: Duration) {
        self.count += 1;
        self.open.insert(self.count, Proposal { purpose, command, whole: None, sent: None, deadline });
    }

    /// Adds the proposal of a document: as a patch of the one held, if that is smaller.
    pub(crate) fn start_document(
        &mut self,
        ticket: u64,
        document: Document,
        held: Option<&Document>,
        deadline: Duration,
    ) {
        let patch = held.filter(|held| held.version < document.version).map(|held| Patch::between(held, &document));
        let purpose = Purpose::Document(ticket);
        match patch.filter(|patch| patch.size() * MIN_SIZE_RATIO <= document.body.encoded().len()) {
            Some(patch) => {
                self.start(purpose, Command::DocumentPatch(patch), deadline);
                if let Some(proposal) = self.open.get_mut(&self.count) {
                    proposal.whole = Some(document);
                }
            }
            None => self.start(purpose, Command::Document(document), deadline),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Sends the proposals that are due. Returns the purposes of those past their deadline.
    pub(crate) fn send(&mut self, now: Duration, me: &Me, view: &View, out: &mut Vec<Effect>) -> Vec<Purpose> {
        let mut expired = Vec::new();
        for (ticket, proposal) in &mut self.open {
            if now >= proposal.deadline {
                expired.push(*ticket);
                continue;
            }
            if proposal.sent.is_some_and(|sent| now < sent + RETRY_INTERVAL) {
                continue;
            }
            let Some(to) = view.to_leader() else { continue };
            proposal.sent = Some(now);
            let message = PeerMessage::Propose { ticket: *ticket, start: me.start, command: proposal.command.clone() };
            out.push(Effect::Send { to, message });
        }
        expired.into_iter().filter_map(|ticket| self.open.remove(&ticket)).map(|proposal| proposal.purpose).collect()
    }

    /// True if a release or an end of this attempt is already proposed.
    pub(crate) fn has_pending(&self, key: &str, attempt: &Attempt) -> bool {
        self.open.values().any(|proposal| match &proposal.command {
            Command::Release { key: held, attempt: of } | Command::Finish { key: held, attempt: of, .. } => {
                held == key && of == attempt
            }
            _ => false,
        })
    }

    /// Retries all proposals soon, after a change of leader. An immediate retry could loop endlessly at an instance that
    /// believes itself to be the leader.
    pub(crate) fn retry_soon(&mut self, now: Duration) {
        let latest = now.saturating_sub(RETRY_INTERVAL.saturating_sub(REDIRECT_DELAY));
        for proposal in self.open.values_mut() {
            proposal.sent = proposal.sent.map(|sent| sent.min(latest));
        }
    }

    /// Ends a proposal that was answered. Returns `None` for a duplicate or late answer, and for a patch that does not
    /// fit: its document is proposed instead.
    pub(crate) fn end(&mut self, ticket: u64, answer: Answer) -> Option<(Purpose, Answer)> {
        if let (Answer::Documented(version), Some(proposal)) = (&answer, self.open.get_mut(&ticket)) {
            // A late answer to the patch must not acknowledge the document.
            if *version < proposal.document_version() {
                if let Some(whole) = proposal.whole.take() {
                    (proposal.command, proposal.sent) = (Command::Document(whole), None);
                }
                return None;
            }
        }
        self.open.remove(&ticket).map(|proposal| (proposal.purpose, answer))
    }
}
