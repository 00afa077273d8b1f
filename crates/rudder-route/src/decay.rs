//! Sums whose parts lose weight with time.

use std::time::Duration;

/// A sum whose parts lose weight exponentially with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedSum {
    value: f64,
    at: Duration,
}

impl DecayedSum {
    /// The sum at `now`, where parts lose the share 1/e of their weight within `span`.
    pub fn at(&self, now: Duration, span: Duration) -> f64 {
        self.value * (-now.saturating_sub(self.at).as_secs_f64() / span.as_secs_f64()).exp()
    }

    /// Adds to the sum. It doesn't become negative.
    pub fn add(&mut self, amount: f64, now: Duration, span: Duration) {
        self.value = (self.at(now, span) + amount).max(0.0);
        self.at = self.at.max(now);
    }
}

/// A rate of occurrences, learned over the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedRate {
    sum: DecayedSum,
    /// Start of the observation.
    since: Duration,
    last: Option<Duration>,
}

/// Shortest time by which a count is divided: a few occurrences right after the start are no rate.
const MIN_OBSERVED: Duration = Duration::from_secs(1);
/// A pause of this many spans ends the observation: nothing is left of the counts before it.
const PAUSE_SPANS: u32 = 3;

impl DecayedRate {
    /// Records an occurrence.
    pub fn record(&mut self, now: Duration, span: Duration) {
        if self.last.is_none_or(|last| now.saturating_sub(last) > span * PAUSE_SPANS) {
            *self = DecayedRate { since: now, ..DecayedRate::default() };
        }
        self.sum.add(1.0, now, span);
        self.last = Some(now);
    }

    /// Occurrences a second.
    pub fn per_second(&self, now: Duration, span: Duration) -> f64 {
        // A sum that is younger than its span is divided by the time that it covers.
        let observed = now.saturating_sub(self.since).max(MIN_OBSERVED).as_secs_f64();
        let covered = span.as_secs_f64() * (1.0 - (-observed / span.as_secs_f64()).exp());
        self.sum.at(now, span) / covered
    }
}
