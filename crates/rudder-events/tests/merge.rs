//! Merging logs whose wall clocks jump, and telling the story of one request.

use rudder_events::{Line, What, explain, timeline};
use rudder_model::Ran;

fn line(instance: &str, at: u64, uptime: u64, what: What) -> String {
    serde_json::to_string(&Line { at, instance: instance.into(), uptime, what }).expect("a line")
}

fn started() -> What {
    What::Started { hall: "a".into(), start: 1 }
}

fn refused(request: &str) -> What {
    let why = "its engines have too much to read".to_owned();
    What::CallRefused {
        request: request.to_owned(),
        route: Some("recaps".into()),
        level: Some(2),
        status: 503,
        why,
        ran: Ran::No,
        retry_ms: Some(700),
        scheduled: None,
        position: None,
    }
}

#[test]
fn a_jump_of_the_wall_clock_reorders_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let (one, two) = (folder.path().join("one"), folder.path().join("two"));
    // The clock of the first jumps back by two seconds for one line.
    let first = [
        line("i-1", 1_000_100, 100, started()),
        line("i-1", 1_500_000, 500_000, refused("a")),
        line("i-1", 600_000, 800_000, refused("b")),
        line("i-1", 2_200_000, 1_200_000, refused("d")),
    ];
    let second = [line("i-2", 1_000_050, 50, started()), line("i-2", 2_000_000, 1_000_000, refused("c"))];
    std::fs::write(&one, first.join("\n")).expect("a file");
    std::fs::write(&two, second.join("\n")).expect("a file");
    let lines = timeline(&[one, two]).expect("they are logs");
    let requests: Vec<&str> = lines.iter().filter_map(|line| line.what.request()).collect();
    assert_eq!(requests, ["a", "b", "c", "d"]);
}

#[test]
fn what_stands_before_a_line_is_passed_over_and_a_cut_last_line_too() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let whole = line("i-1", 2_000_000, 1_000_000, refused("a"));
    let text = format!("  12.3400 edge-1 {whole}\n{}", &whole[..40]);
    std::fs::write(&path, text).expect("a file");
    assert_eq!(timeline(&[path]).expect("a log").len(), 1);
}

#[test]
fn an_object_cut_short_by_a_kill_takes_no_other_with_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let (one, two) = (line("i-1", 2_000_000, 1_000_000, refused("a")), line("i-2", 3_000_000, 1_000, refused("b")));
    std::fs::write(&path, format!("{}  15.5 edge-2 {two}\n{one}\n", &one[..70])).expect("a file");
    assert_eq!(timeline(std::slice::from_ref(&path)).expect("a log").len(), 2);
    std::fs::write(&path, "no event at all\n").expect("a file");
    assert!(timeline(&[path]).is_err());
}

#[test]
fn a_story_tells_what_the_instance_learned_of_its_endpoints_before() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let endpoint = |name: &str| What::Endpoint {
        endpoint: name.into(),
        service: "svc".into(),
        phase: "silent".to_owned(),
        sequence: 9,
    };
    let failed = What::CallFailed {
        request: "a".to_owned(),
        endpoint: "e-1".into(),
        attempt: 1,
        why: "it cannot be reached".to_owned(),
        ran: Ran::No,
    };
    let text = [
        line("i-1", 1_000_100, 100, started()),
        line("i-1", 9_000_000, 8_000_000, endpoint("e-1")),
        line("i-1", 9_000_001, 8_000_001, endpoint("e-2")),
        line("i-1", 9_500_000, 8_500_000, failed),
        line("i-1", 9_500_100, 8_500_100, refused("a")),
        line("i-1", 9_500_200, 8_500_200, refused("b")),
    ];
    std::fs::write(&path, text.join("\n")).expect("a file");
    let story = explain("a", &timeline(&[path]).expect("a log"));
    assert_eq!(story.len(), 3, "{story:#?}");
    assert!(story[0].contains("e-1 is silent"), "{}", story[0]);
    assert!(story[2].contains("come back in 700 ms"), "{}", story[2]);
    assert!(story[2].contains("503 on route recaps of priority level 2"), "{}", story[2]);
}

/// Logs of earlier programs do not have the fields on memory.
#[test]
fn the_story_tells_whose_memory_a_request_uses() {
    let sent = r#"{"at":1,"instance":"i-1","uptime":1,"event":"call_sent","request":"a","endpoint":"e-1","attempt":1,
        "calls":2,"ahead":300,"unread":40,"others_ms":90,"reused":false,"left_ms":900MORE}"#;
    let story = |more: &str| -> String {
        let line: Line = serde_json::from_str(&sent.replace("MORE", more)).expect("a line");
        explain("a", &[line]).join("\n")
    };
    let plain = story("");
    assert!(plain.ends_with("(others' part 90 ms old), 900 ms left"), "{plain}");
    let told = story(r#","fetch_from":"10.0.0.2:80","keeper":"e-3""#);
    assert!(told.ends_with("900 ms left, its session taken from 10.0.0.2:80, a copy kept by e-3"), "{told}");
    let queued = story(r#","queued":200,"wait_ms":30"#);
    assert!(queued.ends_with("900 ms left, 200 tokens of its priority and above ahead, a wait of 30 ms"), "{queued}");
}
