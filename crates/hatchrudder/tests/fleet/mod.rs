//! Nine real processes on loopback, in three halls, five with a disk, and a stand-in service.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    net::TcpStream,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use rudder_client::{Changed, Operator};
use rudder_ledger::Change;
use rudder_model::{Class, Endpoint, EndpointKind, Kind, Labels, Mark, Object, Organisation, Selector, id};

pub const ADMIN_KEY: &str = "operator-key";
pub const CALLER_KEY: &str = "caller-key";
pub const HALLS: [&str; 3] = ["hervanta", "lielahti", "kaukajarvi"];
/// Generous: it only ends a test that would fail anyway.
const PATIENCE: Duration = Duration::from_secs(60);

pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub names: Vec<String>,
    pub addresses: BTreeMap<String, String>,
    running: BTreeMap<String, Child>,
    others: Vec<Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            for name in &self.names {
                let log = std::fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap_or_default();
                let last: Vec<&str> = log.lines().rev().take(6).collect();
                eprintln!("{name}: {last:#?}");
            }
        }
        for child in self.running.values_mut().chain(&mut self.others) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Free ports below those that the system hands out by itself: one of these could go to an outgoing
/// connection of another test before the instance listens, or while it is down. A port is asked for by connecting, not
/// by listening: a process that another test starts just then holds a copy of the listener until it runs its program, and
/// the instance would find the port in use.
fn free_ports(count: usize) -> Vec<u16> {
    const FIRST: u32 = 10_000;
    const RANGE: u32 = 22_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id() * 97;
    let next = || {
        let port = FIRST + (offset + NEXT.fetch_add(1, Ordering::Relaxed)) % RANGE;
        let port = u16::try_from(port).expect("a port number");
        TcpStream::connect(("127.0.0.1", port)).is_err().then_some(port)
    };
    std::iter::repeat_with(next).flatten().take(count).collect()
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hatchrudder"));
    command.stdout(Stdio::null()).stderr(Stdio::null());
    command
}

/// Tries until `check` gives something.
pub fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

impl Fleet {
    /// Starts everything and waits until it is ready.
    pub fn start() -> Fleet {
        let names: Vec<String> = (1..=9).map(|number| format!("node-{number}")).collect();
        let ports = free_ports(names.len() * 2);
        let folder = tempfile::tempdir().expect("a temporary folder");
        let mut peers = String::new();
        let mut addresses = BTreeMap::new();
        for (index, name) in names.iter().enumerate() {
            let (callers, between) = (ports[index * 2], ports[index * 2 + 1]);
            addresses.insert(name.clone(), format!("127.0.0.1:{callers}"));
            write!(
                peers,
                "[[peers]]\nname = \"{name}\"\nhall = \"{}\"\naddress = \"127.0.0.1:{callers}\"\n\
                 peer = \"127.0.0.1:{between}\"\nfounder = {}\ndisk = {}\n",
                HALLS[index % 3],
                index < 3,
                index < 5
            )
            .expect("writing to a string");
        }
        let mut fleet = Fleet { folder, names, addresses, running: BTreeMap::new(), others: Vec::new() };
        for index in 0..fleet.names.len() {
            fleet.write_settings(index, &peers);
        }
        for name in fleet.names.clone() {
            fleet.run(&name);
        }
        for name in fleet.names.clone() {
            fleet.wait_ready(&name);
        }
        fleet
    }

    fn write_settings(&self, index: usize, peers: &str) {
        let name = &self.names[index];
        let folder = self.folder.path().display();
        let data = if index < 5 { format!("data = \"{folder}/data/{name}\"\n") } else { String::new() };
        let mut nearest = HALLS.to_vec();
        nearest.sort_by_key(|hall| *hall != HALLS[index % 3]);
        let text = format!(
            "name = \"{name}\"\n{data}events = \"{folder}/events/{name}.jsonl\"\nadmin_key = \"{ADMIN_KEY}\"\n\
             peer_key = \"between-instances\"\nnearest = {nearest:?}\n{peers}\n\
             [control]\nreplace = \"2s\"\n[traffic]\nkeep = \"500ms\"\n"
        );
        std::fs::write(self.settings(name), text).expect("write settings");
    }

    fn settings(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.toml"))
    }

    pub fn run(&mut self, name: &str) {
        let log =
            std::fs::File::options().create(true).append(true).open(self.folder.path().join(format!("{name}.log")));
        let log = log.expect("a log file");
        let child = program()
            .stderr(log)
            .arg("run")
            .arg("--settings")
            .arg(self.settings(name))
            .spawn()
            .expect("start an instance");
        self.running.insert(name.to_owned(), child);
    }

    /// Starts a stand-in on a free port; returns its address.
    pub fn stand_in(&mut self, options: &[&str]) -> String {
        let address = format!("127.0.0.1:{}", free_ports(1)[0]);
        let child = program().args(["stand-in", "--listen", &address]).args(options).spawn().expect("start a stand-in");
        self.others.push(child);
        until("a stand-in answers", || std::net::TcpStream::connect(&address).ok());
        address
    }

    pub fn operator(&self, name: &str) -> Operator {
        Operator::new(&self.addresses[name], ADMIN_KEY)
    }

    pub fn status(&self, name: &str) -> Option<serde_json::Value> {
        self.operator(name).get("status").ok().map(|(_, body)| body)
    }

    pub fn wait_ready(&self, name: &str) {
        until(&format!("{name} is ready"), || self.status(name).filter(|status| status["ready"] == true));
    }

    pub fn leader(&self) -> String {
        until("a leader", || {
            let leads = |name: &&String| {
                self.running.contains_key(*name) && self.status(name).is_some_and(|s| s["leads"] == true)
            };
            self.names.iter().take(5).find(leads).cloned()
        })
    }

    pub fn voters(&self, name: &str) -> Vec<String> {
        let status = self.status(name).unwrap_or_default();
        let voters = status["voters"].as_array().cloned().unwrap_or_default();
        voters.iter().filter_map(|voter| voter.as_str().map(str::to_owned)).collect()
    }

    /// Ends a process without warning.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.running.remove(name).expect("a running instance");
        child.kill().expect("kill");
        child.wait().expect("wait");
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.running[name].id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &id]).status().expect("signal");
        assert!(status.success());
    }

    /// Waits for a process to end by itself; its exit code.
    pub fn wait_exit(&mut self, name: &str) -> Option<i32> {
        let mut child = self.running.remove(name).expect("a running instance");
        until(&format!("{name} ends"), || child.try_wait().expect("wait")).code()
    }

    pub fn wipe(&self, name: &str) {
        std::fs::remove_dir_all(self.folder.path().join("data").join(name)).expect("remove the data folder");
    }

    /// Changes one selector; tried at `at` until it is accepted. Returns its number.
    pub fn change(&self, at: &str, name: &str) -> u64 {
        until("a change is accepted", || {
            let operator = self.operator(at);
            match operator.put_over(name, Object::Selector(Selector::default())) {
                Ok(Changed::Accepted { number, .. }) => Some(number),
                _ => None,
            }
        })
    }

    /// The number of a selector as an instance holds it, 0 for none; `None` when it does not answer.
    pub fn number(&self, at: &str, name: &str) -> Option<u64> {
        let held = self.operator(at).object(Kind::Selector, name).ok()?;
        Some(held.map_or(0, |held| held.number))
    }

    /// Puts a class, an organisation, a selector and a service in force everywhere.
    pub fn configure_service(&self, address: &str) {
        let operator = self.operator("node-9");
        let class = Class { once: true, patience: Duration::from_secs(20), ..Class::default() };
        let keys = vec![id::hex(&id::digest(CALLER_KEY.as_bytes()))];
        let endpoint = Endpoint {
            hall: HALLS[0].into(),
            address: address.to_owned(),
            kind: EndpointKind::Service,
            serves: vec!["service/lasku".into()],
            labels: Labels::new(),
            mark: Mark::None,
            ..Endpoint::default()
        };
        let objects = [
            ("claim", Object::Class(class)),
            ("read", Object::Class(Class::default())),
            ("coop", Object::Organisation(Organisation { keys, ..Organisation::default() })),
            ("all", Object::Selector(Selector::default())),
            ("lasku-1", Object::Endpoint(endpoint)),
        ];
        let mut last = 0;
        for (name, object) in objects {
            let changed = operator.put_over(name, object).expect("a change");
            let Changed::Accepted { index, .. } = changed else { panic!("{name}: {changed:?}") };
            last = index;
        }
        for name in &self.names {
            until("configuration is in force", || {
                self.status(name).filter(|status| status["index"].as_u64() >= Some(last))
            });
        }
    }
}

/// A change of a selector under an id of its own.
pub fn selector_change(id: &str, name: &str, replaces: u64) -> Change {
    Change {
        id: id.to_owned(),
        kind: Kind::Selector,
        name: name.to_owned(),
        replaces,
        object: Some(Object::Selector(Selector::default())),
    }
}
