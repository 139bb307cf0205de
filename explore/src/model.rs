//! The world as a model for `stateright`: its states, the steps from each, and what must hold in all.

use stateright::{Model, Property};

use crate::step::{Bounds, Happening, Kindness, Step};
use crate::world::{World, property};
use millpost_core::Fault;

/// What is explored.
#[derive(Clone, Debug)]
pub struct Small {
    /// What the world may do, and how often.
    pub bounds: Bounds,
    /// The messages, in the order of their handing in.
    pub classes: Vec<Kindness>,
    /// A planted fault.
    pub fault: Option<Fault>,
}

impl Model for Small {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self.bounds, &self.classes, self.fault)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let happenings = world.happenings();
        let crashes = |out: usize, after: u8| (0..1_u8 << out.min(7)).map(move |ran| Some((after, ran)));
        if world.may_crash() {
            steps.extend(crashes(world.calls_out(), 0).map(|crash| Step { what: None, crash }));
        }
        for what in happenings {
            let step = Step { what: Some(what), crash: None };
            steps.push(step);
            if world.may_crash() && !matches!(what, Happening::Time | Happening::FailNext) {
                // After the last effect it is the same as a crash at rest, which comes as a step of its own.
                let (_, effects) = world.after(step);
                for after in 1..effects {
                    let (cut, _) = world.before_crash(what, after);
                    steps.extend(crashes(cut, after).map(|crash| Step { what: Some(what), crash }));
                }
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        Some(world.after(step).0)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        // A function for each name: a property's condition can't hold on to anything.
        macro_rules! all {
            ($($name:ident),*) => {
                vec![$(Property::always(property::$name, |_: &Small, world: &World| {
                    world.breach != Some(property::$name)
                })),*]
            };
        }
        all!(
            ONE_ANSWER,
            ONE_OUT,
            ONE_EFFECT,
            NO_TRAFFIC_IN_WAIT,
            NO_WORK_AFTER_DRAIN,
            TRUE_REFUSAL,
            NOTICE_SENT,
            SLOTS,
            ANSWER_STANDS
        )
    }
}
