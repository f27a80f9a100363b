//! Tests of streams with a single fault each.

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

/// Returns an engine that is running a generation.
fn busy(cluster: &cluster::TestCluster) -> &engine::EngineHandle {
    let mut engines = cluster.engines.iter();
    engines
        .find(|engine| engine.is_up() && engine.report().running > 0)
        .expect("an engine that runs a generation")
}

// Guards against a stream that stops for good although its engine continues: a middlebox between
// entry VM and engine loses the connection's state, and nothing resumes over a fresh connection.
#[test]
fn a_silent_connection_is_replaced_within_a_second() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut reply = stream(&cluster.planes[0], 1, 200).await;
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, 10).await;
        busy(&cluster).apply(&engine::EngineFault::Silence);
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
        assert_eq!(cluster.chaos.starts(1), 1);
    });
}

// Guards against two generations for one request: the answer to a start is lost after the engine
// accepted it, and the start is treated as failed and repeated on another engine.
#[test]
fn a_start_whose_answer_was_lost_is_resumed() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        for engine in &cluster.engines {
            engine.apply(&engine::EngineFault::LoseAnswers { count: 1 });
        }
        let mut reply = stream(&cluster.planes[0], 2, 20).await;
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(2, 20);
        assert!(transcript.done);
        assert_eq!(cluster.chaos.starts(2), 1);
    });
}

// Guards against an answer made of two generations, or no answer: one engine dies before the first
// token, after which another attempt must start, and one dies after it, after which none may.
#[test]
fn a_dead_engine_is_replaced_only_before_the_first_token() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let start = stream(&cluster.planes[0], 3, 50);
        let crash = async {
            time::sleep(Duration::from_millis(5)).await;
            busy(&cluster).crash();
        };
        let (mut reply, ()) = tokio::join!(start, crash);
        assert_eq!(cluster.chaos.starts(3), 2);
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, 10).await;
        busy(&cluster).crash();
        let dead_at = time::Instant::now();
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(3, 50);
        let refusal = transcript.refusal.expect("the stream ends with a refusal");
        assert_eq!(refusal.code, refusal::RefusalCode::GenerationLost);
        assert_eq!(refusal.ran, outcome::RanState::Yes);
        assert!(refusal.retry_after_ms.is_some());
        assert!(
            dead_at.elapsed() < Duration::from_millis(200),
            "the refusal was delayed"
        );
    });
}

// Guards against refusing a non-streamed answer of which nothing was sent: its engine dies in the
// middle, and the tokens buffered at the entry VM are treated as delivered.
#[test]
fn a_non_streamed_answer_is_restarted_when_its_engine_dies() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let request = callers::generate(&cluster.planes[0], callers::chat(4, 60, false, ""));
        let crash = async {
            time::sleep(Duration::from_millis(300)).await;
            busy(&cluster).crash();
        };
        let (reply, ()) = tokio::join!(request, crash);
        let Ok(plane::GenerationReply::Complete { body, .. }) = reply else {
            panic!("no answer: {reply:?}");
        };
        let mut transcript = callers::Transcript::default();
        transcript.read_complete(&body);
        transcript.check(4, 60);
        assert_eq!(cluster.chaos.starts(4), 2);
    });
}

// Guards against an engine that works on an answer nobody reads: the caller closes its connection,
// and the generation is not cancelled.
#[test]
fn the_generation_of_a_disconnected_caller_is_cancelled() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let reply = stream(&cluster.planes[0], 5, 200).await;
        let engine = busy(&cluster).clone();
        drop(reply);
        time::sleep(Duration::from_millis(1_700)).await;
        assert_eq!(engine.report().running, 0);
    });
}

// Guards against a continued stream that ends as cancelled: the caller's connection breaks and it
// continues at another entry VM; the first one then notices that its caller disconnected and
// cancels the generation that the second one relays.
#[test]
fn a_stream_continues_at_another_entry_vm() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut reply = stream(&cluster.planes[0], 6, 200).await;
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, 10).await;
        let plane::StreamReply { stream, token, .. } = reply;
        let continued = cluster.planes[1].continue_generation(callers::headers(), &token, 10);
        let mut reply = continued.await.unwrap();
        drop(stream);
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(6, 200);
        assert!(transcript.done, "{transcript:?}");
        assert_eq!(cluster.chaos.starts(6), 1);
    });
}

// Guards against a shutdown that cuts off answers: an entry VM is stopped while it relays a short
// stream, which must finish, and a long one, which must be handed over.
#[test]
fn a_graceful_stop_finishes_or_hands_over_streams() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut short = stream(&cluster.planes[0], 7, 20).await;
        let mut long = stream(&cluster.planes[0], 8, 200).await;
        let grace = Duration::from_secs(1);
        let read = async {
            let mut transcript = callers::Transcript::default();
            transcript.read(&mut short.stream, usize::MAX).await;
            transcript.check(7, 20);
            assert!(transcript.done);
            let mut transcript = callers::Transcript::default();
            transcript.read(&mut long.stream, usize::MAX).await;
            assert!(transcript.continuable && transcript.refusal.take().is_some());
            let from = transcript.tokens.len() as u32;
            let continued =
                cluster.planes[1].continue_generation(callers::headers(), &long.token, from);
            transcript
                .read(&mut continued.await.unwrap().stream, usize::MAX)
                .await;
            transcript.check(8, 200);
            assert!(transcript.done);
        };
        let (remaining, ()) = tokio::join!(cluster.planes[0].gate().drain(grace, grace), read);
        assert_eq!(remaining, 0);
        let late = callers::generate(&cluster.planes[0], callers::chat(9, 5, true, "")).await;
        let refused = late.unwrap_err().body;
        assert_eq!(refused.code, refusal::RefusalCode::NotReady);
        assert!(refused.ran == outcome::RanState::No && refused.retry_after_ms.is_some());
    });
}

// Guards against new work on a leaving engine: requests keep arriving after the plane learns that
// the engine leaves, and a slot was granted before that or the scheduler learns of it later.
#[test]
fn a_leaving_engine_gets_no_new_work() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut running = Vec::new();
        for mark in 10..16 {
            running.push(stream(&cluster.planes[0], mark, 30).await);
        }
        let before = cluster.engines[0].report().running;
        assert!(before > 0);
        cluster.mark_leaving(0);
        for mark in 16..22 {
            running.push(stream(&cluster.planes[1], mark, 30).await);
        }
        assert!(cluster.engines[0].report().running <= before);
        for (reply, mark) in running.iter_mut().zip(10..) {
            let mut transcript = callers::Transcript::default();
            transcript.read(&mut reply.stream, usize::MAX).await;
            transcript.check(mark, 30);
            assert!(transcript.done, "the stream did not finish: {transcript:?}");
        }
    });
}

// Guards against unbounded memory at an entry VM: a caller keeps its connection open without
// reading, and its answer is buffered without limit.
#[test]
fn the_stream_of_a_stalled_caller_is_ended() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut reply = stream(&cluster.planes[0], 30, 200).await;
        time::sleep(Duration::from_secs(20)).await;
        assert_eq!(cluster.planes[0].gate().running(), 0);
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(30, 200);
        assert!(transcript.continuable && !transcript.done, "{transcript:?}");
    });
}

// Guards against two concurrent generations of one request: an engine freezes before the first
// token, does not answer a cancel and later resumes, and another attempt starts before the first
// one is settled.
#[test]
fn an_attempt_on_a_frozen_engine_is_settled_before_another_starts() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let start = stream(&cluster.planes[0], 40, 20);
        let freeze = async {
            time::sleep(Duration::from_millis(5)).await;
            let engine = busy(&cluster).clone();
            engine.apply(&engine::EngineFault::Hang { on: true });
            time::sleep(Duration::from_secs(6)).await;
            assert_eq!(cluster.chaos.starts(40), 1);
            engine.apply(&engine::EngineFault::Hang { on: false });
        };
        let (mut reply, ()) = tokio::join!(start, freeze);
        assert_eq!(cluster.chaos.starts(40), 2);
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(40, 20);
        assert!(transcript.done);
    });
}

// Guards against reporting "not run" for work that ran: each engine that accepts the request dies
// before the first token and restarts, the new process answers that it does not hold the
// generation, and "not held" is treated as "did not run".
#[test]
fn a_restarted_engine_is_no_proof_that_a_request_did_not_run() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        for engine in cluster.engines.clone() {
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
        let refused = callers::generate(&cluster.planes[0], body)
            .await
            .unwrap_err()
            .body;
        assert!(cluster.chaos.may_have_run(41));
        assert_ne!(refused.ran, outcome::RanState::No, "{refused:?}");
    });
}

// Guards against an organisation that reads another one's answer: a continuation token leaks, and
// possession of the token is treated as authorisation.
#[test]
fn a_token_is_refused_for_another_organisation() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let reply = stream(&cluster.planes[0], 50, 100).await;
        let mut headers = callers::headers();
        headers.api_key = Some(cluster::OTHER_API_KEY.to_owned());
        let continued = cluster.planes[1]
            .continue_generation(headers, &reply.token, 0)
            .await;
        let refused = continued.map(drop).unwrap_err().body;
        assert_eq!(refused.code, refusal::RefusalCode::Forbidden);
        let mut headers = callers::headers();
        headers.api_key = None;
        let continued = cluster.planes[1]
            .continue_generation(headers, &reply.token, 0)
            .await;
        let refused = continued.map(drop).unwrap_err().body;
        assert_eq!(refused.code, refusal::RefusalCode::Unauthenticated);
    });
}
