//! Exact values of the retry probability and the backoff schedule.

use millpost::{doubled_time, retry_probability};

const T1: u64 = 500_000_000;

#[test]
fn retry_probability_below_between_and_above_the_thresholds() {
    let p = |delay_ms: f64| retry_probability(delay_ms * 1e6, T1);
    assert_eq!(p(0.0), 1.0);
    assert_eq!(p(100.0), 1.0);
    assert_eq!(p(300.0), 0.5);
    assert_eq!(p(400.0), 0.25);
    assert_eq!(p(500.0), 0.0);
    assert_eq!(p(5000.0), 0.0);
}

#[test]
fn retry_probability_with_equal_thresholds() {
    assert_eq!(retry_probability(0.0, 0), 1.0);
    assert_eq!(retry_probability(1.0, 0), 0.0);
}

#[test]
fn retry_gaps_double_and_saturate() {
    let times: Vec<u64> = (0..5).map(|k| doubled_time(7, T1, k)).collect();
    assert_eq!(times, [7, 7 + T1, 7 + 3 * T1, 7 + 7 * T1, 7 + 15 * T1]);
    assert_eq!(doubled_time(u64::MAX - 1, T1, 60), u64::MAX);
}
