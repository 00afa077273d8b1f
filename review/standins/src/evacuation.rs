//! A node that was frozen carries out an operator's old order after newer ones have been acknowledged.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    ONE_SERVICE, Outcome, Unable, client, document, listed,
    node::{self, Node, Place, Site, ZONES},
    operator,
    record::{note, now},
    replica::Runs,
    start_all, start_replicas,
};

/// Bounds of the deployment.
const EVACUATION: Duration = Duration::from_millis(5000);
const CONNECTIVITY: Duration = Duration::from_millis(4000);
/// How long the node stands still; the site's longest freeze is 8 s.
const FREEZE: Duration = Duration::from_millis(5000);
/// How long the zone is watched after the bound.
const WATCHED: Duration = Duration::from_secs(8);

pub fn run(root: &Path, place: &Place, trouble: bool) -> Result<Outcome, Unable> {
    let mut nodes = node::nodes(place, 1, Site::Charging);
    start_all(&mut nodes, root, &document(1, ONE_SERVICE, &["svc"]))?;
    let runs = Runs::default();
    let _replicas = start_replicas(place, &nodes, "svc", 2, 100, &runs);
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .map(|node| {
            client::start(
                node.name.clone(),
                node.frontend(),
                ("GET", "/read/x"),
                Duration::from_millis(40),
                stop.clone(),
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let zone = ZONES[0];
    let in_zone = |from: Duration, until: Duration| {
        runs.lock().expect("runs").iter().filter(|run| run.zone == zone && run.at >= from && run.at < until).count()
    };
    let before = in_zone(Duration::ZERO, now());
    if before == 0 {
        return Err("the zone served nothing before".to_owned());
    }
    let begin = format!("/hatchrudder/evacuation/{zone}/begin");
    let finish = format!("/hatchrudder/evacuation/{zone}/finish");
    let all = listed(&nodes);
    // The last node has no disk: the core stays whole.
    let frozen = nodes.len() - 1;
    let frozen_first: Vec<_> = all[frozen..].iter().chain(&all[..frozen]).cloned().collect();
    let first = operator::order(&all, &begin, "").ok_or("the first evacuation was not acknowledged")?;
    thread::sleep(Duration::from_millis(2500));
    let frozen_at = now();
    if trouble {
        nodes[frozen].signal("STOP");
    }
    thread::sleep(Duration::from_millis(200));
    let finished =
        operator::order(&frozen_first, &finish, "").ok_or("the end of the evacuation was not acknowledged")?;
    thread::sleep(Duration::from_millis(1500));
    let again = operator::order(&all, &begin, "").ok_or("the second evacuation was not acknowledged")?;
    thread::sleep((frozen_at + FREEZE).saturating_sub(now()));
    if trouble {
        nodes[frozen].signal("CONT");
    }
    let thawed = now();
    let bound = again + EVACUATION;
    thread::sleep((bound + WATCHED).saturating_sub(now()));
    let end = now();
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let in_touch = |node: &Node| !trouble || node.name != nodes[frozen].name || bound > thawed + CONNECTIVITY;
    let senders: Vec<_> = nodes.iter().filter(|node| in_touch(node)).map(|node| node.ip).collect();
    let late: Vec<_> = runs
        .lock()
        .expect("runs")
        .iter()
        .filter(|run| run.zone == zone && run.at > bound && run.at < end)
        .filter(|run| run.from.is_some_and(|from| senders.contains(&from)))
        .cloned()
        .collect();
    for run in late.iter().take(5) {
        note(format!(
            "broken: {} reached {zone} {:.3} s after the acknowledgement",
            run.id,
            (run.at - again).as_secs_f64()
        ));
    }
    let lines = vec![
        format!("requests run in {zone} before its evacuation: {before}"),
        format!(
            "evacuation acknowledged at {:.3} s, taken back at {:.3} s, ordered again and acknowledged at {:.3} s",
            first.as_secs_f64(),
            finished.as_secs_f64(),
            again.as_secs_f64()
        ),
        format!(
            "{} stood still from {:.3} s to {:.3} s: {trouble}",
            nodes[frozen].name,
            frozen_at.as_secs_f64(),
            thawed.as_secs_f64()
        ),
        format!(
            "requests that nodes in touch sent to {zone} from {:.3} s to {:.3} s, over {} ms after the last acknowledgement: {}",
            bound.as_secs_f64(),
            end.as_secs_f64(),
            EVACUATION.as_millis(),
            late.len()
        ),
    ];
    Ok(Outcome { broken: !late.is_empty(), lines })
}
