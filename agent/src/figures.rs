//! What an agent tells of itself, for monitoring.

use std::time::Duration;

use millpost_agent::Agent;
use millpost_net::metrics::Metrics;

/// All figures of this moment.
pub fn of(round: &Agent, uptime: Duration) -> Metrics {
    let mut figures = Metrics::default();
    let ((fence, count), _) = round.latest().versions();
    figures.put("agent_uptime_seconds", uptime.as_secs());
    figures.put("agent_leaving", u8::from(round.is_shutting_down()));
    figures.put("agent_feeds", round.feeds().feeds().count());
    figures.put("agent_feeds_without_contact", round.feeds().feeds_without_contact());
    figures.put("agent_leader_fence", round.feeds().leader().map_or(0, |(fence, _)| fence));
    figures.put("agent_config_revision", round.latest().revision());
    figures.put("agent_proxy_config_revision", round.proxy_revision());
    figures.put("agent_view_fence", fence);
    figures.put("agent_view_count", count);
    figures.put("agent_instances", round.latest().instances());
    figures
}
