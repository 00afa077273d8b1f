//! The state machine as a whole.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Answer, Claims, Command, Config, Departures, Document, Evacuations, Patch, Quarantine, Releases, Stamped, Usage,
    document,
};

/// Everything the voters agree on, but for their own membership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Log index of the last command applied.
    pub index: u64,
    /// Latest time stamp applied; it never goes back.
    pub time: Duration,
    /// The configuration.
    pub config: Config,
    /// The claims.
    pub claims: Claims,
    /// The configuration document, once there is one.
    pub document: Option<Document>,
    /// Requests by organisation and window that are not yet reported.
    #[serde(default)]
    pub usage: Usage,
    /// Contents under which endpoints ended.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// Halls whose endpoints get nothing.
    #[serde(default)]
    pub evacuations: Evacuations,
    /// Endpoints whose departure was acknowledged.
    #[serde(default)]
    pub departures: Departures,
    /// Versions of endpoints' software that may have begun streams.
    #[serde(default)]
    pub releases: Releases,
}

impl Ledger {
    /// Applies the command at log index `index`.
    pub fn apply(&mut self, index: u64, stamped: Stamped) -> Answer {
        self.index = index;
        self.time = self.time.max(stamped.time);
        match stamped.command {
            Command::Change(change) => Answer::Changed(self.config.apply(index, change)),
            Command::Document(document) => Answer::Documented(self.take_document(document)),
            Command::DocumentPatch(patch) => Answer::Documented(self.apply_patch(&patch)),
            Command::Claim(claim) => Answer::Claimed(self.claims.claim(self.time, claim)),
            Command::Release { key, attempt } => Answer::Claimed(self.claims.release(self.time, &key, &attempt)),
            Command::Finish { key, attempt, outcome } => {
                Answer::Claimed(self.claims.finish(self.time, &key, &attempt, outcome))
            }
            Command::Tally(tally) => Answer::Counted(self.usage.take(tally)),
            Command::CloseWindow(window) => Answer::Counted(self.usage.close(window)),
            Command::Reported(window) => Answer::Counted(self.usage.end(window)),
            Command::Findings(findings) => Answer::Found(self.quarantine.apply(index, &findings)),
            Command::Evacuate(order) => Answer::Evacuated(self.evacuations.apply(index, order)),
            Command::Depart(departures) => Answer::Departed(self.departures.apply(index, departures)),
            Command::ForgetDepartures(forgotten) => Answer::Departed(self.departures.forget(&forgotten)),
            Command::SetStages(changes) => Answer::StagesSet(self.releases.apply(index, changes)),
            Command::ForgetMoves(until) => Answer::StagesSet(self.releases.forget_moves(index, until)),
        }
    }

    /// Holds the document with the highest version; an equal one changes nothing, whatever it contains.
    fn take_document(&mut self, document: Document) -> u64 {
        if document::is_newer(self.document.as_ref(), document.version) {
            self.replace_document(document);
        }
        self.document_version()
    }

    /// Holds the document that a patch makes of the one held, if it fits and makes a higher version.
    fn apply_patch(&mut self, patch: &Patch) -> u64 {
        if document::is_newer(self.document.as_ref(), patch.version) {
            let patched = self.document.as_ref().and_then(|held| patch.apply(held));
            if let Some(document) = patched {
                self.replace_document(document);
            }
        }
        self.document_version()
    }

    fn replace_document(&mut self, document: Document) {
        if let Some(before) = &self.document {
            self.releases.record_moves(self.index, &before.shares, &document.shares);
        }
        self.document = Some(document);
    }

    fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |held| held.version)
    }
}
