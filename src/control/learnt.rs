//! Restores what was learned about destinations before a restart (interface: src/api.rs).

use super::*;

impl Control {
    /// Restores the state of a destination or route, written `age` ago. Returns whether it was used.
    ///
    /// A requested wait applies until its end, an outage until a call succeeds, and a recovery for as long as
    /// the destination is cold, at any age. Latency, pace and reports expire after the longest deadline plus
    /// the cold time, since another machine may answer by then. State learned by this process takes
    /// precedence.
    pub fn restore_learned(
        &mut self,
        now: Nanos,
        dest: DestId,
        route: Option<EndpointId>,
        age: Nanos,
        bytes: &[u8],
    ) -> bool {
        let Some(mut old) = Target::read(bytes, now.saturating_sub(age)) else { return false };
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let target = self
            .targets
            .entry((dest, route))
            .or_insert_with(|| Target { listed_at: now, ..Target::default() });
        if target.success_at > 0 || target.failure_at.is_some() {
            return false;
        }
        if age > longest.saturating_add(self.settings.rules.cold) {
            (old.min_latencies, old.min_latency_since, old.mean_latency, old.latency_dev) =
                ([None, None], now, 0.0, 0.0);
            (old.avg_delay, old.pace, old.limit, old.share_left, old.avg_share_left) =
                (0.0, 0.0, 0.0, 0.0, 0.0);
            (old.accepted, old.accepted_since) = (0, now);
        }
        // After a clock was set back, past times must not lie in the future, nor waits become endless.
        for at in [
            &mut old.success_at,
            &mut old.outage_since,
            &mut old.avg_delay_at,
            &mut old.min_latency_since,
            &mut old.accepted_since,
        ] {
            *at = (*at).min(now);
        }
        for at in [&mut old.failure_at, &mut old.failing_since].into_iter().flatten() {
            *at = (*at).min(now);
        }
        (old.weight, old.kind, old.listed_at) = (target.weight, target.kind, target.listed_at);
        old.share_elsewhere = target.share_elsewhere;
        old.accepted = old.accepted.saturating_add(target.accepted);
        let min_latency_before = target.min_latency();
        *target = old;
        self.on_target_change(now, dest, min_latency_before);
        true
    }
}
