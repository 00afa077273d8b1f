//! Scaling: capacity survives the loss of a hall, spot engines are preferred, and on-demand engines are released only
//! once they have been replaced.

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
    let hall = |index: usize| HallEngines {
        hall: HALLS[index].into(),
        on_demand: on_demand[index],
        spot: spot[index],
        spot_unavailable: false,
    };
    (0..3).map(hall).collect()
}

/// Demand that brings this many engines to the target utilisation.
fn demand(engines: u32) -> Demand {
    Demand { calls: (f64::from(engines * SLOTS) * ScaleOptions::default().target_utilisation) as u32, slots: SLOTS }
}

fn on_demand(targets: &[DesiredEngines]) -> [u32; 3] {
    [0, 1, 2].map(|index| targets[index].on_demand.expect("the count is known"))
}

fn spot(targets: &[DesiredEngines]) -> [u32; 3] {
    [targets[0].spot, targets[1].spot, targets[2].spot]
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A scaler whose first plan saw these on-demand engines and no demand.
fn started(current: [u32; 3]) -> Scaler {
    started_with(current, [0; 3])
}

fn started_with(on_demand: [u32; 3], spot: [u32; 3]) -> Scaler {
    let mut scaler = Scaler::default();
    let targets = scaler.plan(at(0), &bounds(), Demand::default(), &halls(on_demand, spot), &ScaleOptions::default());
    assert!(targets.iter().all(|target| target.on_demand.is_none()), "not all engines may be known yet");
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
    spot_engines_are_ordered_first_and_on_demand_engines_kept: || {
        let mut scaler = started([20; 3]);
        let targets = plan(&mut scaler, 3, Demand::default(), &halls([20; 3], [0; 3]));
        assert_eq!((on_demand(&targets), spot(&targets)), ([20; 3], [20; 3]), "up to the bound on both kinds");
    };
    spot_engines_are_ordered_before_all_engines_are_known: || {
        let mut scaler = started([20, 0, 0]);
        let targets = plan(&mut scaler, 1, Demand::default(), &halls([20, 20, 5], [0; 3]));
        assert_eq!(spot(&targets), [20, 20, 23], "45 are known to be needed");
        assert!(targets.iter().all(|target| target.on_demand.is_none()));
    };
    a_new_holder_orders_nothing_until_all_engines_are_known: || {
        let mut scaler = started_with([0; 3], [5, 0, 0]);
        assert_eq!(plan(&mut scaler, 1, demand(60), &halls([0; 3], [30, 30, 5])), []);
    };
    on_demand_engines_are_released_once_replaced: || {
        let mut scaler = started([20; 3]);
        let targets = plan(&mut scaler, 5, Demand::default(), &halls([20; 3], [20; 3]));
        assert_eq!((on_demand(&targets), spot(&targets)), ([0; 3], [30; 3]), "60 are needed, even without one hall");
    };
    no_engine_is_released_while_its_replacement_starts: || {
        let mut scaler = started([20, 19, 8]);
        let targets = plan(&mut scaler, 3, Demand::default(), &halls([20; 3], [0; 3]));
        assert_eq!(on_demand(&targets), [20; 3], "some engines became known late");
        let targets = plan(&mut scaler, 6, Demand::default(), &halls([20; 3], [20, 20, 0]));
        assert_eq!(on_demand(&targets), [20; 3]);
    };
    on_demand_engines_are_released_after_urgent_demand: || {
        let mut scaler = started([20; 3]);
        let mut current = halls([0; 3], [0, 0, 40]);
        (current[0].spot_unavailable, current[1].spot_unavailable) = (true, true);
        assert_eq!(on_demand(&plan(&mut scaler, 5, demand(120), &current)).iter().sum::<u32>(), 20);
        let current = halls([10, 10, 0], [30, 30, 40]);
        assert_eq!(on_demand(&plan(&mut scaler, 9, demand(30), &current)), [0, 10, 0], "one hall at a time");
    };
    under_load_on_demand_engines_are_released_hall_by_hall: || {
        let mut scaler = started([20; 3]);
        let steps: Vec<[u32; 3]> = [5, 6, 9, 13].into_iter().zip([[20; 3], [0, 20, 20], [0, 20, 20], [0, 0, 20]])
            .map(|(now, current)| on_demand(&plan(&mut scaler, now, demand(30), &halls(current, [30; 3]))))
            .collect();
        assert_eq!(steps, [[0, 20, 20], [0, 20, 20], [0, 0, 20], [0, 0, 0]]);
    };
    // Guards against on-demand engines that fill a hall's bound for good: spot engines are to replace them, but find no
    // room while all are kept.
    on_demand_engines_make_room_for_spot_engines_after_a_reclaim: || {
        let options = ScaleOptions { gradual_release: true, ..ScaleOptions::default() };
        let mut scaler = started([20; 3]);
        let mut current = halls([0, 40, 40], [40, 0, 0]);
        let mut spot_room = 0;
        for now in [5, 9, 13] {
            let targets = scaler.plan(at(now), &bounds(), demand(30), &current, &options);
            assert!(on_demand(&targets).iter().sum::<u32>() + 40 >= 60, "the operator's count still applies");
            for (hall, target) in current.iter_mut().zip(&targets) {
                hall.on_demand = target.on_demand.unwrap_or_default();
            }
            spot_room = spot(&targets)[1] + spot(&targets)[2];
        }
        assert_eq!(current.iter().map(|hall| hall.on_demand).sum::<u32>(), 20);
        assert!(spot_room >= 50, "room for {spot_room} spot engines");
    };
    rising_demand_orders_more_engines_at_once: || {
        let mut scaler = started([20; 3]);
        let targets = plan(&mut scaler, 5, demand(72), &halls([0; 3], [30; 3]));
        assert_eq!(spot(&targets), [36; 3]);
    };
    a_new_holder_does_not_count_the_reserve_as_needed: || {
        let mut scaler = started_with([0; 3], [30; 3]);
        assert_eq!(spot(&plan(&mut scaler, 5, demand(10), &halls([0; 3], [30; 3]))), [30; 3]);
    };
    no_hall_exceeds_its_maximum: || {
        let mut scaler = started([20; 3]);
        let targets = plan(&mut scaler, 5, demand(500), &halls([0; 3], [30; 3]));
        assert_eq!((on_demand(&targets), spot(&targets)), ([0; 3], [40; 3]));
    };
    the_initial_count_applies_until_demand_was_observed: || {
        let mut scaler = started([20; 3]);
        let current = halls([0; 3], [30; 3]);
        assert_eq!(spot(&plan(&mut scaler, 5, demand(10), &current)), [30; 3]);
        assert_eq!(spot(&plan(&mut scaler, 124, demand(10), &current)), [30; 3]);
        plan(&mut scaler, 126, demand(10), &current);
        assert_eq!(spot(&plan(&mut scaler, 157, demand(10), &current)), [5; 3]);
    };
    a_peak_counts_for_the_whole_window: || {
        let mut scaler = started([2; 3]);
        let current = halls([0; 3], [10; 3]);
        plan(&mut scaler, 5, demand(20), &current);
        assert_eq!(spot(&plan(&mut scaler, 100, demand(1), &current)), [10; 3]);
    };
    other_halls_make_up_for_one_without_spot_engines: || {
        let mut scaler = started([20; 3]);
        let mut current = halls([0; 3], [0, 30, 30]);
        current[0].spot_unavailable = true;
        let targets = plan(&mut scaler, 5, demand(30), &current);
        let expected = ([0; 3], [40; 3]);
        assert_eq!((on_demand(&targets), spot(&targets)), expected, "the first hall's are still ordered");
    };
    on_demand_engines_replace_missing_spot_engines: || {
        let mut scaler = started([20; 3]);
        let mut current = halls([0; 3], [0, 0, 30]);
        (current[0].spot_unavailable, current[1].spot_unavailable) = (true, true);
        let targets = plan(&mut scaler, 5, demand(120), &current);
        assert_eq!(spot(&targets)[2], 40);
        let added: u32 = on_demand(&targets).iter().sum();
        assert_eq!(added, 20, "at twice the target utilisation 60 are needed: {targets:?}");
    };
    on_demand_engines_are_added_only_for_urgent_demand: || {
        let mut scaler = started([20; 3]);
        let mut current = halls([0; 3], [0, 0, 30]);
        (current[0].spot_unavailable, current[1].spot_unavailable) = (true, true);
        let targets = plan(&mut scaler, 5, demand(30), &current);
        assert_eq!((on_demand(&targets), spot(&targets)[2]), ([0; 3], 40), "{targets:?}");
    };
    surplus_spot_engines_are_kept_for_a_while: || {
        let mut scaler = started([20; 3]);
        let current = halls([0; 3], [30, 40, 40]);
        assert_eq!(spot(&plan(&mut scaler, 5, demand(30), &current)), [30, 40, 40]);
        assert_eq!(spot(&plan(&mut scaler, 34, demand(30), &current)), [30, 40, 40]);
        assert_eq!(spot(&plan(&mut scaler, 36, demand(30), &current)), [30, 30, 30]);
    };
    without_spot_engines_the_cheapest_halls_are_filled_first: || {
        let bounds = Bounds { spot_price: None, ..bounds() };
        let (mut scaler, current) = (started([1, 1, 0]), halls([1, 1, 0], [0; 3]));
        let targets = scaler.plan(at(3), &bounds, demand(7), &current, &ScaleOptions::default());
        assert_eq!((on_demand(&targets), spot(&targets)), ([3, 2, 2], [0; 3]));
    };
    every_hall_has_its_minimum: || {
        let bounds = Bounds { min: 4, ..bounds() };
        let (mut scaler, current) = (started([1, 0, 0]), halls([1, 0, 0], [0; 3]));
        let targets = scaler.plan(at(3), &bounds, Demand::default(), &current, &ScaleOptions::default());
        assert!(targets.iter().all(|target| target.on_demand.unwrap_or_default() + target.spot >= 4), "{targets:?}");
    };
}

/// Every hall stays within its bounds, and after the loss of all spot engines of any hall the rest serves the demand,
/// unless each hall is at its maximum.
#[test]
fn the_loss_of_a_hall_leaves_enough() {
    for needed in 1..150 {
        let mut scaler = started([20; 3]);
        let current = halls([0; 3], [30; 3]);
        let targets = plan(&mut scaler, 5, demand(needed), &current);
        let count = |target: &DesiredEngines| target.on_demand.expect("the count is known") + target.spot;
        let total: u32 = targets.iter().map(count).sum();
        for target in &targets {
            assert!((1..=40).contains(&count(target)), "{targets:?}");
            let capped = targets.iter().all(|target| count(target) == 40);
            assert!(total - target.spot >= needed.max(60) || capped, "{needed}: {targets:?}");
        }
    }
}
