//! Reports on the requests of a service: quantiles, coverage and extra load over recent windows.
//!
//! Covered are refused requests and the change from one window to the next.

use cloverrack::report::WINDOW_MS;
use cloverrack::{Answer, Outcome, Reason, Reports};

fn answer(outcome: Outcome, covered: u32, shards: u32) -> Answer {
    let mut answer = Answer::without_results("r", outcome, Reason::Timeout);
    answer.shards = shards;
    answer.covered = (0..covered).collect();
    answer
}

/// Guards against refused requests affecting the latency or the coverage in a report, which
/// describe only requests that were served.
#[test]
fn only_served_answers_count_for_latency_and_coverage() {
    let mut reports = Reports::default();
    reports.record_answer("a/b", &answer(Outcome::Complete, 10, 10), 2_000, 0);
    reports.record_answer("a/b", &answer(Outcome::Partial, 5, 10), 2_000, 0);
    reports.record_answer("a/b", &answer(Outcome::NotRun, 0, 10), 900_000, 0);
    let report = reports.all(0).remove(0);
    assert_eq!((report.complete, report.partial, report.not_run), (1, 1, 1));
    assert_eq!(report.coverage_ppm, 750_000);
    assert!(report.p999_us < 3_000, "{report:?}");
}

/// Guards against outdated figures in a report, and against a report that is empty right after a
/// window ends. It covers the current window and the one before, so older windows have to be
/// dropped.
#[test]
fn a_report_covers_the_current_window_and_the_one_before() {
    let mut reports = Reports::default();
    reports.record_calls("a/b", 100, 110, 0);
    assert_eq!(reports.all(WINDOW_MS)[0].extra_load_ppm, 100_000);
    reports.record_calls("a/b", 100, 100, WINDOW_MS);
    assert_eq!(reports.all(WINDOW_MS)[0].extra_load_ppm, 50_000);
    assert_eq!(reports.all(2 * WINDOW_MS)[0].extra_load_ppm, 0);
    reports.record_calls("a/b", 100, 110, 2 * WINDOW_MS);
    assert_eq!(reports.all(4 * WINDOW_MS)[0].extra_load_ppm, 0);
}
