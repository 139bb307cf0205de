//! A core that goes on in another process: written as bytes there, read here. What stood behind writes must have been
//! done before; effects that were not carried out are made anew from the state.
//!
//! Kept invariant: a call that was written is finished by the process that wrote it, and no other writes it; one that was
//! not is connected anew.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use millpost::api::{EndpointId, Entry, MsgId, Nanos, Outcome, Settings};
use millpost::{Control, ControlSnapshot};
use millpost_store::ledger::Answer;
use serde::Deserialize;

use crate::call::Call;
use crate::counts::OutcomeCounts;
use crate::message::Held;
use crate::{CallEnd, CallId, Core, Effect, Fault, Moment};

/// The form of the bytes. Raised with any change of what a core or a module consists of: another version of the program
/// reads none but its own.
pub const SNAPSHOT_VERSION: u32 = 2;

type Messages = (BTreeMap<MsgId, Held>, MsgId, usize, VecDeque<(MsgId, Answer)>);
type Calls = (BTreeMap<CallId, Call>, CallId, BTreeMap<EndpointId, Entry>);

/// A core as it was written, without its settings.
#[derive(Deserialize)]
pub struct CoreSnapshot(Messages, Calls, BTreeSet<Nanos>, bool, Option<(Nanos, Nanos)>, ControlSnapshot);

impl Core {
    /// Nothing is to be done yet that hangs on anything but what comes from outside: it may be written as bytes.
    pub fn is_quiescent(&self) -> bool {
        self.effects.is_empty() && self.unwritten.is_empty() && self.stop.is_none()
    }

    /// Goes on where the core that was written stopped. `written`: the calls that its process has written and finishes;
    /// `body`: what the store has of a message.
    pub fn from_snapshot(
        settings: Settings,
        moved: CoreSnapshot,
        written: &BTreeSet<CallId>,
        mut body: impl FnMut(MsgId) -> Bytes,
    ) -> Self {
        let CoreSnapshot(
            (held, next_message, open, unwritten),
            (calls, next_call, endpoints),
            wakes,
            soon,
            _stop,
            frozen,
        ) = moved;
        let settings = Arc::new(settings);
        let mut core = Core {
            control: Control::from_snapshot(settings.clone(), frozen),
            settings,
            by_reference: held.iter().map(|(id, held)| (held.reference.clone(), *id)).collect(),
            held,
            next_message,
            open,
            unwritten,
            calls,
            next_call,
            endpoints,
            wakes,
            soon,
            stop: None,
            effects: VecDeque::new(),
            counts: OutcomeCounts::default(),
            watched: false,
            closed: false,
            #[cfg(feature = "faults")]
            planted: None,
        };
        for (id, held) in &mut core.held {
            held.body = if held.answer.is_none() { body(*id) } else { Bytes::new() };
            // Told once more, at worst, which does no harm.
            if let Some(answer) = held.answer {
                let notice = Effect::Notice { id: *id, reference: held.reference.clone(), answer };
                core.effects.push_back(notice);
            }
        }
        for (call, out) in core.calls.iter().filter(|(call, _)| !written.contains(call)) {
            core.effects.push_back(out.connect(*call, out.begun));
        }
        core
    }

    /// The process that finished these calls is gone: they may have run.
    pub fn calls_lost(&mut self, at: Moment, calls: &BTreeSet<CallId>) {
        let never = self.has(Fault::LostNeverRan);
        let outcome = if never { Outcome::ConnectFailed } else { Outcome::Reset };
        for call in calls {
            self.ended(at, *call, CallEnd::without_answer(outcome));
        }
    }
}
