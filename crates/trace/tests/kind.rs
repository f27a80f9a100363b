//! JSON encoding of events.

use base::id;
use trace::{clock, event, kind};

#[test]
fn event_round_trips_through_json() {
    let event = event::Event {
        stamp: clock::HybridStamp::new(1_760_000_000_123, 7),
        vm: "hall-a-1".to_owned(),
        incarnation: id::Incarnation(3),
        seq: 9,
        request: Some(id::RequestId(5)),
        kind: kind::EventKind::LeaseLost {
            subject: "engine-1".to_owned(),
            fencing: u64::MAX,
            reason: "lapsed".to_owned(),
        },
    };
    let text = serde_json::to_string(&event).unwrap();
    assert!(text.contains(r#""kind":"lease_lost""#), "{text}");
    assert_eq!(serde_json::from_str::<event::Event>(&text).unwrap(), event);
}

#[test]
fn unknown_kind_is_parsed_as_unrecognised() {
    let text = r#"{"stamp":"1.0","vm":"a","incarnation":"00000000000000000000000000000001",
        "seq":0,"kind":"from_the_future","field":{"deep":[1]}}"#;
    let event: event::Event = serde_json::from_str(text).unwrap();
    assert_eq!(event.kind, kind::EventKind::Unrecognised);
}
