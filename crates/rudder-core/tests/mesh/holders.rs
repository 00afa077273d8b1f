//! Faults of the instance that grants the permits of an endpoint, while instances ask for them.

use std::time::Duration;

use super::Mesh;

const SECOND: Duration = Duration::from_secs(1);

/// Instances that ask for permits as time goes on.
pub trait Load {
    /// The instances.
    fn mesh(&mut self) -> &mut Mesh;
    /// Advances time.
    fn run(&mut self, span: Duration);
}

/// The holder, which is the instance with the most answers.
pub fn find(load: &mut impl Load) -> usize {
    let mesh = load.mesh();
    let count = |number: &usize| mesh.sent_by(*number, "permit").messages;
    (0..mesh.nodes.len()).max_by_key(count).expect("there are some")
}

pub fn kill(load: &mut impl Load) {
    let holder = find(load);
    load.mesh().kill(holder);
}

pub fn kill_for(load: &mut impl Load, span: Duration) {
    let holder = find(load);
    load.mesh().kill(holder);
    load.run(span);
    load.mesh().boot(holder);
}

pub fn kill_in_series(load: &mut impl Load) {
    for _ in 0..3 {
        kill_for(load, SECOND * 2);
    }
}

pub fn pause(load: &mut impl Load, span: Duration) {
    let holder = find(load);
    load.mesh().nodes[holder].paused = true;
    load.run(span);
    load.mesh().wake(holder);
}

/// Cuts it off from the others: it continues to grant to itself while they list it.
pub fn cut_off(load: &mut impl Load) {
    let holder = find(load);
    load.mesh().nodes[holder].cut = true;
    load.run(SECOND * 4);
    load.mesh().nodes[holder].cut = false;
}

pub fn kill_leader(load: &mut impl Load) {
    let leader = load.mesh().leader().expect("one leads");
    load.mesh().kill(leader);
    load.run(SECOND * 3);
    load.mesh().boot(leader);
}

pub fn lose_messages(load: &mut impl Load) {
    load.mesh().loss = 0.2;
    load.run(SECOND * 6);
    load.mesh().loss = 0.0;
}

pub fn delay_messages(load: &mut impl Load, delay: Duration) {
    load.mesh().delay = delay;
    load.run(SECOND * 6);
    load.mesh().delay = Duration::ZERO;
}
