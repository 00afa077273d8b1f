//! Entries that spread as deltas: copies that ask at any time, in pages, and of different leaders, come to hold the same.

use std::collections::BTreeMap;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_core::delta_map::{DeltaMap, MapDelta};

type Entries = DeltaMap<u32, u32>;

/// Values above this are told to nobody.
const KEPT_BACK: u32 = 90;

fn held(copy: &Entries) -> BTreeMap<u32, u32> {
    copy.keys().copied().zip(copy.values().copied()).collect()
}

fn ask(leader: &Entries, copy: &mut Entries, most: usize) {
    let news = leader.delta_for(copy.version(), most, false, |_| Some(0));
    if let Some(news) = news {
        copy.apply(news, |_, _| true, |_, _| false);
    }
}

fn change(rng: &mut Pcg32, leader: &mut Entries) {
    let key = rng.random_range(0..60);
    match rng.random_range(0..4) {
        0 => leader.remove(&key),
        _ => leader.set(key, rng.random_range(0..100)),
    }
}

/// Asks until nothing is lacking.
fn catch_up(leader: &Entries, copy: &mut Entries, most: usize) {
    for _ in 0..200 {
        ask(leader, copy, most);
    }
    assert_eq!(copy.version(), leader.version());
}

macro_rules! pages {
    ($($name:ident: $most:expr;)*) => {
        $(#[test] fn $name() {
            for seed in 0..200 {
                let mut rng = Pcg32::seed_from_u64(seed);
                let mut leader = Entries::default();
                leader.begin_term(1);
                let mut copies = vec![Entries::default(); 4];
                for step in 0..300 {
                    change(&mut rng, &mut leader);
                    let number = rng.random_range(0..copies.len());
                    ask(&leader, &mut copies[number], $most);
                    if step % 90 == 89 {
                        // A copy that lacks nothing leads next.
                        let number = rng.random_range(0..copies.len());
                        catch_up(&leader, &mut copies[number], $most);
                        leader = copies[number].clone();
                        leader.begin_term(2 + step);
                    }
                }
                for copy in &mut copies {
                    catch_up(&leader, copy, $most);
                    assert_eq!(held(copy), held(&leader), "seed {seed}");
                }
            }
        })*
    };
}

pages! {
    copies_hold_the_same_whatever_they_missed: usize::MAX;
    copies_that_are_told_in_pages_hold_the_same: 3;
}

/// What is kept back and shown later comes as a change, also to those who had asked meanwhile.
#[test]
fn what_was_kept_back_is_told_once_it_has_changed() {
    let tells = |value: &u32| (*value <= KEPT_BACK).then_some(0);
    let mut leader = Entries::default();
    leader.begin_term(1);
    for key in 0..10 {
        leader.set(key, 95);
    }
    let mut copy = Entries::default();
    let take = |leader: &Entries, copy: &mut Entries| {
        let news: Option<MapDelta<u32, u32>> = leader.delta_for(copy.version(), 100, false, tells);
        if let Some(news) = news {
            copy.apply(news, |_, _| true, |_, _| false);
        }
    };
    take(&leader, &mut copy);
    assert!(copy.is_empty());
    leader.set(3, 5);
    take(&leader, &mut copy);
    assert_eq!(held(&copy), BTreeMap::from([(3, 5)]));
}

/// From a version on, more is told to a holder; that comes though it has not changed since.
#[test]
fn what_is_told_since_a_version_is_told_anew() {
    let mut leader = Entries::default();
    leader.begin_term(1);
    leader.set(1, 10);
    leader.set(2, 20);
    let before = leader.version();
    let since = leader.advance();
    let lacked = |anew: bool| {
        let news = leader.delta_for(before, 100, anew, |value| (*value == 20).then_some(since));
        news.map(|news| news.entries.iter().map(|told| told.key).collect::<Vec<_>>())
    };
    assert_eq!((lacked(false), lacked(true)), (Some(vec![]), Some(vec![2])));
}
