//! Checks that go beyond the shape of the file.

use std::{collections::BTreeSet, time::Duration};

use toml::Spanned;

use crate::{Settings, read::Fault};

/// Longest sensible time for any setting.
const LONGEST: Duration = Duration::from_secs(24 * 60 * 60);

#[expect(clippy::unnecessary_wraps, reason = "every caller returns it as its own optional fault")]
fn fault<T>(at: &Spanned<T>, key: &str, text: impl Into<String>) -> Option<Fault> {
    Some(Fault { span: at.span(), key: key.to_owned(), text: text.into() })
}

/// The first thing in `settings` that cannot be.
pub(crate) fn fault_of(settings: &Settings) -> Option<Fault> {
    names(settings).or_else(|| addresses(settings)).or_else(|| founders(settings)).or_else(|| values(settings))
}

fn names(settings: &Settings) -> Option<Fault> {
    let mut seen = BTreeSet::new();
    for peer in &settings.peers {
        if peer.name.get_ref().is_empty() {
            return fault(&peer.name, "peers.name", "must not be empty");
        }
        if !seen.insert(peer.name.get_ref().clone()) {
            return fault(&peer.name, "peers.name", format!("{} stands twice", peer.name.get_ref()));
        }
    }
    if !seen.contains(settings.name.get_ref()) {
        return fault(&settings.name, "name", "is not among the peers");
    }
    let hall = &settings.me().hall;
    if !settings.nearest.get_ref().contains(hall) {
        return fault(&settings.nearest, "nearest", format!("lacks the own hall {hall}"));
    }
    let unknown = settings.nearest.get_ref().iter().find(|hall| !settings.peers.iter().any(|peer| peer.hall == **hall));
    unknown.and_then(|hall| fault(&settings.nearest, "nearest", format!("no peer stands in hall {hall}")))
}

fn addresses(settings: &Settings) -> Option<Fault> {
    let mut seen = BTreeSet::new();
    for peer in &settings.peers {
        for (address, key) in [(&peer.address, "peers.address"), (&peer.peer, "peers.peer")] {
            if address.get_ref().port() == 0 {
                return fault(address, key, "port 0 cannot be reached");
            }
            if address.get_ref().ip().is_unspecified() {
                return fault(address, key, "must be the IP number that others connect to");
            }
            if !seen.insert(*address.get_ref()) {
                return fault(address, key, format!("{} stands twice", address.get_ref()));
            }
        }
    }
    None
}

fn founders(settings: &Settings) -> Option<Fault> {
    let diskless = settings.peers.iter().find(|peer| peer.founder && !peer.disk);
    if let Some(peer) = diskless {
        return fault(&peer.name, "peers.founder", "a founder needs a disk (disk = true)");
    }
    let count = settings.peers.iter().filter(|peer| peer.founder).count();
    if count == 0 {
        return fault(&settings.name, "peers.founder", "at least one peer must be a founder");
    }
    if settings.me().disk != settings.data.is_some() {
        return fault(&settings.name, "data", "must be set exactly where the own peer entry says disk = true");
    }
    let voters = settings.control.voters;
    if voters.is_multiple_of(2) || voters > 9 {
        return fault(&settings.name, "control.voters", format!("{voters} must be odd and at most 9"));
    }
    None
}

fn values(settings: &Settings) -> Option<Fault> {
    if settings.admin_key.get_ref().len() < 8 {
        return fault(&settings.admin_key, "admin_key", "must have at least 8 characters");
    }
    if settings.peer_key.get_ref().len() < 8 {
        return fault(&settings.peer_key, "peer_key", "must have at least 8 characters");
    }
    let (control, traffic) = (&settings.control, &settings.traffic);
    let times = [
        ("control.heartbeat", control.heartbeat),
        ("control.election", control.election),
        ("control.watch", control.watch),
        ("control.fresh", control.fresh),
        ("control.replace", control.replace),
        ("control.load_interval", control.load_interval),
        ("control.order_timeout", control.order_timeout),
        ("traffic.keep", traffic.keep),
        ("traffic.connect", traffic.connect),
        ("traffic.idle", traffic.idle),
        ("traffic.poll", traffic.poll),
    ];
    for (key, time) in times {
        if time.is_zero() || time > LONGEST {
            return fault(&settings.name, key, "must lie between 1 ms and 24 h");
        }
    }
    if control.heartbeat * 3 > control.election {
        return fault(&settings.name, "control.election", "must be at least three heartbeats");
    }
    if control.election * 2 + control.watch * 2 > control.fresh {
        let text = "must be at least two elections and two watches, or a lost leader stops all work";
        return fault(&settings.name, "control.fresh", text);
    }
    let counts = [("traffic.body", traffic.body), ("traffic.open", traffic.open)];
    let zero = counts.into_iter().find(|(_, count)| *count == 0);
    zero.and_then(|(key, _)| fault(&settings.name, key, "must be at least 1"))
}
