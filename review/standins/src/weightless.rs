//! A service whose weight has been 0 in every configuration gets requests while the replicas of the other one are down.

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
    Outcome, Unable, client, document,
    node::{self, Place, Site},
    record::{note, now},
    replica::Runs,
    start_all, start_replicas,
};

/// How long the replicas are down; the site's crashes last 4.5 s.
const DOWN: Duration = Duration::from_millis(4500);
/// All of the weight is with the first service.
const SPLIT: &str = r#""traffic_split":[{"service":"svc","weight":100},{"service":"canary","weight":0}]"#;

pub fn run(root: &Path, place: &Place, trouble: bool) -> Result<Outcome, Unable> {
    let mut nodes = node::nodes(place, 1, Site::League);
    start_all(&mut nodes, root, &document(1, SPLIT, &["svc", "canary"]))?;
    let runs = Runs::default();
    let replicas = start_replicas(place, &nodes, "svc", 1, 100, &runs);
    let _canary = start_replicas(place, &nodes, "canary", 1, 120, &runs);
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .map(|node| {
            let gap = Duration::from_millis(100);
            client::start(node.name.clone(), node.frontend(), ("POST", "/book/x"), gap, stop.clone())
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let count = |service: &str| runs.lock().expect("runs").iter().filter(|run| run.service == service).count();
    let before = (count("svc"), count("canary"));
    if before.0 == 0 {
        return Err("nothing was served before".to_owned());
    }
    let down = now();
    if trouble {
        for replica in &replicas {
            replica.crash();
        }
    }
    thread::sleep(DOWN);
    let back = now();
    let _again = if trouble { start_replicas(place, &nodes, "svc", 1, 140, &runs) } else { Vec::new() };
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let wrong = count("canary");
    for run in runs.lock().expect("runs").iter().filter(|run| run.service == "canary").take(5) {
        note(format!("broken: {} ran at service canary, whose weight is 0, at {:.3} s", run.id, run.at.as_secs_f64()));
    }
    let lines = vec![
        format!("runs before: {} at svc (weight 100), {} at canary (weight 0)", before.0, before.1),
        format!("all replicas of svc down from {:.3} s to {:.3} s: {trouble}", down.as_secs_f64(), back.as_secs_f64()),
        format!("runs in all: {} at svc, {wrong} at canary", count("svc")),
    ];
    Ok(Outcome { broken: wrong > 0, lines })
}
