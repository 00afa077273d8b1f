//! Shorter schedules that still fail.

use crate::Schedule;

/// Leaves out faults while `fails` holds, in ever smaller pieces, and returns the shortest schedule found.
pub fn shrink(schedule: &Schedule, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut kept: Vec<usize> = (0..schedule.entries.len()).collect();
    let mut piece = kept.len().div_ceil(2);
    while piece > 0 && kept.len() > 1 {
        let mut from = 0;
        let before = kept.len();
        while from < kept.len() {
            let without: Vec<usize> = kept[..from].iter().chain(kept.iter().skip(from + piece)).copied().collect();
            if !without.is_empty() && fails(&schedule.with_only(&without)) {
                kept = without;
            } else {
                from += piece;
            }
        }
        if kept.len() == before {
            piece /= 2;
        }
    }
    schedule.with_only(&kept)
}
