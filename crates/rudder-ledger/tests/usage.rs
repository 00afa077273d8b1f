//! Usage by window: counts taken once, windows closed for good, reports kept until they are acknowledged.

use std::time::Duration;

use rudder_ledger::{Answer, Command, Count, Ledger, Source, Stamped, Tally, Window};

struct Log {
    ledger: Ledger,
    index: u64,
}

impl Log {
    fn new() -> Log {
        Log { ledger: Ledger::default(), index: 0 }
    }

    fn apply(&mut self, command: Command) -> bool {
        self.index += 1;
        let stamped = Stamped { time: Duration::from_secs(self.index), proposer: "a".into(), command };
        match self.ledger.apply(self.index, stamped) {
            Answer::Counted(changed) => changed,
            other => panic!("{other:?}"),
        }
    }

    fn tell(&mut self, start: u64, sequence: u64, window: Window, requests: u64) -> bool {
        let counts = vec![Count { window, org: "acme".into(), requests }];
        self.apply(Command::Tally(Tally { sources: vec![Source { start, sequence }], counts }))
    }

    fn closed(&self, window: Window) -> Option<u64> {
        let counts = self.ledger.usage.closed().get(&window)?;
        Some(counts.get("acme").copied().unwrap_or_default())
    }
}

macro_rules! cases {
    ($($name:ident: $test:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let test: fn(&mut Log) = $test;
                test(&mut Log::new());
            }
        )*
    };
}

cases! {
    counts_of_several_sources_add_up: |log| {
        assert!(log.tell(1, 1, 10, 3));
        assert!(log.tell(2, 1, 10, 4));
        assert!(log.apply(Command::CloseWindow(10)));
        assert_eq!(log.closed(10), Some(7));
    };
    a_message_counts_once: |log| {
        assert!(log.tell(1, 1, 10, 3));
        assert!(!log.tell(1, 1, 10, 3));
        assert!(log.tell(1, 2, 10, 1));
        assert!(log.apply(Command::CloseWindow(10)));
        assert_eq!(log.closed(10), Some(4));
    };
    a_message_from_before_the_first_window_was_closed_counts_once: |log| {
        assert!(log.tell(1, 1, 1000, 3));
        assert!(log.apply(Command::CloseWindow(999)));
        assert!(!log.tell(1, 1, 1000, 3));
    };
    a_gap_in_the_messages_is_not_taken: |log| {
        assert!(log.tell(1, 1, 10, 3));
        assert!(!log.tell(1, 3, 10, 5));
        assert_eq!(log.ledger.usage.taken(1), 1);
    };
    one_known_message_keeps_the_others_of_its_command_out: |log| {
        assert!(log.tell(1, 1, 10, 3));
        let sources = vec![Source { start: 1, sequence: 1 }, Source { start: 2, sequence: 1 }];
        let counts = vec![Count { window: 10, org: "acme".into(), requests: 9 }];
        assert!(!log.apply(Command::Tally(Tally { sources, counts })));
        assert_eq!(log.ledger.usage.taken(2), 0);
    };
    a_closed_window_never_changes: |log| {
        assert!(log.tell(1, 1, 10, 3));
        assert!(log.apply(Command::CloseWindow(10)));
        assert!(log.tell(1, 2, 10, 2));
        assert!(!log.apply(Command::CloseWindow(10)));
        assert_eq!((log.closed(10), log.ledger.usage.late()), (Some(3), 2));
    };
    closing_a_window_closes_those_before_it: |log| {
        assert!(log.tell(1, 1, 10, 3));
        assert!(log.tell(1, 2, 12, 4));
        assert!(log.apply(Command::CloseWindow(12)));
        assert_eq!((log.closed(10), log.closed(11), log.closed(12)), (Some(3), None, Some(4)));
    };
    an_empty_window_is_reported_too: |log| {
        assert!(log.apply(Command::CloseWindow(10)));
        assert_eq!(log.closed(10), Some(0));
    };
    an_acknowledged_window_is_forgotten_once: |log| {
        assert!(log.apply(Command::CloseWindow(10)));
        assert!(log.apply(Command::Reported(10)));
        assert!(!log.apply(Command::Reported(10)));
        assert!(!log.apply(Command::CloseWindow(10)));
        assert_eq!(log.closed(10), None);
    };
    a_source_that_was_forgotten_is_taken_again: |log| {
        assert!(log.tell(1, 7, 10, 3));
        assert!(log.apply(Command::CloseWindow(40)));
        assert_eq!(log.ledger.usage.taken(1), 0);
        assert!(log.tell(1, 8, 41, 2));
        assert_eq!(log.ledger.usage.taken(1), 8);
    };
    reports_that_nobody_takes_are_bounded: |log| {
        for window in 0..800 {
            log.apply(Command::CloseWindow(window));
        }
        assert_eq!((log.ledger.usage.closed().len(), log.ledger.usage.dropped()), (720, 80));
    };
    a_snapshot_holds_all: |log| {
        assert!(log.tell(1, 1, 10, 3));
        assert!(log.apply(Command::CloseWindow(10)));
        assert!(log.tell(1, 2, 11, 5));
        let bytes = log.ledger.try_to_bytes().expect("it can be encoded");
        assert_eq!(Ledger::try_from_bytes(&bytes).expect("it can be decoded"), log.ledger);
    };
    a_snapshot_of_an_earlier_version_is_read: |log| {
        // What an earlier version wrote has everything but the usage.
        let ledger = &log.ledger;
        let earlier = (ledger.index, ledger.time, &ledger.config, &ledger.claims, &ledger.document);
        let bytes = rmp_serde::to_vec(&earlier).expect("it can be encoded");
        assert_eq!(Ledger::try_from_bytes(&bytes).expect("it can be decoded"), log.ledger);
    };
}
