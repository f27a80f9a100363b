//! Plans all calls of a run in advance from the seed.
//!
//! Arrivals are open-loop: a call starts at its planned time however slow the answers to earlier
//! ones are, and its latency is measured from that time. A closed loop, which waits for answers,
//! would send less just when the system is slow and miss the waiting time (coordinated omission).

use std::time;

use base::{class, rendezvous};
use rand::SeedableRng as _;
use rand_distr::Distribution as _;
use stand::draw;

use crate::{check, scenario};

/// One planned call.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// Intended start, as an offset from the start of the run; latency is measured from it.
    pub at: time::Duration,
    /// Index of the call's workload in the scenario.
    pub workload: usize,
    /// Traffic class that the caller requests.
    pub class: class::TrafficClass,
    /// Name of the calling organisation.
    pub organisation: String,
    /// Request that the call sends.
    pub request: PlannedRequest,
}

/// Request of one planned call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedRequest {
    /// A generation.
    Generation(PlannedGeneration),
    /// A call to a plain service.
    Service {
        /// Service name that callers use.
        service: String,
        /// Path below the service.
        path: String,
        /// Text that is unique in this run; sent as the body and as the text part of the
        /// idempotency key.
        text: String,
        /// True if the call carries an idempotency key and must run at most once.
        at_most_once: bool,
    },
}

/// One planned generation.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedGeneration {
    /// Model name that callers use.
    pub model: String,
    /// Number of prompt words shared with the organisation's other calls.
    pub shared_words: u32,
    /// Number of prompt words that only this call has.
    pub own_words: u32,
    /// Maximum number of tokens that the caller accepts. It is far above the length of most
    /// answers, so the system can infer little from it.
    pub max_tokens: u32,
    /// Actual length of the answer in tokens.
    pub output_tokens: u32,
    /// Number that is unique in the run. The stand-in engine repeats it in each token, so that an
    /// answer which belongs to another call is detected.
    pub mark: u32,
    /// Delivery mode that the caller requests.
    pub delivery: CallDelivery,
}

impl PlannedGeneration {
    /// Properties that the answer must have.
    #[must_use]
    pub const fn expected(&self) -> check::ExpectedAnswer {
        check::ExpectedAnswer {
            mark: self.mark,
            token_count: Some(self.output_tokens),
        }
    }
}

/// Delivery mode of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallDelivery {
    /// As server-sent events.
    Streamed,
    /// As one complete response.
    Whole,
    /// Accepted at once, fetched later.
    RespondAsync,
}

impl CallDelivery {
    const ALL: [Self; 3] = [Self::Streamed, Self::Whole, Self::RespondAsync];
}

/// Returns all calls of `scenario`, ordered by start.
///
/// Each workload draws from its own random stream, so that changing one workload does not change
/// the calls of the others.
#[must_use]
pub fn plan_calls(scenario: &scenario::LoadScenario) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    for (index, workload) in scenario.workloads.iter().enumerate() {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(scenario.seed);
        rng.set_stream(index as u64);
        plan_workload(scenario, index, workload, &mut rng, &mut calls);
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn plan_workload(
    scenario: &scenario::LoadScenario,
    index: usize,
    workload: &scenario::CallWorkload,
    rng: &mut rand_chacha::ChaCha8Rng,
    calls: &mut Vec<PlannedCall>,
) {
    let duration = time::Duration::from_millis(scenario.duration_ms);
    let callers = callers_of(scenario, workload);
    let mut at = 0.0;
    loop {
        let interval: f64 = rand_distr::Exp1.sample(rng);
        at += interval / workload.per_second;
        let start = time::Duration::from_secs_f64(at);
        if start >= duration {
            return;
        }
        let organisation = pick(&callers, rng).clone();
        let number = calls.len() as u32;
        calls.push(PlannedCall {
            at: start,
            workload: index,
            class: workload.class,
            organisation,
            request: plan_request(&workload.ask, number, rng),
        });
    }
}

fn callers_of(
    scenario: &scenario::LoadScenario,
    workload: &scenario::CallWorkload,
) -> Vec<(f64, String)> {
    let is_caller = |name: &String| {
        let names = workload.organisations.as_ref();
        names.is_none_or(|names| names.contains(name))
    };
    scenario
        .organisations
        .iter()
        .filter(|(name, _)| is_caller(name))
        .map(|(name, organisation)| (organisation.share, name.clone()))
        .collect()
}

/// Draws one of `choices` with a probability proportional to its weight.
fn pick<'a, T, R: rand::Rng>(choices: &'a [(f64, T)], rng: &mut R) -> &'a T {
    let total: f64 = choices.iter().map(|(weight, _)| weight).sum();
    let mut point = rand::RngExt::random::<f64>(rng) * total;
    for (weight, choice) in choices {
        point -= weight;
        if point < 0.0 {
            return choice;
        }
    }
    &choices[choices.len() - 1].1
}

fn plan_request<R: rand::Rng>(
    request: &scenario::CallRequest,
    number: u32,
    rng: &mut R,
) -> PlannedRequest {
    match request {
        scenario::CallRequest::Service(request) => PlannedRequest::Service {
            service: request.service.clone(),
            path: request.path.clone(),
            text: format!("call-{number}"),
            at_most_once: request.at_most_once,
        },
        scenario::CallRequest::Generation(request) => {
            let [streamed, whole, respond_async] = request.delivery.weights();
            let [first, second, third] = CallDelivery::ALL;
            let choices = [(streamed, first), (whole, second), (respond_async, third)];
            let prompt_tokens = request.prompt_tokens.sample(rng);
            let shared_words = request.shared_prefix_tokens.min(prompt_tokens - 1);
            PlannedRequest::Generation(PlannedGeneration {
                model: request.model.clone(),
                shared_words,
                own_words: prompt_tokens - shared_words,
                max_tokens: request.output_tokens.max_tokens(),
                output_tokens: request.output_tokens.sample(rng),
                mark: number,
                delivery: *pick(&choices, rng),
            })
        }
    }
}

/// Returns the prompt of a planned generation: the words shared within the organisation, then the
/// call's own words, then the directives for the stand-in engine.
#[must_use]
pub fn prompt_text(organisation: &str, generation: &PlannedGeneration) -> String {
    let shared = rendezvous::score(organisation, "prefix");
    let mut text = String::new();
    for word in 0..generation.shared_words {
        push_word(&mut text, draw::bits(shared, u64::from(word)));
    }
    for word in 0..generation.own_words {
        push_word(
            &mut text,
            draw::bits(u64::from(generation.mark), u64::from(word)),
        );
    }
    let (len, mark) = (generation.output_tokens, generation.mark);
    text + &format!("[[len={len}]] [[mark={mark:x}]]")
}

/// Letters of a word. With the space a word has four bytes, the average of a token of real text,
/// so that an estimate of tokens from bytes is right for these prompts.
const WORD_LETTERS: u32 = 3;

fn push_word(text: &mut String, bits: u64) {
    const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyzaeiouy";
    for letter in 0..WORD_LETTERS {
        let index = (bits >> (5 * letter)) as usize % LETTERS.len();
        text.push(char::from(LETTERS[index]));
    }
    text.push(' ');
}
