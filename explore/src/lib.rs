//! Every order of events in the small: the real core and the real decision module in a small nondeterministic world.
//!
//! Nothing is modelled twice: [`world::World`] holds a [`millpost_core::Core`], which holds a [`millpost::Control`];
//! what stands round them (clients, partners, discovery, the platform, the journal, the clock) is what may do
//! anything. `stateright` searches breadth first, so the first trace to a breach is a shortest one.

pub mod cases;
mod journal;
pub mod model;
pub mod step;
pub mod trace;
pub mod world;
