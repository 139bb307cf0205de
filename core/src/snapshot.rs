//! Hands a core over to another process as serialized bytes. Deferred actions must have run before; effects
//! that were not carried out are recreated from the state.
//!
//! Invariant: a call that has been written is finished by the process that wrote it and is written by no
//! other. One that has not been written is connected anew.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use millpost::api::{EndpointId, Entry, MsgId, Nanos, Outcome, Settings};
use millpost::{Control, ControlSnapshot};
use millpost_store::ledger::Answer;
use serde::Deserialize;

use crate::call::Call;
use crate::counts::OutcomeCounts;
use crate::message::HeldMessage;
use crate::{CallEnd, CallId, Core, Effect, Fault, Moment};

/// Version of the serialized form. Increase it with any change to the fields of a core or of `Control`: a
/// program reads only its own version.
pub const SNAPSHOT_VERSION: u32 = 2;

type Messages = (BTreeMap<MsgId, HeldMessage>, MsgId, usize, VecDeque<(MsgId, Answer)>);
type Calls = (BTreeMap<CallId, Call>, CallId, BTreeMap<EndpointId, Entry>);

/// A deserialized core, without its settings.
#[derive(Deserialize)]
pub struct CoreSnapshot(Messages, Calls, BTreeSet<Nanos>, bool, Option<(Nanos, Nanos)>, ControlSnapshot);

impl Core {
    /// Whether nothing is pending but external events, so that the core may be serialized.
    pub fn is_quiescent(&self) -> bool {
        self.effects.is_empty() && self.unwritten_answers.is_empty() && self.stop.is_none()
    }

    /// Continues from a snapshot taken in another process. `written` are the calls that the other process has
    /// written and will finish; `body` reads the body of a message from the store.
    pub fn from_snapshot(
        settings: Settings,
        snapshot: CoreSnapshot,
        written: &BTreeSet<CallId>,
        mut body: impl FnMut(MsgId) -> Bytes,
    ) -> Self {
        let CoreSnapshot(
            (held, next_message, open, unwritten_answers),
            (calls, next_call, endpoints),
            wakes,
            round_due,
            _stop,
            control,
        ) = snapshot;
        let settings = Arc::new(settings);
        let mut core = Core {
            control: Control::from_snapshot(settings.clone(), control),
            settings,
            by_reference: held.iter().map(|(id, held)| (held.reference.clone(), *id)).collect(),
            held,
            next_message,
            open,
            unwritten_answers,
            calls,
            next_call,
            endpoints,
            wakes,
            round_due,
            stop: None,
            effects: VecDeque::new(),
            counts: OutcomeCounts::default(),
            reports_call_ends: false,
            closed: false,
            #[cfg(feature = "faults")]
            planted: None,
        };
        for (id, held) in &mut core.held {
            held.body = if held.answer.is_none() { body(*id) } else { Bytes::new() };
            // At worst the notice is sent twice, which is harmless.
            if let Some(answer) = held.answer {
                let notice = Effect::Notice { id: *id, reference: held.reference.clone(), answer };
                core.effects.push_back(notice);
            }
        }
        for (call, state) in core.calls.iter().filter(|(call, _)| !written.contains(call)) {
            core.effects.push_back(state.connect(*call, state.recorded));
        }
        core
    }

    /// The process that was to finish these calls has exited: the calls may have run.
    pub fn calls_lost(&mut self, at: Moment, calls: &BTreeSet<CallId>) {
        let never_ran = self.has(Fault::LostNeverRan);
        let outcome = if never_ran { Outcome::ConnectFailed } else { Outcome::Reset };
        for call in calls {
            self.ended(at, *call, CallEnd::without_answer(outcome));
        }
    }
}
