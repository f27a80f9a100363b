//! Models on engines: a new version is rolled out while requests go on.

mod env;

use std::time::Duration;

use stand::engine::EngineHandle;

/// Versions that engines have ready, one for each that serves.
fn versions(env: &env::TestEnv) -> Vec<String> {
    let reports = env.site.engines.values().map(EngineHandle::report);
    reports
        .flat_map(|report| report.models)
        .map(|model| model.version)
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_is_rolled_out_and_enough_engines_serve_at_any_moment() {
    // Symptom: a rollout takes a model off more engines than it may, and callers are refused.
    // Sequence: a change wants another version; several entry VMs compare and order at once.
    // Cause: orders of VMs that each count the same engines as free to change.
    let env = env::TestEnv::start(3).await;
    let least = env.site.configuration.inventory.models["review-llm"].min_engines as usize;
    let all = env.site.engines.len();
    assert!(least < all && least > 0);
    let patch = serde_json::json!({
        "inventory": { "models": { "review-llm": { "version": "2026-01" } } }
    });
    assert_eq!(env.change(0, 1, patch).await.status().as_u16(), 200);
    let chat = serde_json::json!({
        "model": "review-llm",
        "max_tokens": 20,
        "messages": [{ "role": "user", "content": "is badge 7 valid [[len=3]]" }],
    });
    for _ in 0..1_200 {
        let serving = versions(&env);
        assert!(
            serving.len() >= least,
            "{} engines serve, {least} must",
            serving.len()
        );
        let new = serving
            .iter()
            .filter(|version| *version == "2026-01")
            .count();
        let answer = env.post(1, "/v1/chat/completions", &chat).await;
        assert_eq!(answer.status().as_u16(), 200);
        if new == all {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the version is on {:?} only", versions(&env));
}
