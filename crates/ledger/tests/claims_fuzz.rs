//! Stateful fuzz test of idempotency claims. The oracle checks only events that callers and the
//! service observe.

mod cluster;

use std::{collections, sync};

use arbitrary::Unstructured;
use base::fingerprint;
use ledger::{appender, claim_store, claims, host, permit, route};
use tokio::time;

const ORGANISATION: &str = "troupe-7";

/// An event that a caller or the service observed.
#[derive(Clone, Debug)]
enum ObservedEvent {
    /// The call of this attempt reached the service and ran.
    Ran { key: String, attempt: u64 },
    /// The caller of this attempt received this answer.
    Answered {
        key: String,
        attempt: u64,
        received: CallerAnswer,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum CallerAnswer {
    /// The answer of the run by the attempt `of`.
    Complete {
        of: u64,
    },
    /// The call was sent, and then the connection broke.
    SentUnknown,
    /// Nothing ran for this attempt.
    NotRun,
    /// The key is too old.
    Expired,
    Unknown,
}

#[derive(Clone, Default)]
struct EventRecorder(sync::Arc<sync::Mutex<Vec<ObservedEvent>>>);

impl EventRecorder {
    fn record(&self, event: ObservedEvent) {
        self.0.lock().expect("recorder").push(event);
    }

    fn events(&self) -> Vec<ObservedEvent> {
        self.0.lock().expect("recorder").clone()
    }
}

/// The oracle: no key runs twice or after "unknown" was answered, and all answers are true.
fn check(events: &[ObservedEvent]) {
    let mut runs: collections::BTreeMap<&str, Vec<u64>> = collections::BTreeMap::new();
    let mut unknown: collections::BTreeSet<&str> = collections::BTreeSet::new();
    for event in events {
        match event {
            ObservedEvent::Ran { key, attempt } => {
                assert!(
                    !unknown.contains(key.as_str()),
                    "{key} ran after \"unknown\" was answered"
                );
                let found = runs.entry(key).or_default();
                found.push(*attempt);
                assert!(found.len() == 1, "{key} ran twice: {found:?}");
            }
            ObservedEvent::Answered { key, received, .. } => {
                if *received == CallerAnswer::Unknown {
                    unknown.insert(key);
                }
            }
        }
    }
    for event in events {
        let ObservedEvent::Answered {
            key,
            attempt,
            received,
        } = event
        else {
            continue;
        };
        let ran = runs.get(key.as_str()).cloned().unwrap_or_default();
        match received {
            CallerAnswer::Complete { of } => {
                assert!(ran.contains(of), "{key}: answer without a run")
            }
            CallerAnswer::NotRun | CallerAnswer::Expired | CallerAnswer::Unknown => {
                assert!(
                    !ran.contains(attempt),
                    "{key}: answered {received:?}, but attempt {attempt} ran"
                );
            }
            CallerAnswer::SentUnknown => {}
        }
    }
}

fn settings() -> host::HostSettings {
    let limits = claims::ClaimLimits {
        window_ms: 20_000,
        margin_ms: 1_000,
        retention_ms: 24_000,
        hold_ms: 1_000,
        run_ms: 100,
        drift_ms: 100,
        max_kept_bytes: 64,
    };
    limits.check().expect("limits agree");
    let append = appender::AppendLimits {
        max_batch_entries: 3,
        max_lookups: 2,
        ..appender::AppendLimits::default()
    };
    host::HostSettings {
        claims: claim_store::ClaimSettings {
            limits,
            append,
            ..claim_store::ClaimSettings::default()
        },
        ..host::HostSettings::default()
    }
}

fn route_settings() -> route::RouteSettings {
    route::RouteSettings {
        attempt_timeout: time::Duration::from_millis(400),
        report_timeout: time::Duration::from_secs(8),
        report_interval: time::Duration::from_millis(200),
        max_withdrawals: 64,
    }
}

/// Behaviour of the service and the holder in one attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptFate {
    /// Pause of the holder between its claim and sending.
    pause_ms: u64,
    /// 0: the connection is refused; 1: it breaks after the call ran; otherwise the answer arrives.
    service: u8,
    /// The holder never reports the outcome.
    never_reports: bool,
    /// Maximum number of retries by the caller while the answer is "in progress".
    repeats: u8,
}

struct AttemptCall {
    key: String,
    attempt: u64,
    fate: AttemptFate,
}

async fn call(router: cluster::TestRouter, recorder: EventRecorder, call: AttemptCall) {
    let claim_call = permit::ClaimCall {
        organisation: ORGANISATION.to_owned(),
        key: call.key.clone(),
        content: fingerprint::ContentHash::of(call.key.as_bytes()),
    };
    let mut answer = router.claim(claim_call.clone()).await;
    for _ in 0..call.fate.repeats {
        if answer != permit::ClaimAnswer::InProgress {
            break;
        }
        time::sleep(time::Duration::from_millis(150)).await;
        answer = router.claim(claim_call.clone()).await;
    }
    let received = match answer {
        permit::ClaimAnswer::Granted(permit) => send(&router, &recorder, permit, &call).await,
        permit::ClaimAnswer::Stored(outcome) => {
            let body = outcome.body.expect("a small body is kept");
            let text = String::from_utf8(body.0.to_vec()).expect("text");
            CallerAnswer::Complete {
                of: text.parse().expect("a number"),
            }
        }
        permit::ClaimAnswer::Unknown => CallerAnswer::Unknown,
        permit::ClaimAnswer::Refused(refused)
            if refused.ran == base::outcome::RanState::Unknown =>
        {
            CallerAnswer::Expired
        }
        permit::ClaimAnswer::InProgress
        | permit::ClaimAnswer::OtherContent
        | permit::ClaimAnswer::Refused(_) => CallerAnswer::NotRun,
    };
    recorder.record(ObservedEvent::Answered {
        key: call.key,
        attempt: call.attempt,
        received,
    });
}

async fn send(
    router: &cluster::TestRouter,
    recorder: &EventRecorder,
    permit: permit::SendPermit,
    call: &AttemptCall,
) -> CallerAnswer {
    time::sleep(time::Duration::from_millis(call.fate.pause_ms)).await;
    let may_send = permit.may_send(time::Instant::now());
    if !may_send || call.fate.service == 0 {
        settle(router, permit, claims::SettledOutcome::NotRun, call.fate);
        return CallerAnswer::NotRun;
    }
    recorder.record(ObservedEvent::Ran {
        key: call.key.clone(),
        attempt: call.attempt,
    });
    if call.fate.service == 1 {
        return CallerAnswer::SentUnknown;
    }
    let text = call.attempt.to_string();
    let outcome = claims::StoredOutcome {
        status: 200,
        content_type: None,
        body: Some(claims::StoredBody(text.into())),
    };
    settle(
        router,
        permit,
        claims::SettledOutcome::Ran(outcome),
        call.fate,
    );
    CallerAnswer::Complete { of: call.attempt }
}

fn settle(
    router: &cluster::TestRouter,
    permit: permit::SendPermit,
    outcome: claims::SettledOutcome,
    fate: AttemptFate,
) {
    if !fate.never_reports {
        let router = router.clone();
        tokio::spawn(async move { router.settle(permit, outcome).await });
    }
}

/// Runs a history and returns the observed events in order.
async fn history(u: &mut Unstructured<'_>, number: u64) -> arbitrary::Result<String> {
    let mut cluster = cluster::TestCluster::new(number, 3, settings(), route_settings());
    cluster.clear_faults();
    let recorder = EventRecorder::default();
    let mut keys: Vec<String> = Vec::new();
    let mut attempt = 0;
    for _ in 0..24 {
        match u.int_in_range(0..=11_u8)? {
            0..=5 => {
                attempt += 1;
                let vm = u.choose_index(cluster.vms.len())?;
                let key = draw_key(u, &cluster, &mut keys)?;
                let fate = draw_fate(u)?;
                let router = cluster.vms[vm].router.clone();
                let attempt_call = AttemptCall { key, attempt, fate };
                tokio::spawn(call(router, recorder.clone(), attempt_call));
            }
            6 => cluster.draw_faults(u)?,
            7 => cluster.replace(u.choose_index(3)?),
            8 => cluster.pause(u.choose_index(3)?, u.arbitrary()?),
            9 => cluster.clear_faults(),
            _ => {
                let steps = u64::from(u.arbitrary::<u8>()?);
                let step_ms = if u.ratio(1, 4)? { 60 } else { 4 };
                time::sleep(time::Duration::from_millis(steps * step_ms)).await;
            }
        }
    }
    finish(&cluster, &recorder).await;
    Ok(format!("{:?}", recorder.events()))
}

fn draw_key(
    u: &mut Unstructured<'_>,
    cluster: &cluster::TestCluster,
    keys: &mut Vec<String>,
) -> arbitrary::Result<String> {
    if !keys.is_empty() && u.ratio(3, 4)? {
        return Ok(u.choose(keys)?.clone());
    }
    let skew_ms = u64::from(u.int_in_range(0..=20_u8)?) * 100;
    let key = format!("{}-k{}", cluster.log.now_ms() + skew_ms - 1_000, keys.len());
    keys.push(key.clone());
    Ok(key)
}

fn draw_fate(u: &mut Unstructured<'_>) -> arbitrary::Result<AttemptFate> {
    let pauses = u.ratio(1, 3)?;
    let pause_ms = if pauses {
        u64::from(u.arbitrary::<u8>()?) * 16
    } else {
        0
    };
    Ok(AttemptFate {
        pause_ms,
        service: u.int_in_range(0..=5)?,
        never_reports: u.ratio(1, 8)?,
        repeats: if u.ratio(1, 3)? { 20 } else { 0 },
    })
}

/// Checks that after all faults are cleared every call ends, old keys stay settled and a new key
/// runs.
async fn finish(cluster: &cluster::TestCluster, recorder: &EventRecorder) {
    cluster.clear_faults();
    time::sleep(time::Duration::from_secs(10)).await;
    for (index, vm) in cluster.vms.iter().enumerate() {
        let attempt = 1_000 + index as u64;
        let key = format!("{}-last{index}", cluster.log.now_ms());
        let fate = AttemptFate {
            pause_ms: 0,
            service: 5,
            never_reports: false,
            repeats: 0,
        };
        let last = AttemptCall { key, attempt, fate };
        call(vm.router.clone(), recorder.clone(), last).await;
        let events = recorder.events();
        let expected = CallerAnswer::Complete { of: attempt };
        let answered = events
            .iter()
            .any(|event| matches!(event, ObservedEvent::Answered { received, .. } if *received == expected));
        assert!(
            answered,
            "a new key did not run after all faults were cleared"
        );
    }
    check(&recorder.events());
}

#[test]
fn keys_run_at_most_once_and_answers_are_true() {
    // Guards against callers that are charged twice, or get "not run" for a call that ran. No
    // such fault is known; the test searches for one with claims, repeated keys, outages of the
    // log, lost and late answers, replaced and paused entry VMs, two appenders and retention, in
    // any order.
    cluster::check_histories(1_500, 2_048, |u, number| {
        cluster::run_paused(history(u, number)).map(drop)
    });
}

/// Number of histories that are run twice.
const REPEATED_HISTORIES: u64 = 60;

#[test]
fn a_history_is_a_function_of_its_seed() {
    // Guards against randomness that no seed determines, such as the order of branches in a
    // `select!`, the order of a hash map or random ids: the same history would pass in one run and
    // fail in another.
    cluster::check_repeatable(REPEATED_HISTORIES, 2_048, |u, number| {
        cluster::run_paused(history(u, number))
    });
}
