//! Property tests of the parts without I/O.

use std::{collections, time::Duration};

use arbtest::arbitrary;
use base::{fingerprint::ContentHash, id};
use bytes::BytesMut;
use flow::{body, budget, chunk, cursor, port, sse, suspect, token};
use tokio::time;

/// Runs `property` with `count` fixed seeds.
fn for_seeds<P>(count: u64, property: P)
where
    P: Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
{
    for number in 1..=count {
        let seed = number << 32 | 512;
        // arbtest prints the seed if the property fails.
        arbtest::arbtest(|u| property(u)).seed(seed).run();
    }
}

fn content(number: u8) -> ContentHash {
    ContentHash::of(&[number])
}

fn draw_deaths(
    u: &mut arbitrary::Unstructured<'_>,
) -> arbitrary::Result<Vec<suspect::DeathRecord>> {
    let mut deaths = Vec::new();
    for number in 0..u.int_in_range(1..=6_u64)? {
        let mut contents = collections::BTreeSet::new();
        for _ in 0..u.int_in_range(1..=5_u8)? {
            contents.insert(content(u.int_in_range(0..=9)?));
        }
        deaths.push(suspect::DeathRecord {
            late: Default::default(),
            server: format!("engine-{}", u.int_in_range(0..=2_u8)?),
            at_ms: 1_000_000 + number * 10_000,
            contents,
        });
    }
    Ok(deaths)
}

#[test]
fn suspect_tables_merge_in_any_order() {
    for_seeds(500, |u| {
        let deaths = draw_deaths(u)?;
        let limits = suspect::SuspectLimits::default();
        let mut unsplit = suspect::SuspectTable::new(limits);
        let (mut left, mut right) = (unsplit.clone(), unsplit.clone());
        for death in &deaths {
            unsplit.record_death(death.clone());
            let half = if u.arbitrary()? {
                &mut left
            } else {
                &mut right
            };
            half.record_death(death.clone());
        }
        let (from_left, from_right) = (left.digest(), right.digest());
        left.merge(from_right.clone());
        right.merge(from_left);
        right.merge(from_right);
        for number in 0..=9 {
            let standing =
                |table: &suspect::SuspectTable| table.standing(content(number), 1_060_000);
            assert_eq!(standing(&left), standing(&unsplit));
            assert_eq!(standing(&right), standing(&unsplit));
        }
        Ok(())
    });
}

#[test]
fn content_is_quarantined_only_if_it_ran_at_two_deaths() {
    for_seeds(500, |u| {
        let limits = suspect::SuspectLimits::default();
        let mut table = suspect::SuspectTable::new(limits);
        let culprit = content(0);
        let mut crash = |at_ms: u64, alone: bool| -> arbitrary::Result<()> {
            let mut contents = collections::BTreeSet::from([culprit]);
            if !alone {
                for _ in 0..u.int_in_range(0..=20_u8)? {
                    contents.insert(content(u.int_in_range(1..=200)?));
                }
            }
            let server = format!("engine-{at_ms}");
            table.record_death(suspect::DeathRecord {
                late: Default::default(),
                server,
                at_ms,
                contents: contents.clone(),
            });
            for content in contents {
                let standing = table.standing(content, at_ms);
                let is_quarantined =
                    matches!(standing, suspect::ContentStanding::Quarantined { .. });
                assert_eq!(is_quarantined, at_ms > 1_000 && content == culprit);
            }
            Ok(())
        };
        crash(1_000, false)?;
        crash(60_000, true)?;
        let innocent = table.standing(content(1), 60_000);
        assert_eq!(innocent, suspect::ContentStanding::Clear);
        let later_ms = 60_000 + 15 * 60_000;
        assert_eq!(
            table.standing(culprit, later_ms),
            suspect::ContentStanding::Clear
        );
        Ok(())
    });
}

#[test]
fn events_are_parsed_however_the_stream_is_split() {
    let text = ": ping\n\ndata: {\"seq\": 0, \"text\": \"a \\n\\u00e4\"}\r\n\nid: 1\n\
                data: {\"finish\": \"stop\", \"produced\": 1}\n\n";
    for_seeds(300, |u| {
        let mut reader = sse::EventReader::default();
        let mut events = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (piece, tail) = rest.split_at(u.int_in_range(1..=rest.len())?);
            reader.push(piece);
            while let Some(event) = reader.take().unwrap() {
                events.push(event);
            }
            rest = tail;
        }
        let [
            port::EngineEvent::Ping,
            port::EngineEvent::Token { seq: 0, text },
            end,
        ] = &events[..]
        else {
            panic!("{events:?}");
        };
        assert_eq!(text, "a \nä");
        assert!(matches!(end, port::EngineEvent::Finish(report) if report.produced == 1));
        Ok(())
    });
}

#[test]
fn invalid_events_are_errors() {
    for text in [
        "data: {\"seq\": 1}\n",
        "data: nonsense\n",
        "data: {\"finish\": \"stop\"}\n",
    ] {
        let mut reader = sse::EventReader::default();
        reader.push(text.as_bytes());
        assert!(reader.take().is_err(), "{text}");
    }
    let mut reader = sse::EventReader::default();
    reader.push(&[b'x'; 70_000]);
    assert!(reader.take().is_err());
}

#[test]
fn a_cursor_delivers_each_token_once_in_order() {
    for_seeds(500, |u| {
        let (own, foreign) = (id::GenerationId(1), id::GenerationId(2));
        let mut cursor = cursor::StreamCursor::new(own, 0);
        for _ in 0..60 {
            let seq = u.int_in_range(0..=20)?;
            let generation = if u.ratio(1, 4)? { foreign } else { own };
            let next = cursor.next();
            let event = port::EngineEvent::Token {
                seq,
                text: String::new(),
            };
            let step = cursor.accept(port::TaggedEvent { generation, event });
            let delivered = matches!(step, cursor::CursorStep::Deliver { .. });
            assert_eq!(delivered, generation == own && seq == next);
            assert_eq!(cursor.next(), next + u32::from(delivered));
        }
        Ok(())
    });
}

#[test]
fn retries_of_all_vms_stay_within_their_budget() {
    // Guards against an allowance that grows with the number of VMs, since each has all of it.
    let start = time::Instant::now();
    for_seeds(200, |u| {
        let vms = u.int_in_range(1..=12)?;
        let rule = budget::BudgetRule { fraction: 0.1, vms };
        let mut budgets: Vec<_> = (0..vms).map(|_| budget::RetryBudget::new(start)).collect();
        let mut now = start;
        let (mut first_attempts, mut retries) = (0_u32, 0_u32);
        for _ in 0..400 {
            now += Duration::from_millis(u.int_in_range(0..=20)?);
            let budget = &mut budgets[u.int_in_range(0..=vms - 1)?];
            if u.ratio(1, 3)? {
                budget.record_first_attempt(now);
                first_attempts += 1;
            } else {
                match budget.take_retry(rule, now) {
                    Ok(()) => retries += 1,
                    Err(delay) => assert!(!delay.is_zero() && delay <= Duration::from_secs(10)),
                }
            }
        }
        // All attempts are within one window.
        let fraction = f64::from(first_attempts) * 0.1;
        let allowed = if vms == 1 {
            fraction.max(10.0)
        } else {
            fraction + 10.0
        };
        assert!(
            f64::from(retries) <= allowed,
            "{retries} of {allowed}, {vms} VMs"
        );
        Ok(())
    });
}

fn facts() -> token::ContinuationFacts {
    token::ContinuationFacts {
        request: id::RequestId(1),
        generation: id::GenerationId(2),
        server: "engine-0".to_owned(),
        organisation: "troupes".to_owned(),
        vm: "entry-0".to_owned(),
        content: content(1),
        revision: 7,
        chat: true,
        model: "review-llm".to_owned(),
        created_s: 1,
        include_usage: false,
        expires_ms: 1_000,
    }
}

#[test]
fn a_token_is_valid_only_unaltered_unexpired_and_signed_with_a_current_key() {
    let key = |id: u8| token::TokenKey {
        id,
        secret: vec![id; 32],
    };
    let old = token::TokenKeys::new(key(1), None);
    let both = token::TokenKeys::new(key(2), Some(key(1)));
    let new = token::TokenKeys::new(key(2), None);
    let signed = old.sign(&facts());
    assert_eq!(both.verify(&signed, 999).unwrap(), facts());
    assert!(new.verify(&signed, 999).is_err());
    assert!(both.verify(&signed, 1_000).is_err());
    assert_eq!(new.verify(&both.sign(&facts()), 0).unwrap(), facts());
    for_seeds(200, |u| {
        let mut bytes = hex::decode(&signed).unwrap();
        let position = u.choose_index(bytes.len())?;
        bytes[position] ^= u.int_in_range(1..=255_u8)?;
        assert!(both.verify(&hex::encode(bytes), 0).is_err());
        Ok(())
    });
}

#[test]
fn chunks_are_valid_json_for_any_text() {
    for_seeds(200, |u| {
        let text: String = u.arbitrary()?;
        let api = body::CompletionApi::Chat;
        let writer = chunk::ChunkWriter::new(api, id::RequestId(1), "mo\"del", 1, true);
        let mut out = BytesMut::new();
        writer.token(&mut out, 3, &text);
        let line = std::str::from_utf8(&out).unwrap();
        let data = line
            .strip_prefix("data: ")
            .unwrap()
            .strip_suffix("\n\n")
            .unwrap();
        assert!(!data.contains('\n'));
        let json: serde_json::Value = serde_json::from_str(data).unwrap();
        assert_eq!(json["choices"][0]["delta"]["content"], text.as_str());
        assert_eq!(json["pollenchute"]["index"], 3);
        Ok(())
    });
}

#[test]
fn bodies_of_both_formats_are_parsed_and_invalid_ones_refused() {
    let chat = |text: &str| body::GenerationBody::parse(body::CompletionApi::Chat, text.as_bytes());
    let parts = r#"{"model": "m", "messages": [{"role": "user", "content":
        [{"type": "text", "text": "hello"}]}], "max_completion_tokens": 5, "temperature": 1}"#;
    let parsed = chat(parts).unwrap();
    assert_eq!(
        (parsed.prompt.as_str(), parsed.max_tokens),
        ("user: hello\nassistant:", Some(5))
    );
    for invalid in [
        r#"{"messages": []}"#,
        r#"{"model": "m", "messages": []}"#,
        r#"{"model": "m", "messages": [{"role": "user", "content": "x"}], "n": 2}"#,
        r#"{"model": "m", "messages": [{"role": "user", "content": "x"}], "max_tokens": 0}"#,
        "[",
    ] {
        assert!(chat(invalid).is_err(), "{invalid}");
    }
    let plain = br#"{"model": "m", "prompt": ["one"], "stream": true}"#;
    let parsed = body::GenerationBody::parse(body::CompletionApi::Completion, plain).unwrap();
    assert!(parsed.stream && parsed.prompt == "one");
}
