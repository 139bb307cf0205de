//! Metrics of the controller.

use millpost_net::metrics::Metrics;

use super::Core;
use crate::{MS, Nanos};

impl Core {
    /// Returns the current values of all metrics.
    pub(super) fn metrics(&self, now: Nanos) -> Metrics {
        let mut metrics = Metrics::default();
        metrics.put("control_uptime_seconds", now / (1_000 * MS));
        metrics.put("control_leaving", u8::from(self.shutdown.is_some()));
        metrics.put("control_votes", u8::from(self.voting));
        metrics.put("control_contact", u8::from(self.contact.holds()));
        metrics.put("control_epoch", self.rounds.members().map_or(0, |members| members.epoch));
        metrics.put("control_rounds_under_way", self.rounds.in_progress());
        metrics.put("control_config_revision", self.feed.revision());
        metrics.put("control_leader_fence", self.gossip.leader().0);
        for (name, acts) in self.feed.followers() {
            metrics.put_labelled("control_follower_config_revision", "proxy", name, acts);
        }
        for (call, answer, count) in self.platform_stats.answers() {
            metrics.put_labelled(
                "control_platform_answers_total",
                "answer",
                &format!("{call} {answer}"),
                count,
            );
        }
        let leader = self.leadership.leader();
        metrics.put("control_is_leader", u8::from(leader.is_some()));
        if let Some(leader) = leader {
            let (fence, count) = leader.view_version();
            metrics.put("control_view_fence", fence);
            metrics.put("control_view_count", count);
            metrics.put("control_instances", leader.scaler.snapshot().len());
        }
        metrics
    }
}
