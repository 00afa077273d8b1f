//! Which organisation a key names, as keys come, move and go.

mod single;

use rudder_ledger::Change;
use rudder_model::{Kind, Object, Organisation, id};
use single::SingleInstance;

fn digest(key: &str) -> String {
    id::hex(&id::digest(key.as_bytes()))
}

fn org(keys: &[&str]) -> Object {
    let keys = keys.iter().map(|key| digest(key)).collect();
    Object::Organisation(Organisation { keys, ..Organisation::default() })
}

/// Replaces number `replaces` of an organisation and waits until it is in force.
fn change(alone: &mut SingleInstance, name: &str, replaces: u64, object: Option<Object>) {
    let id = format!("{name}-{replaces}");
    let change = Change { id, kind: Kind::Organisation, name: name.to_owned(), replaces, object };
    alone.give(rudder_core::Event::Admin { ticket: 1, change });
    alone.run(1500);
}

fn holder(alone: &SingleInstance, key: &str) -> Option<String> {
    alone.state.view.org_of_key(&digest(key)).map(|org| org.to_string())
}

#[test]
fn keys_follow_their_organisations() {
    let mut alone = SingleInstance::new();
    change(&mut alone, "north", 0, Some(org(&["old", "shared"])));
    change(&mut alone, "east", 0, Some(org(&["shared"])));
    assert_eq!(holder(&alone, "old").as_deref(), Some("north"));
    assert_eq!(holder(&alone, "shared").as_deref(), Some("east"), "the first by name");
    assert_eq!(holder(&alone, "never"), None);
    change(&mut alone, "north", 1, Some(org(&["new", "shared"])));
    assert_eq!((holder(&alone, "old"), holder(&alone, "new").as_deref()), (None, Some("north")));
    change(&mut alone, "east", 1, None);
    assert_eq!(holder(&alone, "shared").as_deref(), Some("north"), "the other organisation still holds it");
    change(&mut alone, "north", 2, None);
    assert_eq!(holder(&alone, "shared"), None);
}
