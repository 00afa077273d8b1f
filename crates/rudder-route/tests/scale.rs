//! How many engines a service should have: enough after the loss of a hall, cheap where that is possible, never a step
//! down before others have taken their place.

use std::time::Duration;

use rudder_route::scale::{Bounds, Demand, HallEngines, ScaleOptions, Scaler, Wanted};

const HALLS: [&str; 3] = ["sea", "pdx", "boi"];
const SPEED: f64 = 50_000.0;

fn bounds() -> Bounds {
    let prices = [("sea", 0.85), ("pdx", 1.2), ("boi", 1.0)];
    Bounds {
        least: 1,
        most: 40,
        boot: Duration::from_secs(4),
        cheap: Some(0.15),
        prices: prices.into_iter().map(|(hall, price)| (hall.into(), price)).collect(),
    }
}

fn halls(full: [u32; 3], cheap: [u32; 3]) -> Vec<HallEngines> {
    let hall = |at: usize| HallEngines { hall: HALLS[at].into(), full: full[at], cheap: cheap[at], barred: false };
    (0..3).map(hall).collect()
}

/// Demand that keeps so many engines as busy as they should be.
fn demand(engines: f64) -> Demand {
    let tokens = engines * SPEED * ScaleOptions::default().reading;
    Demand { tokens, speed: SPEED, calls: 1.0, slots: 64.0 }
}

fn full(wanted: &[Wanted]) -> [u32; 3] {
    [wanted[0].full, wanted[1].full, wanted[2].full]
}

fn cheap(wanted: &[Wanted]) -> [u32; 3] {
    [wanted[0].cheap, wanted[1].cheap, wanted[2].cheap]
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The policy after it has seen `there` engines for a while, without any demand.
fn started(there: [u32; 3]) -> Scaler {
    started_with(there, [0; 3])
}

fn started_with(full: [u32; 3], cheap: [u32; 3]) -> Scaler {
    let mut scaler = Scaler::default();
    let wanted = scaler.plan(at(0), &bounds(), &Demand::default(), &halls(full, cheap), &ScaleOptions::default());
    assert_eq!(wanted, [], "not all may have been heard of");
    scaler
}

fn plan(scaler: &mut Scaler, now: u64, demand: Demand, halls: &[HallEngines]) -> Vec<Wanted> {
    scaler.plan(at(now), &bounds(), &demand, halls, &ScaleOptions::default())
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
        assert_eq!((full(&wanted), cheap(&wanted)), ([20; 3], [20; 3]), "up to the bound on both kinds");
    };
    the_others_go_when_cheap_ones_have_taken_their_place: || {
        let mut scaler = started([20; 3]);
        let wanted = plan(&mut scaler, 5, Demand::default(), &halls([20; 3], [20; 3]));
        assert_eq!((full(&wanted), cheap(&wanted)), ([0; 3], [30; 3]), "60 are needed, also without one hall");
    };
    under_load_the_others_go_hall_by_hall: || {
        let mut scaler = started([20; 3]);
        let steps: Vec<[u32; 3]> = [5, 6, 9, 13].into_iter().zip([[20; 3], [0, 20, 20], [0, 20, 20], [0, 0, 20]])
            .map(|(now, there)| full(&plan(&mut scaler, now, demand(30.0), &halls(there, [30; 3]))))
            .collect();
        assert_eq!(steps, [[0, 20, 20], [0, 20, 20], [0, 0, 20], [0, 0, 0]]);
    };
    more_demand_orders_more_at_once: || {
        let mut scaler = started([20; 3]);
        let wanted = plan(&mut scaler, 5, demand(72.0), &halls([0; 3], [30; 3]));
        assert_eq!(cheap(&wanted), [36; 3]);
    };
    who_takes_over_does_not_take_the_reserve_for_needed: || {
        let mut scaler = started_with([0; 3], [30; 3]);
        assert_eq!(cheap(&plan(&mut scaler, 5, demand(10.0), &halls([0; 3], [30; 3]))), [30; 3]);
    };
    requests_that_pile_up_order_more: || {
        let mut scaler = started([20; 3]);
        let busy = Demand { tokens: 0.0, speed: SPEED, calls: 64.0 * 0.5 * 70.0, slots: 64.0 };
        let wanted = plan(&mut scaler, 5, busy, &halls([0; 3], [30; 3]));
        assert_eq!(cheap(&wanted), [35; 3]);
    };
    no_hall_has_more_than_allowed: || {
        let mut scaler = started([20; 3]);
        let wanted = plan(&mut scaler, 5, demand(500.0), &halls([0; 3], [30; 3]));
        assert_eq!((full(&wanted), cheap(&wanted)), ([0; 3], [40; 3]));
    };
    the_operators_count_stands_until_demand_was_watched: || {
        let mut scaler = started([20; 3]);
        let there = halls([0; 3], [30; 3]);
        assert_eq!(cheap(&plan(&mut scaler, 5, demand(10.0), &there)), [30; 3]);
        assert_eq!(cheap(&plan(&mut scaler, 124, demand(10.0), &there)), [30; 3]);
        plan(&mut scaler, 126, demand(10.0), &there);
        assert_eq!(cheap(&plan(&mut scaler, 157, demand(10.0), &there)), [5; 3]);
    };
    a_peak_is_remembered: || {
        let mut scaler = started([2; 3]);
        let there = halls([0; 3], [10; 3]);
        plan(&mut scaler, 5, demand(20.0), &there);
        assert_eq!(cheap(&plan(&mut scaler, 100, demand(1.0), &there)), [10; 3]);
    };
    a_hall_without_cheap_ones_is_made_up_for_by_the_others: || {
        let mut scaler = started([20; 3]);
        let mut there = halls([0; 3], [0, 30, 30]);
        there[0].barred = true;
        let wanted = plan(&mut scaler, 5, demand(30.0), &there);
        assert_eq!((full(&wanted), cheap(&wanted)), ([0; 3], [40; 3]), "the first is tried again later");
    };
    where_cheap_ones_do_not_suffice_others_fill_in: || {
        let mut scaler = started([20; 3]);
        let mut there = halls([0; 3], [0, 0, 30]);
        (there[0].barred, there[1].barred) = (true, true);
        let wanted = plan(&mut scaler, 5, demand(60.0), &there);
        assert_eq!(cheap(&wanted)[2], 40);
        assert_eq!(full(&wanted).iter().sum::<u32>(), 20, "60 are needed: {wanted:?}");
    };
    at_full_price_no_more_fill_in_than_the_demand_presses_for: || {
        let mut scaler = started([20; 3]);
        let mut there = halls([0; 3], [0, 0, 30]);
        (there[0].barred, there[1].barred) = (true, true);
        let wanted = plan(&mut scaler, 5, demand(30.0), &there);
        assert_eq!((full(&wanted), cheap(&wanted)[2]), ([0; 3], 40), "{wanted:?}");
    };
    an_unknown_speed_orders_nothing: || {
        let mut scaler = started([20; 3]);
        let unknown = Demand { speed: 0.0, ..demand(500.0) };
        assert_eq!(cheap(&plan(&mut scaler, 5, unknown, &halls([0; 3], [30; 3]))), [30; 3]);
    };
    cheap_ones_that_have_become_spare_are_kept_for_a_while: || {
        let mut scaler = started([20; 3]);
        let there = halls([0; 3], [30, 40, 40]);
        assert_eq!(cheap(&plan(&mut scaler, 5, demand(30.0), &there)), [30, 40, 40]);
        assert_eq!(cheap(&plan(&mut scaler, 34, demand(30.0), &there)), [30, 40, 40]);
        assert_eq!(cheap(&plan(&mut scaler, 36, demand(30.0), &there)), [30, 30, 30]);
    };
    without_cheap_ones_the_cheapest_halls_have_room_first: || {
        let bounds = Bounds { cheap: None, ..bounds() };
        let (mut scaler, there) = (started([1, 1, 0]), halls([1, 1, 0], [0; 3]));
        let wanted = scaler.plan(at(3), &bounds, &demand(7.0), &there, &ScaleOptions::default());
        assert_eq!((full(&wanted), cheap(&wanted)), ([3, 2, 2], [0; 3]));
    };
    every_hall_has_its_least: || {
        let bounds = Bounds { least: 4, ..bounds() };
        let (mut scaler, there) = (started([1, 0, 0]), halls([1, 0, 0], [0; 3]));
        let wanted = scaler.plan(at(3), &bounds, &Demand::default(), &there, &ScaleOptions::default());
        assert!(wanted.iter().all(|want| want.full + want.cheap >= 4), "{wanted:?}");
    };
}

/// Whatever is there and asked for: no hall beyond its bounds, and after the loss of any hall's cheap engines what is left
/// carries the demand, unless the bounds do not allow that.
#[test]
fn the_loss_of_a_hall_leaves_enough() {
    for needed in 1..150 {
        let mut scaler = started([20; 3]);
        let there = halls([0; 3], [30; 3]);
        let wanted = plan(&mut scaler, 5, demand(f64::from(needed)), &there);
        let total: u32 = wanted.iter().map(|want| want.full + want.cheap).sum();
        for want in &wanted {
            assert!((1..=40).contains(&(want.full + want.cheap)), "{wanted:?}");
            let capped = wanted.iter().all(|want| want.full + want.cheap == 40);
            assert!(total - want.cheap >= needed.max(60) || capped, "{needed}: {wanted:?}");
        }
    }
}
