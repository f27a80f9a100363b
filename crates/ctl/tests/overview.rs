//! The overview fits a terminal of 80 columns, whatever the names in it.

use arbtest::arbitrary;
use base::{class, id, ops};
use ctl::{attention, overview, table};
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use unicode_width::UnicodeWidthStr as _;

type Source<'a> = arbitrary::Unstructured<'a>;

fn text(source: &mut Source<'_>) -> arbitrary::Result<String> {
    const CHARACTERS: [&str; 9] = [
        "a",
        "-",
        "é",
        "漢",
        "🚌",
        "\u{1b}[2J",
        "\n",
        "\u{301}",
        "\u{202e}",
    ];
    let mut text = String::new();
    for _ in 0..source.int_in_range(0..=60)? {
        text.push_str(source.choose(&CHARACTERS)?);
    }
    Ok(text)
}

fn number(source: &mut Source<'_>) -> arbitrary::Result<u64> {
    Ok(*source.choose(&[0, 1, 999, 60_000, 123_456_789, u64::MAX])?)
}

fn state(source: &mut Source<'_>) -> arbitrary::Result<ops::HealthState> {
    use ops::HealthState as State;
    Ok(*source.choose(&[
        State::Unknown,
        State::Up,
        State::Suspect,
        State::Dead,
        State::Leaving,
    ])?)
}

fn several<'a, T, F>(source: &mut Source<'a>, make: F) -> arbitrary::Result<Vec<T>>
where
    F: Fn(&mut Source<'a>) -> arbitrary::Result<T>,
{
    let count: u32 = source.int_in_range(0..=20)?;
    (0..count).map(|_| make(source)).collect()
}

fn member(source: &mut Source<'_>) -> arbitrary::Result<ops::MemberStatus> {
    Ok(ops::MemberStatus {
        vm: text(source)?,
        region: text(source)?,
        failure_domain: text(source)?,
        address: text(source)?,
        state: state(source)?,
        incarnation: None,
        revision: source.ratio(1, 2)?.then(|| number(source)).transpose()?,
        heard_ms_ago: source.ratio(1, 2)?.then(|| number(source)).transpose()?,
        version: source.ratio(1, 2)?.then(|| text(source)).transpose()?,
    })
}

fn server(source: &mut Source<'_>) -> arbitrary::Result<ops::ServerStatus> {
    let name = text(source)?;
    Ok(ops::ServerStatus {
        server: name.clone(),
        failure_domain: text(source)?,
        role: ops::ServerRole::ModelEngine,
        state: state(source)?,
        serves: vec![ops::LoadedModel {
            name,
            version: String::new(),
            adapters: Vec::new(),
        }],
        running: u32::MAX,
        waiting: source.arbitrary()?,
        free_blocks: source.arbitrary()?,
        total_blocks: source.arbitrary()?,
        preemptions: number(source)?,
        report_age_ms: source.ratio(1, 2)?.then(|| number(source)).transpose()?,
    })
}

fn placement(source: &mut Source<'_>) -> arbitrary::Result<ops::PlacementStatus> {
    Ok(ops::PlacementStatus {
        model: text(source)?,
        wanted_version: text(source)?,
        min_engines: source.arbitrary()?,
        ready: several(source, text)?,
        outdated: several(source, text)?,
        loading: several(source, text)?,
        blocked: source.ratio(1, 2)?.then(|| text(source)).transpose()?,
    })
}

fn status(source: &mut Source<'_>) -> arbitrary::Result<ops::StatusBody> {
    Ok(ops::StatusBody {
        vm: text(source)?,
        region: text(source)?,
        failure_domain: text(source)?,
        incarnation: id::Incarnation(1),
        version: text(source)?,
        now_ms: source.int_in_range(0..=u64::MAX >> 16)?,
        readiness: ops::ReadyState::Starting,
        configuration: ops::ConfigurationStatus {
            revision: number(source)?,
            in_force_ms: number(source)?,
            source: text(source)?,
            ..ops::ConfigurationStatus::default()
        },
        log: several(source, |source| {
            Ok(ops::LogStatus {
                stream: text(source)?,
                reachable: source.arbitrary()?,
                answered_ms_ago: None,
                next_offset: number(source)?,
            })
        })?,
        members: several(source, member)?,
        servers: several(source, server)?,
        placement: several(source, placement)?,
        queues: vec![ops::QueueStatus {
            class: class::TrafficClass::Deferrable,
            waiting: u32::MAX,
            running: u32::MAX,
            oldest_ms: number(source)?,
            taken: u64::MAX,
            refused: u64::MAX,
        }],
        leases: Vec::new(),
        quarantine: Vec::new(),
        journal: ops::JournalStatus::default(),
    })
}

#[test]
fn overview_fits_80_columns_for_odd_input() {
    // Guards against an overview that wraps its lines or clears the terminal: a name is very long,
    // has wide characters or contains an escape sequence, and text is measured in bytes or
    // characters and printed unchanged.
    for seed in 0..200 {
        let mut bytes = vec![0; 65_536];
        rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let status = status(&mut Source::new(&bytes)).expect("enough bytes");
        let shown = overview::render(&status);
        for line in shown.split_terminator('\n') {
            let width = line.width();
            assert!(
                width <= table::TERMINAL_COLUMNS,
                "seed {seed}: {width} columns: {line:?}"
            );
            assert!(!line.chars().any(char::is_control), "seed {seed}: {line:?}");
        }
        assert!(attention::lines(&status).len() <= 14, "seed {seed}");
    }
}

#[test]
fn table_narrows_its_widest_column() {
    let mut table = table::TextTable::new(&["name", "state", "count"]);
    table.row(vec!["x".repeat(200), "up".to_owned(), "17".to_owned()]);
    let shown = table.render();
    let row = shown.lines().nth(1).unwrap();
    assert_eq!(row.width(), table::TERMINAL_COLUMNS);
    assert!(row.contains('…') && row.ends_with("   up     17"), "{row}");
}
