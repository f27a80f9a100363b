//! Streams of a running engine under faults, on a paused clock.

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

/// Collects all events of a stream except pings.
async fn collect(mut stream: engine::EngineStream) -> Vec<engine::StreamEvent> {
    let mut events = Vec::new();
    while let Some(event) = stream.next().await {
        if event != engine::StreamEvent::Ping {
            events.push(event);
        }
    }
    events
}

/// Collects the events that a stream delivers within `span`; the last is `None` if it ended.
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
    assert!(
        handle.report().preemptions > 0,
        "no generation was preempted"
    );
}

#[tokio::test(start_paused = true)]
async fn a_silent_stream_stays_silent_and_a_new_one_works() {
    // Guards against streams that never deliver a token, ping or end again: a middlebox drops the
    // connection after some tokens without notifying either end, while the generation continues.
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
    // Not even a crash of the engine is visible on the stream.
    handle.crash();
    assert_eq!(
        collect_for(&mut old, time::Duration::from_secs(60)).await,
        []
    );
}

#[tokio::test(start_paused = true)]
async fn silence_suppresses_a_pending_ping() {
    // Guards against one more ping on a silent connection: it goes silent while a reader waits for
    // the next ping, and the gate was checked before the wait but not after it.
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
    // Covers streams that deliver pings but no tokens: the engine process stalls during a
    // generation while its connections stay alive, and continues later.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let call = start_call(1, "a [[len=50]]");
    let mut stream = handle.start(call).await.expect("starts");
    let before = collect_for(&mut stream, time::Duration::from_millis(200))
        .await
        .len();
    handle.apply(&engine::EngineFault::Stall { on: true });
    let stalled = collect_for(&mut stream, time::Duration::from_secs(10)).await;
    assert!(stalled.len() >= 19, "fewer pings than one every 500 ms");
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
    // Covers a link that hangs and recovers: packets sent meanwhile are delayed but not lost, so a
    // start may run long after it was sent.
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
async fn a_request_that_crashes_the_engine_cuts_all_streams() {
    // Covers an engine that cuts all its streams and refuses connections: a full batch runs, then a
    // request that crashes any engine running it begins its prefill.
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
async fn a_reclaimed_engine_announces_it_and_stops_on_time() {
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
async fn a_call_whose_answer_is_lost_takes_effect() {
    // Covers a start that fails although it may be running: the engine accepts it, the answer is
    // lost afterwards, and the caller cancels the id.
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    handle.apply(&engine::EngineFault::LoseAnswers { count: 1 });
    let lost = handle.start(start_call(1, "a [[len=100]]")).await.err();
    assert_eq!(lost, Some(engine::EngineError::AnswerLost));
    time::sleep(time::Duration::from_millis(200)).await;
    let answer = handle.cancel(id::GenerationId(1)).await.expect("is up");
    assert!(matches!(answer, call::CancelAnswer::Known { ran: true, produced } if produced > 5));
}

#[tokio::test(start_paused = true)]
async fn stream_faults_cut_streams_or_send_malformed_data() {
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
