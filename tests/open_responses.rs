//! Which of the responses that are being sent are cut off.

use cloverrack::http_server::{CutOffCause, OpenResponses};

const LIMIT_BYTES: usize = 1_000;

/// Guards against cutting off callers that read, and newer responses before older ones, when the memory is used
/// up.
#[test]
fn the_longest_without_progress_is_cut_off_first() {
    let mut responses = OpenResponses::new(LIMIT_BYTES);
    let steady = responses.add("steady", 250, 0);
    responses.add("older", 250, 100);
    responses.add("newer", 250, 200);
    responses.add("newest", 250, 2_500);
    assert!(!responses.has_room());
    responses.record_progress(steady, 2_000);
    assert!(responses.take_cut_off(2_600).is_empty(), "at the limit");
    responses.add("above", 250, 2_600);
    let taken = responses.take_cut_off(2_600);
    assert_eq!(taken.len(), 1, "only what makes room: {taken:?}");
    assert_eq!(taken[0].0, "older");
    assert_eq!(taken[0].1.cause, CutOffCause::NoMemory);
    assert_eq!(taken[0].1.stalled_ms, 2_500);
    responses.add("another", 250, 2_600);
    assert_eq!(responses.take_cut_off(2_600)[0].0, "newer");
    responses.add("one more", 250, 2_600);
    assert!(
        responses.take_cut_off(2_600).is_empty(),
        "all make progress"
    );
    assert!(responses.exceeds_limit());
}

/// Guards against a response that stays although nothing of it is read while there is room, against one that is
/// counted twice or not released, against a single large response that keeps out all requests, and against cutting off
/// callers after a suspension of the process.
#[test]
fn stalled_responses_are_cut_off_once() {
    let mut responses = OpenResponses::new(LIMIT_BYTES);
    let large = responses.add("large", 100 * LIMIT_BYTES, 0);
    assert!(responses.has_room());
    assert!(responses.take_cut_off(4_999).is_empty());
    let taken = responses.take_cut_off(5_000);
    assert_eq!(taken.len(), 1);
    assert_eq!(taken[0].1.cause, CutOffCause::Stalled);
    responses.remove(large);
    let delayed = responses.add("delayed", 250, 5_000);
    responses.record_delay(60_000);
    assert!(responses.take_cut_off(69_999).is_empty());
    responses.remove(delayed);
    responses.record_progress(large, 5_000);
    assert!(responses.take_cut_off(20_000).is_empty());
    for _ in 0..4 {
        assert!(responses.has_room());
        responses.add("short", 250, 20_000);
    }
    assert!(!responses.has_room());
    assert_eq!(responses.count(), 4);
}
