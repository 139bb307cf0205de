//! What of the lessons of before a restart still counts (interface: src/api.rs).

use super::*;

impl Control {
    /// Takes up a lesson of before a restart, written `age` ago. Whether it was of any use.
    ///
    /// A wait is heeded to its end, an outage until a call gets through, and a return for as long as it is
    /// cold, however old the lesson. Speed, pace and reports count for as long as a message may live and a
    /// destination be cold: later it may be another machine. What is known by now goes before it.
    pub fn restore_learned(
        &mut self,
        now: Nanos,
        dest: DestId,
        route: Option<EndpointId>,
        age: Nanos,
        bytes: &[u8],
    ) -> bool {
        let Some(mut old) = Lane::read(bytes, now.saturating_sub(age)) else { return false };
        let longest = self.set.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let lane =
            self.lanes.entry((dest, route)).or_insert_with(|| Lane { listed_at: now, ..Lane::default() });
        if lane.ok_at > 0 || lane.fail_at.is_some() {
            return false;
        }
        if age > longest.saturating_add(self.set.rules.cold) {
            (old.floors, old.floor_from, old.usual, old.spread) = ([None, None], now, 0.0, 0.0);
            (old.delay, old.pace, old.limit, old.share_left, old.left_of_late) = (0.0, 0.0, 0.0, 0.0, 0.0);
            (old.taken, old.taken_from) = (0, now);
        }
        // A clock that was set back must not make the past the future, nor a wait endless.
        for at in
            [&mut old.ok_at, &mut old.out_from, &mut old.delay_at, &mut old.floor_from, &mut old.taken_from]
        {
            *at = (*at).min(now);
        }
        for at in [&mut old.fail_at, &mut old.bad_since].into_iter().flatten() {
            *at = (*at).min(now);
        }
        (old.weight, old.kind, old.listed_at) = (lane.weight, lane.kind, lane.listed_at);
        old.elsewhere = lane.elsewhere;
        old.taken = old.taken.saturating_add(lane.taken);
        let floor = lane.floor();
        *lane = old;
        self.look_again(now, dest, floor);
        true
    }
}
