//! Stateful fuzz of idempotency claims against an oracle that knows nothing of the code's insides.

mod cluster;

use std::{collections, sync};

use arbitrary::Unstructured;
use base::fingerprint;
use ledger::{appender, claim_store, claims, host, permit, route};
use tokio::time;

const ORGANISATION: &str = "troupe-7";

/// What the world saw, in order.
#[derive(Clone, Debug)]
enum SeenEvent {
    /// The call of this try reached the service and ran.
    Ran { key: String, attempt: u64 },
    /// The caller of this try was told this.
    Told {
        key: String,
        attempt: u64,
        told: ToldAnswer,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum ToldAnswer {
    /// The answer of the run of this try.
    Whole {
        of: u64,
    },
    /// The call was sent, and then its connection broke.
    SentUnknown,
    /// Nothing ran for this try.
    NotRun,
    /// The key is too old.
    Expired,
    Unknown,
}

#[derive(Clone, Default)]
struct Witness(sync::Arc<sync::Mutex<Vec<SeenEvent>>>);

impl Witness {
    fn note(&self, event: SeenEvent) {
        self.0.lock().expect("witness").push(event);
    }

    fn events(&self) -> Vec<SeenEvent> {
        self.0.lock().expect("witness").clone()
    }
}

/// The oracle.
fn check(events: &[SeenEvent]) {
    let mut runs: collections::BTreeMap<&str, Vec<u64>> = collections::BTreeMap::new();
    let mut unknown: collections::BTreeSet<&str> = collections::BTreeSet::new();
    for event in events {
        match event {
            SeenEvent::Ran { key, attempt } => {
                assert!(
                    !unknown.contains(key.as_str()),
                    "{key} ran after unknown was told"
                );
                let found = runs.entry(key).or_default();
                found.push(*attempt);
                assert!(found.len() == 1, "{key} ran twice: {found:?}");
            }
            SeenEvent::Told { key, told, .. } => {
                if *told == ToldAnswer::Unknown {
                    unknown.insert(key);
                }
            }
        }
    }
    for event in events {
        let SeenEvent::Told { key, attempt, told } = event else {
            continue;
        };
        let ran = runs.get(key.as_str()).cloned().unwrap_or_default();
        match told {
            ToldAnswer::Whole { of } => assert!(ran.contains(of), "{key}: answer without a run"),
            ToldAnswer::NotRun | ToldAnswer::Expired | ToldAnswer::Unknown => {
                assert!(
                    !ran.contains(attempt),
                    "{key}: told {told:?}, but try {attempt} ran"
                );
            }
            ToldAnswer::SentUnknown => {}
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

/// How the service and the holder behave in one try.
#[derive(Clone, Copy, Debug)]
struct TryFate {
    /// The holder pauses between its claim and sending.
    pause_ms: u64,
    /// 0: the connection is refused; 1: it breaks after the call ran; else the answer arrives.
    service: u8,
    /// The holder forgets to report.
    silent: bool,
    /// How often the caller asks again while it is told that the call is under way.
    repeats: u8,
}

struct TryCall {
    key: String,
    attempt: u64,
    fate: TryFate,
}

async fn call(router: cluster::TestRouter, witness: Witness, call: TryCall) {
    let asked = permit::ClaimCall {
        organisation: ORGANISATION.to_owned(),
        key: call.key.clone(),
        content: fingerprint::ContentHash::of(call.key.as_bytes()),
    };
    let mut answer = router.claim(asked.clone()).await;
    for _ in 0..call.fate.repeats {
        if answer != permit::ClaimAnswer::InProgress {
            break;
        }
        time::sleep(time::Duration::from_millis(150)).await;
        answer = router.claim(asked.clone()).await;
    }
    let told = match answer {
        permit::ClaimAnswer::Granted(permit) => send(&router, &witness, permit, &call).await,
        permit::ClaimAnswer::Stored(outcome) => {
            let body = outcome.body.expect("a small body is kept");
            let text = String::from_utf8(body.0.to_vec()).expect("text");
            ToldAnswer::Whole {
                of: text.parse().expect("a number"),
            }
        }
        permit::ClaimAnswer::Unknown => ToldAnswer::Unknown,
        permit::ClaimAnswer::Refused(refused)
            if refused.ran == base::outcome::RanState::Unknown =>
        {
            ToldAnswer::Expired
        }
        permit::ClaimAnswer::InProgress
        | permit::ClaimAnswer::OtherContent
        | permit::ClaimAnswer::Refused(_) => ToldAnswer::NotRun,
    };
    witness.note(SeenEvent::Told {
        key: call.key,
        attempt: call.attempt,
        told,
    });
}

async fn send(
    router: &cluster::TestRouter,
    witness: &Witness,
    permit: permit::SendPermit,
    call: &TryCall,
) -> ToldAnswer {
    time::sleep(time::Duration::from_millis(call.fate.pause_ms)).await;
    let may_send = permit.may_send(time::Instant::now());
    if !may_send || call.fate.service == 0 {
        settle(router, permit, claims::SettledOutcome::NotRun, call.fate);
        return ToldAnswer::NotRun;
    }
    witness.note(SeenEvent::Ran {
        key: call.key.clone(),
        attempt: call.attempt,
    });
    if call.fate.service == 1 {
        return ToldAnswer::SentUnknown;
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
    ToldAnswer::Whole { of: call.attempt }
}

fn settle(
    router: &cluster::TestRouter,
    permit: permit::SendPermit,
    outcome: claims::SettledOutcome,
    fate: TryFate,
) {
    if !fate.silent {
        let router = router.clone();
        tokio::spawn(async move { router.settle(permit, outcome).await });
    }
}

/// Plays a history; gives what the world saw, in order.
async fn history(u: &mut Unstructured<'_>, number: u64) -> arbitrary::Result<String> {
    let mut world = cluster::World::new(number, 3, settings(), route_settings());
    world.heal();
    let witness = Witness::default();
    let mut keys: Vec<String> = Vec::new();
    let mut attempt = 0;
    for _ in 0..24 {
        match u.int_in_range(0..=11_u8)? {
            0..=5 => {
                attempt += 1;
                let vm = u.choose_index(world.vms.len())?;
                let key = draw_key(u, &world, &mut keys)?;
                let fate = draw_fate(u)?;
                let router = world.vms[vm].router.clone();
                let call_ = TryCall { key, attempt, fate };
                tokio::spawn(call(router, witness.clone(), call_));
            }
            6 => world.draw_faults(u)?,
            7 => world.replace(u.choose_index(3)?),
            8 => world.pause(u.choose_index(3)?, u.arbitrary()?),
            9 => world.heal(),
            _ => {
                let steps = u64::from(u.arbitrary::<u8>()?);
                let longest = if u.ratio(1, 4)? { 60 } else { 4 };
                time::sleep(time::Duration::from_millis(steps * longest)).await;
            }
        }
    }
    finish(&world, &witness).await;
    Ok(format!("{:?}", witness.events()))
}

fn draw_key(
    u: &mut Unstructured<'_>,
    world: &cluster::World,
    keys: &mut Vec<String>,
) -> arbitrary::Result<String> {
    if !keys.is_empty() && u.ratio(3, 4)? {
        return Ok(u.choose(keys)?.clone());
    }
    let skew_ms = u64::from(u.int_in_range(0..=20_u8)?) * 100;
    let key = format!("{}-k{}", world.log.now_ms() + skew_ms - 1_000, keys.len());
    keys.push(key.clone());
    Ok(key)
}

fn draw_fate(u: &mut Unstructured<'_>) -> arbitrary::Result<TryFate> {
    let pauses = u.ratio(1, 3)?;
    let pause_ms = if pauses {
        u64::from(u.arbitrary::<u8>()?) * 16
    } else {
        0
    };
    Ok(TryFate {
        pause_ms,
        service: u.int_in_range(0..=5)?,
        silent: u.ratio(1, 8)?,
        repeats: if u.ratio(1, 3)? { 20 } else { 0 },
    })
}

/// Once everything works again every call ends, old keys stay settled, and a new key runs.
async fn finish(world: &cluster::World, witness: &Witness) {
    world.heal();
    time::sleep(time::Duration::from_secs(10)).await;
    for (index, vm) in world.vms.iter().enumerate() {
        let attempt = 1_000 + index as u64;
        let key = format!("{}-last{index}", world.log.now_ms());
        let fate = TryFate {
            pause_ms: 0,
            service: 5,
            silent: false,
            repeats: 0,
        };
        let last = TryCall { key, attempt, fate };
        call(vm.router.clone(), witness.clone(), last).await;
        let events = witness.events();
        let whole = ToldAnswer::Whole { of: attempt };
        let answered = events
            .iter()
            .any(|event| matches!(event, SeenEvent::Told { told, .. } if *told == whole));
        assert!(answered, "a fresh key did not run on a healthy system");
    }
    check(&witness.events());
}

#[test]
fn no_key_runs_twice_and_not_run_is_true() {
    // Symptom: a caller is charged twice, or is told "not run" of a call that ran.
    // Sequence: claims, outages of the log, lost and late answers, replaced and paused entry VMs,
    // two appenders, retention, repeated keys, in any order.
    // Cause: none known; this is the search for one.
    cluster::check_histories(1_500, 2_048, |u, number| {
        cluster::run_paused(history(u, number)).map(drop)
    });
}

/// Histories that are played twice.
const HISTORIES_TWICE: u64 = 60;

#[test]
fn a_history_is_a_function_of_its_seed() {
    // Symptom: of four runs of this file three pass and one fails, and nothing has changed.
    // Sequence: the same draws, played twice.
    // Cause: something random that no seed decides: the order of branches of a `select!`, the order
    // of a hash map, drawn identifiers.
    cluster::check_repeatable(HISTORIES_TWICE, 2_048, |u, number| {
        cluster::run_paused(history(u, number))
    });
}
