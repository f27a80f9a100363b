//! Property tests of the engine core: random calls and faults, checked against a simple oracle.

use std::{collections, time};

use base::id;
use stand::engine::{self, call};

const HISTORIES: u64 = 400;
const DURATION_MS: u64 = 20_000;

fn millis(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

/// Runs `history` with fixed seeds; a failure prints its seed.
fn fuzz(mut history: impl FnMut(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>) {
    for number in 0..HISTORIES {
        let seed = (number << 32) | 4_096;
        arbtest::arbtest(|source| history(source)).seed(seed).run();
    }
}

/// A small engine, so that memory runs out often.
fn small_profile(
    source: &mut arbitrary::Unstructured<'_>,
) -> arbitrary::Result<engine::EngineProfile> {
    Ok(engine::EngineProfile {
        total_blocks: source.int_in_range(6..=40)?,
        block_tokens: source.int_in_range(1..=8)?,
        max_batch: source.int_in_range(1..=8)?,
        prefill_chunk_tokens: source.int_in_range(1..=64)?,
        step_base_us: 1_000,
        kept_ms: 5_000,
        tombstone_ms: 10_000,
        output_median_tokens: 12.0,
        model: String::from("m"),
        adapters: vec![String::from("a")],
        ..engine::EngineProfile::default()
    })
}

/// Action on an engine.
#[derive(Clone, Debug)]
enum EngineAct {
    Start(engine::StartCall),
    Cancel(id::GenerationId),
    Order(call::OrderCall),
    Stall(bool),
    Slow(f64),
    Crash,
}

fn draw_start(source: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<engine::StartCall> {
    let shared = source.int_in_range(0..=30)?;
    let own = source.int_in_range(0..=12)?;
    let family = source.int_in_range(0..=2)?;
    let generation = source.int_in_range(1..=40)?;
    let mut words: Vec<String> = (0..shared)
        .map(|word| format!("f{family}.{word}"))
        .collect();
    words.extend((0..own).map(|word| format!("g{generation}.{word}")));
    if source.ratio(1, 3)? {
        words.push(format!("[[len={}]]", source.int_in_range(1..=60)?));
    }
    Ok(engine::StartCall {
        id: id::GenerationId(generation),
        model: String::from("m"),
        adapter: source.ratio(1, 4)?.then(|| String::from("a")),
        prompt: words.join(" "),
        max_tokens: source.int_in_range(1..=50)?,
        priority: source.int_in_range(0..=2)?,
        seed: source.ratio(1, 2)?.then(|| u64::from(generation as u32)),
    })
}

fn draw_act(source: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<EngineAct> {
    Ok(match source.int_in_range(0..=19)? {
        0..=12 => EngineAct::Start(draw_start(source)?),
        13..=15 => EngineAct::Cancel(id::GenerationId(source.int_in_range(1..=45)?)),
        16 => EngineAct::Order(call::OrderCall {
            fencing: Some(source.int_in_range(0..=3)?),
            want: call::WantedState {
                model: String::from("m"),
                version: source.int_in_range(1..=2)?.to_string(),
                adapters: vec![String::from("a")],
                role: String::from("serve"),
            },
            within_ms: 1_000,
        }),
        17 => EngineAct::Stall(source.arbitrary()?),
        18 => EngineAct::Slow(f64::from(source.int_in_range(1..=4)?)),
        _ => EngineAct::Crash,
    })
}

type TimedActs = Vec<(time::Duration, EngineAct)>;

fn draw_acts(
    source: &mut arbitrary::Unstructured<'_>,
    crashes: bool,
) -> arbitrary::Result<TimedActs> {
    let mut acts = Vec::new();
    let mut now_ms = 0;
    for _ in 0..source.int_in_range(1..=60)? {
        now_ms += source.int_in_range(0..=120)?;
        let act = draw_act(source)?;
        if crashes || !matches!(act, EngineAct::Crash) {
            acts.push((millis(now_ms), act));
        }
    }
    acts.push((millis(now_ms), EngineAct::Stall(false)));
    acts.push((millis(now_ms), EngineAct::Slow(1.0)));
    Ok(acts)
}

fn perform(core: &mut engine::EngineCore, now: time::Duration, act: &EngineAct) -> String {
    match act {
        EngineAct::Start(call) => format!("{:?}", core.start(now, call)),
        EngineAct::Cancel(generation) => format!("{:?}", core.cancel(now, *generation)),
        EngineAct::Order(call) => format!("{:?}", core.order(now, now, call)),
        EngineAct::Stall(on) => {
            core.set_stalled(now, *on);
            String::new()
        }
        EngineAct::Slow(factor) => {
            core.set_slow_factor(now, *factor);
            String::new()
        }
        EngineAct::Crash => {
            core.crash(now);
            core.restart(now, id::Incarnation(u128::from(now.as_millis() as u64)));
            String::new()
        }
    }
}

/// Expected state of one generation, derived from its events alone.
#[derive(Debug, Default)]
struct GenerationOracle {
    tokens: u32,
    preempted: u32,
    limit: u32,
    prompt_tokens: u32,
    finished: bool,
}

/// Records starts and cancellations and checks every event against them.
#[derive(Debug, Default)]
struct EngineOracle {
    generations: collections::HashMap<id::GenerationId, GenerationOracle>,
    last_at: time::Duration,
    preempted: u64,
}

impl EngineOracle {
    fn check(&mut self, now: time::Duration, event: &engine::EngineEvent) {
        match *event {
            engine::EngineEvent::Token { id, seq, at } => {
                let generation = self.generations.get_mut(&id).expect("was started");
                assert!(!generation.finished, "token after the end");
                assert_eq!(seq, generation.tokens, "token numbers must be consecutive");
                generation.tokens += 1;
                self.check_time(now, at);
            }
            engine::EngineEvent::Finished { id, report, at } => {
                let generation = self.generations.get_mut(&id).expect("was started");
                assert!(!generation.finished, "ended twice");
                generation.finished = true;
                assert_eq!(report.produced, generation.tokens);
                assert_eq!(report.preempted, generation.preempted);
                assert!(report.produced <= generation.limit);
                assert_eq!(report.prompt_tokens, generation.prompt_tokens);
                assert!(report.cached_tokens < report.prompt_tokens);
                self.check_time(now, at);
            }
            engine::EngineEvent::Preempted { id, at } => {
                self.generations
                    .get_mut(&id)
                    .expect("was started")
                    .preempted += 1;
                self.preempted += 1;
                self.check_time(now, at);
            }
            engine::EngineEvent::Forgotten { id } => {
                let generation = self.generations.remove(&id).expect("was started");
                assert!(generation.finished, "a running generation was forgotten");
            }
            engine::EngineEvent::Admitted { at, .. } => self.check_time(now, at),
            engine::EngineEvent::Crashed { .. } => {
                self.generations.clear();
                self.preempted = 0;
            }
        }
    }

    fn check_time(&mut self, now: time::Duration, at: time::Duration) {
        assert!(
            at >= self.last_at && at <= now,
            "events must be in order of time"
        );
        self.last_at = at;
    }

    fn started(&mut self, call: &engine::StartCall) {
        let generation = GenerationOracle {
            limit: call.max_tokens,
            prompt_tokens: (call.prompt.split_whitespace().count() as u32).max(1),
            ..GenerationOracle::default()
        };
        let known = self.generations.insert(call.id, generation);
        assert!(known.is_none(), "a start with a known id was accepted");
    }
}

fn check_budget(core: &engine::EngineCore) {
    let report = core.report();
    assert!(core.pool().occupied() <= core.profile().total_blocks);
    assert!(report.free_blocks <= report.total_blocks);
    assert!(report.running <= core.profile().max_batch);
}

#[test]
fn random_calls_keep_token_order_block_budget_and_reports() {
    fuzz(|source| {
        let mut core =
            engine::EngineCore::new(small_profile(source)?, id::Incarnation(0), millis(0));
        let mut oracle = EngineOracle::default();
        for (now, act) in draw_acts(source, true)? {
            for event in core.step(now) {
                oracle.check(now, &event);
            }
            match &act {
                EngineAct::Start(call) => {
                    if core.start(now, call).is_ok() {
                        oracle.started(call);
                    }
                }
                other => drop(perform(&mut core, now, other)),
            }
            for event in core.step(now) {
                oracle.check(now, &event);
            }
            check_budget(&core);
            assert_eq!(core.report().preemptions, oracle.preempted);
        }
        // Without further calls, all generations end and all memory is freed.
        let mut now = oracle.last_at;
        while let Some(next) = core.next_wake() {
            now = next.max(now);
            for event in core.step(now) {
                oracle.check(now, &event);
            }
            check_budget(&core);
        }
        assert!(
            oracle.generations.is_empty(),
            "generations that were not forgotten: {oracle:?}"
        );
        let report = core.report();
        assert_eq!((report.running, report.waiting), (0, 0));
        assert_eq!(report.free_blocks, report.total_blocks);
        Ok(())
    });
}

#[test]
fn step_frequency_does_not_change_the_events() {
    fuzz(|source| {
        let profile = small_profile(source)?;
        let mut coarse = engine::EngineCore::new(profile.clone(), id::Incarnation(0), millis(0));
        let mut fine = engine::EngineCore::new(profile, id::Incarnation(0), millis(0));
        let mut coarse_events = Vec::new();
        let mut fine_events = Vec::new();
        let mut acts = draw_acts(source, true)?;
        acts.push((millis(DURATION_MS), EngineAct::Stall(false)));
        for (now, act) in acts {
            while let Some(next) = fine.next_wake().filter(|next| *next <= now) {
                fine_events.extend(fine.step(next));
            }
            let outcome = perform(&mut coarse, now, &act);
            assert_eq!(outcome, perform(&mut fine, now, &act));
            coarse_events.extend(coarse.step(now));
            fine_events.extend(fine.step(now));
            assert_eq!(coarse.report(), fine.report());
        }
        // The time of forgetting depends on the end, so the order among other events may differ.
        let forgotten =
            |event: &engine::EngineEvent| matches!(event, engine::EngineEvent::Forgotten { .. });
        coarse_events.retain(|event| !forgotten(event));
        fine_events.retain(|event| !forgotten(event));
        assert_eq!(coarse_events, fine_events);
        Ok(())
    });
}

#[test]
fn a_cancelled_id_never_runs_afterwards() {
    // Guards against a cancelled generation that still produces tokens. The cancellation may arrive
    // before the start or during a step; the engine then forgets it, or completes the step anyway.
    fuzz(|source| {
        let mut core =
            engine::EngineCore::new(small_profile(source)?, id::Incarnation(0), millis(0));
        let mut cancelled = collections::HashMap::new();
        for (now, act) in draw_acts(source, false)? {
            let events = core.step(now);
            for event in &events {
                if let engine::EngineEvent::Token { id, .. } = event {
                    assert!(
                        !cancelled.contains_key(id),
                        "a token after the cancellation"
                    );
                }
            }
            match &act {
                EngineAct::Start(call) => {
                    let outcome = core.start(now, call);
                    let until = cancelled.get(&call.id);
                    assert!(until.is_none_or(|until| now > *until) || outcome.is_err());
                    if outcome.is_ok() {
                        cancelled.remove(&call.id);
                    }
                }
                EngineAct::Cancel(generation) => {
                    let answer = core.cancel(now, *generation).expect("is up");
                    let kept_ms = match answer {
                        call::CancelAnswer::Known { ran, produced } => {
                            assert!(ran || produced == 0);
                            0
                        }
                        call::CancelAnswer::Remembered => core.profile().tombstone_ms,
                    };
                    let until = cancelled.entry(*generation).or_insert(now);
                    *until = (*until).max(now + millis(kept_ms.saturating_sub(1)));
                    drop(core.step(now));
                }
                other => drop(perform(&mut core, now, other)),
            }
        }
        Ok(())
    });
}

#[test]
fn urgent_generations_run_first_and_preempt_others() {
    let profile = engine::EngineProfile {
        total_blocks: 10,
        block_tokens: 4,
        max_batch: 4,
        model: String::from("m"),
        ..engine::EngineProfile::default()
    };
    let mut core = engine::EngineCore::new(profile, id::Incarnation(0), millis(0));
    let start = |number, priority, words: usize| engine::StartCall {
        id: id::GenerationId(number),
        model: String::from("m"),
        adapter: None,
        prompt: format!("[[len=8]] {}", format!("g{number} ").repeat(words)),
        max_tokens: 100,
        priority,
        seed: None,
    };
    core.start(millis(0), &start(1, 2, 15)).expect("starts");
    core.start(millis(0), &start(2, 2, 15)).expect("starts");
    core.start(millis(1), &start(3, 0, 15)).expect("starts");
    let mut ends = Vec::new();
    while ends.len() < 3 {
        let next = core.next_wake().expect("works");
        for event in core.step(next) {
            if let engine::EngineEvent::Finished { id, report, .. } = event {
                assert_eq!(report.finish, call::FinishReason::Stop);
                assert_eq!(report.produced, 8);
                ends.push(id.0);
            }
        }
    }
    assert_eq!(ends, [3, 1, 2]);
    assert!(core.report().preemptions >= 1);
}

#[test]
fn a_cached_prefix_skips_prefill() {
    let mut core = engine::EngineCore::new(
        engine::EngineProfile::default(),
        id::Incarnation(0),
        millis(0),
    );
    let prompt = "word ".repeat(1_000);
    let mut first_tokens = Vec::new();
    for number in 1..=2_u64 {
        let begin = millis(number * 10_000);
        let call = engine::StartCall {
            id: id::GenerationId(u128::from(number)),
            model: String::from("review-llm"),
            adapter: None,
            prompt: prompt.clone(),
            max_tokens: 1,
            priority: 1,
            seed: None,
        };
        core.start(begin, &call).expect("starts");
        for event in core.step(begin + millis(5_000)) {
            match event {
                engine::EngineEvent::Token { at, .. } => first_tokens.push(at - begin),
                engine::EngineEvent::Finished { report, .. } => {
                    let cached = if number == 1 { 0 } else { 992 };
                    assert_eq!(report.cached_tokens, cached);
                }
                _ => {}
            }
        }
    }
    // Each step costs 12 ms plus 0.05 ms per uncached token: 512 and 488 tokens, then 8.
    let costs = [millis(2 * 12 + 50), time::Duration::from_micros(12_400)];
    assert_eq!(first_tokens, costs);
    let page = core.cache_events(millis(60_000), 0).expect("is up");
    let hashes = base::prefix::chain("review-llm", None, &prompt, 16);
    assert!(page.events.len() <= hashes.len() && page.events.len() > hashes.len() / 2);
    for event in &page.events {
        assert_eq!(event.prefix_hash, hashes[event.tokens as usize / 16 - 1]);
    }
}

#[test]
fn only_a_checking_engine_refuses_an_old_fencing_number() {
    for checks_fencing in [true, false] {
        let profile = engine::EngineProfile {
            checks_fencing,
            ..engine::EngineProfile::default()
        };
        let mut core = engine::EngineCore::new(profile, id::Incarnation(0), millis(0));
        let order = |fencing, version: &str| call::OrderCall {
            fencing: Some(fencing),
            want: call::WantedState {
                model: String::from("review-llm"),
                version: String::from(version),
                adapters: Vec::new(),
                role: String::from("serve"),
            },
            within_ms: 100,
        };
        core.order(millis(0), millis(0), &order(7, "2"))
            .expect("is taken");
        let old = core.order(millis(3_000), millis(3_000), &order(6, "1"));
        assert_eq!(old.is_err(), checks_fencing);
        let late = core.order(millis(6_101), millis(6_000), &order(8, "3"));
        assert_eq!(late, Err(engine::EngineError::LateOrder { late_ms: 1 }));
        drop(core.step(millis(9_000)));
        let state = core.state();
        assert_eq!(
            state.models[0].version,
            if checks_fencing { "2" } else { "1" }
        );
        assert_eq!(state.fencing, Some(7));
    }
}

#[test]
fn load_reports_state_their_age_correctly() {
    let mut core = engine::EngineCore::new(
        engine::EngineProfile::default(),
        id::Incarnation(0),
        millis(0),
    );
    let call = engine::StartCall {
        id: id::GenerationId(1),
        model: String::from("review-llm"),
        adapter: None,
        prompt: String::from("a [[len=100]]"),
        max_tokens: 100,
        priority: 1,
        seed: None,
    };
    core.start(millis(1_050), &call).expect("starts");
    let early = core.load(millis(1_200)).expect("is up");
    assert_eq!((early.running, early.taken_ms_ago), (0, 300));
    let later = core.load(millis(1_450)).expect("is up");
    assert_eq!((later.running, later.taken_ms_ago), (1, 350));
}
