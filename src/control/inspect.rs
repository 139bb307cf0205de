//! What those who explore or check the module may see of it. Nothing is decided here.

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
