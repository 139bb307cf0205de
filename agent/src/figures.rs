//! What an agent tells of itself, for monitoring.

use std::time::Duration;

use millpost_agent::Round;
use millpost_net::metrics::Metrics;

/// All figures of this moment.
pub fn of(round: &Round, uptime: Duration) -> Metrics {
    let mut figures = Metrics::default();
    let ((fence, count), _) = round.newest().versions();
    figures.put("agent_uptime_seconds", uptime.as_secs());
    figures.put("agent_leaving", u8::from(round.leaves()));
    figures.put("agent_feeds", round.follow().feeds().count());
    figures.put("agent_feeds_without_contact", round.follow().without_contact());
    figures.put("agent_leader_fence", round.follow().steward().map_or(0, |(fence, _)| fence));
    figures.put("agent_config_revision", round.newest().revision());
    figures.put("agent_proxy_config_revision", round.acts());
    figures.put("agent_view_fence", fence);
    figures.put("agent_view_count", count);
    figures.put("agent_instances", round.newest().instances());
    figures
}
