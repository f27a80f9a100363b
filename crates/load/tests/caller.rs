//! Tests of a caller against a fake entry VM that refuses calls, cuts streams or hands them over.

use std::{net, sync, sync::atomic, time::Duration};

use base::{class, id, outcome, refusal};
use load::{arrival, caller, perform, record};
use rocket::{State, get, http, post, response::content, routes};
use stand::engine::text;
use tokio::time;

/// Number of tokens of every answer.
const TOKENS: u32 = 6;

const GENERATION: id::GenerationId = id::GenerationId(5);

/// Behaviour of the fake on a request for a generation.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FakeBehaviour {
    /// Cuts the stream before token 3, then continues it.
    BreaksOff,
    /// Hands the stream over at token 3.
    HandsOver,
    /// Refuses the first attempt with this run state and a retry delay.
    RefusesOnce(outcome::RanState),
    /// Continues with a token that was already sent.
    Repeats,
}

struct FakeEntry {
    behaviour: FakeBehaviour,
    starts: atomic::AtomicU32,
}

type Answer = (http::Status, (http::ContentType, String));

fn chunks(from: u32, to: u32) -> String {
    let chunk = |index| {
        let word = text::marked_token(GENERATION, index, 9);
        format!(
            "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{word}\"}}}}],\"pollenchute\":{{\"index\":{index}}}}}\n\n"
        )
    };
    (from..to).map(chunk).collect()
}

fn events(text: String) -> Answer {
    (http::Status::Ok, (http::ContentType::EventStream, text))
}

#[get("/v1/entries")]
fn entries() -> content::RawJson<&'static str> {
    content::RawJson(r#"{"entries":[],"keep_ms":60000}"#)
}

#[derive(rocket::Responder)]
struct AnswerWithToken {
    answer: Answer,
    token: http::Header<'static>,
}

#[post("/v1/chat/completions")]
fn start(fake: &State<sync::Arc<FakeEntry>>) -> AnswerWithToken {
    let starts = fake.starts.fetch_add(1, atomic::Ordering::SeqCst);
    let answer = match fake.behaviour {
        FakeBehaviour::BreaksOff | FakeBehaviour::Repeats => events(chunks(0, 3)),
        FakeBehaviour::HandsOver => {
            let handover =
                "data: {\"pollenchute\":{\"continue\":\"/v1/generations/tok?from=3\"}}\n\n";
            events(chunks(0, 3) + handover)
        }
        FakeBehaviour::RefusesOnce(ran) if starts == 0 => {
            let error = refusal::RefusalBody::not_run(refusal::RefusalCode::Overloaded, "full")
                .ran(ran)
                .retry_after_ms(1);
            let text = serde_json::to_string(&refusal::RefusalEnvelope { error });
            let status = http::Status::ServiceUnavailable;
            (status, (http::ContentType::JSON, text.expect("JSON")))
        }
        FakeBehaviour::RefusesOnce(_) => events(chunks(0, TOKENS) + "data: [DONE]\n\n"),
    };
    AnswerWithToken {
        answer,
        token: http::Header::new("x-generation-token", "tok"),
    }
}

#[get("/v1/generations/tok?<from>")]
fn resume(from: u32, fake: &State<sync::Arc<FakeEntry>>) -> Answer {
    let from = match fake.behaviour {
        FakeBehaviour::Repeats => from - 1,
        _ => from,
    };
    events(chunks(from, TOKENS) + "data: [DONE]\n\n")
}

async fn serve(fake: sync::Arc<FakeEntry>) -> net::SocketAddr {
    let config = rocket::Config {
        port: 0,
        log_level: rocket::config::LogLevel::Off,
        ..rocket::Config::release_default()
    };
    let (sender, mut receiver) = tokio::sync::mpsc::channel(1);
    let liftoff = rocket::fairing::AdHoc::on_liftoff("port", move |rocket| {
        let port = rocket.config().port;
        let sender = sender.clone();
        Box::pin(async move { sender.send(port).await.expect("the test waits for it") })
    });
    let server = rocket::custom(config)
        .manage(fake)
        .mount("/", routes![entries, start, resume])
        .attach(liftoff);
    tokio::spawn(server.launch());
    let port = receiver.recv().await.expect("the fake listens");
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

/// Makes one streamed call; returns its record and the number of starts that the fake received.
async fn call(behaviour: FakeBehaviour) -> (record::CallRecord, u32) {
    let starts = atomic::AtomicU32::new(0);
    let fake = sync::Arc::new(FakeEntry { behaviour, starts });
    let address = serve(fake.clone()).await;
    let settings = caller::CallSettings {
        expected_step: Duration::from_millis(50),
        idle_timeout: Duration::from_secs(5),
        answer_timeout: Duration::from_secs(5),
    };
    let caller = caller::EntryCaller::new("key".into(), vec![address], settings);
    let caller = caller.expect("the client is set up");
    let planned = arrival::PlannedCall {
        at: Duration::ZERO,
        workload: 0,
        class: class::TrafficClass::Normal,
        organisation: "hue".into(),
        request: arrival::PlannedRequest::Generation(arrival::PlannedGeneration {
            model: "review-llm".into(),
            shared_words: 0,
            own_words: 3,
            max_tokens: 100,
            output_tokens: TOKENS,
            mark: 9,
            delivery: arrival::CallDelivery::Streamed,
        }),
    };
    let record = perform::perform(&caller, &planned, time::Instant::now()).await;
    (record, fake.starts.load(atomic::Ordering::SeqCst))
}

/// Guards against answers that end in the middle of a word. The entry VM crashes after token 2, so
/// its connection ends without `[DONE]`, which must not count as the end of an answer.
#[tokio::test]
async fn a_broken_stream_is_continued_by_its_token() {
    let (record, starts) = call(FakeBehaviour::BreaksOff).await;
    assert_eq!(record.outcome, record::CallOutcome::Whole);
    assert_eq!(
        (record.tokens, record.continuations, starts),
        (TOKENS, 1, 1)
    );
}

#[tokio::test]
async fn a_stream_that_is_handed_over_is_continued() {
    let (record, starts) = call(FakeBehaviour::HandsOver).await;
    assert_eq!(record.outcome, record::CallOutcome::Whole);
    assert_eq!(
        (record.tokens, record.continuations, starts),
        (TOKENS, 1, 1)
    );
}

/// Guards against undetected repeated tokens. A continuation begins one token too early, so the
/// check must compare the token number and not only the text.
#[tokio::test]
async fn a_continuation_that_repeats_a_token_is_reported_as_doubled() {
    let (record, _) = call(FakeBehaviour::Repeats).await;
    let outcome = format!("{:?}", record.outcome);
    assert!(outcome.contains("Doubled"), "{outcome}");
}

#[tokio::test]
async fn only_a_refusal_of_a_call_that_did_not_run_is_retried() {
    let (record, starts) = call(FakeBehaviour::RefusesOnce(outcome::RanState::No)).await;
    assert_eq!(record.outcome, record::CallOutcome::Whole);
    assert_eq!(starts, 2);
    let (record, starts) = call(FakeBehaviour::RefusesOnce(outcome::RanState::Unknown)).await;
    let is_refused = matches!(record.outcome, record::CallOutcome::Refused(_));
    assert!(is_refused, "{:?}", record.outcome);
    assert_eq!(starts, 1);
}
