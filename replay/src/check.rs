//! What must hold in every play of a desk, watched from outside of it.
//!
//! Only what this desk decides is watched: a permit that another stall granted is that one's to answer for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use compact_str::CompactString;
use millpost::doubled_time;
use millpost_protocol::PeerMessage;
use millpost_scheduler::recording::Input;
use millpost_scheduler::{
    Action, MS, Nanos, Outcome, PermitRequest, SchedulerLimits, Stage, first_retry_delay,
};

use crate::play::Step;

/// A timer may come so much early by the clock of a recording.
const EARLY: Nanos = MS;
/// A permit outlives its deadline by this, and then the word of it.
const OVERDUE: Nanos = 500 * MS;
/// A new steward has heard after so long of what it did not know of.
const RENEWS: Nanos = 2_000 * MS;
/// Breaches of one rule that are told in full.
const TOLD: usize = 5;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No instance holds more than its concurrency.
    Full,
    /// An ask is granted once, and its permit is given back once.
    Once,
    /// Nothing goes to an instance that is gone, or that was let go; no permit outlives its instance.
    Gone,
    /// A request goes again at its doubled times only.
    Doubled,
    /// No window holds more repeats than its part of the requests and the slack.
    Budget,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 5] = [Rule::Full, Rule::Once, Rule::Gone, Rule::Doubled, Rule::Budget];

    /// In words.
    pub fn word(self) -> &'static str {
        match self {
            Rule::Full => "no instance above its concurrency",
            Rule::Once => "granted once, given back once",
            Rule::Gone => "nothing for an instance that is gone",
            Rule::Doubled => "retries at doubled times only",
            Rule::Budget => "the budget of further tries",
        }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// After which line.
    pub line: usize,
    /// When.
    pub at: Nanos,
    /// How.
    pub what: String,
}

/// An ask of this stall's own.
#[derive(Debug)]
struct Own {
    /// The address of the owner that it was sent to last.
    sent_to: Option<CompactString>,
    granted: bool,
    sent: u32,
    request: (CompactString, Nanos, Nanos),
}

/// An ask of another stall.
#[derive(Debug)]
struct Other {
    service: CompactString,
    sent: u32,
    until: Nanos,
    granted: Option<CompactString>,
}

/// The tries of one request, as its asks tell of them.
#[derive(Debug)]
struct RetrySchedule {
    t1: Nanos,
    /// When its first try was sent.
    first: Option<Nanos>,
    /// The last one was not used: the next goes at once.
    unused: bool,
}

#[derive(Debug)]
struct Seen {
    stage: Stage,
    /// This desk has said that it is to be stopped, or gone.
    let_go: bool,
}

#[derive(Debug, Default)]
struct Tally {
    requests: VecDeque<Nanos>,
    repeats: VecDeque<Nanos>,
}

/// Watches a play.
#[derive(Debug, Default)]
pub struct Check {
    me: CompactString,
    terms: Option<SchedulerLimits>,
    concurrency: BTreeMap<CompactString, u32>,
    known: BTreeMap<CompactString, Seen>,
    version: (u64, u64),
    /// Until then a new steward may not have heard of all that a desk owns, and the desk keeps that.
    renews: Nanos,
    lives: BTreeMap<CompactString, u64>,
    own: BTreeMap<u64, Own>,
    others: BTreeMap<(CompactString, u64), Other>,
    tries: BTreeMap<(CompactString, Nanos, Nanos), RetrySchedule>,
    tallies: BTreeMap<CompactString, Tally>,
    swept: Nanos,
    counts: BTreeMap<Rule, usize>,
    breaches: Vec<Breach>,
    /// How late retries came after their doubled times, at most.
    pub latest: Nanos,
    /// Retries that were looked at.
    pub retries: usize,
    /// Tries that the recording says were sent, and this play has not granted.
    pub strays: usize,
}

impl Check {
    /// The first few breaches of each rule.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// How often a rule was broken.
    pub fn count(&self, rule: Rule) -> usize {
        self.counts.get(&rule).copied().unwrap_or(0)
    }

    /// Own asks that are granted and not given back yet.
    pub fn out(&self) -> usize {
        self.own.values().filter(|own| own.granted).count()
    }

    fn broken(&mut self, rule: Rule, step: &Step<'_>, what: impl FnOnce() -> String) {
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count <= TOLD {
            self.breaches.push(Breach { rule, line: step.line, at: step.at, what: what() });
        }
    }

    /// Takes a step in.
    pub fn see(&mut self, step: &Step<'_>) {
        self.comes(step);
        for out in step.outs {
            match out {
                Action::Send { to, note } => self.sent(step, to, note),
                Action::Granted { ask, instance, .. } => self.granted(step, *ask, instance),
                Action::Refused { ask, .. } => {
                    if self.own.get(ask).is_none_or(|own| own.granted) {
                        self.broken(Rule::Once, step, || format!("ask {ask} is refused, and is not open"));
                    }
                }
                Action::NotifyController(
                    PeerMessage::RetireInstance { instance } | PeerMessage::InstanceDown { instance },
                ) => {
                    if let Some(seen) = self.known.get_mut(instance) {
                        seen.let_go = true;
                    }
                }
                Action::NotifyController(_) | Action::ProbeReadiness { .. } => {}
            }
        }
        self.ended(step);
        if step.at >= self.swept + 1_000 * MS {
            self.sweep(step.at);
        }
    }

    /// What an input says, before what came of it.
    fn comes(&mut self, step: &Step<'_>) {
        match step.input {
            Input::New { me, terms, .. } => {
                *self = Check { me: me.name.clone(), terms: Some(terms.clone()), ..Check::default() };
            }
            Input::Configure(specs) => {
                self.concurrency = specs.iter().map(|s| (s.name.clone(), s.concurrency.max(1))).collect();
                self.judged_anew();
            }
            Input::RequestPermit { ask, first, .. } => self.asked(step, ask, *first),
            Input::InstanceUp(id) => {
                if let Some(seen) = self.known.get_mut(id).filter(|seen| seen.stage == Stage::Booting) {
                    seen.stage = Stage::Ready;
                }
            }
            Input::PeerMessages { from, incarnation: life, messages: notes } => {
                self.mail(step, from, *life, notes)
            }
            Input::ControllerMessage(note) => self.told(step, note),
            // Whom it stands with now shows where it is sent anew; else that is this stall itself.
            Input::Undelivered { address, messages: notes } => {
                for note in notes {
                    if let PeerMessage::RequestPermit { id, .. } | PeerMessage::HeldPermit { id, .. } = note
                        && let Some(own) = self.own.get_mut(id)
                        && own.sent_to.as_ref() == Some(address)
                    {
                        own.sent_to = None;
                    }
                }
            }
            _ => {}
        }
    }

    /// Whoever owns a function from now on judges its instances anew.
    fn judged_anew(&mut self) {
        self.known.values_mut().for_each(|seen| seen.let_go = false);
    }

    fn told(&mut self, step: &Step<'_>, note: &PeerMessage) {
        match note {
            PeerMessage::FullView { peers, .. } => {
                self.others.retain(|(who, _), _| *who == self.me || peers.iter().any(|p| p.name == *who));
                self.judged_anew();
            }
            PeerMessage::ViewChange(shift) => {
                self.others.retain(|(who, _), _| *who == self.me || !shift.left.contains(who));
                self.judged_anew();
            }
            PeerMessage::Instances { version, all, set, gone } => {
                if !(*version > self.version || *all && *version == self.version) {
                    return;
                }
                if version.0 > self.version.0 && self.version.0 > 0 {
                    self.renews = step.at + RENEWS;
                }
                self.version = *version;
                if *all {
                    let renews = step.at < self.renews;
                    let keeps = |id: &str| renews && step.desk.scheduler().knows(id);
                    self.known.retain(|id, _| set.iter().any(|i| i.id == *id) || keeps(id));
                }
                for instance in set {
                    let stage = match instance.stage {
                        0 => Stage::Booting,
                        1 => Stage::Ready,
                        _ => Stage::Draining,
                    };
                    let seen = Seen { stage, let_go: false };
                    let seen = self.known.entry(instance.id.clone()).or_insert(seen);
                    seen.stage = seen.stage.max(stage);
                }
                if !*all {
                    gone.iter().for_each(|id| {
                        self.known.remove(id);
                    });
                }
            }
            _ => {}
        }
    }

    fn tally(&mut self, service: &str) -> &mut Tally {
        self.tallies.entry(service.into()).or_default()
    }

    fn asked(&mut self, step: &Step<'_>, ask: &PermitRequest, first: bool) {
        let request = (ask.service.clone(), ask.deadline, ask.soft_deadline);
        if first {
            // One that goes elsewhere counts there.
            let elsewhere = |out: &Action| matches!(out, Action::Send { note: PeerMessage::RequestPermit { id, .. }, .. } if Some(*id) == step.given);
            if !step.outs.iter().any(elsewhere) {
                self.tally(&ask.service).requests.push_back(step.at);
            }
            let t1 = first_retry_delay(ask.target);
            self.tries.insert(request.clone(), RetrySchedule { t1, first: None, unused: false });
        } else if let Some(RetrySchedule { t1, first: Some(begun), unused: false }) = self.tries.get(&request)
        {
            let (t1, begun) = (*t1, *begun);
            self.retries += 1;
            let due = (1..40).map(|k| doubled_time(begun, t1, k));
            match due.take_while(|due| *due <= step.at + EARLY).last() {
                Some(due) => self.latest = self.latest.max(step.at.saturating_sub(due)),
                None => {
                    let after = (step.at.saturating_sub(begun)) as f64 / MS as f64;
                    let t1 = t1 as f64 / MS as f64;
                    self.broken(Rule::Doubled, step, || {
                        format!(
                            "a retry of {} {after:.3} ms after its first try, T1 is {t1:.3} ms",
                            ask.service
                        )
                    });
                }
            }
        }
        if let Some(id) = step.given {
            self.own.insert(id, Own { sent_to: None, granted: false, sent: ask.attempts_sent, request });
        }
    }

    fn mail(&mut self, step: &Step<'_>, from: &CompactString, life: u64, notes: &[PeerMessage]) {
        let known = self.lives.get(from).copied();
        if known.is_some_and(|known| known > life) {
            return;
        }
        if known != Some(life) {
            self.lives.insert(from.clone(), life);
            self.others.retain(|(who, _), _| who != from);
        }
        for note in notes {
            if let PeerMessage::RequestPermit { id, service, left, sent, first, .. } = note {
                let until =
                    step.at.saturating_add_signed((left.clamp(-1e7, 1e7) * MS as f64) as i64) + OVERDUE;
                let key = (from.clone(), *id);
                if *first && !self.others.contains_key(&key) {
                    self.tally(service).requests.push_back(step.at);
                }
                let other = Other { service: service.clone(), sent: *sent, until, granted: None };
                self.others.entry(key).or_insert(other);
            }
        }
    }

    /// A permit of this desk's is given out.
    fn given(&mut self, step: &Step<'_>, service: &str, sent: u32, instance: &str) {
        match self.known.get(instance) {
            Some(seen) if seen.stage == Stage::Ready && !seen.let_go => {}
            Some(seen) => {
                let (stage, let_go) = (seen.stage, seen.let_go);
                self.broken(Rule::Gone, step, || {
                    format!("a permit for {instance}, {stage:?}{}", if let_go { " and let go" } else { "" })
                });
            }
            None => self.broken(Rule::Gone, step, || format!("a permit for {instance}, which is not there")),
        }
        // Permits of an owner of before are taken in whatever they come to.
        let taken_in = match step.input {
            Input::ControllerMessage(PeerMessage::FullView { .. } | PeerMessage::ViewChange(_)) => true,
            Input::PeerMessages { messages: notes, .. } => notes.iter().any(|note| {
                matches!(note, PeerMessage::HeldPermit { .. } | PeerMessage::HandOverPermits { .. })
            }),
            _ => false,
        };
        let most = self.concurrency.get(service).map_or(1, |c| *c as usize);
        let out = step.desk.scheduler().permits().filter(|(.., id)| *id == instance).count();
        if out > most && !taken_in {
            self.broken(Rule::Full, step, || {
                format!("{instance} of {service} holds {out}, and may hold {most}")
            });
        }
        if sent > 0 {
            self.repeated(step, service);
        }
    }

    fn repeated(&mut self, step: &Step<'_>, service: &str) {
        let Some(terms) = self.terms.clone() else { return };
        let from = step.at.saturating_sub(terms.retry_window);
        let tally = self.tally(service);
        tally.repeats.push_back(step.at);
        for times in [&mut tally.repeats, &mut tally.requests] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
        let (repeats, requests) = (tally.repeats.len(), tally.requests.len());
        if repeats as f64 > requests as f64 * terms.retry_ratio + terms.retry_slack {
            self.broken(Rule::Budget, step, || {
                format!("{service}: {repeats} repeats to {requests} requests in a window")
            });
        }
    }

    fn granted(&mut self, step: &Step<'_>, ask: u64, instance: &CompactString) {
        let Some(own) = self.own.get_mut(&ask) else {
            return self
                .broken(Rule::Once, step, || format!("ask {ask} is granted, and nobody waits for it"));
        };
        let (service, sent) = (own.request.0.clone(), own.sent);
        if std::mem::replace(&mut own.granted, true) {
            self.broken(Rule::Once, step, || format!("ask {ask} is granted twice"));
        }
        // Else another stall has granted it.
        if step.desk.scheduler().has_request(&self.me, ask) {
            self.given(step, &service, sent, instance);
        }
    }

    fn sent(&mut self, step: &Step<'_>, to: &CompactString, note: &PeerMessage) {
        match note {
            PeerMessage::RequestPermit { id, .. } | PeerMessage::HeldPermit { id, .. } => {
                if let Some(own) = self.own.get_mut(id) {
                    own.sent_to = Some(to.clone());
                }
            }
            PeerMessage::Grant { id, instance, .. } => {
                let Some(name) =
                    step.desk.owners().peers().iter().find(|p| p.address == *to).map(|p| p.name.clone())
                else {
                    return;
                };
                // One that was taken in from the owner of before is told again, and takes no further slot.
                let again = step.before.is_some_and(|desk| desk.scheduler().has_request(&name, *id));
                let here = step.desk.scheduler().has_request(&name, *id) && !again;
                let Some(other) = self.others.get_mut(&(name.clone(), *id)) else {
                    return self
                        .broken(Rule::Once, step, || format!("ask {id} of {name} is granted unasked"));
                };
                let (service, sent) = (other.service.clone(), other.sent);
                let until = other.until;
                match other.granted.replace(instance.clone()) {
                    None if here => self.given(step, &service, sent, instance),
                    // Given back in the same letter, or told again.
                    None => {}
                    Some(before) if before == *instance => {}
                    Some(before) if step.at < until && self.known.contains_key(&before) => {
                        self.broken(Rule::Once, step, || {
                            format!("ask {id} of {name} is granted {instance}, and has {before}")
                        });
                    }
                    Some(_) => {}
                }
            }
            _ => {}
        }
    }

    /// What an input ends, after what came of it.
    fn ended(&mut self, step: &Step<'_>) {
        match step.input {
            Input::Cancel { id } => self.finished(step, *id, Outcome::Unused, 0),
            Input::Finish { id, outcome, took } => self.finished(step, *id, *outcome, *took),
            Input::PeerMessages { from, incarnation: life, messages: notes }
                if self.lives.get(from) == Some(life) =>
            {
                for note in notes {
                    match note {
                        PeerMessage::CancelRequest { id } => {
                            self.others.remove(&(from.clone(), *id));
                        }
                        PeerMessage::ReleasePermit { id, outcome, .. } => {
                            self.returned(step, from, *id, outcome)
                        }
                        _ => {}
                    }
                }
            }
            Input::ControllerMessage(PeerMessage::Instances { .. }) => {
                let broker = step.desk.scheduler();
                let there: BTreeSet<_> = broker.instances().map(|i| i.id.as_str()).collect();
                let orphan = broker
                    .permits()
                    .filter(|(.., id)| !there.contains(id) || !self.known.contains_key(*id))
                    .min();
                if let Some((who, ask, _, id)) = orphan {
                    let what = format!("{who} has permit {ask} for {id}, which is no more");
                    self.broken(Rule::Gone, step, || what);
                }
            }
            _ => {}
        }
    }

    /// Another stall has given a permit back.
    fn returned(&mut self, step: &Step<'_>, from: &CompactString, id: u64, outcome: &str) {
        let key = (from.clone(), id);
        let granted = self.others.get(&key).is_some_and(|other| other.granted.is_some());
        match step.desk.scheduler().has_request(from, id) {
            // Granted in the recording, and not in this play: it waits still.
            true if !granted => {}
            // What was given up may be running still: its slot stays taken for a while.
            true if Outcome::parse(outcome).unwrap_or(Outcome::Abandoned).may_still_run() => {
                self.others.remove(&key);
            }
            true => self.broken(Rule::Once, step, || format!("permit {id} of {from} is back, and still out")),
            false => {
                self.others.remove(&key);
            }
        }
    }

    fn finished(&mut self, step: &Step<'_>, id: u64, outcome: Outcome, took: Nanos) {
        let count = |is: &dyn Fn(&PeerMessage) -> bool| {
            step.outs.iter().filter(|out| matches!(out, Action::Send { note, .. } if is(note))).count()
        };
        let back = count(
            &|note| matches!(note, PeerMessage::ReleasePermit { id: of, .. } | PeerMessage::CancelRequest { id: of } if *of == id),
        );
        // An owner's own, of a function that it has handed over since.
        let passed = count(
            &|note| matches!(note, PeerMessage::ForwardRelease { who, id: of, .. } if *who == self.me && *of == id),
        );
        let own = self.own.remove(&id);
        let granted = own.as_ref().is_some_and(|own| own.granted);
        if outcome != Outcome::Unused && own.is_some() && !granted {
            self.strays += 1;
        }
        let expected = match &own {
            None => 0,
            Some(_) if step.had => 0,
            Some(own) => {
                let to = own.sent_to.as_ref();
                usize::from(to.is_some_and(|to| step.desk.owners().peers().iter().any(|p| p.address == *to)))
            }
        };
        // A refused ask is over before it is finished; nothing goes back then.
        let by_hand = passed == 1 && back == 0;
        if !by_hand && (back + passed > expected || back < expected && granted) {
            self.broken(Rule::Once, step, || format!("ask {id} is given back {back} times, for {expected}"));
        }
        if !outcome.may_still_run() && step.desk.scheduler().has_request(&self.me, id) {
            self.broken(Rule::Once, step, || format!("ask {id} is over, and its permit is still out"));
        }
        if let Some(tries) = own.and_then(|own| self.tries.get_mut(&own.request)) {
            tries.unused = outcome == Outcome::Unused && granted;
            if outcome != Outcome::Unused {
                tries.first.get_or_insert(step.at.saturating_sub(took));
            }
        }
    }

    fn sweep(&mut self, now: Nanos) {
        self.swept = now;
        self.tries.retain(|(_, deadline, _), _| deadline.saturating_add(OVERDUE) > now);
        self.others.retain(|_, other| other.until.saturating_add(OVERDUE) > now);
    }
}
