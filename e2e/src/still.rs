//! Whether this computer stood still: leases of seconds and deadlines say nothing then.

use std::panic::resume_unwind;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use tokio::task::LocalSet;

/// Nobody was scheduled for so long: about half of a lease.
const STILL: Duration = Duration::from_millis(700);
/// Runs of a test, at most.
const RUNS: usize = 3;

/// Watches from a thread of its own until it is dropped.
struct Watch(Arc<AtomicU64>);

impl Watch {
    fn start() -> Self {
        let longest = Arc::<AtomicU64>::default();
        let told = Arc::downgrade(&longest);
        thread::spawn(move || {
            let mut last = Instant::now();
            while let Some(longest) = told.upgrade() {
                longest.fetch_max(last.elapsed().as_millis() as u64, Ordering::Relaxed);
                last = Instant::now();
                drop(longest);
                thread::sleep(Duration::from_millis(20));
            }
        });
        Watch(longest)
    }

    /// The longest that it was not scheduled.
    fn longest(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Whether a failure in this run does not count, where nobody was scheduled for so long.
fn forgiven(run: usize, still: Duration) -> bool {
    still >= STILL && run < RUNS
}

/// Runs a test; a failure while this computer stood still does not count, and it runs again, three times at most.
///
/// # Panics
/// Where the test does, with what it said.
pub async fn fairly(test: impl AsyncFn() + Clone + 'static) {
    for run in 1..=RUNS {
        let watch = Watch::start();
        let test = test.clone();
        let local = LocalSet::new();
        let ended = local.run_until(local.spawn_local(async move { test().await })).await;
        let Err(ended) = ended else { return };
        let still = watch.longest();
        if !forgiven(run, still) {
            resume_unwind(ended.into_panic());
        }
        eprintln!("this computer stood still for {still:?}: again");
    }
}

#[cfg(test)]
mod tests {
    use std::sync::atomic::AtomicUsize;

    use super::*;

    #[test]
    fn only_a_failure_of_a_computer_that_stood_still_is_forgiven_and_not_for_ever() {
        let (still, runs) = (Duration::from_secs(3), Duration::from_millis(100));
        assert!(forgiven(1, still) && forgiven(2, still));
        assert!(!forgiven(3, still) && !forgiven(1, runs));
    }

    #[tokio::test]
    async fn a_test_that_passes_runs_once_and_what_a_failed_one_said_is_kept() {
        static RUNS: AtomicUsize = AtomicUsize::new(0);
        fairly(async || {
            RUNS.fetch_add(1, Ordering::Relaxed);
        })
        .await;
        assert_eq!(RUNS.load(Ordering::Relaxed), 1);
        let local = LocalSet::new();
        let failed = local.run_until(local.spawn_local(fairly(async || panic!("a fault")))).await;
        let said = failed.expect_err("it panics").into_panic();
        assert_eq!(said.downcast_ref::<&str>(), Some(&"a fault"));
    }
}
