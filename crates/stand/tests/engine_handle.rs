//! Streams of a running engine under faults, on the paused clock.

use base::id;
use stand::engine::{self, call};
use tokio::time;

fn start_call(number: u128, prompt: &str) -> engine::StartCall {
    engine::StartCall {
        id: id::GenerationId(number),
        model: String::from("review-llm"),
        adapter: None,
        prompt: String::from(prompt),
        max_tokens: 1_000,
        priority: 1,
        seed: None,
    }
}

/// Everything that a stream delivers, without its pings.
async fn collect(mut stream: engine::EngineStream) -> Vec<engine::StreamEvent> {
    let mut events = Vec::new();
    while let Some(event) = stream.next().await {
        if event != engine::StreamEvent::Ping {
            events.push(event);
        }
    }
    events
}

/// What a stream delivers in `span`; `None` at the end when it ended.
async fn collect_for(
    stream: &mut engine::EngineStream,
    span: time::Duration,
) -> Vec<Option<engine::StreamEvent>> {
    let deadline = time::Instant::now() + span;
    let mut events = Vec::new();
    while let Ok(event) = time::timeout_at(deadline, stream.next()).await {
        let ended = event.is_none();
        events.push(event);
        if ended {
            break;
        }
    }
    events
}

fn finished(events: &[engine::StreamEvent]) -> bool {
    matches!(events.last(), Some(engine::StreamEvent::Finish(_)))
}

#[tokio::test(start_paused = true)]
async fn a_resumed_stream_equals_the_rest_of_the_first() {
    let handle = engine::EngineHandle::spawn(engine::EngineProfile {
        total_blocks: 10,
        max_batch: 4,
        output_median_tokens: 40.0,
        ..engine::EngineProfile::default()
    });
    let mut readers = Vec::new();
    for number in 1..=12_u128 {
        let prompt = format!("{} own{number}", "shared ".repeat(20));
        let stream = handle
            .start(start_call(number, &prompt))
            .await
            .expect("starts");
        readers.push(tokio::spawn(collect(stream)));
        for from in [0, number as u32, 500] {
            let stream = handle
                .resume(id::GenerationId(number), from)
                .await
                .expect("is held");
            readers.push(tokio::spawn(collect(stream)));
        }
        time::sleep(time::Duration::from_millis(70)).await;
    }
    let mut streams = Vec::new();
    for reader in readers {
        streams.push(reader.await.expect("reads"));
    }
    for (index, group) in streams.chunks(4).enumerate() {
        assert!(finished(&group[0]));
        let tokens = group[0].len() - 1;
        for (from, resumed) in [0, index + 1, 500].into_iter().zip(&group[1..]) {
            assert_eq!(*resumed, group[0][from.min(tokens)..]);
        }
    }
    assert!(handle.report().preemptions > 0, "memory was never short");
}

#[tokio::test(start_paused = true)]
async fn a_silent_stream_stays_silent_and_a_new_one_works() {
    // Symptom: a stream shows neither token nor ping nor end, for ever.
    // Sequence: it carries some tokens; something between the ends loses track of it.
    // Cause: the connection is dead and neither end was told; the generation goes on.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let call = start_call(1, "a [[len=100]]");
    let mut old = handle.start(call).await.expect("starts");
    let seen = collect_for(&mut old, time::Duration::from_millis(500))
        .await
        .len();
    assert!(seen > 10);
    handle.apply(&engine::EngineFault::Silence);
    let rest = handle
        .resume(id::GenerationId(1), seen as u32)
        .await
        .expect("is held");
    let rest = collect(rest).await;
    assert!(finished(&rest));
    assert_eq!(seen + rest.len(), 101);
    let silent = collect_for(&mut old, time::Duration::from_secs(3_600)).await;
    assert_eq!(silent, []);
    // Not even the death of the engine gets through.
    handle.crash();
    assert_eq!(
        collect_for(&mut old, time::Duration::from_secs(60)).await,
        []
    );
}

#[tokio::test(start_paused = true)]
async fn silence_also_takes_the_ping_that_is_due() {
    // Symptom: a silent connection pings once more.
    // Sequence: a reader waits for the next ping, then the connection goes silent.
    // Cause: whether it may deliver was asked before the wait and not after it.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    handle.apply(&engine::EngineFault::Stall { on: true });
    let mut stream = handle.start(start_call(1, "a")).await.expect("starts");
    let reader =
        tokio::spawn(async move { collect_for(&mut stream, time::Duration::from_secs(60)).await });
    time::sleep(time::Duration::from_millis(1_300)).await;
    handle.apply(&engine::EngineFault::Silence);
    let pings = reader.await.expect("reads");
    assert_eq!(
        pings,
        [
            Some(engine::StreamEvent::Ping),
            Some(engine::StreamEvent::Ping)
        ]
    );
}

#[tokio::test(start_paused = true)]
async fn a_stalled_engine_pings_without_tokens() {
    // Symptom: a stream pings and carries no token.
    // Sequence: the engine stops working in the middle of a generation, later goes on.
    // Cause: the process is stuck; its connections live.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let call = start_call(1, "a [[len=50]]");
    let mut stream = handle.start(call).await.expect("starts");
    let before = collect_for(&mut stream, time::Duration::from_millis(200))
        .await
        .len();
    handle.apply(&engine::EngineFault::Stall { on: true });
    let stalled = collect_for(&mut stream, time::Duration::from_secs(10)).await;
    assert!(stalled.len() >= 19, "a ping at least every 500 ms");
    assert!(
        stalled
            .iter()
            .all(|event| *event == Some(engine::StreamEvent::Ping))
    );
    handle.apply(&engine::EngineFault::Stall { on: false });
    let rest = collect(stream).await;
    assert!(finished(&rest));
    assert_eq!(before + rest.len(), 51);
}

#[tokio::test(start_paused = true)]
async fn a_hanging_link_delays_and_loses_nothing() {
    // Symptom: calls and streams stand still, then all goes on.
    // Sequence: the link stalls, a start is sent into it, the link comes back.
    // Cause: packets waited; a start may run long after it was sent.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let call = start_call(1, "a [[len=50]]");
    let mut stream = handle.start(call).await.expect("starts");
    let before = collect_for(&mut stream, time::Duration::from_millis(200))
        .await
        .len();
    handle.apply(&engine::EngineFault::Hang { on: true });
    let late = tokio::spawn({
        let handle = handle.clone();
        async move { handle.start(start_call(2, "late [[len=5]]")).await }
    });
    assert_eq!(
        collect_for(&mut stream, time::Duration::from_secs(20)).await,
        []
    );
    assert!(!late.is_finished());
    handle.apply(&engine::EngineFault::Hang { on: false });
    assert_eq!(before + collect(stream).await.len(), 51);
    let late = late.await.expect("runs").expect("starts late");
    assert_eq!(collect(late).await.len(), 6);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_engines_takes_its_neighbours_along() {
    // Symptom: all streams of an engine are cut at once and its connections are refused.
    // Sequence: a full batch runs, then one more request begins its prefill.
    // Cause: that request kills each engine that runs it.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let innocent = handle
        .start(start_call(1, "a [[len=500]]"))
        .await
        .expect("starts");
    let innocent = tokio::spawn(collect(innocent));
    time::sleep(time::Duration::from_millis(300)).await;
    let incarnation = handle.state().await.expect("is up").incarnation;
    let guilty = handle
        .start(start_call(2, "boom [[crash]]"))
        .await
        .expect("is taken");
    assert_eq!(collect(guilty).await, []);
    let innocent = innocent.await.expect("reads");
    assert!(!innocent.is_empty() && !finished(&innocent));
    let refused = handle.start(start_call(3, "a")).await;
    assert_eq!(refused.err(), Some(engine::EngineError::Down));
    handle.apply(&engine::EngineFault::Restart);
    assert_ne!(
        handle.state().await.expect("is up").incarnation,
        incarnation
    );
    let lost = handle.resume(id::GenerationId(1), 3).await.err();
    let not_held = engine::EngineError::NotHeld {
        id: id::GenerationId(1),
    };
    assert_eq!(lost, Some(not_held));
}

#[tokio::test(start_paused = true)]
async fn a_reclaimed_engine_says_so_and_dies_in_time() {
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    handle.apply(&engine::EngineFault::Reclaim { notice_ms: 5_000 });
    time::sleep(time::Duration::from_millis(1_000)).await;
    assert!(handle.load().await.expect("is up").leaving);
    let late = handle
        .start(start_call(1, "a [[len=900]]"))
        .await
        .expect("starts");
    assert_eq!(handle.starts_while_leaving(), 1);
    time::sleep(time::Duration::from_millis(4_001)).await;
    assert!(!handle.is_up());
    assert!(!finished(&collect(late).await));
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_had_its_effect() {
    // Symptom: a start fails without proof that nothing runs.
    // Sequence: the engine takes the start, the answer breaks, its caller cancels the id.
    // Cause: the answer was lost after the action.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    handle.apply(&engine::EngineFault::LoseAnswers { count: 1 });
    let lost = handle.start(start_call(1, "a [[len=100]]")).await.err();
    assert_eq!(lost, Some(engine::EngineError::AnswerLost));
    time::sleep(time::Duration::from_millis(200)).await;
    let answer = handle.cancel(id::GenerationId(1)).await.expect("is up");
    assert!(matches!(answer, call::CancelAnswer::Known { ran: true, produced } if produced > 5));
}

#[tokio::test(start_paused = true)]
async fn spoilt_streams_are_cut_or_nonsense() {
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    handle.apply(&engine::EngineFault::Truncate {
        after_tokens: Some(3),
    });
    let cut = handle
        .start(start_call(1, "a [[len=10]]"))
        .await
        .expect("starts");
    let cut = collect(cut).await;
    assert_eq!(cut.len(), 3);
    assert!(!finished(&cut));
    handle.apply(&engine::EngineFault::Truncate { after_tokens: None });
    handle.apply(&engine::EngineFault::Nonsense { on: true });
    let nonsense = handle
        .start(start_call(2, "a [[len=2]]"))
        .await
        .expect("starts");
    assert_eq!(collect(nonsense).await[0], engine::StreamEvent::Nonsense);
}
