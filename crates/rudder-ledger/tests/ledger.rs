//! Changes, answers given again, claims.

use std::time::Duration;

use rudder_ledger::{Answer, Attempt, Change, Changed, Claim, Command, Ledger, Outcome, Stamped, Standing, claim};
use rudder_model::{Kind, Object, Selector};

struct Log {
    ledger: Ledger,
    index: u64,
    time: Duration,
}

impl Log {
    fn new() -> Log {
        Log { ledger: Ledger::default(), index: 0, time: Duration::from_secs(1_000_000) }
    }

    fn apply(&mut self, command: Command) -> Answer {
        self.index += 1;
        let stamped = Stamped { time: self.time, proposer: "a".into(), command };
        self.ledger.apply(self.index, stamped)
    }

    fn change(&mut self, id: &str, name: &str, replaces: u64) -> Changed {
        let object = Some(Object::Selector(Selector::default()));
        let change = Change { id: id.to_owned(), kind: Kind::Selector, name: name.to_owned(), replaces, object };
        match self.apply(Command::Change(change)) {
            Answer::Changed(changed) => changed,
            other => panic!("{other:?}"),
        }
    }

    fn claimed(&mut self, command: Command) -> Standing {
        match self.apply(command) {
            Answer::Claimed(standing) => standing,
            other => panic!("{other:?}"),
        }
    }

    fn claim(&mut self, key: &str, digest: u8, attempt: &Attempt) -> Standing {
        let claim = Claim { key: key.to_owned(), digest: [digest; 32], attempt: attempt.clone() };
        self.claimed(Command::Claim(claim))
    }

    /// The same state through a snapshot.
    fn reload(&mut self) {
        let bytes = self.ledger.try_to_bytes().expect("encodes");
        let read = Ledger::try_from_bytes(&bytes).expect("decodes");
        assert_eq!(read, self.ledger);
        self.ledger = read;
    }
}

fn attempt(owner: &str, count: u64) -> Attempt {
    Attempt { owner: owner.into(), start: 1, count }
}

fn done(body: &str) -> Outcome {
    Outcome::Done { status: 200, content: "text/plain".to_owned(), body: Some(body.as_bytes().to_vec().into()) }
}

#[test]
fn equal_numbers_conflict_and_show_what_stands() {
    let mut log = Log::new();
    assert_eq!(log.change("one", "s", 0), Changed::Accepted { number: 1, index: 1 });
    let Changed::Conflict { standing } = log.change("two", "s", 0) else { panic!("both won") };
    assert_eq!((standing.number, standing.index), (1, 1));
}

#[test]
fn a_change_sent_again_gets_its_first_answer_even_after_a_snapshot() {
    let mut log = Log::new();
    let first = log.change("one", "s", 0);
    log.change("two", "s", 1);
    log.reload();
    assert_eq!(log.change("one", "s", 0), first);
    assert_eq!(log.change("one", "other", 0), Changed::IdReused);
}

#[test]
fn numbers_of_a_deleted_object_go_on() {
    let mut log = Log::new();
    log.change("one", "s", 0);
    let delete = Change { id: "two".to_owned(), kind: Kind::Selector, name: "s".to_owned(), replaces: 1, object: None };
    log.apply(Command::Change(delete));
    assert!(matches!(log.change("three", "s", 0), Changed::Conflict { .. }));
    assert_eq!(log.change("four", "s", 2), Changed::Accepted { number: 3, index: 4 });
}

#[test]
fn deltas_lead_a_view_to_the_same_configuration() {
    let mut log = Log::new();
    for number in 0..10 {
        log.change(&format!("c{number}"), &format!("s{}", number % 3), number / 3);
    }
    let mut view = rudder_ledger::Config::default();
    loop {
        let deltas = log.ledger.config.deltas_after(view.index, 2);
        if deltas.is_empty() {
            break;
        }
        for delta in deltas.into_iter().rev() {
            view.take_delta(delta);
        }
    }
    assert_eq!(view.index, log.ledger.config.index);
    for name in ["s0", "s1", "s2"] {
        assert_eq!(view.get(Kind::Selector, name), log.ledger.config.get(Kind::Selector, name));
    }
}

#[test]
fn a_key_has_one_owner_until_that_owner_gives_it_back() {
    let mut log = Log::new();
    let (a, b) = (attempt("a", 1), attempt("b", 1));
    assert_eq!(log.claim("k", 1, &a), Standing::Held(a.clone()));
    assert_eq!(log.claim("k", 1, &b), Standing::Held(a.clone()));
    let release = |attempt: &Attempt| Command::Release { key: "k".to_owned(), attempt: attempt.clone() };
    assert_eq!(log.claimed(release(&b)), Standing::Held(a.clone()));
    assert_eq!(log.claimed(release(&a)), Standing::Free);
    assert_eq!(log.claim("k", 1, &a), Standing::Free, "a copy of a claim given back came late");
    assert_eq!(log.claim("k", 1, &b), Standing::Held(b));
}

#[test]
fn a_release_that_overtakes_its_claim_bars_it() {
    let mut log = Log::new();
    let a = attempt("a", 1);
    log.claimed(Command::Release { key: "k".to_owned(), attempt: a.clone() });
    assert_eq!(log.claim("k", 1, &a), Standing::Free);
}

#[test]
fn an_ended_key_keeps_its_answer_for_the_retention_and_no_other_body_gets_it() {
    let mut log = Log::new();
    let (a, b) = (attempt("a", 1), attempt("b", 1));
    log.claim("k", 1, &a);
    log.claimed(Command::Finish { key: "k".to_owned(), attempt: a.clone(), outcome: done("x") });
    log.claimed(Command::Finish { key: "k".to_owned(), attempt: b.clone(), outcome: Outcome::Unknown });
    log.reload();
    assert_eq!(log.claim("k", 1, &b), Standing::Ended(done("x")));
    assert_eq!(log.claim("k", 2, &b), Standing::OtherBody);
    log.time += claim::RETENTION.saturating_sub(Duration::from_secs(1));
    assert_eq!(log.claim("k", 1, &b), Standing::Ended(done("x")));
    log.time += Duration::from_secs(2);
    assert_eq!(log.claim("k", 1, &b), Standing::Held(b));
}

#[test]
fn a_running_key_is_never_forgotten() {
    let mut log = Log::new();
    let (a, b) = (attempt("a", 1), attempt("b", 1));
    log.claim("k", 1, &a);
    log.time += claim::RETENTION * 3;
    assert_eq!(log.claim("k", 1, &b), Standing::Held(a));
}
