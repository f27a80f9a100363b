//! The mark of a prompt is repeated in each token of the answer.

use base::id;
use stand::engine;

#[tokio::test(start_paused = true)]
async fn each_token_carries_the_mark_of_its_prompt() {
    let handle = engine::EngineHandle::spawn(engine::EngineProfile::default());
    let call = engine::StartCall {
        id: id::GenerationId(7),
        model: "review-llm".into(),
        adapter: None,
        prompt: "a dossier [[len=3]] [[mark=beef]]".into(),
        max_tokens: 100,
        priority: 1,
        seed: None,
    };
    let mut stream = handle.start(call).await.expect("the engine is idle");
    let mut tokens = Vec::new();
    while let Some(event) = stream.next().await {
        if let engine::StreamEvent::Token { text, .. } = event {
            tokens.push(engine::text::read_token(&text).expect("a token of a stand-in"));
        }
    }
    let tag = engine::text::tag(id::GenerationId(7));
    let expected = (0..3).map(|seq| engine::text::TokenText {
        tag,
        seq,
        mark: Some(0xbeef),
    });
    assert_eq!(tokens, expected.collect::<Vec<_>>());
}
