//! Duties under the loss of holders, disks, messages and answers.

mod mesh;

use std::time::Duration;

use mesh::{
    Defect, Layout, Mesh,
    receiver::{HANDOVER, ReceiverMode},
};
use rudder_core::{
    DutyCall, Event,
    duties::scaling::ServiceState,
    options::{DutyOptions, UsageOptions},
};
use rudder_route::scale::{Bounds, Demand, HallEngines, ScaleOptions};

/// Number of instances.
const TOTAL: usize = 12;
/// Number of instances with disks, which come first.
const DISKS: usize = 5;
const ORG: &str = "acme";

fn start() -> Mesh {
    let duties = DutyOptions {
        handover: HANDOVER,
        usage: Some(UsageOptions::default()),
        scaling: Some(ScaleOptions::default()),
    };
    let layout = Layout { total: TOTAL, disks: DISKS, voters: DISKS, duties, ..Layout::default() };
    let mut mesh = Mesh::start_as(layout);
    mesh.run(Duration::from_secs(6));
    mesh
}

/// Starts 50 requests per second over all instances. Returns how many were started.
fn serve(mesh: &mut Mesh, span: Duration) -> u64 {
    let end = mesh.now + span;
    let mut count = 0;
    while mesh.now < end {
        let number = count as usize * 7 % TOTAL;
        if mesh.nodes[number].state.is_some() && !mesh.nodes[number].paused {
            mesh.begin_request(number, ORG);
            count += 1;
        }
        mesh.run(Duration::from_millis(20));
    }
    count
}

/// Waits until all windows are reported.
fn settle(mesh: &mut Mesh) {
    mesh.run(Duration::from_secs(22));
}

fn leader(mesh: &Mesh) -> usize {
    mesh.leader().expect("one leads")
}

#[track_caller]
fn check(mesh: &Mesh, begun: u64) {
    assert_eq!(mesh.receiver.violations, Vec::<String>::new());
    assert_eq!(mesh.receiver.reported(ORG), begun);
}

/// Serves while the receiver behaves as `mode`; afterwards it answers again.
fn serve_under(mesh: &mut Mesh, mode: ReceiverMode, time: Duration) -> u64 {
    mesh.receiver.mode = mode;
    let begun = serve(mesh, time);
    mesh.receiver.mode = ReceiverMode::Answers;
    begun
}

macro_rules! exactly_once {
    ($($name:ident: $fault:expr;)*) => {
        $(
            /// Every request is reported exactly once, in one report per window.
            #[test]
            fn $name() {
                let mut mesh = start();
                let mut begun = serve(&mut mesh, Duration::from_secs(7));
                let fault: fn(&mut Mesh) -> u64 = $fault;
                begun += fault(&mut mesh);
                begun += serve(&mut mesh, Duration::from_secs(7));
                settle(&mut mesh);
                check(&mesh, begun);
            }
        )*
    };
}

exactly_once! {
    no_fault: |_| 0;
    the_holder_is_killed: |mesh| {
        // Lets it report its own requests first, as a killed process loses unreported ones.
        mesh.run(Duration::from_secs(1));
        let number = leader(mesh);
        mesh.kill(number);
        mesh.run(Duration::from_secs(2));
        mesh.boot(number);
        mesh.run(Duration::from_secs(1));
        0
    };
    the_holder_is_paused_and_resumes: |mesh| {
        let number = leader(mesh);
        mesh.nodes[number].paused = true;
        let begun = serve(mesh, Duration::from_secs(4));
        mesh.wake(number);
        begun
    };
    the_holder_is_cut_off_from_all: |mesh| {
        let number = leader(mesh);
        mesh.nodes[number].cut = true;
        let begun = serve(mesh, Duration::from_secs(4));
        mesh.nodes[number].cut = false;
        begun
    };
    everything_loses_power: |mesh| {
        mesh.run(Duration::from_secs(1));
        for number in 0..TOTAL {
            mesh.kill(number);
        }
        mesh.run(Duration::from_millis(300));
        for number in 0..TOTAL {
            mesh.boot(number);
        }
        mesh.run(Duration::from_secs(2));
        0
    };
    two_disks_are_lost: |mesh| {
        mesh.run(Duration::from_secs(1));
        let number = leader(mesh);
        for lost in [number, (number + 1) % DISKS] {
            mesh.kill(lost);
            mesh.wipe(lost);
        }
        mesh.run(Duration::from_secs(3));
        for lost in [number, (number + 1) % DISKS] {
            mesh.boot(lost);
        }
        mesh.run(Duration::from_secs(1));
        0
    };
    answers_of_the_receiver_are_lost: |mesh| serve_under(mesh, ReceiverMode::Mute, Duration::from_secs(11));
    the_receiver_is_down: |mesh| serve_under(mesh, ReceiverMode::Down, Duration::from_secs(11));
    the_receiver_is_busy: |mesh| serve_under(mesh, ReceiverMode::Busy, Duration::from_secs(6));
    calls_are_carried_out_late_while_the_holder_changes: |mesh| {
        mesh.receiver.mode = ReceiverMode::Late;
        let mut begun = serve(mesh, Duration::from_secs(6));
        let number = leader(mesh);
        mesh.nodes[number].paused = true;
        begun += serve(mesh, Duration::from_secs(5));
        mesh.receiver.mode = ReceiverMode::Answers;
        mesh.wake(number);
        begun
    };
    messages_are_lost_and_late: |mesh| {
        (mesh.loss, mesh.delay) = (0.05, Duration::from_millis(30));
        let begun = serve(mesh, Duration::from_secs(8));
        (mesh.loss, mesh.delay) = (0.0, Duration::ZERO);
        begun
    };
    clocks_step: |mesh| {
        let origin = Duration::from_secs(1_000_000);
        for number in [leader(mesh), 6, 9] {
            mesh.send_event(number, Event::ClockStepped(origin + Duration::from_secs(3)));
        }
        let begun = serve(mesh, Duration::from_secs(6));
        mesh.send_event(0, Event::ClockStepped(origin.saturating_sub(Duration::from_secs(3))));
        begun
    };
}

/// A request counts in the window in which it began by the agreed time, even if single clocks are wrong.
#[test]
fn a_request_counts_in_its_window_whatever_single_clocks_say() {
    let mut mesh = start();
    let origin = Duration::from_secs(1_000_000);
    for number in [leader(&mesh), 7] {
        mesh.send_event(number, Event::ClockStepped(origin + Duration::from_secs(2)));
    }
    mesh.run(Duration::from_secs(2));
    // 100 requests within one window of 5 s, at least half a second from its edges.
    let length = Duration::from_secs(5);
    let into = Duration::from_micros(((origin + mesh.now).as_micros() % length.as_micros()) as u64);
    mesh.run(length.saturating_sub(into) + Duration::from_millis(500));
    let window = (origin + mesh.now).as_secs() / 5;
    for count in 0..100 {
        mesh.begin_request(count % TOTAL, ORG);
        mesh.run(Duration::from_millis(40));
    }
    settle(&mut mesh);
    assert_eq!(mesh.receiver.reports[&window][ORG], 100);
    check(&mesh, 100);
}

/// A window stays open for an unreachable instance until its report is due.
#[test]
fn a_window_waits_for_an_instance_that_was_cut_off() {
    let mut mesh = start();
    let number = (0..TOTAL).find(|number| *number >= DISKS).expect("one without a disk");
    mesh.begin_request(number, ORG);
    mesh.run(Duration::from_secs(1));
    mesh.nodes[number].cut = true;
    mesh.begin_request(number, ORG);
    mesh.run(Duration::from_secs(5));
    mesh.nodes[number].cut = false;
    settle(&mut mesh);
    check(&mesh, 2);
}

/// A lost instance doesn't delay the report beyond its due time.
#[test]
fn a_window_is_reported_in_time_without_an_instance_that_is_lost() {
    let mut mesh = start();
    let number = DISKS + 1;
    mesh.begin_request(number, ORG);
    mesh.run(Duration::from_secs(1));
    mesh.kill(number);
    settle(&mut mesh);
    let first = mesh.receiver.calls.first().expect("a report");
    let DutyCall::Usage { window, .. } = first.call else { panic!("{first:?}") };
    let due = Duration::from_secs((window + 1) * 5 + 10).saturating_sub(Duration::from_secs(1_000_000));
    assert!(first.at < due, "reported at {:?}, due at {due:?}", first.at);
    check(&mesh, 1);
}

/// Without the check of the lease, a paused holder makes calls after its lease has ended, which the receiver detects.
#[test]
fn a_holder_that_does_not_check_its_lease_is_detected() {
    let found = (0..40).any(|round| {
        let mut mesh = start();
        mesh.defect = Defect::CallsWithoutLease;
        mesh.receiver.mode = ReceiverMode::Mute;
        for _ in 0..4 {
            serve(&mut mesh, Duration::from_millis(3000 + round * 50));
            let number = leader(&mesh);
            mesh.nodes[number].paused = true;
            serve(&mut mesh, Duration::from_secs(5));
            mesh.wake(number);
        }
        let holder_changed =
            |made: &[mesh::receiver::ReceivedCall]| made.windows(2).any(|pair| pair[1].by != pair[0].by);
        assert!(holder_changed(&mesh.receiver.calls), "the holder changes");
        mesh.receiver.stale > 0
    });
    assert!(found);
}

const FIRST: [u32; 3] = [20; 3];

/// Reports a service to the holder, with `on_demand` and `spot` engines in three halls.
fn report_service(mesh: &mut Mesh, demand: Demand, on_demand: [u32; 3], spot: [u32; 3]) {
    let hall = |at: usize| format!("hall-{at}").as_str().into();
    let bounds = Bounds {
        min: 1,
        max: 40,
        boot_time: Duration::from_secs(4),
        spot_price: Some(0.15),
        prices: (0..3).map(|at| (hall(at), 1.0)).collect(),
    };
    let halls = (0..3).map(|at| HallEngines {
        hall: hall(at),
        on_demand: on_demand[at],
        spot: spot[at],
        spot_unavailable: false,
    });
    let state = ServiceState { service: "svc".into(), bounds, demand, halls: halls.collect() };
    if let Some(number) = mesh.leader() {
        mesh.send_event(number, Event::Services(vec![state]));
    }
}

/// Reports a service without demand twice a second.
fn report_service_for(mesh: &mut Mesh, seconds: u64, on_demand: [u32; 3], spot: [u32; 3]) {
    report_service_under(mesh, seconds, Demand::default(), on_demand, spot);
}

/// Reports a service under `demand` twice a second.
fn report_service_under(mesh: &mut Mesh, seconds: u64, demand: Demand, on_demand: [u32; 3], spot: [u32; 3]) {
    for _ in 0..seconds * 2 {
        report_service(mesh, demand, on_demand, spot);
        mesh.run(Duration::from_millis(500));
    }
}

fn ordered(mesh: &Mesh, spot: bool) -> Vec<Option<u32>> {
    let hall = |at: usize| format!("hall-{at}").as_str().into();
    (0..3).map(|at| mesh.receiver.ordered.get(&(hall(at), spot)).copied()).collect()
}

fn scale_calls(mesh: &Mesh) -> usize {
    mesh.receiver.calls.iter().filter(|made| matches!(made.call, DutyCall::Scale { .. })).count()
}

#[test]
fn engines_are_ordered_once_and_then_only_if_the_number_changes() {
    let mut mesh = start();
    report_service_for(&mut mesh, 5, FIRST, [0; 3]);
    assert_eq!((ordered(&mesh, false), ordered(&mesh, true)), (vec![Some(20); 3], vec![Some(20); 3]));
    assert_eq!(scale_calls(&mesh), 6);
    report_service_for(&mut mesh, 2, FIRST, [20; 3]);
    assert_eq!((ordered(&mesh, false), ordered(&mesh, true)), (vec![Some(0); 3], vec![Some(30); 3]));
    report_service_for(&mut mesh, 60, [0; 3], [30; 3]);
    assert_eq!(scale_calls(&mesh), 12, "nothing is ordered again without need");
    assert_eq!(mesh.receiver.violations, Vec::<String>::new());
}

/// Both kinds share a hall's bound, so an order for spot engines that overtakes the reduction of the others would fail.
#[test]
fn orders_of_a_hall_do_not_overtake_each_other() {
    let mut mesh = start();
    mesh.reorder_calls = true;
    report_service_for(&mut mesh, 5, FIRST, [0; 3]);
    report_service_for(&mut mesh, 3, FIRST, [20; 3]);
    assert_eq!((ordered(&mesh, false), ordered(&mesh, true)), (vec![Some(0); 3], vec![Some(30); 3]));
    assert_eq!(mesh.receiver.stale, 0);
}

#[test]
fn an_order_whose_engines_do_not_start_is_repeated() {
    let mut mesh = start();
    report_service_for(&mut mesh, 6, FIRST, [0; 3]);
    assert_eq!(scale_calls(&mesh), 6);
    report_service_for(&mut mesh, 3, FIRST, [0; 3]);
    assert_eq!(scale_calls(&mesh), 9, "spot ones, 7 s after the first order");
}

#[test]
fn a_new_holder_repeats_all_orders_with_higher_fences() {
    let mut mesh = start();
    report_service_for(&mut mesh, 5, [0; 3], [30; 3]);
    let before = mesh.receiver.calls.last().expect("orders").clone();
    let number = leader(&mesh);
    mesh.kill(number);
    mesh.run(Duration::from_secs(2));
    report_service_for(&mut mesh, 8, [0; 3], [30; 3]);
    let later: Vec<_> = mesh.receiver.calls.iter().filter(|made| made.by != before.by).collect();
    assert_eq!(later.len(), 6);
    assert!(later.iter().all(|made| made.fence > before.fence && made.at >= before.at + HANDOVER));
}

#[test]
fn a_hall_without_spot_engines_is_retried_and_compensated_by_others() {
    let mut mesh = start();
    report_service_for(&mut mesh, 5, [0; 3], [30; 3]);
    mesh.receiver.barred.insert("hall-1".into());
    report_service_for(&mut mesh, 12, [0; 3], [30, 0, 30]);
    assert_eq!(ordered(&mesh, true), [Some(40), Some(30), Some(40)], "60 are needed");
    mesh.receiver.barred.clear();
    report_service_for(&mut mesh, 8, [0; 3], [40, 0, 40]);
    assert!(ordered(&mesh, true)[1] >= Some(30), "ordered again");
}

/// Guards against ordering and releasing on-demand engines in turn: an accepted order for no spot engines doesn't show that
/// any are available.
#[test]
fn on_demand_engines_stay_ordered_while_no_spot_ones_are_available() {
    let mut mesh = start();
    report_service_for(&mut mesh, 5, [0; 3], [30; 3]);
    mesh.receiver.barred.extend(["hall-0".into(), "hall-1".into(), "hall-2".into()]);
    let demand = Demand { calls: 400, slots: 24 };
    report_service_under(&mut mesh, 14, demand, [0; 3], [0; 3]);
    let first = ordered(&mesh, false);
    assert!(first.iter().flatten().sum::<u32>() >= 30, "{first:?}");
    for _ in 0..10 {
        report_service_under(&mut mesh, 1, demand, [0; 3], [0; 3]);
        assert_eq!(ordered(&mesh, false), first);
    }
    mesh.receiver.barred.clear();
    report_service_under(&mut mesh, 8, demand, [25; 3], [0; 3]);
    assert!(ordered(&mesh, true).iter().flatten().sum::<u32>() >= 30, "tried again: {:?}", ordered(&mesh, true));
}

/// An order that arrives after a newer one is rejected by its fence.
#[test]
fn late_orders_do_not_undo_newer_ones() {
    let mut mesh = start();
    mesh.receiver.mode = ReceiverMode::Late;
    report_service_for(&mut mesh, 6, FIRST, [0; 3]);
    mesh.receiver.mode = ReceiverMode::Answers;
    report_service_for(&mut mesh, 8, [0; 3], [30; 3]);
    mesh.receiver.carry_out_due(mesh.now);
    assert_eq!((ordered(&mesh, false), ordered(&mesh, true)), (vec![Some(0); 3], vec![Some(30); 3]));
    assert!(mesh.receiver.stale > 0, "no late orders arrived");
}

/// The first leader of a new log has no predecessor, so it needs no handover time.
#[test]
fn the_founder_of_the_log_orders_at_once() {
    let duties = DutyOptions { handover: HANDOVER, usage: None, scaling: Some(ScaleOptions::default()) };
    let layout = Layout { total: TOTAL, disks: DISKS, voters: DISKS, duties, ..Layout::default() };
    let mut mesh = Mesh::start_as(layout);
    mesh.run(Duration::from_millis(1200));
    report_service_for(&mut mesh, 1, FIRST, [0; 3]);
    let founder = leader(&mesh);
    assert_eq!((ordered(&mesh, false), ordered(&mesh, true)), (vec![None; 3], vec![Some(20); 3]));
    mesh.kill(founder);
    let killed = mesh.now;
    mesh.run(Duration::from_millis(300));
    mesh.boot(founder);
    report_service_for(&mut mesh, 9, FIRST, [0; 3]);
    let later = mesh.receiver.calls.iter().find(|made| made.at > killed).expect("orders").at;
    assert!(later >= killed + HANDOVER, "{later:?}");
    assert_eq!(mesh.receiver.violations, Vec::<String>::new());
}

/// A leader that regains a lapsed lease in the same term must continue its fences.
#[test]
fn no_fence_is_reused_after_a_lapsed_lease() {
    let mut mesh = start();
    report_service_for(&mut mesh, 5, FIRST, [0; 3]);
    let holder = leader(&mesh);
    let (calls, term) = (scale_calls(&mesh), term_of(&mesh, holder));
    // The pause is longer than the lease and shorter than the election timeout.
    for number in (0..DISKS).filter(|number| *number != holder) {
        mesh.nodes[number].paused = true;
    }
    mesh.run(Duration::from_millis(800));
    assert_eq!(mesh.leader(), None, "the lease has lapsed");
    for number in 0..DISKS {
        mesh.wake(number);
    }
    mesh.run(Duration::from_millis(500));
    assert_eq!((mesh.leader(), term_of(&mesh, holder)), (Some(holder), term));
    report_service_for(&mut mesh, 3, FIRST, [20; 3]);
    assert!(scale_calls(&mesh) > calls, "no orders after the lapse");
    assert_eq!(mesh.receiver.stale, 0);
}

fn term_of(mesh: &Mesh, number: usize) -> u64 {
    let control = mesh.nodes[number].state.as_ref().and_then(|state| state.control.as_ref());
    control.expect("it has a disk").replica.term()
}
