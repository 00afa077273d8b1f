//! The processor of an instance: it handles one event after the other, and each takes time in proportion to its size.

use std::{collections::VecDeque, time::Duration};

use rudder_core::{Effect, Event};

/// Messages of other instances that wait at most; further ones are lost, as at real instances.
const MAX_WAITING: usize = 4_096;
/// Time of a whole core for a message sent or received, or a heartbeat over HTTP.
const MESSAGE_TIME: Duration = Duration::from_micros(60);
/// Time of a whole core for an entry of about 100 bytes in a message: coding and a look-up.
const ENTRY_TIME: Duration = Duration::from_micros(2);

/// A processor; by default events take no time.
#[derive(Debug, Default)]
pub struct Processor {
    /// Share of a core; `None` if events take no time.
    share: Option<f64>,
    waiting: VecDeque<Event>,
    /// A tick is due. It goes before the events that wait.
    tick: bool,
    /// An event is being handled.
    pub busy: bool,
}

impl Processor {
    /// Creates an idle processor.
    pub fn new(share: Option<f64>) -> Processor {
        Processor { share, ..Processor::default() }
    }

    /// Queues an event, or drops a message if too many wait.
    pub fn queue(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick = true,
            Event::Peer { .. } if self.waiting.len() >= MAX_WAITING => {}
            event => self.waiting.push_back(event),
        }
    }

    /// Returns the next event to handle, unless one is being handled.
    pub fn begin(&mut self) -> Option<Event> {
        if self.busy {
            return None;
        }
        if std::mem::take(&mut self.tick) {
            return Some(Event::Tick);
        }
        self.waiting.pop_front()
    }

    /// Returns the time for an event whose receipt costs `received` of a whole core, with its effects.
    pub fn time(&self, received: Duration, effects: &[Effect]) -> Option<Duration> {
        let share = self.share?;
        let sent: Duration = effects.iter().map(cost_of_effect).sum();
        Some((received + sent).div_f64(share))
    }

    /// Drops all events.
    pub fn clear(&mut self) {
        (self.tick, self.busy) = (false, false);
        self.waiting.clear();
    }
}

/// Returns the time of a whole core for receiving an event.
pub fn cost_of_event(event: &Event) -> Duration {
    match event {
        Event::Peer { message, .. } => MESSAGE_TIME + ENTRY_TIME * message.weight() as u32,
        Event::Register { .. } => MESSAGE_TIME,
        _ => ENTRY_TIME,
    }
}

fn cost_of_effect(effect: &Effect) -> Duration {
    match effect {
        Effect::Send { message, .. } => MESSAGE_TIME + ENTRY_TIME * message.weight() as u32,
        _ => Duration::ZERO,
    }
}
