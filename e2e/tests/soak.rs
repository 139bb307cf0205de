//! A short soak under a fixed seed. Longer ones are run by hand: docs/operate/soak.md.

use std::time::Duration;

use millpost_e2e::fairly;
use millpost_e2e::soak::{Setup, soak};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_work_in_series_loses_no_request() {
    fairly(async || {
        let setup =
            Setup { seed: 7, lasts: Duration::from_secs(45), edges: 2, clients: 30, unplanned: false };
        let report = soak(setup, None).await;
        assert!(report.broken.is_empty(), "{}", report.to_text(setup.seed));
        assert!(report.acts > 15, "{}", report.to_text(setup.seed));
    })
    .await;
}
