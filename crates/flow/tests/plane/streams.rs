//! Failures of streams, one by one.

use std::{sync, time::Duration};

use base::{outcome, refusal};
use flow::plane;
use stand::engine;
use tokio::time;

use crate::{callers, cluster};

async fn stream(
    plane: &sync::Arc<cluster::ClusterPlane>,
    mark: u32,
    tokens: u32,
) -> plane::StreamReply {
    match callers::generate(plane, callers::chat(mark, tokens, true, "")).await {
        Ok(plane::GenerationReply::Stream(reply)) => reply,
        other => panic!("no stream: {other:?}"),
    }
}

/// The engine that runs something now.
fn busy(world: &cluster::TestCluster) -> &engine::EngineHandle {
    let mut engines = world.engines.iter();
    engines
        .find(|engine| engine.is_up() && engine.report().running > 0)
        .expect("something runs")
}

// Symptom: a stream stops in the middle, for good, although its engine goes on.
// Sequence: something between entry and engine loses track of the connection.
// Cause: nobody asked again over a fresh one.
#[test]
fn a_silent_connection_is_replaced_within_a_second() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut reply = stream(&world.planes[0], 1, 200).await;
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, 10).await;
        busy(&world).apply(&engine::EngineFault::Silence);
        let silent_at = time::Instant::now();
        transcript.read(&mut reply.stream, 12).await;
        assert!(
            silent_at.elapsed() < Duration::from_secs(1),
            "{:?}",
            silent_at.elapsed()
        );
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(1, 200);
        assert!(transcript.done);
        assert_eq!(world.chaos.starts(1), 1);
    });
}

// Symptom: two generations work on one request.
// Sequence: the answer to a start is lost after the engine took it.
// Cause: the start was taken for failed and repeated elsewhere.
#[test]
fn a_start_whose_answer_was_lost_is_found_again() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        for engine in &world.engines {
            engine.apply(&engine::EngineFault::LoseAnswers { count: 1 });
        }
        let mut reply = stream(&world.planes[0], 2, 20).await;
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(2, 20);
        assert!(transcript.done);
        assert_eq!(world.chaos.starts(2), 1);
    });
}

// Symptom: an answer made of two generations, or none at all.
// Sequence: an engine dies before the first token; another one dies after it.
// Cause: a restart after the first token, or none before it.
#[test]
fn a_dead_engine_is_replaced_before_the_first_token_only() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let begins = stream(&world.planes[0], 3, 50);
        let dies = async {
            time::sleep(Duration::from_millis(5)).await;
            busy(&world).crash();
        };
        let (mut reply, ()) = tokio::join!(begins, dies);
        assert_eq!(world.chaos.starts(3), 2);
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, 10).await;
        busy(&world).crash();
        let dead_at = time::Instant::now();
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(3, 50);
        let refusal = transcript.refusal.expect("an honest end");
        assert_eq!(refusal.code, refusal::RefusalCode::GenerationLost);
        assert_eq!(refusal.ran, outcome::RanState::Yes);
        assert!(refusal.retry_after_ms.is_some());
        assert!(dead_at.elapsed() < Duration::from_millis(200), "held back");
    });
}

// Symptom: a whole answer is refused although nothing of it had left.
// Sequence: the engine dies in the middle of it.
// Cause: what is held here was not taken for what has not left.
#[test]
fn a_whole_answer_is_begun_again_when_its_engine_dies() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let asks = callers::generate(&world.planes[0], callers::chat(4, 60, false, ""));
        let dies = async {
            time::sleep(Duration::from_millis(300)).await;
            busy(&world).crash();
        };
        let (reply, ()) = tokio::join!(asks, dies);
        let Ok(plane::GenerationReply::Complete { body, .. }) = reply else {
            panic!("no answer: {reply:?}");
        };
        let mut transcript = callers::Transcript::default();
        transcript.read_complete(&body);
        transcript.check(4, 60);
        assert_eq!(world.chaos.starts(4), 2);
    });
}

// Symptom: an engine works on an answer that nobody reads.
// Sequence: the caller closes its connection.
// Cause: the generation was not cancelled.
#[test]
fn a_gone_callers_generation_is_freed() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let reply = stream(&world.planes[0], 5, 200).await;
        let engine = busy(&world).clone();
        drop(reply);
        time::sleep(Duration::from_millis(1_700)).await;
        assert_eq!(engine.report().running, 0);
    });
}

// Symptom: a continued stream ends as cancelled.
// Sequence: the caller's connection breaks; it goes on at another entry VM; the first one then
// notices that its caller is gone.
// Cause: the first one cancelled the generation under the second.
#[test]
fn a_stream_goes_on_at_another_entry_vm() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut reply = stream(&world.planes[0], 6, 200).await;
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, 10).await;
        let plane::StreamReply { stream, token, .. } = reply;
        let goes_on = world.planes[1].continue_generation(callers::headers(), &token, 10);
        let mut reply = goes_on.await.unwrap();
        drop(stream);
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(6, 200);
        assert!(transcript.done, "{transcript:?}");
        assert_eq!(world.chaos.starts(6), 1);
    });
}

// Symptom: a shutdown cuts off answers.
// Sequence: an entry VM is told to end while it relays a short stream and a long one.
// Cause: what ran was neither waited for nor handed over.
#[test]
fn a_graceful_stop_finishes_or_hands_over() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut short = stream(&world.planes[0], 7, 20).await;
        let mut long = stream(&world.planes[0], 8, 200).await;
        let grace = Duration::from_secs(1);
        let reads = async {
            let mut transcript = callers::Transcript::default();
            transcript.read(&mut short.stream, usize::MAX).await;
            transcript.check(7, 20);
            assert!(transcript.done);
            let mut transcript = callers::Transcript::default();
            transcript.read(&mut long.stream, usize::MAX).await;
            assert!(transcript.moved && transcript.refusal.take().is_some());
            let from = transcript.tokens.len() as u32;
            let goes_on =
                world.planes[1].continue_generation(callers::headers(), &long.token, from);
            transcript
                .read(&mut goes_on.await.unwrap().stream, usize::MAX)
                .await;
            transcript.check(8, 200);
            assert!(transcript.done);
        };
        let (left, ()) = tokio::join!(world.planes[0].gate().drain(grace, grace), reads);
        assert_eq!(left, 0);
        let late = callers::generate(&world.planes[0], callers::chat(9, 5, true, "")).await;
        let refused = late.unwrap_err().body;
        assert_eq!(refused.code, refusal::RefusalCode::NotReady);
        assert!(refused.ran == outcome::RanState::No && refused.retry_after_ms.is_some());
    });
}

// Symptom: a leaving engine is given new work.
// Sequence: it is learnt that the engine leaves; requests go on arriving.
// Cause: a place that was granted before, or a scheduler that learns of it later.
#[test]
fn a_leaving_engine_gets_no_new_work() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut running = Vec::new();
        for mark in 10..16 {
            running.push(stream(&world.planes[0], mark, 30).await);
        }
        let before = world.engines[0].report().running;
        assert!(before > 0);
        world.mark_leaving(0);
        for mark in 16..22 {
            running.push(stream(&world.planes[1], mark, 30).await);
        }
        assert!(world.engines[0].report().running <= before);
        for (reply, mark) in running.iter_mut().zip(10..) {
            let mut transcript = callers::Transcript::default();
            transcript.read(&mut reply.stream, usize::MAX).await;
            transcript.check(mark, 30);
            assert!(transcript.done, "cut off: {transcript:?}");
        }
    });
}

// Symptom: the memory of an entry VM grows with callers that stopped reading.
// Sequence: a caller holds its connection open and reads nothing.
// Cause: its answer was held for it without bound.
#[test]
fn a_caller_that_stops_reading_is_given_up() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut reply = stream(&world.planes[0], 30, 200).await;
        time::sleep(Duration::from_secs(20)).await;
        assert_eq!(world.planes[0].gate().running(), 0);
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(30, 200);
        assert!(transcript.moved && !transcript.done, "{transcript:?}");
    });
}

// Symptom: two generations of one request run at once.
// Sequence: an engine freezes before the first token and takes no cancel; later it goes on.
// Cause: another try was started before the first one was settled.
#[test]
fn a_frozen_engines_try_is_settled_before_another_starts() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let begins = stream(&world.planes[0], 40, 20);
        let freezes = async {
            time::sleep(Duration::from_millis(5)).await;
            let engine = busy(&world).clone();
            engine.apply(&engine::EngineFault::Hang { on: true });
            time::sleep(Duration::from_secs(6)).await;
            assert_eq!(world.chaos.starts(40), 1);
            engine.apply(&engine::EngineFault::Hang { on: false });
        };
        let (mut reply, ()) = tokio::join!(begins, freezes);
        assert_eq!(world.chaos.starts(40), 2);
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(40, 20);
        assert!(transcript.done);
    });
}

// Symptom: a caller is told "not run" for work that ran.
// Sequence: each engine that takes the request dies before its first token and comes back as a
// new process, which says that it holds no such generation.
// Cause: "not held" was taken for "did not run".
#[test]
fn a_restarted_engine_proves_nothing() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        for engine in world.engines.clone() {
            engine.apply(&engine::EngineFault::Slow { factor: 1e5 });
            tokio::spawn(async move {
                loop {
                    time::sleep(Duration::from_millis(20)).await;
                    if engine.report().running > 0 {
                        engine.apply(&engine::EngineFault::Crash { down_ms: Some(0) });
                        time::sleep(Duration::from_millis(1)).await;
                        engine.apply(&engine::EngineFault::Slow { factor: 1e5 });
                    }
                }
            });
        }
        let body = callers::chat(41, 5, true, "");
        let refused = callers::generate(&world.planes[0], body)
            .await
            .unwrap_err()
            .body;
        assert!(world.chaos.may_have_run(41));
        assert_ne!(refused.ran, outcome::RanState::No, "{refused:?}");
    });
}

// Symptom: an organisation reads another's review.
// Sequence: a continuation token gets into other hands.
// Cause: the token was taken for the right to use it.
#[test]
fn a_token_is_of_no_use_to_another_organisation() {
    cluster::run_paused(async {
        let world = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let reply = stream(&world.planes[0], 50, 100).await;
        let mut headers = callers::headers();
        headers.api_key = Some(cluster::OTHER_API_KEY.to_owned());
        let taken = world.planes[1]
            .continue_generation(headers, &reply.token, 0)
            .await;
        let refused = taken.map(drop).unwrap_err().body;
        assert_eq!(refused.code, refusal::RefusalCode::Forbidden);
        let mut headers = callers::headers();
        headers.api_key = None;
        let taken = world.planes[1]
            .continue_generation(headers, &reply.token, 0)
            .await;
        let refused = taken.map(drop).unwrap_err().body;
        assert_eq!(refused.code, refusal::RefusalCode::Unauthenticated);
    });
}
