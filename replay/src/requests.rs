//! The requests of a stall, played through their passages: from when each was read to what its client was told.

use std::collections::BTreeMap;

use millpost_scheduler::{FlowStep, Nanos, PermitRequest, Refusal, RequestFlow, TraceEvent};

/// What comes next for a request, or what its client is told.
pub type Next = FlowStep<u16>;

/// A request on its way.
#[derive(Debug)]
struct Walk {
    passage: RequestFlow<u16>,
    /// The ask that it has decided on already.
    asks: Option<(PermitRequest, bool)>,
}

/// All that are on their way, by their numbers.
#[derive(Debug, Default)]
pub struct Requests {
    all: BTreeMap<u64, Walk>,
    /// Requests that were begun.
    pub begun: usize,
}

impl Requests {
    /// A step of one. `zone` is the stall's, `informed` whether it knows the stalls. What comes of it; none where the recording does
    /// not hold its beginning.
    pub fn step(&mut self, at: Nanos, trail: &TraceEvent, zone: &str, informed: bool) -> Option<Next> {
        let p = trail.of()?;
        if let TraceEvent::Received { info: wish, .. } = trail {
            self.begun += 1;
            let mut wish = wish.clone();
            wish.zone = zone.into();
            let mut walk = Walk { passage: RequestFlow::new(wish), asks: None };
            let next = walk.passage.begin(informed);
            return Some(self.follow(p, walk, next));
        }
        let mut walk = self.all.remove(&p)?;
        let next = match trail {
            TraceEvent::Denied { reason: no, .. } => walk.passage.denied(at, *no),
            TraceEvent::Moved { to, .. } => walk.passage.route_resolved(at, to.clone()),
            TraceEvent::DeadlinePassed { .. } => walk.passage.deadline_passed(),
            TraceEvent::Ended { begun, instance, outcome, sent, status, .. } => {
                walk.passage.granted(*begun);
                walk.passage.attempt_ended(at, instance.clone(), *outcome, *sent, *status)
            }
            _ => return None,
        };
        Some(self.follow(p, walk, next))
    }

    fn follow(&mut self, p: u64, mut walk: Walk, next: Next) -> Next {
        if let FlowStep::RequestPermit(ask, first) = &next {
            walk.asks = Some((ask.clone(), *first));
        }
        if !matches!(next, FlowStep::Respond(_)) {
            self.all.insert(p, walk);
        }
        next
    }

    /// It asks. What the recording holds, where that is something else; and what the client is told, where no more asks may be open.
    pub fn asks(
        &mut self,
        p: u64,
        ask: &PermitRequest,
        first: bool,
        given: bool,
    ) -> (Option<String>, Option<Next>) {
        let Some(walk) = self.all.get_mut(&p) else { return (None, None) };
        let mine = walk.asks.take().or_else(|| match walk.passage.request_permit() {
            FlowStep::RequestPermit(ask, first) => Some((ask, first)),
            _ => None,
        });
        let same = mine.as_ref().is_some_and(|(mine, is_first)| mine == ask && *is_first == first);
        let unlike = (!same).then(|| format!("request {p} asks {mine:?}, and was recorded with {ask:?}"));
        let told =
            if given { None } else { self.all.remove(&p).map(|mut walk| walk.passage.too_many_open()) };
        (unlike, told)
    }
}

/// What a client is told, in words.
pub fn told(told: &Result<u16, Refusal>) -> String {
    match told {
        Ok(status) => format!("answered {status}, as the endpoint did"),
        Err(refusal) => {
            let (status, wait) = refusal.answer();
            let why = match refusal {
                Refusal::NotReady => "nothing is known here yet of configuration, stalls or the function",
                Refusal::Full(_) => "no slot in time",
                Refusal::NotSent => "its time ended before it was sent anywhere",
                Refusal::NoAnswer => "it was sent, and there is no answer that counts",
                Refusal::TimedOut => "it was sent, and its time has ended",
            };
            let again =
                wait.map_or(String::new(), |wait| format!(", again after {:.0} ms", wait as f64 / 1e6));
            format!("answered {status}{again}: {why}")
        }
    }
}
