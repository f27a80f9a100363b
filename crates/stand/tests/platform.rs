//! Tests of the log against an oracle, and of the plain service, weight store and VM list.

use std::collections;

use stand::{log, service, vms, weights};
use tokio::time;

const HISTORIES: u64 = 400;

fn millis(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

/// Expected content of a log: every append that took effect, whether or not it was acknowledged.
#[derive(Debug, Default)]
struct LogOracle {
    streams: collections::BTreeMap<String, Vec<(u64, bytes::Bytes)>>,
    /// First offset that the explicit drops of the test leave in each stream.
    dropped: collections::BTreeMap<String, u64>,
}

impl LogOracle {
    fn check_read(&self, core: &mut log::LogCore, now: time::Duration, stream: &str, from: u64) {
        let held = self.streams.get(stream).map_or(&[][..], Vec::as_slice);
        let dropped = self.dropped.get(stream).copied().unwrap_or(0);
        let oldest_ms = core.at_ms(now).saturating_sub(core.profile().retention_ms);
        let expired = held
            .iter()
            .take_while(|(at_ms, _)| *at_ms < oldest_ms)
            .count() as u64;
        let first = dropped.max(expired);
        match core.read(now, stream, from, 10) {
            Ok(page) => {
                assert!(from >= first, "a dropped record was read");
                assert_eq!(page.first, first);
                assert_eq!(page.next, from + page.records.len() as u64);
                let end = held.len() as u64;
                let wanted = end.saturating_sub(from).min(10);
                assert_eq!(
                    page.records.len() as u64,
                    wanted,
                    "the page has the wrong number of records"
                );
                for (place, record) in page.records.iter().enumerate() {
                    assert_eq!(
                        record.offset,
                        from + place as u64,
                        "offsets must be consecutive"
                    );
                    let (at_ms, body) = &held[record.offset as usize];
                    assert_eq!((record.at_ms, &record.body), (*at_ms, body));
                }
            }
            Err(log::LogError::Dropped { first: reported }) => {
                assert!(from < first);
                assert_eq!(reported, first);
            }
            Err(other) => panic!("{other}"),
        }
    }
}

/// Runs one random history of a log with the faults that the stand-in must support.
fn log_history(source: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let profile = log::LogProfile {
        appends_per_second: 100.0,
        burst: 5.0,
        retention_ms: 2_000,
        ..log::LogProfile::default()
    };
    let mut core = log::LogCore::new(profile, 1_000_000);
    let mut oracle = LogOracle::default();
    let (mut now_ms, mut outage, mut lose) = (0, false, 0_u32);
    for number in 0..source.int_in_range(1..=150_u32)? {
        now_ms += source.int_in_range(0..=60)?;
        let now = millis(now_ms);
        let stream = if source.arbitrary()? {
            "calls-1"
        } else {
            "leases"
        };
        match source.int_in_range(0..=19)? {
            0..=11 => {
                let body = bytes::Bytes::from(format!("record {number}"));
                match core.append(now, stream, body.clone()) {
                    Ok(outcome) => {
                        assert!(!outage, "an append took effect in an outage");
                        assert_eq!(outcome.answer_lost, lose > 0);
                        lose = lose.saturating_sub(1);
                        let held = oracle.streams.entry(String::from(stream)).or_default();
                        assert_eq!(outcome.offset, held.len() as u64);
                        held.push((core.at_ms(now), body));
                    }
                    Err(log::LogError::Outage) => assert!(outage),
                    Err(log::LogError::OverCap { retry_after_ms }) => {
                        assert!((1..=10).contains(&retry_after_ms));
                    }
                    Err(other) => panic!("{other}"),
                }
            }
            12..=15 if !outage => {
                let from = source.int_in_range(0..=60)?;
                oracle.check_read(&mut core, now, stream, from);
            }
            16 => {
                lose = source.int_in_range(0..=3)?;
                core.lose_answers(lose);
            }
            17 => {
                outage = source.arbitrary()?;
                core.set_outage(outage);
            }
            18 => {
                let first = source.int_in_range(0..=10)?;
                let held = oracle.streams.get(stream).map_or(0, Vec::len) as u64;
                let dropped = oracle.dropped.entry(String::from(stream)).or_default();
                *dropped = (*dropped).max(first.min(held));
                core.drop_below(stream, first);
            }
            _ => {}
        }
    }
    Ok(())
}

#[test]
fn the_log_holds_every_append_that_took_effect_without_gaps() {
    // Guards against a log that loses records or leaves gaps between offsets, so that a writer who
    // got no answer and appends again finds the record twice or never. Appends, lost answers,
    // outages, retention and reads come in any order.
    for number in 0..HISTORIES {
        let seed = (number << 32) | 4_096;
        arbtest::arbtest(log_history).seed(seed).run();
    }
}

#[tokio::test(start_paused = true)]
async fn a_waiting_read_returns_on_append() {
    let handle = log::LogHandle::new(log::LogProfile::default());
    let reader = tokio::spawn({
        let handle = handle.clone();
        async move {
            let begin = time::Instant::now();
            let page = handle
                .read("leases", 0, 10, time::Duration::from_secs(20))
                .await;
            (begin.elapsed(), page.expect("is up").records.len())
        }
    });
    time::sleep(time::Duration::from_secs(1)).await;
    handle
        .append("leases", bytes::Bytes::from("a"))
        .await
        .expect("is up");
    let (waited, records) = reader.await.expect("reads");
    assert_eq!(records, 1);
    assert!(waited >= millis(1_000) && waited < millis(1_010));
    let empty = handle
        .read("leases", 1, 10, millis(300))
        .await
        .expect("is up");
    assert_eq!((empty.next, empty.records.len()), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn an_append_takes_effect_despite_a_lost_answer_or_a_hang() {
    // Covers an append that fails or never returns although it reached the log: its answer was
    // lost, or the link hung, after the effect.
    let handle = log::LogHandle::new(log::LogProfile::default());
    handle.apply(&log::LogFault::LoseAnswers { count: 1 });
    let lost = handle.append("leases", bytes::Bytes::from("a")).await;
    assert_eq!(lost, Err(log::LogError::AnswerLost));
    handle.apply(&log::LogFault::Slow { delay_ms: 1_000 });
    let append = handle.append("leases", bytes::Bytes::from("b"));
    assert!(time::timeout(millis(700), append).await.is_err());
    let append = handle.append("leases", bytes::Bytes::from("c"));
    assert!(time::timeout(millis(300), append).await.is_err());
    let held: Vec<bytes::Bytes> = handle
        .records("leases")
        .into_iter()
        .map(|it| it.body)
        .collect();
    assert_eq!(held, ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn a_plain_call_runs_once_or_not_at_all() {
    // Covers a call without an answer: the server crashes before or after the call takes effect,
    // and only a refused connection proves that it did not run.
    let handle = service::ServiceHandle::new(service::ServiceProfile {
        latency_ms: 100,
        ..service::ServiceProfile::default()
    });
    for (dies_after_ms, runs) in [(30, 0), (70, 1)] {
        let call = service::ServiceCall {
            idempotency_key: Some(format!("{dies_after_ms}")),
            ..service::ServiceCall::default()
        };
        let caller = tokio::spawn({
            let handle = handle.clone();
            async move { handle.call(call).await }
        });
        time::sleep(millis(dies_after_ms)).await;
        handle.apply(&service::ServiceFault::Crash {
            down_ms: Some(1_000),
        });
        let broken = caller.await.expect("calls");
        assert_eq!(broken, Err(service::handle::ServiceError::Broken));
        let refused = handle.call(service::ServiceCall::default()).await;
        assert_eq!(refused, Err(service::handle::ServiceError::Refused));
        time::sleep(millis(1_001)).await;
        let ran = handle
            .counts()
            .by_key
            .get(&format!("{dies_after_ms}"))
            .copied();
        assert_eq!(ran.unwrap_or(0), runs);
    }
    assert_eq!(handle.counts().total, 1);
}

#[test]
fn the_weight_store_limits_its_rate() {
    let mut core = weights::WeightsCore::new(weights::WeightsProfile {
        bytes_per_second: 1_000.0,
        burst_bytes: 500.0,
    });
    let mut taken = 0;
    for tick in 0..1_000 {
        if core.take(millis(tick * 10), 120).is_ok() {
            taken += 120;
        }
    }
    assert!((10_000..=10_500).contains(&taken), "{taken} bytes in 10 s");
    let wait = core
        .take(millis(20_000), 700)
        .expect_err("exceeds the burst");
    assert_eq!(wait, millis(200));
}

#[test]
fn the_vm_list_shows_changes_after_its_lag() {
    let profile = vms::VmsProfile {
        lag_ms: 5_000,
        live: vec![String::from("entry-0")],
    };
    let mut core = vms::VmsCore::new(&profile);
    core.set(millis(1_000), "entry-0", Some(vms::VmState::Leaving));
    core.set(millis(2_000), "entry-0", None);
    let states = |core: &mut vms::VmsCore, now_ms| {
        let list = core.list(millis(now_ms));
        list.into_iter().map(|vm| vm.state).collect::<Vec<_>>()
    };
    assert_eq!(states(&mut core, 5_999), [vms::VmState::Live]);
    assert_eq!(states(&mut core, 6_000), [vms::VmState::Leaving]);
    assert_eq!(states(&mut core, 7_000), []);
}
