//! Totals of loads: they are the sum of the latest reports of all instances, in whatever order those arrive.

use std::{collections::BTreeMap, time::Duration};

use quickcheck::quickcheck;
use rudder_core::{
    loads::{Loads, merge},
    peer::{Load, LoadDetail, PaceSum, TokenTime},
};
use rudder_model::InstanceId;
use rudder_route::admission::Demand;

fn load(endpoint: u8, calls: u32) -> Load {
    let (ended, failed) = (calls * 3, calls * 2);
    let detail = LoadDetail {
        levels: [calls, 0, calls * 2, calls * 3],
        output: TokenTime { tokens: calls * 5, millis: calls * 30 },
        prefill: TokenTime { tokens: calls * 11, millis: calls },
        pace: PaceSum { percent: calls * 100, reports: calls },
        demand: Some(Demand { admitted: [calls, 0, calls, 0], refused: [0, calls * 2, 0, 0] }),
    };
    let detail = Some(Box::new(detail));
    Load { endpoint: u32::from(endpoint), calls, unread: calls * 100, held: calls * 7, ended, failed, detail }
}

fn name(instance: u8) -> InstanceId {
    InstanceId::from(format!("i-{instance}"))
}

quickcheck! {
    fn totals_are_the_sum_of_the_latest_reports(reports: Vec<(u8, Vec<(u8, u8)>)>) -> bool {
        let mut loads = Loads::default();
        let mut latest: BTreeMap<u8, BTreeMap<u8, u32>> = BTreeMap::new();
        for (instance, report) in reports {
            let instance = instance % 5;
            let report: BTreeMap<u8, u32> = report.into_iter().map(|(e, calls)| (e % 7, u32::from(calls) + 1)).collect();
            loads.record(Duration::ZERO, &name(instance), report.iter().map(|(e, calls)| load(*e, *calls)).collect());
            latest.insert(instance, report);
        }
        (0..6_u8).all(|asker| {
            let mut sums: BTreeMap<u8, u32> = BTreeMap::new();
            for (_, report) in latest.iter().filter(|(instance, _)| **instance != asker) {
                for (endpoint, calls) in report {
                    *sums.entry(*endpoint).or_default() += calls;
                }
            }
            let expected: Vec<Load> = sums.into_iter().map(|(endpoint, calls)| load(endpoint, calls)).collect();
            loads.total_excluding(&name(asker)) == expected
        })
    }
}

#[test]
fn an_old_report_does_not_count() {
    let mut loads = Loads::default();
    loads.record(Duration::ZERO, &name(1), vec![load(1, 3)]);
    loads.record(Duration::from_secs(1), &name(2), vec![load(1, 4)]);
    loads.expire(Duration::from_millis(1400));
    assert_eq!(loads.total_excluding(&name(3)), vec![load(1, 7)]);
    loads.expire(Duration::from_millis(1600));
    assert_eq!(loads.total_excluding(&name(3)), vec![load(1, 4)]);
    loads.clear();
    assert!(loads.total_excluding(&name(3)).is_empty());
}

/// An instance reports the details of a service only while it is contended, so a report may lose them.
#[test]
fn details_of_a_report_end_with_the_report_that_follows() {
    let mut loads = Loads::default();
    let plain = Load { detail: None, ..load(1, 3) };
    loads.record(Duration::ZERO, &name(1), vec![load(1, 3)]);
    loads.record(Duration::ZERO, &name(2), vec![plain.clone()]);
    let relayed = merge(&loads.total(), vec![load(1, 2)]);
    assert_eq!(relayed, vec![Load { detail: load(1, 5).detail, ..load(1, 8) }]);
    loads.record(Duration::ZERO, &name(1), vec![plain.clone()]);
    assert_eq!(loads.total_excluding(&name(2)), vec![plain]);
}

/// Instances of another version must still read the reports, and services that are not contended cost no more bytes.
#[test]
fn loads_without_detail_or_demand_are_encoded_without_them() {
    let fields = |load: &Load| {
        let bytes = rmp_serde::to_vec(load).expect("plain data");
        let detail = load.detail.as_ref().map(|detail| rmp_serde::to_vec(detail).expect("plain data")[0] & 0x0f);
        (bytes[0] & 0x0f, detail)
    };
    assert_eq!(fields(&Load::none(1)), (6, None));
    assert_eq!(fields(&Load { detail: Some(Box::default()), ..Load::none(1) }), (7, Some(4)));
    assert_eq!(fields(&Load::of_service(1, Demand::default())), (7, Some(5)));
}
