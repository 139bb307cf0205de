//! The metrics that an agent exports for monitoring.

use std::time::Duration;

use millpost_agent::Agent;
use millpost_net::metrics::Metrics;

/// The current values of all metrics.
pub fn collect(agent: &Agent, uptime: Duration) -> Metrics {
    let mut metrics = Metrics::default();
    let ((fence, count), _) = agent.latest().versions();
    metrics.put("agent_uptime_seconds", uptime.as_secs());
    metrics.put("agent_leaving", u8::from(agent.is_shutting_down()));
    metrics.put("agent_feeds", agent.feeds().feeds().count());
    metrics.put("agent_feeds_without_contact", agent.feeds().feeds_without_contact());
    metrics.put("agent_known_controllers", agent.feeds().known().count());
    metrics.put("agent_leader_fence", agent.feeds().leader().map_or(0, |(fence, _)| fence));
    metrics.put("agent_config_revision", agent.latest().revision());
    metrics.put("agent_proxy_config_revision", agent.proxy_revision());
    metrics.put("agent_view_fence", fence);
    metrics.put("agent_view_count", count);
    metrics.put("agent_instances", agent.latest().instances());
    metrics
}
