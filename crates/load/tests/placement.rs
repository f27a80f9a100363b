//! Tests of model placement: a new version is rolled out while requests continue.

mod env;

use std::time::Duration;

use stand::engine::EngineHandle;

/// Returns the model versions that engines have loaded, one for each serving engine.
fn versions(env: &env::TestEnv) -> Vec<String> {
    let reports = env.site.engines.values().map(EngineHandle::report);
    reports
        .flat_map(|report| report.models)
        .map(|model| model.version)
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_keeps_the_minimum_number_of_engines_serving() {
    // Guards against a rollout that unloads a model from too many engines, so that callers are
    // refused. A change requests another version and several entry VMs send orders concurrently,
    // each of which may count the same engines as free to change.
    let env = env::TestEnv::start(3).await;
    let min_engines = env.site.configuration.inventory.models["review-llm"].min_engines as usize;
    let all = env.site.engines.len();
    assert!(min_engines < all && min_engines > 0);
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
            serving.len() >= min_engines,
            "{} engines serve, the minimum is {min_engines}",
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
    panic!(
        "the rollout did not finish; engines serve {:?}",
        versions(&env)
    );
}
