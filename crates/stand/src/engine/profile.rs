//! Capacity and cost model of one model engine.

/// Capacity, costs and behaviour of one model engine.
///
/// With the defaults, a decode step of 32 generations takes about 20 ms.
#[derive(Clone, Debug, PartialEq)]
#[derive(schemars::JsonSchema, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineProfile {
    /// Model that is loaded at the start.
    pub model: String,
    /// Version of that model.
    pub version: String,
    /// Adapters that are loaded at the start.
    pub adapters: Vec<String>,
    /// Role at the start.
    pub role: String,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Number of KV cache blocks, shared by running generations and cached prefixes.
    pub total_blocks: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Maximum number of running generations.
    pub max_batch: u32,
    /// Maximum length of prompt and output together, in tokens.
    pub context_tokens: u32,
    /// Fixed cost of a step, in microseconds.
    pub step_base_us: u64,
    /// Additional cost of a step for each decoding generation, in microseconds.
    pub step_sequence_us: u64,
    /// Cost of one uncached prompt token, in microseconds.
    pub prefill_token_us: u64,
    /// Maximum number of prompt tokens prefilled in one step, so that decoding continues meanwhile.
    pub prefill_chunk_tokens: u32,
    /// Median of the random output lengths, in tokens.
    pub output_median_tokens: f64,
    /// Standard deviation of the logarithm of the random output lengths.
    pub output_sigma: f64,
    /// Time for which an ended generation can be resumed.
    pub kept_ms: u64,
    /// Time for which the cancellation of an unknown id is remembered.
    pub tombstone_ms: u64,
    /// Age of the newest published load report.
    pub load_lag_ms: u64,
    /// Interval between load reports.
    pub load_every_ms: u64,
    /// Delay from a change of the prefix cache to the publication of its event.
    pub cache_lag_ms: u64,
    /// Probability that a cache event is lost, from 0 to 1.
    pub cache_gap_chance: f64,
    /// Time to load a model or another version of it.
    pub model_load_ms: u64,
    /// Time to load one adapter.
    pub adapter_load_ms: u64,
    /// Seed of all random values.
    pub seed: u64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            model: String::from("review-llm"),
            version: String::from("1"),
            adapters: Vec::new(),
            role: String::from("serve"),
            checks_fencing: true,
            total_blocks: 2_048,
            block_tokens: 16,
            max_batch: 32,
            context_tokens: 32_768,
            step_base_us: 12_000,
            step_sequence_us: 250,
            prefill_token_us: 50,
            prefill_chunk_tokens: 512,
            output_median_tokens: 150.0,
            output_sigma: 1.1,
            kept_ms: 60_000,
            tombstone_ms: 600_000,
            load_lag_ms: 300,
            load_every_ms: 100,
            cache_lag_ms: 500,
            cache_gap_chance: 0.02,
            model_load_ms: 2_000,
            adapter_load_ms: 200,
            seed: 0,
        }
    }
}
