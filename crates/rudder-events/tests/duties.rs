//! What the holder of duties did and why, told from its lines.

use rudder_events::{Line, What, explain_duty};

fn lines() -> Vec<Line> {
    let line = |at: u64, what: What| Line { at, instance: "i-1".into(), uptime: at, what };
    let wanted = |hall: &str, wanted: u32| What::EnginesWanted {
        service: "svc".into(),
        hall: hall.into(),
        cheap: true,
        wanted,
        there: 30,
        calls: 512,
        fence: 2_097_153,
    };
    let called = |duty: &str, subject: &str| What::DutyCalled {
        duty: duty.to_owned(),
        subject: subject.to_owned(),
        fence: 2_097_153,
        outcome: "taken".to_owned(),
        said: "200 {}".to_owned(),
        took_ms: 13,
        age_ms: 0,
    };
    let closed = What::WindowClosed { window: 357, organisations: 2, requests: 9, missing: 1, lag_ms: 6_500 };
    vec![
        line(1_000_000, What::DutyHeld { held: true, fence: 2_097_152 }),
        line(2_000_000, wanted("sea", 40)),
        line(2_013_000, called("scale", "40 of svc in sea, cheap")),
        line(3_000_000, wanted("pdx", 30)),
        line(4_000_000, closed),
        line(4_015_000, called("usage", "window 357")),
    ]
}

macro_rules! told {
    ($($name:ident: $topic:literal => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(explain_duty($topic, &lines()), $expected);
            }
        )*
    };
}

const HELD: &str = "1.000 s i-1: holds the duties, with fences from 2097152";

told! {
    why_a_hall_has_its_engines: "sea" => [
        HELD,
        "2.000 s i-1: wants 40 engines of svc in sea, cheap, where 30 take work and 512 requests are under way in all halls; \
         orders them with fence 2097153",
        "2.013 s i-1: call for scale (40 of svc in sea, cheap, fence 2097153) ended after 13 ms: taken; said: \"200 {}\"; \
         about what was 0 ms ago",
    ];
    what_became_of_a_window: "357" => [
        HELD,
        "4.000 s i-1: closed window 357 6500 ms after its end: 9 requests of 2 organisations; 1 instances may have had more to tell",
        "4.015 s i-1: call for usage (window 357, fence 2097153) ended after 13 ms: taken; said: \"200 {}\"; about what was 0 ms ago",
    ];
    who_held_the_duties_alone: "boi" => [HELD];
}
