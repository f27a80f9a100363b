//! Tests of saving, reading, comparing and plotting reports.

use std::{env, fs, time};

use base::class;
use load::{check, compare, measure, plot, record, report};

fn measured(stall_ms: u64) -> measure::RunMeasure {
    let mut measure = measure::RunMeasure::default();
    let step = time::Duration::from_millis(20);
    for call in 0..200_u64 {
        let mut record = record::CallRecord::begin(0, class::TrafficClass::Urgent);
        record.add_token(time::Duration::from_millis(stall_ms + call % 7), step, step);
        record.add_token(
            time::Duration::ZERO,
            step + time::Duration::from_millis(1),
            step,
        );
        measure.add(&record);
    }
    measure
}

fn reported(stall_ms: u64) -> report::RunReport {
    report::RunReport::of("small", 3, 1_000, &measured(stall_ms))
}

#[test]
fn stall_time_is_the_wait_for_the_first_token_plus_time_beyond_the_step() {
    let measure = measured(50);
    let stall = &measure.classes[&class::TrafficClass::Urgent].stall;
    assert!(
        (51.0..=57.1).contains(&stall.quantile_ms(0.5)),
        "{}",
        stall.quantile_ms(0.5)
    );
    assert!(
        (57.0..57.2).contains(&stall.quantile_ms(1.0)),
        "{}",
        stall.quantile_ms(1.0)
    );
}

#[test]
fn a_saved_report_is_read_back_unchanged_and_plotted() {
    let directory = env::temp_dir().join(format!("pollenload-report-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("a directory for the test");
    let report = reported(50);
    let path = directory.join("run.json");
    report.save(&path).expect("the report is written");
    assert_eq!(
        report::RunReport::read(&path).expect("the report is read"),
        report
    );
    let plot_path = directory.join("run.svg");
    plot::draw_report(&report, &plot_path).expect("the plot is drawn");
    let svg = fs::read_to_string(&plot_path).expect("the plot file exists");
    assert!(
        svg.contains("urgent") && svg.contains("stall time"),
        "{svg:.300}"
    );
    fs::remove_dir_all(&directory).expect("the directory is removed");
}

#[test]
fn a_longer_stall_is_worse_and_a_shorter_one_better() {
    let thresholds = compare::CompareThresholds::default();
    let verdict = |before, after| {
        let (before, after) = (reported(before), reported(after));
        compare::RunComparison::of(&before, &after, thresholds).verdict()
    };
    assert_eq!(verdict(50, 52), compare::CompareVerdict::Same);
    assert_eq!(verdict(50, 90), compare::CompareVerdict::Worse);
    assert_eq!(verdict(90, 50), compare::CompareVerdict::Better);
}

#[test]
fn an_additional_broken_answer_is_worse_regardless_of_times() {
    let mut measure = measured(20);
    let seen = "token 3 came again".to_owned();
    measure.add_error(
        class::TrafficClass::Urgent,
        &check::AnswerError::Doubled { seen },
    );
    let after = report::RunReport::of("small", 3, 1_000, &measure);
    let comparison =
        compare::RunComparison::of(&reported(90), &after, compare::CompareThresholds::default());
    assert_eq!(comparison.verdict(), compare::CompareVerdict::Worse);
    assert_eq!(after.broken(), 1);
}
