//! Streams over a whole deployment: resumed after a break, and explained afterwards.

use std::{path::PathBuf, time::Duration};

use rudder_client::Caller;
use rudder_demo::deploy::{MODEL, deploy, key_of};
use rudder_standin::Faults;

#[test]
fn a_stream_that_breaks_off_goes_on_where_it_stopped_and_can_be_explained() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let deployment = deploy(folder.path(), Duration::from_secs(1)).expect("a deployment");
    for engine in deployment.engines.values() {
        engine.set_faults(Faults { cut: 5, ..Faults::default() });
    }
    let mut caller = Caller::new(&deployment.to_addresses(), &key_of("north"));
    let reply = caller.chat(MODEL, "rules", "a prompt", None);
    // The client checks that the tokens come in order, without gap or repeat.
    assert!(reply.whole && reply.tokens > 5, "{reply:?}");
    let events: Vec<PathBuf> = std::fs::read_dir(folder.path().join("events"))
        .expect("event logs")
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .collect();
    let story = (0..100)
        .find_map(|_| {
            std::thread::sleep(Duration::from_millis(50));
            let lines = rudder_events::timeline(&events).ok()?;
            let request = lines.iter().find_map(|line| line.what.request())?.to_owned();
            let story = rudder_events::explain(&request, &lines);
            story.iter().any(|sentence| sentence.contains("answered whole")).then_some(story)
        })
        .expect("the story of the request");
    let text = story.join("\n");
    for part in ["arrived for", "sent to", "tried again elsewhere", "to go on after 5 output events"] {
        assert!(text.contains(part), "{part} is missing:\n{text}");
    }
    for node in deployment.nodes.values() {
        node.halt();
    }
}
