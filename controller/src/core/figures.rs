//! What a control machine tells of itself, for monitoring.

use millpost_net::metrics::Metrics;

use super::Core;
use crate::{MS, Nanos};

impl Core {
    /// All figures of this moment.
    pub(super) fn figures(&self, now: Nanos) -> Metrics {
        let mut figures = Metrics::default();
        figures.put("control_uptime_seconds", now / (1_000 * MS));
        figures.put("control_leaving", u8::from(self.leave.is_some()));
        figures.put("control_votes", u8::from(self.voting));
        figures.put("control_contact", u8::from(self.contact.holds()));
        figures.put("control_epoch", self.rounds.members().map_or(0, |members| members.epoch));
        figures.put("control_rounds_under_way", self.rounds.under_way());
        figures.put("control_config_revision", self.feed.revision());
        figures.put("control_leader_fence", self.gossip.known().0);
        for (name, acts) in self.feed.followers() {
            figures.put_of("control_follower_config_revision", "proxy", name, acts);
        }
        for (call, answer, count) in self.ledger.answers() {
            figures.put_of("control_platform_answers_total", "answer", &format!("{call} {answer}"), count);
        }
        let leader = self.leadership.leader();
        figures.put("control_is_leader", u8::from(leader.is_some()));
        if let Some(leader) = leader {
            let (fence, count) = leader.view();
            figures.put("control_view_fence", fence);
            figures.put("control_view_count", count);
            figures.put("control_instances", leader.scaler.snapshot().len());
        }
        figures
    }
}
