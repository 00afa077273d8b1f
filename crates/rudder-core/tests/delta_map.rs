//! Replication of a map by deltas: copies that ask at any time, in pages and of different leaders, converge.

use std::collections::BTreeMap;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_core::delta_map::{DeltaMap, MapDelta};

type Entries = DeltaMap<u32, u32>;

/// Values above this are sent to no copy.
const MAX_SENT: u32 = 90;

fn held(copy: &Entries) -> BTreeMap<u32, u32> {
    copy.keys().copied().zip(copy.values().copied()).collect()
}

fn ask(leader: &Entries, copy: &mut Entries, limit: usize) {
    let delta = leader.delta_for(copy.version(), limit, false, |_| Some(0));
    if let Some(delta) = delta {
        copy.apply(delta, |_, _| true, |_, _| false);
    }
}

fn change(rng: &mut Pcg32, leader: &mut Entries) {
    let key = rng.random_range(0..60);
    match rng.random_range(0..4) {
        0 => leader.remove(&key),
        _ => leader.set(key, rng.random_range(0..100)),
    }
}

/// Asks until the copy is up to date.
fn catch_up(leader: &Entries, copy: &mut Entries, limit: usize) {
    for _ in 0..200 {
        ask(leader, copy, limit);
    }
    assert_eq!(copy.version(), leader.version());
}

macro_rules! pages {
    ($($name:ident: $limit:expr;)*) => {
        $(#[test] fn $name() {
            for seed in 0..200 {
                let mut rng = Pcg32::seed_from_u64(seed);
                let mut leader = Entries::default();
                leader.begin_term(1);
                let mut copies = vec![Entries::default(); 4];
                for step in 0..300 {
                    change(&mut rng, &mut leader);
                    let number = rng.random_range(0..copies.len());
                    ask(&leader, &mut copies[number], $limit);
                    if step % 90 == 89 {
                        // An up-to-date copy leads next.
                        let number = rng.random_range(0..copies.len());
                        catch_up(&leader, &mut copies[number], $limit);
                        leader = copies[number].clone();
                        leader.begin_term(2 + step);
                    }
                }
                for copy in &mut copies {
                    catch_up(&leader, copy, $limit);
                    assert_eq!(held(copy), held(&leader), "seed {seed}");
                }
            }
        })*
    };
}

pages! {
    copies_converge: usize::MAX;
    copies_converge_in_pages: 3;
}

/// A withheld entry that changes is sent also to copies that have asked in between.
#[test]
fn a_withheld_entry_is_sent_after_it_changes() {
    let included_since = |value: &u32| (*value <= MAX_SENT).then_some(0);
    let mut leader = Entries::default();
    leader.begin_term(1);
    for key in 0..10 {
        leader.set(key, 95);
    }
    let mut copy = Entries::default();
    let update = |leader: &Entries, copy: &mut Entries| {
        let delta: Option<MapDelta<u32, u32>> = leader.delta_for(copy.version(), 100, false, included_since);
        if let Some(delta) = delta {
            copy.apply(delta, |_, _| true, |_, _| false);
        }
    };
    update(&leader, &mut copy);
    assert!(copy.is_empty());
    leader.set(3, 5);
    update(&leader, &mut copy);
    assert_eq!(held(&copy), BTreeMap::from([(3, 5)]));
}

/// A copy that receives more entries from a version on is sent also those that haven't changed since.
#[test]
fn an_entry_included_since_a_version_is_sent_without_a_change() {
    let mut leader = Entries::default();
    leader.begin_term(1);
    leader.set(1, 10);
    leader.set(2, 20);
    let before = leader.version();
    let since = leader.advance();
    let sent_keys = |rescan: bool| {
        let delta = leader.delta_for(before, 100, rescan, |value| (*value == 20).then_some(since));
        delta.map(|delta| delta.entries.iter().map(|entry| entry.key).collect::<Vec<_>>())
    };
    assert_eq!((sent_keys(false), sent_keys(true)), (Some(vec![]), Some(vec![2])));
}
