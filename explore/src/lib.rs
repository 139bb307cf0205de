//! Every order of events in the small: the real core and the real decision module in a small nondeterministic world.
//!
//! Nothing is modelled twice: [`world::World`] holds a [`millpost_core::Core`], which holds a [`millpost::Control`];
//! what stands round them (clients, partners, discovery, the platform, the journal, the clock) is what may do
//! anything. The search is breadth first, so the first trace to a breach is a shortest one.

pub mod cases;
pub mod hop;
mod journal;
pub mod lease;
pub mod lend;
pub mod owners;
pub mod part;
pub mod property;
pub mod register;
pub mod roll;
pub mod search;
pub mod step;
pub mod trace;
pub mod world;
