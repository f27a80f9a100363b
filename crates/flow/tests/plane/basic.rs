//! Requests through the plane without faults.

use flow::plane;

use crate::{callers, cluster};

#[test]
fn a_stream_arrives_complete() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let reply = callers::generate(&cluster.planes[0], callers::chat(7, 20, true, "")).await;
        let Ok(plane::GenerationReply::Stream(mut reply)) = reply else {
            panic!("no stream: {reply:?}");
        };
        let mut transcript = callers::Transcript::default();
        transcript.read(&mut reply.stream, usize::MAX).await;
        transcript.check(7, 20);
        assert!(transcript.done, "{transcript:?}");
    });
}

#[test]
fn a_non_streamed_answer_arrives_complete() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let reply = callers::generate(&cluster.planes[0], callers::chat(8, 20, false, "")).await;
        let Ok(plane::GenerationReply::Complete { body, .. }) = reply else {
            panic!("no answer: {reply:?}");
        };
        let mut transcript = callers::Transcript::default();
        transcript.read_complete(&body);
        transcript.check(8, 20);
    });
}

#[test]
fn an_unknown_key_is_refused_as_not_run() {
    cluster::run_paused(async {
        let cluster = cluster::TestCluster::new(&cluster::ClusterOptions::default());
        let mut headers = callers::headers();
        headers.api_key = Some("nobody's".to_owned());
        let body = callers::chat(9, 5, true, "");
        let api = flow::body::CompletionApi::Chat;
        let refused = cluster.planes[0]
            .generate(headers, api, body)
            .await
            .unwrap_err();
        assert_eq!(
            refused.body.code,
            base::refusal::RefusalCode::Unauthenticated
        );
        assert_eq!(refused.body.ran, base::outcome::RanState::No);
    });
}
