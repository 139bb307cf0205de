//! What those who explore or check the module may see of it. Nothing is decided here.

use std::fmt;

use super::*;

impl Control {
    pub(crate) fn dice(&mut self) -> &mut Dice {
        &mut self.rng
    }

    /// Calls that the module takes to be out, each of which holds a slot.
    pub fn calls_out(&self) -> usize {
        self.calls.len()
    }

    /// Calls that the module takes to be out by endpoint, those that it has forgotten left out.
    pub fn calls_to(&self, endpoint: EndpointId) -> usize {
        self.endpoints.get(&endpoint).map_or(0, |e| e.calls)
    }
}

/// All that its decisions hang on but for the settings, to the last bit of each number: two modules of the same
/// settings that are written alike decide alike.
impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages = (&self.msgs, &self.agenda, &self.keys, &self.rests, &self.calls, self.next_call);
        let destinations =
            (&self.lanes, &self.busy, &self.unlisted, &self.endpoints, &self.leaving, &self.by_dest);
        let times = (self.subscribe_at, self.subscribe_fails, self.wake_at, self.stops_at);
        (&self.rng, messages, destinations, times, &self.news, self.grave).fmt(f)
    }
}
