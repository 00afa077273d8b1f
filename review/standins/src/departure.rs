//! Two replicas leave shortly one after the other. The leader ends right after it has acknowledged the second one's departure,
//! and nobody else knows of that.

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
    ONE_SERVICE, Outcome, Unable, client, document,
    node::{self, Place, Site},
    record::{note, now},
    replica::Runs,
    start_all, start_replicas,
};

/// Bounds of the deployment.
const DRAIN: Duration = Duration::from_millis(2000);
const CONNECTIVITY: Duration = Duration::from_millis(3000);
/// A process that was killed is started again after a short delay.
const DOWN: Duration = Duration::from_millis(500);
/// Time between the two departures.
const APART: Duration = Duration::from_millis(10);
/// The leader ends so long after the acknowledgement at most.
const WITHIN: Duration = Duration::from_millis(4);
/// How long the replica serves on after the acknowledgement.
const SERVES_ON: Duration = Duration::from_millis(9000);

pub fn run(root: &Path, place: &Place, trouble: bool) -> Result<Outcome, Unable> {
    let mut nodes = node::nodes(place, 2, Site::League);
    start_all(&mut nodes, root, &document(1, ONE_SERVICE, &["svc"]))?;
    let runs = Runs::default();
    let replicas = start_replicas(place, &nodes, "svc", 5, 100, &runs);
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .map(|node| {
            let gap = Duration::from_millis(100);
            client::start(node.name.clone(), node.frontend(), ("POST", "/book/x"), gap, stop.clone())
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let leader =
        (0..nodes.len()).filter(|at| nodes[*at].has_led_last().is_some()).max_by_key(|at| nodes[*at].has_led_last());
    let leader = leader.ok_or("no node says that it leads")?;
    note(format!("{} leads", nodes[leader].name));
    let (earlier, leaving) = (&replicas[0], &replicas[replicas.len() - 1]);
    let control = nodes[leader].control();
    earlier.fall_silent();
    leaving.fall_silent();
    let first = earlier.deregister(control).ok_or("the first departure was not acknowledged")?;
    note(format!("{} acknowledged at {:.4} s that {} leaves", nodes[leader].name, first.as_secs_f64(), earlier.id));
    thread::sleep(APART);
    let acknowledged = leaving.deregister(control);
    if trouble {
        thread::sleep(wait_before_kill());
        nodes[leader].kill();
    }
    let killed = now();
    let acknowledged = acknowledged.ok_or("the departure was not acknowledged")?;
    note(format!(
        "{} acknowledged at {:.4} s that {} leaves",
        nodes[leader].name,
        acknowledged.as_secs_f64(),
        leaving.id
    ));
    let mut calm = acknowledged;
    if trouble {
        thread::sleep(DOWN);
        nodes[leader].start(root, false);
        calm = now() + CONNECTIVITY;
    }
    thread::sleep((acknowledged + SERVES_ON).saturating_sub(now()));
    earlier.crash();
    leaving.crash();
    let end = now();
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let from = calm.max(acknowledged + DRAIN);
    let runs = runs.lock().expect("runs");
    let of_leaving = || runs.iter().filter(|run| run.replica == leaving.id);
    let late: Vec<_> = of_leaving().filter(|run| run.at > from && run.at < end).collect();
    for run in late.iter().take(5) {
        note(format!(
            "broken: {} reached {} {:.3} s after the acknowledgement",
            run.id,
            leaving.id,
            (run.at - acknowledged).as_secs_f64()
        ));
    }
    let lines = vec![
        format!("runs at {} before it left: {}", leaving.id, of_leaving().filter(|run| run.at < acknowledged).count()),
        format!(
            "{} acknowledged its departure at {:.4} s, and was killed at {:.4} s: {trouble}",
            nodes[leader].name,
            acknowledged.as_secs_f64(),
            killed.as_secs_f64()
        ),
        format!("machines are in touch again from {:.3} s on", calm.as_secs_f64()),
        format!(
            "requests that machines in touch sent there over {} ms after the acknowledgement: {}",
            DRAIN.as_millis(),
            late.len()
        ),
        format!(
            "requests sent there over {} ms after the acknowledgement in all: {}",
            DRAIN.as_millis(),
            of_leaving().filter(|run| run.at > acknowledged + DRAIN).count()
        ),
    ];
    Ok(Outcome { broken: !late.is_empty(), lines })
}

/// How long after the acknowledgement the leader is killed; `KILL_AFTER_MS` measures how wide the window is.
fn wait_before_kill() -> Duration {
    let measured = std::env::var("KILL_AFTER_MS").ok().and_then(|ms| ms.parse().ok());
    // The end of a process takes some time of its own.
    measured.map_or(WITHIN / 2, Duration::from_millis)
}
