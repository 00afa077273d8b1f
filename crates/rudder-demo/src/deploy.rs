//! A whole deployment in one process.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use eyre::{Context as _, Result, bail};
use rudder_client::{Changed, Operator};
use rudder_model::{Class, Endpoint, EndpointKind, Match, Object, Organisation, Selector, id};
use rudder_node::{Listeners, Node, listen::listen};
use rudder_standin::{Engine, EngineOptions, Service, ServiceOptions, service::Runs};

/// Halls of the first deployment.
pub const HALLS: [&str; 3] = ["pnw-sea", "pnw-pdx", "pnw-boi"];
/// Key of operators in the demo.
pub const ADMIN_KEY: &str = "demo-operator";
/// The model of the demo.
pub const MODEL: &str = "recap-llm";
/// The plain service of the demo.
pub const SERVICE: &str = "league-app";
/// Organisations of the demo.
pub const ORGS: [&str; 4] = ["north", "south", "east", "west"];
/// Instances in each hall.
const PER_HALL: usize = 3;
/// Longest wait for the deployment to be ready.
const READY: Duration = Duration::from_secs(15);

/// A running deployment.
pub struct Deployment {
    /// Instances by name.
    pub nodes: BTreeMap<String, Node>,
    /// Where callers reach each instance.
    pub entries: BTreeMap<String, String>,
    /// Engines by endpoint name.
    pub engines: BTreeMap<String, Arc<Engine>>,
    /// Service replicas by endpoint name.
    pub services: BTreeMap<String, Arc<Service>>,
    /// Runs of each key at the service.
    pub runs: Runs,
}

struct Place {
    name: String,
    hall: &'static str,
    callers: TcpListener,
    peers: TcpListener,
}

fn loopback() -> Result<TcpListener> {
    listen(SocketAddr::from(([127, 0, 0, 1], 0))).wrap_err("listen on loopback")
}

/// Starts nine instances, nine engines and three service replicas, and configures them.
///
/// # Errors
/// When something cannot be started or the deployment does not get ready.
pub fn deploy(folder: &Path, keep: Duration) -> Result<Deployment> {
    let mut deployment = Deployment {
        nodes: BTreeMap::new(),
        entries: BTreeMap::new(),
        engines: BTreeMap::new(),
        services: BTreeMap::new(),
        runs: Arc::new(Mutex::new(BTreeMap::new())),
    };
    start_nodes(&mut deployment, folder, keep)?;
    wait_ready(&deployment)?;
    let operator = deployment.operator()?;
    configure(&operator)?;
    let index = start_endpoints(&mut deployment, &operator)?;
    settle(&deployment, index)?;
    Ok(deployment)
}

impl Deployment {
    /// An operator at any instance.
    ///
    /// # Errors
    /// When there is no instance.
    pub fn operator(&self) -> Result<Operator> {
        let Some(entry) = self.entries.values().next() else { bail!("no instance runs") };
        Ok(Operator::new(entry, ADMIN_KEY))
    }

    /// Addresses of all instances.
    pub fn to_addresses(&self) -> Vec<String> {
        self.entries.values().cloned().collect()
    }
}

/// The bearer key of an organisation of the demo.
pub fn key_of(org: &str) -> String {
    format!("key-of-{org}")
}

fn start_nodes(deployment: &mut Deployment, folder: &Path, keep: Duration) -> Result<()> {
    let mut places = Vec::new();
    for hall in HALLS {
        for number in 1..=PER_HALL {
            let name = format!("{}-{number}", hall.trim_start_matches("pnw-"));
            places.push(Place { name, hall, callers: loopback()?, peers: loopback()? });
        }
    }
    let peers = to_peers(&places)?;
    for place in places {
        let text = to_settings(&place, &peers, folder, keep);
        let path = folder.join(format!("{}.toml", place.name));
        std::fs::write(&path, text).wrap_err("write settings")?;
        let settings = rudder_settings::read(&path)?;
        deployment.entries.insert(place.name.clone(), place.callers.local_addr()?.to_string());
        let listeners = Listeners { callers: place.callers, peers: place.peers };
        deployment.nodes.insert(place.name, rudder_node::start(&settings, listeners)?);
    }
    Ok(())
}

/// The first instance of each hall founds the log; the second ones have a disk too and are spares.
fn to_peers(places: &[Place]) -> Result<String> {
    let mut text = String::new();
    for place in places {
        let (founder, disk) = (place.name.ends_with("-1"), !place.name.ends_with("-3"));
        let (callers, peers) = (place.callers.local_addr()?, place.peers.local_addr()?);
        write!(
            text,
            "\n[[peers]]\nname = \"{}\"\nhall = \"{}\"\naddress = \"{callers}\"\npeer = \"{peers}\"\n\
             founder = {founder}\ndisk = {disk}\n",
            place.name, place.hall
        )?;
    }
    Ok(text)
}

fn to_settings(place: &Place, peers: &str, folder: &Path, keep: Duration) -> String {
    let mut nearest = HALLS.to_vec();
    nearest.sort_by_key(|hall| *hall != place.hall);
    let data = if place.name.ends_with("-3") {
        String::new()
    } else {
        format!("data = \"{}\"\n", folder.join("data").join(&place.name).display())
    };
    let events = folder.join("events").join(format!("{}.jsonl", place.name));
    format!(
        "name = \"{}\"\n{data}events = \"{}\"\nadmin_key = \"{ADMIN_KEY}\"\npeer_key = \"demo-between\"\n\
         nearest = {nearest:?}\n\n[traffic]\nkeep = \"{}ms\"\n{peers}",
        place.name,
        events.display(),
        keep.as_millis()
    )
}

fn wait_ready(deployment: &Deployment) -> Result<()> {
    let start = Instant::now();
    loop {
        let ready = |node: &Node| node.status().is_some_and(|status| status.ready);
        if deployment.nodes.values().all(ready) {
            return Ok(());
        }
        if start.elapsed() > READY {
            bail!("the instances did not get ready within {READY:?}");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Puts an object in force; returns the index from which it is.
fn put(operator: &Operator, name: &str, object: Object) -> Result<u64> {
    match operator.put_over(name, object)? {
        Changed::Accepted { index, .. } => Ok(index),
        other => bail!("{name} was not accepted: {other:?}"),
    }
}

/// Waits until every instance holds the configuration of `index`.
fn settle(deployment: &Deployment, index: u64) -> Result<()> {
    let start = Instant::now();
    loop {
        let indexes: Vec<u64> = deployment.nodes.values().filter_map(Node::status).map(|status| status.index).collect();
        if indexes.iter().all(|held| *held >= index) {
            return Ok(());
        }
        if start.elapsed() > READY {
            bail!("configuration did not reach all instances within {READY:?}: {indexes:?}");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn labelled(label: &str, value: &str) -> BTreeMap<String, String> {
    BTreeMap::from([(label.to_owned(), value.to_owned())])
}

fn matching(label: &str, value: &str) -> Match {
    Match(BTreeMap::from([(label.to_owned(), vec![value.to_owned()])]))
}

fn configure(operator: &Operator) -> Result<()> {
    let ms = Duration::from_millis;
    let lock = Class {
        tier: 0,
        target: ms(500),
        patience: Duration::from_secs(10),
        once: true,
        labels: labelled("kind", "service"),
        ..Class::default()
    };
    let rules = Class {
        tier: 0,
        target: ms(420),
        pace: ms(59),
        patience: Duration::from_secs(5),
        labels: labelled("kind", "model"),
        ..Class::default()
    };
    let recap = Class {
        tier: 2,
        target: Duration::from_secs(4),
        pace: ms(100),
        patience: Duration::from_secs(8),
        labels: labelled("kind", "model"),
        ..Class::default()
    };
    for (name, class) in [("lock", lock), ("rules", rules), ("recap", recap)] {
        put(operator, name, Object::Class(class))?;
    }
    for org in ORGS {
        let keys = vec![id::hex(&id::digest(key_of(org).as_bytes()))];
        put(operator, org, Object::Organisation(Organisation { keys, ..Organisation::default() }))?;
    }
    for (name, kind) in [("models", "model"), ("services", "service")] {
        let selector =
            Selector { classes: matching("kind", kind), endpoints: matching("kind", kind), ..Selector::default() };
        put(operator, name, Object::Selector(selector))?;
    }
    Ok(())
}

/// Starts engines and services and lists them; returns the index from which all are listed.
fn start_endpoints(deployment: &mut Deployment, operator: &Operator) -> Result<u64> {
    let mut index = 0;
    for hall in HALLS {
        let short = hall.trim_start_matches("pnw-");
        for number in 1..=3 {
            let name = format!("recap-{short}-{number}");
            let options = EngineOptions { slots: 4, ..EngineOptions::default() };
            let slots = options.slots;
            let (engine, address) = Engine::start(loopback()?, options)?;
            let endpoint = Endpoint {
                hall: hall.into(),
                address: address.to_string(),
                serves: vec![MODEL.into()],
                slots,
                believed: true,
                checks: true,
                labels: labelled("kind", "model"),
                ..Endpoint::default()
            };
            index = put(operator, &name, Object::Endpoint(endpoint))?;
            deployment.engines.insert(name, engine);
        }
        let name = format!("league-{short}");
        let (service, address) = Service::start(loopback()?, ServiceOptions::default(), deployment.runs.clone())?;
        let endpoint = Endpoint {
            hall: hall.into(),
            address: address.to_string(),
            kind: EndpointKind::Service,
            serves: vec![format!("{}{SERVICE}", id::SERVICE_PREFIX).into()],
            slots: 16,
            labels: labelled("kind", "service"),
            ..Endpoint::default()
        };
        index = index.max(put(operator, &name, Object::Endpoint(endpoint))?);
        deployment.services.insert(name, service);
    }
    Ok(index)
}
