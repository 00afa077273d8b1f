//! Fair shares of contended services between organisations, as the gateway uses them.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_gateway::{
    dialect::{Prompt, PromptPart},
    shares::{Shares, group_of, units_of},
};
use rudder_route::shares::Fate;

const UNITS: u32 = 40;

/// Records 30 requests of a heavy organisation and 5 of each of four light ones at level 1, all with the same fate.
fn record(shares: &mut Shares, fate: Fate, now: Moment) {
    for _ in 0..30 {
        shares.record(Some("heavy"), group_of("svc", 1), UNITS, fate, now);
    }
    for organisation in ["a", "b", "c", "d"] {
        for _ in 0..5 {
            shares.record(Some(organisation), group_of("svc", 1), UNITS, fate, now);
        }
    }
}

/// Number of 100 further requests of an organisation that are refused for fairness.
fn refused(shares: &mut Shares, organisation: &str, (service, level): (&str, usize), now: Moment) -> u32 {
    let mut refused = 0;
    for _ in 0..100 {
        let is_over = shares.is_over(organisation, service, level, now);
        refused += u32::from(is_over);
        let fate = if is_over { Fate::Unfair } else { Fate::Short };
        shares.record(Some(organisation), group_of(service, level), UNITS, fate, now);
    }
    refused
}

macro_rules! overs {
    ($($(#[$meta:meta])* $name:ident: $short:expr, $organisation:expr, $at:expr, $after:expr => $refused:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let now = Moment::now();
            let mut shares = Shares::new(now);
            record(&mut shares, Fate::Admitted, now);
            if $short {
                record(&mut shares, Fate::Short, now);
            }
            let refused = refused(&mut shares, $organisation, $at, now + Duration::from_secs($after));
            assert!($refused.contains(&refused), "{refused}");
        })*
    };
}

overs! {
    a_heavy_organisation_is_limited_under_shortage: true, "heavy", ("svc", 1), 0 => (50..95);
    /// An organisation always gets a trickle, whatever its demand.
    a_newcomer_is_let_in: true, "new", ("svc", 1), 0 => (0..95);
    /// Requests that are refused for lack of capacity at one level limit nobody at another one, nor at another service.
    other_levels_are_not_limited: true, "heavy", ("svc", 0), 0 => (0..1);
    other_services_are_not_limited: true, "heavy", ("other", 1), 0 => (0..1);
    /// Nobody is refused by figures that have left the window.
    a_past_shortage_limits_nobody: true, "heavy", ("svc", 1), 6 => (0..1);
}

/// Guards against refusals for fairness that keep themselves up: only a lack of capacity starts them.
#[test]
fn fairness_refuses_nobody_without_shortage() {
    let now = Moment::now();
    let mut shares = Shares::new(now);
    record(&mut shares, Fate::Admitted, now);
    record(&mut shares, Fate::Unfair, now);
    assert!(!shares.is_over("heavy", "svc", 1, now));
    assert_eq!(shares.count_over(now), 0);
    assert!(shares.to_reports(now).is_empty(), "nothing is exchanged without shortage");
}

/// Guards against a lost exchange that goes on counting, and against instances that do not report to a short one.
#[test]
fn the_exchange_is_used_while_it_is_fresh() {
    let now = Moment::now();
    let (mut here, mut there) = (Shares::new(now), Shares::new(now));
    record(&mut here, Fate::Admitted, now);
    record(&mut there, Fate::Short, now);
    assert!(here.to_reports(now).is_empty());
    let reports = there.to_reports(now);
    here.set_others(&reports, now);
    assert_eq!(here.to_reports(now).len(), 1, "the other instance needs this one's figures");
    assert!(here.to_reports(now + Duration::from_millis(1600)).is_empty());
}

/// The work of a request doesn't depend on what an engine has cached, which is unknown for refused ones.
#[test]
fn work_counts_own_prompt_tokens_and_output() {
    let part = |tokens| PromptPart { id: 1, tokens };
    let parts = vec![part(3000), part(1000)];
    let prompt = Prompt { tokens: 4000, max_answer: 500, answer_hint: Some(50), parts };
    assert_eq!(units_of(&prompt), 15);
}
