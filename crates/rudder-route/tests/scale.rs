//! How many engines a service should have: enough after the loss of a hall, spot where that is possible, never a step
//! down before others have taken their place.

use std::time::Duration;

use rudder_route::scale::{Bounds, Demand, DesiredEngines, HallEngines, ScaleOptions, Scaler};

const HALLS: [&str; 3] = ["sea", "pdx", "boi"];
const SLOTS: u32 = 100;

fn bounds() -> Bounds {
    let prices = [("sea", 0.85), ("pdx", 1.2), ("boi", 1.0)];
    Bounds {
        min: 1,
        max: 40,
        boot_time: Duration::from_secs(4),
        spot_price: Some(0.15),
        prices: prices.into_iter().map(|(hall, price)| (hall.into(), price)).collect(),
    }
}

fn halls(on_demand: [u32; 3], spot: [u32; 3]) -> Vec<HallEngines> {
    let hall = |at: usize| HallEngines {
        hall: HALLS[at].into(),
        on_demand: on_demand[at],
        spot: spot[at],
        spot_unavailable: false,
    };
    (0..3).map(hall).collect()
}

/// Demand that keeps so many engines as busy as they should be.
fn demand(engines: u32) -> Demand {
    Demand { calls: (f64::from(engines * SLOTS) * ScaleOptions::default().target_utilisation) as u32, slots: SLOTS }
}

fn on_demand(wanted: &[DesiredEngines]) -> [u32; 3] {
    [0, 1, 2].map(|at| wanted[at].on_demand.expect("it can be told"))
}

fn spot(wanted: &[DesiredEngines]) -> [u32; 3] {
    [wanted[0].spot, wanted[1].spot, wanted[2].spot]
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The policy after it has seen `there` engines for a while, without any demand.
fn started(there: [u32; 3]) -> Scaler {
    started_with(there, [0; 3])
}

fn started_with(on_demand: [u32; 3], spot: [u32; 3]) -> Scaler {
    let mut scaler = Scaler::default();
    let wanted = scaler.plan(at(0), &bounds(), Demand::default(), &halls(on_demand, spot), &ScaleOptions::default());
    assert!(wanted.iter().all(|want| want.on_demand.is_none()), "not all may have been heard of");
    scaler
}

fn plan(scaler: &mut Scaler, now: u64, demand: Demand, halls: &[HallEngines]) -> Vec<DesiredEngines> {
    scaler.plan(at(now), &bounds(), demand, halls, &ScaleOptions::default())
}

macro_rules! cases {
    ($($name:ident: $test:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let test: fn() = $test;
                test();
            }
        )*
    };
}

cases! {
    cheap_ones_are_ordered_first_and_the_others_kept: || {
        let mut scaler = started([20; 3]);
        let wanted = plan(&mut scaler, 3, Demand::default(), &halls([20; 3], [0; 3]));
        assert_eq!((on_demand(&wanted), spot(&wanted)), ([20; 3], [20; 3]), "up to the bound on both kinds");
    };
    cheap_ones_are_ordered_while_the_others_are_still_heard_of: || {
        let mut scaler = started([20, 0, 0]);
        let wanted = plan(&mut scaler, 1, Demand::default(), &halls([20, 20, 5], [0; 3]));
        assert_eq!(spot(&wanted), [20, 20, 23], "45 are needed so far");
        assert!(wanted.iter().all(|want| want.on_demand.is_none()));
    };
    who_takes_over_orders_nothing_until_all_were_heard_of: || {
        let mut scaler = started_with([0; 3], [5, 0, 0]);
        assert_eq!(plan(&mut scaler, 1, demand(60), &halls([0; 3], [30, 30, 5])), []);
    };
    the_others_go_when_cheap_ones_have_taken_their_place: || {
        let mut scaler = started([20; 3]);
        let wanted = plan(&mut scaler, 5, Demand::default(), &halls([20; 3], [20; 3]));
        assert_eq!((on_demand(&wanted), spot(&wanted)), ([0; 3], [30; 3]), "60 are needed, also without one hall");
    };
    none_goes_while_cheap_ones_are_on_their_way: || {
        let mut scaler = started([20, 19, 8]);
        let wanted = plan(&mut scaler, 3, Demand::default(), &halls([20; 3], [0; 3]));
        assert_eq!(on_demand(&wanted), [20; 3], "some were heard of late");
        let wanted = plan(&mut scaler, 6, Demand::default(), &halls([20; 3], [20, 20, 0]));
        assert_eq!(on_demand(&wanted), [20; 3]);
    };
    engines_at_full_price_go_when_demand_presses_no_more: || {
        let mut scaler = started([20; 3]);
        let mut there = halls([0; 3], [0, 0, 40]);
        (there[0].spot_unavailable, there[1].spot_unavailable) = (true, true);
        assert_eq!(on_demand(&plan(&mut scaler, 5, demand(120), &there)).iter().sum::<u32>(), 20);
        let there = halls([10, 10, 0], [30, 30, 40]);
        assert_eq!(on_demand(&plan(&mut scaler, 9, demand(30), &there)), [0, 10, 0], "one hall at a time");
    };
    under_load_the_others_go_hall_by_hall: || {
        let mut scaler = started([20; 3]);
        let steps: Vec<[u32; 3]> = [5, 6, 9, 13].into_iter().zip([[20; 3], [0, 20, 20], [0, 20, 20], [0, 0, 20]])
            .map(|(now, there)| on_demand(&plan(&mut scaler, now, demand(30), &halls(there, [30; 3]))))
            .collect();
        assert_eq!(steps, [[0, 20, 20], [0, 20, 20], [0, 0, 20], [0, 0, 0]]);
    };
    more_demand_orders_more_at_once: || {
        let mut scaler = started([20; 3]);
        let wanted = plan(&mut scaler, 5, demand(72), &halls([0; 3], [30; 3]));
        assert_eq!(spot(&wanted), [36; 3]);
    };
    who_takes_over_does_not_take_the_reserve_for_needed: || {
        let mut scaler = started_with([0; 3], [30; 3]);
        assert_eq!(spot(&plan(&mut scaler, 5, demand(10), &halls([0; 3], [30; 3]))), [30; 3]);
    };
    no_hall_has_more_than_allowed: || {
        let mut scaler = started([20; 3]);
        let wanted = plan(&mut scaler, 5, demand(500), &halls([0; 3], [30; 3]));
        assert_eq!((on_demand(&wanted), spot(&wanted)), ([0; 3], [40; 3]));
    };
    the_operators_count_stands_until_demand_was_watched: || {
        let mut scaler = started([20; 3]);
        let there = halls([0; 3], [30; 3]);
        assert_eq!(spot(&plan(&mut scaler, 5, demand(10), &there)), [30; 3]);
        assert_eq!(spot(&plan(&mut scaler, 124, demand(10), &there)), [30; 3]);
        plan(&mut scaler, 126, demand(10), &there);
        assert_eq!(spot(&plan(&mut scaler, 157, demand(10), &there)), [5; 3]);
    };
    a_peak_is_remembered: || {
        let mut scaler = started([2; 3]);
        let there = halls([0; 3], [10; 3]);
        plan(&mut scaler, 5, demand(20), &there);
        assert_eq!(spot(&plan(&mut scaler, 100, demand(1), &there)), [10; 3]);
    };
    a_hall_without_cheap_ones_is_made_up_for_by_the_others: || {
        let mut scaler = started([20; 3]);
        let mut there = halls([0; 3], [0, 30, 30]);
        there[0].spot_unavailable = true;
        let wanted = plan(&mut scaler, 5, demand(30), &there);
        assert_eq!((on_demand(&wanted), spot(&wanted)), ([0; 3], [40; 3]), "the first is tried again later");
    };
    where_cheap_ones_do_not_suffice_others_fill_in: || {
        let mut scaler = started([20; 3]);
        let mut there = halls([0; 3], [0, 0, 30]);
        (there[0].spot_unavailable, there[1].spot_unavailable) = (true, true);
        let wanted = plan(&mut scaler, 5, demand(120), &there);
        assert_eq!(spot(&wanted)[2], 40);
        assert_eq!(on_demand(&wanted).iter().sum::<u32>(), 20, "at twice the usual load 60 are needed: {wanted:?}");
    };
    at_full_price_no_more_fill_in_than_the_demand_presses_for: || {
        let mut scaler = started([20; 3]);
        let mut there = halls([0; 3], [0, 0, 30]);
        (there[0].spot_unavailable, there[1].spot_unavailable) = (true, true);
        let wanted = plan(&mut scaler, 5, demand(30), &there);
        assert_eq!((on_demand(&wanted), spot(&wanted)[2]), ([0; 3], 40), "{wanted:?}");
    };
    cheap_ones_that_have_become_spare_are_kept_for_a_while: || {
        let mut scaler = started([20; 3]);
        let there = halls([0; 3], [30, 40, 40]);
        assert_eq!(spot(&plan(&mut scaler, 5, demand(30), &there)), [30, 40, 40]);
        assert_eq!(spot(&plan(&mut scaler, 34, demand(30), &there)), [30, 40, 40]);
        assert_eq!(spot(&plan(&mut scaler, 36, demand(30), &there)), [30, 30, 30]);
    };
    without_cheap_ones_the_cheapest_halls_have_room_first: || {
        let bounds = Bounds { spot_price: None, ..bounds() };
        let (mut scaler, there) = (started([1, 1, 0]), halls([1, 1, 0], [0; 3]));
        let wanted = scaler.plan(at(3), &bounds, demand(7), &there, &ScaleOptions::default());
        assert_eq!((on_demand(&wanted), spot(&wanted)), ([3, 2, 2], [0; 3]));
    };
    every_hall_has_its_least: || {
        let bounds = Bounds { min: 4, ..bounds() };
        let (mut scaler, there) = (started([1, 0, 0]), halls([1, 0, 0], [0; 3]));
        let wanted = scaler.plan(at(3), &bounds, Demand::default(), &there, &ScaleOptions::default());
        assert!(wanted.iter().all(|want| want.on_demand.unwrap_or_default() + want.spot >= 4), "{wanted:?}");
    };
}

/// Whatever is there and asked for: no hall beyond its bounds, and after the loss of any hall's spot engines what is left
/// carries the demand, unless the bounds do not allow that.
#[test]
fn the_loss_of_a_hall_leaves_enough() {
    for needed in 1..150 {
        let mut scaler = started([20; 3]);
        let there = halls([0; 3], [30; 3]);
        let wanted = plan(&mut scaler, 5, demand(needed), &there);
        let count = |want: &DesiredEngines| want.on_demand.expect("it can be told") + want.spot;
        let total: u32 = wanted.iter().map(count).sum();
        for want in &wanted {
            assert!((1..=40).contains(&count(want)), "{wanted:?}");
            let capped = wanted.iter().all(|want| count(want) == 40);
            assert!(total - want.spot >= needed.max(60) || capped, "{needed}: {wanted:?}");
        }
    }
}
