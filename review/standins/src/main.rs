//! The cases of the review that are no days of the bench: `review-standins CASE FOLDER`, run at the project's root.
//!
//! `TROUBLE=0` in the environment leaves the disruption out. The exit code is 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.
#![deny(unsafe_code)]

mod client;
mod departure;
mod evacuation;
mod http;
mod node;
mod operator;
mod record;
mod replica;
mod weightless;

use std::{
    net::TcpListener,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{Arc, Mutex, atomic::AtomicBool},
    thread,
    time::{Duration, Instant},
};

use node::{Node, Place};
use replica::{Replica, Runs};

/// What a case has shown.
pub struct Outcome {
    pub broken: bool,
    pub lines: Vec<String>,
}

/// Why a case could not run.
pub type Unable = String;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::note(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let root = std::env::current_dir().expect("a folder to run in");
    let place = Place::find();
    let run = match case.as_str() {
        "evacuation" => evacuation::run,
        "departure" => departure::run,
        "weightless" => weightless::run,
        _ => {
            eprintln!("there is no case {case}");
            return ExitCode::from(2);
        }
    };
    let outcome = std::panic::catch_unwind(|| run(&root, &place, trouble));
    let _ = std::fs::remove_dir_all(&place.folder);
    match outcome {
        Ok(Ok(outcome)) => {
            let mut lines = outcome.lines;
            lines.push(if outcome.broken { "the rule was broken" } else { "the rule held" }.to_owned());
            record::write(&folder, &lines);
            ExitCode::from(u8::from(outcome.broken))
        }
        Ok(Err(why)) => {
            record::write(&folder, &[format!("the case could not run: {why}")]);
            ExitCode::from(2)
        }
        Err(_) => {
            record::write(&folder, &["the case could not run: a stand-in failed".to_owned()]);
            ExitCode::from(2)
        }
    }
}

/// Waits until `holds` does, for `bound` at most.
pub fn wait_for(what: &str, bound: Duration, mut holds: impl FnMut() -> bool) -> Result<(), Unable> {
    let end = Instant::now() + bound;
    while !holds() {
        if Instant::now() >= end {
            return Err(format!("waited in vain: {what}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Names and control addresses of nodes, as the operator's list has them.
pub fn listed(nodes: &[Node]) -> Vec<(String, std::net::SocketAddr)> {
    nodes.iter().map(|node| (node.name.clone(), node.control())).collect()
}

/// Where a route leads that has one service.
pub const ONE_SERVICE: &str = r#""service":"svc""#;

/// A configuration of plain services, with a route that may be repeated and one that may not. Both lead where `target` says.
pub fn document(version: u64, target: &str, services: &[&str]) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"r-{name}","host":"{}","path_prefix":"/{name}/","route_type":"{kind}","timeout_ms":1000,"target_latency_ms":150,"priority":1,{target},"max_attempts":{attempts},"anonymous":false,"session_affinity":false,"stream_resume":false}}"#,
            client::HOST
        )
    };
    let service = |name: &&str| {
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_connections":550,"protocol":"h1","tls_enabled":false,"warmup_s":0.0,"warmup_per_s":0.0}}"#
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-one","api_keys":["{}"],"priority":1}}]}}"#,
        route("read", "idempotent", 2),
        route("book", "non_idempotent", 1),
        services.join(","),
        client::KEY
    )
}

/// Starts all nodes and puts the first configuration in force.
pub fn start_all(nodes: &mut [Node], root: &Path, document: &str) -> Result<(), Unable> {
    if !root.join("target/release/hatchrudder").exists() {
        return Err("the program of the deploy file is not built".to_owned());
    }
    for node in nodes.iter_mut() {
        node.start(root, true);
    }
    let listed = listed(nodes);
    wait_for("the first configuration is acknowledged", Duration::from_secs(20), || {
        operator::order(&listed, "/hatchrudder/config/replace", document).is_some()
    })?;
    wait_for("all nodes are ready", Duration::from_secs(20), || nodes.iter().all(Node::is_ready))
}

/// Starts `count` replicas of a service in each zone; `first` numbers their addresses.
pub fn start_replicas(
    place: &Place,
    nodes: &[Node],
    service: &'static str,
    count: u8,
    first: u8,
    runs: &Runs,
) -> Vec<Arc<Replica>> {
    let mut replicas = Vec::new();
    for (number, zone) in (0..).zip(node::ZONES) {
        for copy in 0..count {
            let number = first + number * count + copy;
            let listener = TcpListener::bind((place.ip(number), 0)).expect("a free port");
            let replica = Replica {
                id: format!("i-{service}-{number}"),
                service,
                zone,
                address: listener.local_addr().expect("it is bound"),
                work: Duration::from_millis(15),
                answer: 800,
                runs: runs.clone(),
                silent: AtomicBool::new(false),
                ended: AtomicBool::new(false),
                connections: Mutex::default(),
            };
            replicas.push(replica.start(listener, nodes.iter().map(Node::control).collect()));
        }
    }
    replicas
}
