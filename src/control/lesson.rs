//! What was learnt of destinations, as bytes that outlive the process (interface: src/api.rs). The caller
//! keeps them unread; what of them is too old is decided in `learnt`. Times in them are relative to the writing.

use super::*;
use crate::codec::{Reader, Writer};

const VERSION: u8 = 1;

/// Which lessons the caller should be given, and when.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub(super) enum News {
    #[default]
    None,
    /// Worth keeping at leisure.
    Some,
    /// A wait, a failure or a return: heeded after a restart only if it is kept at once.
    Grave,
}

/// What was learnt of a destination, or of a route where routes are apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LearnedState {
    /// The destination.
    pub dest: DestId,
    /// The route.
    pub route: Option<EndpointId>,
    /// For [`Control::restore_learned`], in this version of the module or a later one.
    pub bytes: Vec<u8>,
}

impl Lane {
    fn write(&self, now: Nanos) -> Vec<u8> {
        let mut to = Writer(vec![VERSION, u8::from(self.silent), u8::from(self.shut)], now);
        for at in
            [self.wait_until, self.ok_at, self.out_from, self.delay_at, self.floor_from, self.taken_from]
        {
            to.time(at);
        }
        [self.fail_at, self.bad_since, self.back_at].into_iter().for_each(|at| to.maybe(at));
        self.floors.iter().for_each(|floor| to.number(floor.unwrap_or(0)));
        for count in [self.bad_calls as u64, self.knocks.into(), self.taken.into()] {
            to.number(count);
        }
        for x in [self.failing, self.delay, self.usual, self.spread] {
            to.float(x);
        }
        for x in [self.pace, self.limit, self.share_left, self.left_of_late] {
            to.float(x);
        }
        for bucket in [self.cold_budget, self.paced] {
            to.float(bucket.tokens.max(0.0));
            to.time(bucket.at);
        }
        to.0
    }

    /// A lane as it was written at `then`.
    pub(super) fn read(bytes: &[u8], then: Nanos) -> Option<Lane> {
        let mut from = Reader(bytes, then);
        let [version, silent, shut] = from.take()?;
        if version != VERSION {
            return None;
        }
        let mut lane = Lane { silent: silent > 0, shut: shut > 0, ..Lane::default() };
        (lane.wait_until, lane.ok_at, lane.out_from) = (from.time()?, from.time()?, from.time()?);
        (lane.delay_at, lane.floor_from, lane.taken_from) = (from.time()?, from.time()?, from.time()?);
        (lane.fail_at, lane.bad_since, lane.back_at) = (from.maybe()?, from.maybe()?, from.maybe()?);
        lane.floors = [from.number()?, from.number()?].map(|floor| (floor > 0).then_some(floor));
        lane.bad_calls = usize::try_from(from.number()?).ok()?;
        lane.knocks = u32::try_from(from.number()?).ok()?;
        lane.taken = u32::try_from(from.number()?).ok()?;
        (lane.failing, lane.delay) = (from.float()?.min(1.0), from.float()?);
        (lane.usual, lane.spread) = (from.float()?, from.float()?);
        (lane.pace, lane.limit) = (from.float()?, from.float()?);
        (lane.share_left, lane.left_of_late) = (from.float()?, from.float()?);
        for bucket in [&mut lane.cold_budget, &mut lane.paced] {
            *bucket = Bucket { tokens: from.float()?.min(1.0), at: from.time()? };
        }
        Some(lane)
    }
}

impl Control {
    /// What was learnt since this was last asked: all of it, or only what must be kept at once.
    pub fn take_learned(&mut self, now: Nanos, grave_only: bool) -> Vec<LearnedState> {
        let least = if grave_only { News::Grave } else { News::Some };
        let lanes = &mut self.lanes;
        let mut lessons = Vec::new();
        self.news.retain(|id, news| {
            if *news >= least {
                let lane = lanes.get(id).map(|lane| lane.write(now));
                lessons.extend(lane.map(|bytes| LearnedState { dest: id.0, route: id.1, bytes }));
            }
            *news < least
        });
        self.grave = false;
        lessons
    }

    /// Something was learnt that must be kept at once.
    pub fn has_urgent_state(&self) -> bool {
        self.grave
    }

    /// Notes what a lane has to tell since it was last asked.
    pub(super) fn note_news(&mut self, id: LaneId) {
        let Some(lane) = self.lanes.get_mut(&id) else { return };
        let news = std::mem::take(&mut lane.news);
        if news > News::None {
            self.grave |= news == News::Grave;
            let told = self.news.entry(id).or_default();
            *told = news.max(*told);
        }
    }
}
