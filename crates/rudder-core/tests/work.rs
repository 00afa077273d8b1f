//! Work by organisation: totals over all instances, and their way through relays and the leader.

mod mesh;

use std::time::Duration;

use mesh::{Mesh, watch_request};
use quickcheck::quickcheck;
use rudder_core::{
    Event, WatchRequest,
    work::{WorkTotals, merge},
};
use rudder_model::InstanceId;
use rudder_route::shares::{Group, MAX_REPORTED, MAX_REPORTS, OrgWork, Work, WorkReport, truncate};

/// Upper bound of the encoded size of the reports in a message, in bytes.
const MAX_BYTES: usize = 200;

fn report(level: u8, organisations: impl Iterator<Item = u32>, units: u32) -> WorkReport {
    let work = Work { admitted: units, refused: units };
    let heavy = organisations.map(|organisation| OrgWork { organisation, work }).collect();
    WorkReport { group: Group { service: 1, level }, short: units, rest: work, heavy }
}

fn name(instance: u8) -> InstanceId {
    InstanceId::from(format!("i-{instance}"))
}

/// Sum of all work in reports, which no merge may change.
fn total(reports: &[WorkReport]) -> u32 {
    reports.iter().map(|report| report.total().demand()).sum()
}

quickcheck! {
    /// Guards against totals that drift as reports replace each other.
    fn totals_are_the_sum_of_the_latest_reports(reports: Vec<(u8, u8, u8)>) -> bool {
        let (mut totals, mut latest) = (WorkTotals::default(), [0; 5]);
        for (instance, organisations, units) in reports {
            let (instance, units) = (instance % 5, u32::from(units) + 1);
            let held = vec![report(1, (0..u32::from(organisations % 20)).map(|tag| tag * 7), units)];
            latest[usize::from(instance)] = total(&held);
            totals.record(Duration::ZERO, &name(instance), held);
        }
        let all: u32 = latest.iter().sum();
        (0..5_u8).all(|asker| total(&totals.total_excluding(&name(asker))) == all - latest[usize::from(asker)])
    }

    /// Guards against reports that grow with the number of instances, services or organisations.
    fn merged_reports_stay_small(parts: Vec<(u8, u8)>) -> bool {
        let mut reports = Vec::new();
        for (level, organisations) in parts {
            let more = report(level % 6, (0..u32::from(organisations)).map(|tag| u32::MAX - tag), u32::MAX / 5000);
            reports = merge(&reports, &[more]);
        }
        let bytes = rmp_serde::to_vec(&reports).expect("encodable").len();
        reports.len() <= MAX_REPORTS && bytes <= MAX_BYTES
    }
}

#[test]
fn the_largest_reports_fit_the_bound() {
    let of_level = |level| report(level, (0..100).map(|tag| u32::MAX - tag), u32::MAX / 200);
    for levels in 1..6 {
        let mut reports = truncate((0..levels).map(of_level).collect());
        for report in &mut reports {
            report.group.service = u32::MAX;
        }
        let bytes = rmp_serde::to_vec(&reports).expect("encodable").len();
        assert!(bytes <= MAX_BYTES, "{bytes} bytes for {levels} levels");
    }
}

#[test]
fn the_heaviest_remain_listed() {
    let light = report(0, 0..40, 10);
    let merged = merge(&[light], &[report(0, 30..31, 500)]);
    assert_eq!(merged[0].heavy[0], OrgWork { organisation: 30, work: Work { admitted: 510, refused: 510 } });
    assert_eq!(merged[0].heavy.len(), MAX_REPORTED);
    assert_eq!(total(&merged), 41 * 20 + 2 * 1000);
}

/// Guards against limits by the work of an instance that was cut off or has ended.
#[test]
fn an_old_report_does_not_count() {
    let mut totals = WorkTotals::default();
    totals.record(Duration::ZERO, &name(1), vec![report(1, 0..2, 3)]);
    totals.expire(Duration::from_millis(1400));
    assert_eq!(total(&totals.total()), 18);
    totals.expire(Duration::from_millis(1600));
    assert!(totals.total().is_empty());
}

/// Guards against a change of the wire format where no capacity is short: instances of earlier versions must read it.
#[test]
fn messages_without_work_are_encoded_as_before() {
    let request = watch_request("i-1", 1, 1);
    let without = rmp_serde::to_vec(&request).expect("encodable");
    let with =
        rmp_serde::to_vec(&WatchRequest { work: vec![report(1, 0..2, 3)], ..request.clone() }).expect("encodable");
    // The first byte holds the number of fields.
    assert_eq!(without[0] + 1, with[0]);
    assert_eq!(without[1..], with[1..without.len()]);
    assert_eq!(rmp_serde::from_slice::<WatchRequest>(&without).expect("decodable"), request);
    assert_eq!(rmp_serde::from_slice::<WatchRequest>(&with).expect("decodable").work, vec![report(1, 0..2, 3)]);
}

/// Guards against work that is counted twice or lost on its way through relays and the leader.
#[test]
fn each_instance_learns_the_work_of_all_others() {
    let mut mesh = Mesh::start(60, 3);
    mesh.run(Duration::from_secs(4));
    let watchers: Vec<usize> = (0..60).filter(|number| !mesh.relays_at(*number).is_empty()).collect();
    let reporters = [watchers[0], watchers[10], watchers[20], watchers[30]];
    for (count, number) in reporters.into_iter().enumerate() {
        mesh.send_event(number, Event::Work(vec![report(1, 7..8, 1 << (4 * count))]));
    }
    mesh.run(Duration::from_secs(4));
    let known = |mesh: &Mesh, number: usize| {
        let state = mesh.nodes[number].state.as_ref().expect("running instance");
        state.view.remote_work.iter().map(|report| report.heavy[0].work.admitted).sum::<u32>()
    };
    assert_eq!(known(&mesh, watchers[25]), 0x1111);
    assert_eq!(reporters.map(|number| known(&mesh, number)), [0x1110, 0x1101, 0x1011, 0x0111]);
    for number in reporters {
        mesh.send_event(number, Event::Work(Vec::new()));
    }
    mesh.run(Duration::from_secs(4));
    assert_eq!((0..60).map(|number| known(&mesh, number)).sum::<u32>(), 0);
}
