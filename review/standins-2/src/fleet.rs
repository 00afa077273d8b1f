//! A small deployment: the project's own program, started as the deploy file says, one process for each machine.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{
    case::{self, wait_for},
    http,
};

const FRONTEND: u16 = 8227;
const READY: u16 = 8220;
const CONTROL: u16 = 8229;
const DIRECTORY: u16 = 8224;
const PATIENCE: Duration = Duration::from_secs(3);
const DEPLOY_FILE: &str = "deploy/system.toml";
const ROLE: &str = "[roles.instance]";

/// What the settings of all machines share.
pub struct Site {
    /// Zones, each with its region.
    pub zones: &'static [(&'static str, &'static str)],
    /// `bounds`, as JSON.
    pub bounds: &'static str,
    /// `limits`, as JSON.
    pub limits: &'static str,
    /// `contracts`, as JSON.
    pub contracts: &'static str,
    /// Machines with a disk that may be lost at once.
    pub failures: u32,
    /// Interval of replicas' heartbeats in milliseconds.
    pub heartbeat: u32,
}

/// One machine with its process.
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: &'static str,
    disk: bool,
    folder: PathBuf,
    child: Option<Child>,
}

/// All machines of a deployment.
pub struct Fleet {
    /// The machines; those with a disk come first.
    pub machines: Vec<Machine>,
    site: Site,
    network: [u8; 3],
    folder: PathBuf,
}

impl Fleet {
    /// A deployment of machines in these zones, of which the first `disks` have a disk. No process runs yet.
    pub fn new(site: Site, zones: &[&'static str], disks: usize) -> Fleet {
        let network = free_network();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let machines = zones.iter().enumerate().map(|(number, zone)| {
            let name = format!("edge-{zone}-{}", number + 1);
            let folder = folder.join(&name);
            fs::create_dir_all(&folder).expect("a temporary folder");
            let ip = Ipv4Addr::new(network[0], network[1], network[2], 1 + number as u8);
            Machine { name, ip, zone, disk: number < disks, folder, child: None }
        });
        Fleet { machines: machines.collect(), site, network, folder }
    }

    /// An address of the deployment's network that no machine has.
    pub fn server_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.network[0], self.network[1], self.network[2], 100 + number)
    }

    /// Starts a machine's process.
    pub fn start(&mut self, number: usize, bootstrap: bool) {
        let settings = self.settings(number, bootstrap);
        let machine = &mut self.machines[number];
        let path = machine.folder.join("settings.json");
        fs::write(&path, settings).expect("settings can be written");
        let log = File::options().create(true).append(true).open(machine.folder.join("log")).expect("a log file");
        let words = read_command();
        let root = std::env::current_dir().expect("the repository's root");
        let mut command = Command::new(root.join(&words[0]));
        command.args(&words[1..]).env_clear().env("HATCHRUDDER_NODE_FILE", &path);
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(std::env::var(name).ok().map(|value| (name, value)));
        }
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("a second handle")).stderr(log);
        case::end_with_parent(&mut command);
        let child = command.spawn().expect("the program of the deploy file starts");
        case::note_process(child.id());
        machine.child = Some(child);
    }

    /// Starts all processes for the first time.
    pub fn start_all(&mut self) {
        for number in 0..self.machines.len() {
            self.start(number, true);
        }
    }

    /// Sends a configuration until it is acknowledged, and waits until all machines are ready.
    pub fn configure(&self, document: &str) {
        wait_for("the configuration is acknowledged", || self.machines[0].configure(document) == Some(200));
        for machine in &self.machines {
            wait_for("all machines are ready", || machine.is_ready());
        }
    }

    /// Where replicas send their heartbeats.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.machines.iter().map(Machine::control).collect()
    }

    fn settings(&self, number: usize, bootstrap: bool) -> String {
        let Site { zones, bounds, limits, contracts, failures, heartbeat } = &self.site;
        let Machine { name, ip, zone, disk, folder, .. } = &self.machines[number];
        let region = zones.iter().find(|(held, _)| held == zone).map_or("", |(_, region)| *region);
        let regions: Vec<String> = zones.iter().map(|(zone, region)| format!("\"{zone}\": \"{region}\"")).collect();
        let seeds: Vec<String> = self.machines[..3].iter().map(|seed| format!("\"{}:{CONTROL}\"", seed.ip)).collect();
        let data = if *disk { folder.join("data").display().to_string() } else { String::new() };
        format!(
            r#"{{"node_name": "{name}", "role": "instance", "machine_class": "edge",
"served_roles": ["edge", "control", "registry"], "ip_address": "{ip}", "zone": "{zone}", "region": "{region}",
"zones": {{{regions}}},
"listen_addresses": {{"frontend": "{ip}:{FRONTEND}", "ready": "{ip}:{READY}", "control_plane": "{ip}:{CONTROL}",
"directory_service": "{ip}:{DIRECTORY}"}}, "internal_port_range": [7340, 7355], "seed_nodes": [{seeds}],
"bootstrap": {bootstrap}, "failure_counted": {disk}, "limits": {limits}, "data_directory": "{data}",
"discovery_source": "self_registration", "entry_type": "registry", "heartbeat_interval_ms": {heartbeat},
"contracts": {contracts},
"fault_tolerance": {{"machine_failures": {failures}, "zones": 0, "region_failures": 0}},
"bounds": {bounds}, "config_mode": "highest"}}"#,
            regions = regions.join(", "),
            seeds = seeds.join(", "),
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Machine {
    /// Where clients connect.
    pub fn frontend(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, FRONTEND)
    }

    /// Where operators and replicas connect.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, CONTROL))
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::V4(SocketAddrV4::new(self.ip, READY));
        http::get(ready, "/hatchrudder/readyz", PATIENCE).is_ok_and(|answer| answer.status == 200)
    }

    /// Sends a configuration and returns the status, if an answer came.
    pub fn configure(&self, document: &str) -> Option<u16> {
        let answer = http::post(self.control(), "/hatchrudder/config/replace", document, PATIENCE);
        answer.ok().map(|answer| answer.status)
    }

    /// Sends a signal to its process.
    pub fn signal(&self, name: &str) {
        case::signal(self.child.as_ref().expect("its process runs").id(), name);
    }

    /// Ends its process without a word.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
        case::forget_process(child.id());
    }

    /// Waits for the end of its process. Returns its exit code and when it was seen.
    pub fn wait_end(&mut self, bound: Duration) -> Option<(Option<i32>, Instant)> {
        let end = Instant::now() + bound;
        let child = self.child.as_mut().expect("its process runs");
        while Instant::now() < end {
            if let Some(status) = child.try_wait().expect("the state of a child") {
                case::forget_process(child.id());
                self.child = None;
                return Some((status.code(), Instant::now()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

/// The words of the command that the deploy file names for the role.
fn read_command() -> Vec<String> {
    let text = fs::read_to_string(Path::new(DEPLOY_FILE)).expect("the deploy file, from the repository's root");
    let mut lines = text.lines().skip_while(|line| line.trim() != ROLE);
    let run = lines.find_map(|line| line.trim().strip_prefix("run = \"")?.strip_suffix('"')).expect("a command");
    run.split(' ').map(str::to_owned).collect()
}

/// Three bytes of a loopback network whose first addresses nobody listens at.
fn free_network() -> [u8; 3] {
    let process = std::process::id();
    for attempt in 0..200 {
        let number = process.wrapping_add(attempt * 7919);
        let network = [127, 120 + (number / 250 % 100) as u8, 1 + (number % 250) as u8];
        let is_free = |host: u8| {
            let ip = Ipv4Addr::new(network[0], network[1], network[2], host);
            [FRONTEND, READY, CONTROL, DIRECTORY, 7340, 9464].iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        };
        if (1..=12).all(is_free) {
            return network;
        }
    }
    panic!("no free loopback network");
}
