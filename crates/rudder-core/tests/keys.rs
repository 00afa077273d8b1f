//! The lookup of organisations by key follows changes of their keys.

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

/// Replaces version `replaces` of an organisation and waits until the change is in force.
fn change(instance: &mut SingleInstance, name: &str, replaces: u64, object: Option<Object>) {
    let id = format!("{name}-{replaces}");
    let change = Change { id, kind: Kind::Organisation, name: name.to_owned(), replaces, object };
    instance.send_event(rudder_core::Event::Admin { ticket: 1, change });
    instance.run(1500);
}

fn holder(instance: &SingleInstance, key: &str) -> Option<String> {
    instance.state.view.org_of_key(&digest(key)).map(|org| org.to_string())
}

#[test]
fn keys_follow_their_organisations() {
    let mut instance = SingleInstance::new();
    change(&mut instance, "north", 0, Some(org(&["old", "shared"])));
    change(&mut instance, "east", 0, Some(org(&["shared"])));
    assert_eq!(holder(&instance, "old").as_deref(), Some("north"));
    assert_eq!(holder(&instance, "shared").as_deref(), Some("east"), "the first by name");
    assert_eq!(holder(&instance, "never"), None);
    change(&mut instance, "north", 1, Some(org(&["new", "shared"])));
    assert_eq!((holder(&instance, "old"), holder(&instance, "new").as_deref()), (None, Some("north")));
    change(&mut instance, "east", 1, None);
    assert_eq!(holder(&instance, "shared").as_deref(), Some("north"), "the other organisation still holds it");
    change(&mut instance, "north", 2, None);
    assert_eq!(holder(&instance, "shared"), None);
}
