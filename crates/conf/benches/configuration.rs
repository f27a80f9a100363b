//! Measures parsing, indexing, applying changes and catch-up at the planned deployment size, in
//! bytes, milliseconds and memory.
//!
//! `cargo bench -p conf --bench configuration` prints the table of docs/MEASURES.md. Each time is
//! also printed as a ratio to the indexing time of the same run, to allow comparison between
//! machines.

use std::{
    fs, slice,
    time::{Duration, Instant},
};

use base::id;
use conf::{
    change, check, checkpoint, document, inventory, keeper, part, place, rules, sample, snapshot,
    state, transfer,
};
use serde_json::json;

/// Number of runs of each measurement; the median is reported.
const RUNS: usize = 5;
/// Maximum number of changes after the newest checkpoint with the keeper's default settings.
const TAIL_RECORDS: u64 = 128;

fn main() {
    let configuration = sample::configuration(sample::SampleSize::PLANNED);
    measure_memory(&configuration);
    let state = first_state(&configuration);
    let tail = tail(&state);
    measure_bytes(&configuration, &checkpoint::encode(&state), &tail);
    let previous = state.snapshot(&snapshot::ConfigSnapshot::default());
    let table = TimeTable {
        indexing: median(|| drop(state.snapshot(&previous))),
    };
    let organisations = configuration.inventory.organisations.len();
    println!("| step, {organisations} organisations | time | to indexing |");
    println!("| --- | --- | --- |");
    table.show("index a revision", table.indexing);
    measure_files(&table, &configuration);
    measure_changes(&table, &state, &tail);
    measure_catch_up(&table, &state, &tail);
}

/// Prints durations and their ratio to the indexing time.
struct TimeTable {
    indexing: Duration,
}

impl TimeTable {
    fn show(&self, name: &str, duration: Duration) {
        let ratio = duration.as_secs_f64() / self.indexing.as_secs_f64();
        println!(
            "| {name} | {:.1} ms | {ratio:.3} |",
            duration.as_secs_f64() * 1e3
        );
    }
}

fn measure_files(table: &TimeTable, configuration: &document::Configuration) {
    let check = median(|| check::check(configuration).expect("valid"));
    table.show("check a whole configuration", check);
    let (inventory, rules) = files(configuration);
    table.show(
        "read and check both files",
        median(|| drop(parse(&inventory, &rules))),
    );
    table.show(
        "apply the first change, in parts",
        median(|| drop(first_state(configuration))),
    );
}

fn measure_changes(table: &TimeTable, state: &state::ConfigState, tail: &[Vec<u8>]) {
    table.show(
        "difference of two revisions",
        median(|| drop(difference(state))),
    );
    let mut changing = state.clone();
    replay(&mut changing, &tail[..1]);
    let apply = |record: &Vec<u8>| timed(|| replay(&mut changing, slice::from_ref(record)));
    let durations: Vec<Duration> = tail[1..].iter().map(apply).collect();
    let every_other = |first| median_of(durations.iter().skip(first).step_by(2).copied().collect());
    table.show("apply a change of one organisation's rule", every_other(1));
    table.show(
        "apply a change of one organisation in the inventory",
        every_other(0),
    );
}

fn measure_catch_up(table: &TimeTable, state: &state::ConfigState, tail: &[Vec<u8>]) {
    let records = checkpoint::records(state, part::MAX_PART_BYTES);
    let write = median(|| drop(checkpoint::records(state, part::MAX_PART_BYTES)));
    table.show("write a checkpoint", write);
    table.show("read a checkpoint", median(|| drop(found(&records))));
    let given = transfer::StateTransfer::new(state, keeper::LogCover::default());
    table.show(
        "take a state over from a VM",
        median(|| drop(given.state())),
    );
    let catch_up = median(|| catch_up(&records, tail));
    table.show("catch up: checkpoint, 128 changes, index", catch_up);
}

fn parse(inventory: &str, rules: &str) -> document::Configuration {
    let source = |text| place::SourceText {
        file: "bench",
        text,
    };
    document::parse(source(inventory), source(rules)).expect("valid")
}

fn files(configuration: &document::Configuration) -> (String, String) {
    let inventory: &inventory::Inventory = &configuration.inventory;
    let rules: &rules::RuleSet = &configuration.rules;
    let text = |value| serde_json::to_string_pretty(&value).expect("serializable");
    let value = |result: Result<serde_json::Value, _>| result.expect("serializable");
    (
        text(value(serde_json::to_value(inventory))),
        text(value(serde_json::to_value(rules))),
    )
}

fn first_state(configuration: &document::Configuration) -> state::ConfigState {
    let patch = change::difference(&document::Configuration::default(), configuration);
    let mut state = state::ConfigState::new();
    let records = changed(1, 0, patch).records();
    replay(&mut state, &records);
    assert_eq!(state.revision(), 1);
    state
}

fn changed(id: u128, base_revision: u64, patch: serde_json::Value) -> change::ConfigChange {
    let (author, comment) = ("operator-1".to_owned(), "bench".to_owned());
    change::ConfigChange {
        id: id::RecordId(id),
        base_revision,
        author,
        comment,
        patch,
    }
}

/// Records of changes on top of `state`, each of one organisation, alternating between the rules
/// and the inventory.
fn tail(state: &state::ConfigState) -> Vec<Vec<u8>> {
    let record = |number: u64| {
        let name = sample::organisation_name(usize::try_from(number).expect("small") * 7);
        let patch = if number.is_multiple_of(2) {
            json!({"rules": {"organisations": {name: {"weight": 3.0}}}})
        } else {
            json!({"inventory": {"organisations": {name: {"region": "region-0"}}}})
        };
        changed(u128::from(number) + 2, state.revision() + number, patch)
            .records()
            .remove(0)
    };
    (0..TAIL_RECORDS).map(record).collect()
}

fn replay(state: &mut state::ConfigState, records: &[Vec<u8>]) {
    for record in records {
        let verdict = state.apply(state.offset(), record);
        let is_applied = matches!(
            verdict,
            state::ApplyVerdict::Accepted { .. } | state::ApplyVerdict::Part
        );
        assert!(is_applied, "{verdict:?}");
    }
}

fn difference(state: &state::ConfigState) -> serde_json::Value {
    let mut next = document::Configuration::clone(state.configuration());
    next.rules.retries.max_tries += 1;
    change::difference(state.configuration(), &next)
}

fn found(records: &[Vec<u8>]) -> state::ConfigState {
    let mut search = checkpoint::CheckpointSearch::default();
    let mut offset = 1_000;
    for record in records {
        offset += 1;
        if let Some(found) = search.add(offset, record).expect("valid checkpoint") {
            return found.state;
        }
    }
    panic!("the checkpoint is incomplete");
}

fn catch_up(records: &[Vec<u8>], tail: &[Vec<u8>]) {
    let mut state = found(records);
    replay(&mut state, tail);
    drop(state.snapshot(&snapshot::ConfigSnapshot::default()));
}

fn measure_bytes(configuration: &document::Configuration, text: &str, tail: &[Vec<u8>]) {
    let organisations = configuration.inventory.organisations.len();
    println!("| what travels | bytes |\n| --- | --- |");
    println!("| whole state | {} |", text.len());
    println!(
        "| of it for one organisation | {} |",
        text.len() / organisations
    );
    println!(
        "| records of a checkpoint | {} |",
        text.len().div_ceil(part::MAX_PART_BYTES)
    );
    println!("| change of one organisation | {} |", tail[0].len());
    println!(
        "| share of the whole | {:.6} |\n",
        tail[0].len() as f64 / text.len() as f64
    );
}

/// Measures the growth of resident memory, including allocator overhead. This must run first in the
/// process, so that memory freed earlier does not hide the growth.
fn measure_memory(configuration: &document::Configuration) {
    let organisations = configuration.inventory.organisations.len() as u64;
    let before = resident_bytes();
    let shared = std::sync::Arc::new(configuration.clone());
    let held = resident_bytes();
    let snapshot = snapshot::ConfigSnapshot::default().next(1, 1, shared);
    let indexed = resident_bytes();
    println!("| memory | bytes | for one organisation |\n| --- | --- | --- |");
    let (held, indexed) = (held - before, indexed - held);
    println!("| the configuration | {held} | {} |", held / organisations);
    println!("| its index | {indexed} | {} |\n", indexed / organisations);
    drop(snapshot);
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kibibytes
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0_u64)
        * 1_024
}

fn median(mut run: impl FnMut()) -> Duration {
    median_of((0..RUNS).map(|_| timed(&mut run)).collect())
}

fn median_of(mut durations: Vec<Duration>) -> Duration {
    durations.sort_unstable();
    durations[durations.len() / 2]
}

fn timed(run: impl FnOnce()) -> Duration {
    let start = Instant::now();
    run();
    start.elapsed()
}
