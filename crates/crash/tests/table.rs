//! Properties of the evidence and of what follows from it.

use std::{collections, time::Duration};

use crash::{
    table::{self, ContentStanding},
    verdict,
};

/// Content of two widths: requests, and parts that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TestContent {
    Request(u8),
    Part(u8),
}

impl verdict::SuspectContent for TestContent {
    fn min_crashes(&self) -> usize {
        match self {
            Self::Request(_) => 2,
            Self::Part(_) => 3,
        }
    }

    fn max_tied_crashes(&self) -> usize {
        match self {
            Self::Request(_) => 3,
            Self::Part(_) => 5,
        }
    }

    fn min_late_crashes(&self) -> usize {
        match self {
            Self::Request(_) => 3,
            Self::Part(_) => 5,
        }
    }

    fn breadth(&self) -> u8 {
        match self {
            Self::Request(_) => 0,
            Self::Part(_) => 1,
        }
    }
}

type TestTable = table::SuspectTable<u8, TestContent>;
type TestDeath = table::DeathRecord<u8, TestContent>;

use TestContent::{Part, Request};

fn limits() -> table::SuspectLimits {
    table::SuspectLimits {
        suspected_for: Duration::from_secs(20),
        quarantined_for: Duration::from_mins(5),
        tied_for: Duration::from_mins(1),
        cleared_for: Duration::from_secs(30),
        max_deaths: 16,
        max_contents: 32,
        ..table::SuspectLimits::default()
    }
}

fn death(server: u8, at_ms: u64, contents: &[TestContent]) -> TestDeath {
    TestDeath {
        server,
        at_ms,
        contents: contents.iter().copied().collect(),
        late: collections::BTreeSet::new(),
    }
}

fn table_of(deaths: &[TestDeath]) -> TestTable {
    let mut table = TestTable::new(limits());
    for death in deaths {
        table.record_death(death.clone());
    }
    table
}

fn is_quarantined(table: &TestTable, content: TestContent, now_ms: u64) -> bool {
    table.quarantine(&[content], now_ms).is_some()
}

/// Checks a property for `count` fixed seeds.
fn for_seeds(
    count: u64,
    property: impl Fn(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    for number in 0..count {
        let seed = (number.wrapping_mul(0x9E37_79B9) << 32) | 1_024;
        arbtest::arbtest(&property).seed(seed).run();
    }
}

fn draw_death(u: &mut arbitrary::Unstructured<'_>, number: u8) -> arbitrary::Result<TestDeath> {
    let mut contents = collections::BTreeSet::new();
    let mut late = collections::BTreeSet::new();
    for _ in 0..u.int_in_range(1..=4)? {
        let request = u.arbitrary()?;
        let name = u.int_in_range(0..=5)?;
        let content = if request { Request(name) } else { Part(name) };
        contents.insert(content);
        if u.arbitrary()? {
            late.insert(content);
        }
    }
    Ok(TestDeath {
        server: number,
        at_ms: 1_000 + u.int_in_range(0..=60)? * 1_000,
        contents,
        late,
    })
}

#[test]
fn tables_that_merge_in_any_order_agree() {
    for_seeds(400, |u| {
        let mut records = Vec::new();
        let mut others = Vec::new();
        for number in 0..u.int_in_range(1..=7)? {
            records.push(table::SuspectDigest {
                deaths: vec![draw_death(u, number)?],
                cleared: Vec::new(),
            });
            if u.arbitrary()? {
                // Another VM's record of the same death.
                let at_ms = records[usize::from(number)].deaths[0].at_ms;
                let other = TestDeath {
                    at_ms,
                    ..draw_death(u, number)?
                };
                others.push(table::SuspectDigest {
                    deaths: vec![other],
                    cleared: Vec::new(),
                });
            }
        }
        records.append(&mut others);
        for _ in 0..u.int_in_range(0..=4)? {
            let name = u.int_in_range(0..=5)?;
            let record = table::ClearedRecord {
                content: if u.arbitrary()? {
                    Request(name)
                } else {
                    Part(name)
                },
                at_ms: u.int_in_range(0..=60)? * 1_000,
                extent: match u.arbitrary()? {
                    true => table::RunExtent::Whole,
                    false => table::RunExtent::Beginning,
                },
            };
            records.push(table::SuspectDigest {
                deaths: Vec::new(),
                cleared: vec![record],
            });
        }
        let (mut one, mut other) = (TestTable::new(limits()), TestTable::new(limits()));
        for record in &records {
            one.merge(record.clone());
        }
        while !records.is_empty() {
            let index = u.choose_index(records.len())?;
            other.merge(records.swap_remove(index));
        }
        other.merge(one.digest());
        for name in 0..=5 {
            for content in [Request(name), Part(name)] {
                for now_ms in [62_000, 90_000, 400_000] {
                    let standing = one.standing(content, now_ms);
                    assert_eq!(standing, other.standing(content, now_ms));
                }
            }
        }
        Ok(())
    });
}

#[test]
fn the_request_that_was_at_all_crashes_is_their_cause() {
    // Guards against sound requests that are refused since they ran beside the cause at two crashes.
    for_seeds(400, |u| {
        let mut table = TestTable::new(limits());
        let crashes = u.int_in_range(3..=8)?;
        for number in 0..crashes {
            let mut contents = vec![Request(0)];
            // Each sound request misses at least one crash.
            for sound in 1..=5 {
                if number % crashes != sound % crashes && u.arbitrary()? {
                    contents.push(Request(sound));
                }
            }
            table.record_death(death(number, 1_000 + u64::from(number) * 1_000, &contents));
        }
        assert!(is_quarantined(&table, Request(0), 12_000));
        for sound in 1..=5 {
            let standing = table.standing(Request(sound), 12_000);
            assert_eq!(standing, ContentStanding::Clear, "explained by the cause");
        }
        Ok(())
    });
}

#[test]
fn one_crash_identifies_nothing() {
    let table = table_of(&[death(1, 1_000, &[Request(1), Part(1)])]);
    assert_eq!(
        table.standing(Request(1), 2_000),
        ContentStanding::Suspect { deaths: 1 }
    );
    assert!(!is_quarantined(&table, Part(1), 2_000));
}

#[test]
fn a_part_that_different_requests_share_is_the_cause() {
    let crashes = |count: u8| {
        let deaths: Vec<_> = (0..count)
            .map(|number| {
                let at_ms = 1_000 + u64::from(number) * 1_000;
                death(
                    number,
                    at_ms,
                    &[Request(number), Part(7), Part(10 + number)],
                )
            })
            .collect();
        table_of(&deaths)
    };
    assert!(!is_quarantined(&crashes(2), Part(7), 5_000));
    let table = crashes(3);
    assert!(is_quarantined(&table, Part(7), 5_000));
    for innocent in [Request(0), Part(10), Part(12)] {
        assert_eq!(table.standing(innocent, 5_000), ContentStanding::Clear);
    }
}

#[test]
fn what_had_made_progress_needs_more_crashes() {
    // Guards against sound streams that are refused since two servers crashed by themselves under
    // them.
    let late = |number: u8, content| TestDeath {
        late: [content].into(),
        ..death(number, 1_000 + u64::from(number) * 1_000, &[content])
    };
    let mut table = table_of(&[late(1, Request(1)), late(2, Request(1))]);
    assert!(!is_quarantined(&table, Request(1), 5_000));
    table.record_death(late(3, Request(1)));
    assert!(is_quarantined(&table, Request(1), 5_000));
    let parts: Vec<_> = (1..5).map(|number| late(number, Part(1))).collect();
    let mut table = table_of(&parts);
    assert!(!is_quarantined(&table, Part(1), 6_000));
    table.record_death(death(5, 6_000, &[Part(1)]));
    assert!(is_quarantined(&table, Part(1), 6_000));
    let parts = (0..9).map(|number| TestDeath {
        at_ms: 1_000 + u64::from(number) * 200,
        ..late(number, Part(1))
    });
    let mut table = table_of(&parts.collect::<Vec<_>>());
    assert!(!is_quarantined(&table, Part(1), 3_000), "all in 1.6 s");
    table.record_death(late(10, Part(1)));
    assert!(is_quarantined(&table, Part(1), 11_000));
    let mut table = table_of(&[late(1, Request(1)), death(2, 3_000, &[Request(1)])]);
    assert!(!is_quarantined(&table, Request(1), 5_000));
    table.record_death(death(1, 2_000, &[Request(1)]));
    assert!(
        is_quarantined(&table, Request(1), 5_000),
        "early at another VM"
    );
}

#[test]
fn one_request_is_the_cause_rather_than_its_parts() {
    let contents = [Request(1), Part(1), Part(2)];
    let deaths: Vec<_> = (0..4)
        .map(|number| death(number, 1_000 + u64::from(number), &contents))
        .collect();
    let table = table_of(&deaths);
    assert!(is_quarantined(&table, Request(1), 5_000));
    assert!(!is_quarantined(&table, Part(1), 5_000));
    assert!(!is_quarantined(&table, Part(2), 5_000));
}

#[test]
fn content_that_runs_well_is_not_the_cause() {
    // Guards against a part of all prompts, which is at each crash, that is taken for the cause.
    let mut table = TestTable::new(limits());
    table.clear(Part(1), 1_000);
    for number in 0..3 {
        let at_ms = 40_000 + u64::from(number) * 1_000;
        table.record_death(death(number, at_ms, &[Request(number), Part(1), Part(2)]));
    }
    assert!(is_quarantined(&table, Part(2), 45_000));
    assert!(!is_quarantined(&table, Part(1), 45_000), "ran well once");
    table.clear(Part(2), 46_000);
    assert!(!is_quarantined(&table, Part(2), 46_000));
    for number in 3..6 {
        let at_ms = 50_000 + u64::from(number) * 1_000;
        table.record_death(death(number, at_ms, &[Request(number), Part(2)]));
    }
    assert!(
        !is_quarantined(&table, Part(2), 57_000),
        "ran well 10 s before"
    );
}

#[test]
fn what_has_all_tied_contents_is_refused() {
    // Guards against requests that go on crashing servers while two of their parts are tied, and
    // against sound ones that are refused since they share one of the two.
    let crash = |number: u8, parts: &[TestContent]| {
        let mut contents = vec![Request(number)];
        contents.extend(parts);
        death(number, 1_000 + u64::from(number) * 1_000, &contents)
    };
    let both = [Part(1), Part(2)];
    let mut deaths: Vec<_> = (0..3).map(|number| crash(number, &both)).collect();
    let table = table_of(&deaths);
    let is_refused = |table: &TestTable, contents: &[TestContent], now_ms| {
        table.quarantine(contents, now_ms).is_some()
    };
    assert!(is_refused(&table, &[Request(9), Part(1), Part(2)], 10_000));
    assert!(
        !is_refused(&table, &[Request(9), Part(1), Part(2)], 304_000),
        "ended"
    );
    for one in both {
        assert!(
            !is_refused(&table, &[Request(9), one], 10_000),
            "it will tell"
        );
    }
    deaths.push(crash(3, &[Part(2)]));
    let table = table_of(&deaths);
    assert!(
        is_refused(&table, &[Request(9), Part(2)], 10_000),
        "it told"
    );
    assert!(!is_refused(&table, &[Request(9), Part(1)], 10_000));
}

#[test]
fn tied_requests_are_refused_from_their_third_crash() {
    // Guards against requests whose crashes coincide, so that none of them is identified, and against
    // a sound one that is refused for long with them.
    let both = [Request(1), Request(2)];
    let deaths: Vec<_> = (0..3)
        .map(|number| death(number, 1_000 + u64::from(number) * 1_000, &both))
        .collect();
    let table = table_of(&deaths[..2]);
    assert!(!is_quarantined(&table, Request(1), 3_000), "it will tell");
    let mut table = table_of(&deaths);
    for tied in both {
        assert!(is_quarantined(&table, tied, 62_999));
        assert!(!is_quarantined(&table, tied, 63_000), "tried again");
    }
    table.record_death(death(3, 64_000, &[Request(1)]));
    assert!(is_quarantined(&table, Request(1), 70_000), "it told");
    assert_eq!(
        table.standing(Request(2), 70_000),
        ContentStanding::Clear,
        "explained"
    );
    let mut table = table_of(&deaths);
    table.record_death(death(3, 64_000, &both));
    assert!(is_quarantined(&table, Request(2), 363_999), "tied again");
}

#[test]
fn a_crash_that_has_a_cause_still_speaks_against_another_one() {
    // Guards against a second cause that starts from nothing when the first one is found.
    let mut table = table_of(&[
        death(1, 1_000, &[Request(1), Request(2)]),
        death(2, 2_000, &[Request(1), Request(2)]),
        death(3, 3_000, &[Request(1)]),
        death(4, 3_500, &[Request(1)]),
    ]);
    assert!(is_quarantined(&table, Request(1), 4_000));
    assert!(!is_quarantined(&table, Request(2), 4_000));
    table.record_death(death(5, 5_000, &[Request(2), Request(3)]));
    assert!(is_quarantined(&table, Request(2), 6_000));
    assert!(!is_quarantined(&table, Request(3), 6_000), "at one crash");
}

#[test]
fn a_quarantine_ends_however_often_its_records_are_merged() {
    let deaths = [
        death(1, 1_000, &[Request(1)]),
        death(2, 2_000, &[Request(1)]),
    ];
    let mut table = table_of(&deaths);
    let digest = table.digest();
    for second in 2..302 {
        assert!(is_quarantined(&table, Request(1), second * 1_000 - 1));
        table.merge(digest.clone());
        table.expire(second * 1_000);
    }
    assert!(!is_quarantined(&table, Request(1), 302_000));
    let again = death(3, 310_000, &[Request(1)]);
    table.record_death(again);
    assert!(
        is_quarantined(&table, Request(1), 311_000),
        "at the next one"
    );
    table.expire(902_001);
    table.expire(1_210_001);
    assert_eq!(table.digest(), table::SuspectDigest::default());
}

#[test]
fn a_death_counts_only_while_no_answer_refutes_it() {
    let contents = [Request(1)];
    let deaths = [death(1, 1_000, &contents), death(2, 2_000, &contents)];
    let mut table = table_of(&deaths);
    assert!(!table.record_answer(&1, 900), "sent before");
    assert!(!table.record_answer(&1, 1_100), "clocks may differ");
    assert!(!table.record_answer(&1, 4_000), "a successor");
    assert!(is_quarantined(&table, Request(1), 5_000));
    assert!(table.record_answer(&1, 1_500));
    assert!(!table.record_answer(&1, 1_600), "known");
    assert!(!is_quarantined(&table, Request(1), 5_000));
}

#[test]
fn a_second_refuted_death_of_a_server_does_not_restore_the_first() {
    // Guards against sound content that is refused after a link to one server was cut several times.
    const SOUND: TestContent = Request(1);
    let mut table = TestTable::new(limits());
    for round in 0..4 {
        let at_ms = 1_000 + 5_000 * round;
        table.record_death(death(1, at_ms, &[SOUND]));
        assert!(table.record_answer(&1, at_ms + 500));
        assert_eq!(table.against(SOUND).count(), 0, "after round {round}");
    }
}

#[test]
fn the_table_is_bounded_and_keeps_the_newest() {
    let mut table = TestTable::new(limits());
    for number in 0..200_u8 {
        let contents: Vec<_> = (0..100).map(|name| Request(name ^ number)).collect();
        table.record_death(death(number, 1_000 + u64::from(number) * 10, &contents));
    }
    let old = death(201, 500, &[Request(1)]);
    assert!(!table.record_death(old), "older than all");
    let kept: Vec<_> = table.deaths().map(|death| death.server).collect();
    assert_eq!(kept, (184..200).collect::<Vec<_>>());
    assert!(table.deaths().all(|death| death.contents.len() == 32));
}
