//! Contents under which endpoints ended: counted by endpoint, cleared by an answer, told by index, bounded.

use rudder_ledger::{EndedUnder, Findings, Quarantine, quarantine::BOUND};
use rudder_model::{ContentTag, EndpointTag};

const CONTENT: ContentTag = 7;

fn ended(content: ContentTag, endpoints: impl IntoIterator<Item = EndpointTag>) -> Findings {
    let ended = endpoints.into_iter().map(|endpoint| EndedUnder { content, endpoint }).collect();
    Findings { ended, ..Findings::default() }
}

fn answered(content: ContentTag) -> Findings {
    Findings { answered: vec![content], ..Findings::default() }
}

/// A copy that has asked once.
fn copy(of: &Quarantine) -> Quarantine {
    let mut copy = Quarantine::default();
    if let Some(news) = of.news_after(copy.index()) {
        assert!(copy.take(news));
    }
    copy
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $test:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let test: fn(&mut Quarantine) = $test;
                test(&mut Quarantine::default());
            }
        )*
    };
}

cases! {
    a_content_is_refused_once_three_endpoints_have_ended_under_it: |held| {
        held.apply(1, &ended(CONTENT, [1, 2]));
        assert_eq!((held.count(CONTENT), held.refused_since(CONTENT)), (2, None));
        held.apply(2, &ended(CONTENT, [3]));
        assert_eq!((held.count(CONTENT), held.refused_since(CONTENT)), (BOUND, Some(2)));
    };
    /// Instances tell the same end, each for its own requests, and a message may come twice.
    an_endpoint_counts_once: |held| {
        for index in 1..9 {
            held.apply(index, &ended(CONTENT, [1, 1, 2]));
        }
        assert_eq!(held.count(CONTENT), 2);
    };
    an_answer_clears_a_content_everywhere: |held| {
        held.apply(1, &ended(CONTENT, [1, 2, 3]));
        let mut copy = copy(held);
        assert!(copy.refused_since(CONTENT).is_some());
        assert!(held.apply(2, &answered(CONTENT)));
        assert!(copy.take(held.news_after(copy.index()).expect("it is news")));
        assert_eq!((held.count(CONTENT), copy.count(CONTENT)), (0, 0));
    };
    a_content_that_was_cleared_is_counted_anew: |held| {
        held.apply(1, &ended(CONTENT, [1, 2]));
        held.apply(2, &answered(CONTENT));
        held.apply(3, &ended(CONTENT, [3]));
        assert_eq!(held.count(CONTENT), 1);
        held.apply(4, &ended(CONTENT, [1, 2]));
        assert_eq!(held.refused_since(CONTENT), Some(4));
    };
    /// Most contents stand under one endpoint that ended and never come again.
    a_single_end_is_told_to_nobody: |held| {
        assert!(!held.apply(1, &ended(CONTENT, [1])));
        assert_eq!(held.news_after(0), None);
        assert!(held.apply(2, &ended(CONTENT, [2])));
        assert_eq!(copy(held).count(CONTENT), 2);
    };
    another_end_begins_the_time_anew: |held| {
        held.apply(1, &ended(CONTENT, [1, 2, 3]));
        let mut copy = copy(held);
        held.apply(9, &ended(CONTENT, [4]));
        assert!(copy.take(held.news_after(1).expect("it is news")));
        assert_eq!((held.refused_since(CONTENT), copy.refused_since(CONTENT)), (Some(9), Some(9)));
    };
    old_news_change_nothing: |held| {
        held.apply(1, &ended(CONTENT, [1, 2, 3]));
        let old = held.news_after(0).expect("it is news");
        held.apply(2, &answered(CONTENT));
        let mut copy = copy(held);
        assert!(!copy.take(old));
        assert_eq!(copy.count(CONTENT), 0);
    };
    what_is_held_is_bounded_and_contents_in_quarantine_stay_longest: |held| {
        held.apply(1, &ended(CONTENT, [1, 2, 3]));
        for index in 2..20_000 {
            held.apply(index, &ended(CONTENT + index, [1, 2]));
        }
        assert!(held.refused_since(CONTENT).is_some());
        let bytes = rmp_serde::to_vec(held).expect("plain data").len();
        assert!(bytes < 64 << 10, "{bytes}");
    };
}
