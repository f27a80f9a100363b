//! The output formats for operators: text, JSON lines, SVG diagram and explanation.

mod sample;

use base::id;
use trace::{explain, kind, lines, merge, moment, picture, text};

#[test]
fn explanation_gives_reasons_and_outcome() {
    let explanation =
        explain::explain(&sample::sample_timeline(), sample::sample_request()).unwrap();
    for part in [
        "taken from troupe-7 for review-llm",
        "waits behind 3: memory at risk on every engine",
        "sent to engine-4 after 230 ms (attempt 1, best of 4): soonest first token",
        "(engine-4 taken to be dead: connection refused)",
        "attempt 1 on engine-4 failed, whether it ran is unknown",
        "on hall-a-2:",
        "outcome: complete answer, 512 tokens in 9.0 s (stop); 2 attempts, 270 ms waiting on entry VMs",
    ] {
        assert!(explanation.contains(part), "no {part:?} in:\n{explanation}");
    }
    assert!(
        !explanation.contains("engine-9") && !explanation.contains("vendor-2"),
        "{explanation}"
    );
    assert!(explain::explain(&sample::sample_timeline(), id::RequestId(77)).is_none());
}

#[test]
fn explanation_warns_of_lost_events() {
    let mut timeline = sample::sample_timeline();
    timeline.events.remove(0);
    timeline.gaps.push(merge::TimelineGap::Lost {
        vm: "hall-a-1".to_owned(),
        lost: 3,
        up_to_ms: sample::START_MS + 10,
    });
    let explanation = explain::explain(&timeline, sample::sample_request()).unwrap();
    assert!(
        explanation.contains("its first events are no longer kept"),
        "{explanation}"
    );
    assert!(
        explanation.contains("caution: hall-a-1 lost 3 events"),
        "{explanation}"
    );
}

#[test]
fn text_shows_gaps_first_and_no_control_characters() {
    // Guards against a time line that clears or recolours the operator's terminal: an escape
    // sequence in a caller's header becomes part of a reason and is printed unchanged.
    let mut timeline = sample::sample_timeline();
    timeline.gaps.push(merge::TimelineGap::Silent {
        vm: "hall-b-1".to_owned(),
        reason: "connection refused".to_owned(),
    });
    timeline.events[1].kind = kind::EventKind::RequestCancelled {
        ran: base::outcome::RanState::No,
        reason: "\u{1b}[2J\u{202e}gone\n".to_owned(),
    };
    let shown = text::render(&timeline);
    assert!(shown.starts_with("!! hall-b-1 did not answer"), "{shown}");
    assert_eq!(shown.lines().count(), timeline.events.len() + 2, "{shown}");
    assert!(!shown.contains(['\u{1b}', '\u{202e}']));
    assert!(shown.contains("06:13:20.000 hall-a-1 abcd0000 request_taken organisation=troupe-7"));
}

#[test]
fn json_lines_round_trip() {
    let mut timeline = sample::sample_timeline();
    timeline.gaps.push(merge::TimelineGap::Omitted {
        vm: "hall-a-1".to_owned(),
        omitted: 5,
    });
    let shown = lines::render(&timeline).unwrap();
    assert_eq!(lines::parse(&shown).unwrap(), timeline);
}

#[test]
fn diagram_has_lanes_for_vms_and_servers() {
    let mut timeline = sample::sample_timeline();
    timeline.events[0].vm = "<b>&\"".to_owned();
    let svg = picture::render(&timeline);
    for part in [
        "hall-a-1</text>",
        "engine-4</text>",
        "&lt;b&gt;&amp;&quot;</text>",
    ] {
        assert!(svg.contains(part), "no {part:?}");
    }
    assert!(!svg.contains("<b>"));
}

#[test]
fn diagram_size_is_bounded() {
    assert!(picture::render(&merge::MergedTimeline::default()).contains("no matching events"));
    let event = sample::sample_timeline().events.swap_remove(0);
    let mut timeline = merge::MergedTimeline::default();
    for number in 0..5_000_u64 {
        let mut event = event.clone();
        event.vm = format!("vm-{}", number % 100);
        event.seq = number;
        timeline.events.push(event);
    }
    let svg = picture::render(&timeline);
    assert!(svg.contains("4400 older events are not drawn"));
    assert!(svg.contains("76 processes with fewer events are not drawn"));
    assert!(svg.len() < 400_000, "{}", svg.len());
}

#[test]
fn timestamps_round_trip_through_text() {
    let timestamps = [
        0,
        951_782_400_000,
        1_709_164_799_999,
        1_772_000_000_123,
        4_102_444_799_000,
    ];
    for unix_ms in timestamps {
        assert_eq!(
            moment::parse_full(&moment::full_text(unix_ms)),
            Some(unix_ms)
        );
    }
    assert_eq!(
        moment::full_text(951_782_400_000),
        "2000-02-29T00:00:00.000Z"
    );
    assert_eq!(moment::parse_full("1970-01-01T00:00:01.5Z"), Some(1_500));
    for invalid in [
        "",
        "2026-02-30T00:00:00Z",
        "2026-13-01T00:00:00Z",
        "2026-01-01T24:00:00Z",
    ] {
        assert_eq!(moment::parse_full(invalid), None, "{invalid}");
    }
}

#[test]
fn diagram_in_the_docs_is_current() {
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators/");
    let saved = std::fs::read_to_string(format!("{docs}timeline.jsonl")).unwrap();
    let shown = std::fs::read_to_string(format!("{docs}timeline.svg")).unwrap();
    let timeline = lines::parse(&saved).unwrap();
    assert_eq!(
        timeline,
        sample::sample_timeline(),
        "write timeline.jsonl again from sample_timeline()"
    );
    let remedy = "cargo run --bin pollenctl -- timeline --from docs/operators/timeline.jsonl \
                  --format svg --output docs/operators/timeline.svg";
    assert!(
        shown == picture::render(&timeline),
        "the diagram in the docs is outdated, render it again: {remedy}"
    );
}
