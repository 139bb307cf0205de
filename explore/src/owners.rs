//! Owners and permits in the small: the real desks of three proxies, a function whose owner changes while permits are out, and mail that
//! comes in any order. Time stands still, so that nothing is forgiven for its sake: what two owners give together may never be more than
//! there is.
//!
//! A desk is not copied: a world is played again from its start. Two worlds are the same where each desk has heard the same in the same
//! order, since all else follows from that.

use std::hash::Hash;

use compact_str::{CompactString, format_compact};
use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{
    Action, Coordinator, FunctionSpec, MS, Nanos, Outcome, Owners, Peer, PermitRequest, SECOND,
    SchedulerLimits,
};

use crate::part::print;
use crate::search::{State, Way};

/// What must hold.
pub mod property {
    /// An instance never has more permits out than it may hold requests at once.
    pub const LIMIT: &str = "never more permits out for an instance than it has slots";
    /// An ask ends once.
    pub const ONCE: &str = "no ask is granted twice";
    /// In the end every ask is answered and every slot is free again.
    pub const END: &str = "every ask is answered, and no permit stays out";
}

const T: Nanos = 2 * SECOND;
const SERVICE: &str = "f";
const DESKS: usize = 3;
/// The owner by the first naming, and the one by the second.
const OLD: usize = 0;
const NEW: usize = 2;
/// In a world's end time goes on by this, so often.
const TICK: Nanos = 25 * MS;
const TICKS: u64 = 200;

/// What is wrong with a world, to see that a property finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// An owner of before says that it has nothing out.
    OverIsEmpty,
    /// Owners take an instance to have a slot more than it has.
    OneSlotTooMany,
    /// A proxy that leaves is said to be gone.
    LeavesAsGone,
}

/// Each fault, and a word of the worlds in which it is looked for.
pub const FAULTS: [(Fault, &str); 3] =
    [(Fault::OverIsEmpty, "owners"), (Fault::OneSlotTooMany, "owners"), (Fault::LeavesAsGone, "one leaves")];

/// Steps off a calm day, unless more are asked for.
pub const DEVIATIONS: u8 = 3;

/// A world to be explored.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What happens in it.
    pub name: &'static str,
    /// Instances, with one slot each.
    pub instances: u8,
    /// Asks of each desk, the owner of before first, the one that comes last.
    pub asks: [u8; DESKS],
    /// The owner of before is named no more, though it lives.
    pub leaves: bool,
    /// The end is looked at, too.
    pub ends: bool,
}

/// Worlds in which all holds.
pub fn cases() -> Vec<Case> {
    let case = |name, instances, asks| Case { name, instances, asks, leaves: false, ends: false };
    let one = |name, leaves, ends| Case { leaves, ends, ..case(name, 1, [1, 1, 0]) };
    vec![
        case("owners: one comes, one slot, two asks", 1, [1, 1, 0]),
        case("owners: one comes, the newcomer asks too", 1, [0, 1, 1]),
        case("owners: one comes, two slots, an ask of each", 2, [1, 1, 1]),
        one("owners: one leaves, one slot, two asks", true, false),
        one("owners: one comes, and all ends", false, true),
        one("owners: one leaves, and all ends", true, true),
    ]
}

/// More at once.
pub fn large() -> Vec<Case> {
    let name = "owners: one comes, two slots, two asks of one";
    vec![Case { name, instances: 2, asks: [0, 2, 0], leaves: false, ends: false }]
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// A desk asks.
    Ask(u8),
    /// A desk hears of the second naming.
    Named(u8),
    /// The note in this place comes.
    Comes(u8),
    /// The request with the permit in this place is answered.
    Ends(u8),
}

#[derive(Clone, Debug, Hash)]
struct Mail {
    from: u8,
    to: u8,
    text: String,
}

#[derive(Clone, Debug)]
struct Granted {
    desk: u8,
    ask: u64,
    instance: CompactString,
}

/// A world.
pub struct World {
    case: Case,
    fault: Option<Fault>,
    /// The numbers that name the desks.
    names: [usize; DESKS],
    desks: Vec<Coordinator>,
    /// What each has heard, in one number.
    heard: [u128; DESKS],
    now: Nanos,
    mail: Vec<(Mail, PeerMessage)>,
    granted: Vec<Granted>,
    /// Every grant that there was, by desk and ask.
    ever: Vec<(u8, u64)>,
    left: [u8; DESKS],
    named: [bool; DESKS],
    breach: Option<&'static str>,
    way: Vec<Step>,
}

fn peer(n: usize) -> Peer {
    let zone = ["a", "b"][n % 2].into();
    Peer { name: format_compact!("edge-{n}"), address: format_compact!("edge-{n}:1"), zone }
}

fn owner(who: &[usize]) -> CompactString {
    let owners = Owners::new((1, 1), who.iter().map(|n| peer(*n)).collect(), None);
    owners.owner(SERVICE, "a", |_| true).map(|peer| peer.name.clone()).unwrap_or_default()
}

/// Three numbers such that the first owns the function while the third is not there, and the third once it is: with the first in its
/// place or gone.
fn names() -> [usize; DESKS] {
    let all = || 0..12_usize;
    let fits = |[old, other, new]: [usize; DESKS]| {
        let differ = old != other && other != new && new != old;
        let named = |who: &[usize], n: usize| owner(who) == peer(n).name;
        differ && named(&[old, other], old) && named(&[old, other, new], new) && named(&[other, new], new)
    };
    let triples = all().flat_map(|a| all().flat_map(move |b| all().map(move |c| [a, b, c])));
    triples.into_iter().find(|triple| fits(*triple)).unwrap_or([0, 1, 2])
}

impl Case {
    /// Its beginning.
    pub fn start(self, fault: Option<Fault>) -> World {
        let names = names();
        let mut world = World {
            case: self,
            fault,
            names,
            desks: Vec::new(),
            heard: [0; DESKS],
            now: T,
            mail: Vec::new(),
            granted: Vec::new(),
            ever: Vec::new(),
            left: self.asks,
            named: [false; DESKS],
            breach: None,
            way: Vec::new(),
        };
        for (at, n) in names.into_iter().enumerate() {
            let terms = SchedulerLimits {
                retry_ratio: 0.2,
                retry_window: 10 * SECOND,
                retry_slack: 50.0,
                requests_per_s: 100.0,
                rank_by_latency: false,
            };
            let mut desk = Coordinator::new(peer(n), terms, n as u64, 1_000 * (at as u64 + 1));
            let concurrency = if fault == Some(Fault::OneSlotTooMany) { 2 } else { 1 };
            let spec =
                FunctionSpec { name: SERVICE.into(), concurrency, startup_time: 400 * MS, memory_mb: 128 };
            desk.configure(0, [spec].into_iter());
            desk.receive_from_controller(0, world.naming(1));
            // Only owners hear of instances.
            if at == OLD {
                desk.receive_from_controller(0, world.instances(1));
            }
            desk.tick(T);
            desk.take_actions();
            world.desks.push(desk);
        }
        world
    }
}

impl World {
    fn naming(&self, version: u64) -> PeerMessage {
        let [old, other, new] = self.names;
        let (stay, leave) = match (version, self.case.leaves) {
            (1, _) => (vec![old, other], vec![]),
            (_, true) if self.fault == Some(Fault::LeavesAsGone) => (vec![other, new], vec![]),
            (_, true) => (vec![other, new], vec![old]),
            (_, false) => (vec![old, other, new], vec![]),
        };
        let peers = |of: Vec<usize>| of.into_iter().map(peer).collect();
        PeerMessage::FullView {
            version: (1, version),
            peers: peers(stay),
            leaving: peers(leave),
            split: vec![],
        }
    }

    fn instances(&self, version: u64) -> PeerMessage {
        let instance = |n: u8| Instance {
            id: format_compact!("i-{n}"),
            service: SERVICE.into(),
            address: format_compact!("10.0.0.{n}:80"),
            zone: "a".into(),
            worker: "w".into(),
            stage: 1,
        };
        let set = (0..self.case.instances).map(instance).collect();
        PeerMessage::Instances { version: (1, version), all: true, set, gone: vec![] }
    }

    /// A desk hears something, and what it says is put on its way.
    fn with(&mut self, at: u8, what: &impl Hash, hear: impl FnOnce(&mut Coordinator, Nanos)) {
        let place = usize::from(at);
        self.heard[place] = print(&(self.heard[place], self.now, what));
        let Some(desk) = self.desks.get_mut(place) else { return };
        hear(desk, self.now);
        for out in desk.take_actions() {
            match out {
                Action::Send { to, note } => self.send(at, &to, note),
                Action::Granted { ask, instance, .. } => self.grant(Granted { desk: at, ask, instance }),
                _ => {}
            }
        }
        self.look();
    }

    fn send(&mut self, from: u8, to: &str, note: PeerMessage) {
        let Some(to) = self.names.iter().position(|n| peer(*n).address == to) else { return };
        let note = match (self.fault, note) {
            (Some(Fault::OverIsEmpty), PeerMessage::HandOverPermits { service, version, .. }) => {
                PeerMessage::HandOverPermits { service, version, permits: vec![] }
            }
            (_, note) => note,
        };
        let text = note.to_json().stringify().unwrap_or_default();
        self.mail.push((Mail { from, to: to as u8, text }, note));
    }

    fn grant(&mut self, granted: Granted) {
        let key = (granted.desk, granted.ask);
        if self.ever.contains(&key) {
            self.breach = Some(property::ONCE);
        }
        self.ever.push(key);
        self.granted.push(granted);
    }

    fn look(&mut self) {
        let out = |n: u8| self.granted.iter().filter(|g| g.instance == format_compact!("i-{n}")).count();
        if (0..self.case.instances).any(|n| out(n) > 1) {
            self.breach = self.breach.or(Some(property::LIMIT));
        }
    }

    fn happen(&mut self, step: Step) {
        self.way.push(step);
        self.act(step);
        if self.case.ends && self.breach.is_none() && self.steps().is_empty() {
            self.end();
        }
    }

    fn act(&mut self, step: Step) {
        match step {
            Step::Ask(at) => {
                self.left[usize::from(at)] -= 1;
                let zone = peer(self.names[usize::from(at)]).zone;
                self.with(at, &"ask", |desk, now| {
                    let ask = PermitRequest {
                        id: 0,
                        service: SERVICE.into(),
                        deadline: now + 4 * SECOND,
                        soft_deadline: now + 300 * MS,
                        target: 300 * MS,
                        attempts_sent: 0,
                        returned: true,
                        avoid: vec![],
                        zone,
                    };
                    desk.request_permit(now, ask, true);
                });
            }
            Step::Named(at) => {
                self.named[usize::from(at)] = true;
                let (naming, instances) = (self.naming(2), self.instances(2));
                self.with(at, &"named", |desk, now| {
                    desk.receive_from_controller(now, naming);
                    if usize::from(at) == NEW {
                        desk.receive_from_controller(now, instances);
                    }
                });
            }
            Step::Comes(place) => {
                let (Mail { from, to, text }, note) = self.mail.remove(usize::from(place));
                let name = peer(self.names[usize::from(from)]).name;
                self.with(to, &(from, text), |desk, now| desk.receive(now, &name, 1, vec![note]));
            }
            Step::Ends(place) => {
                let Granted { desk, ask, .. } = self.granted.remove(usize::from(place));
                self.with(desk, &("ends", ask), |of, now| of.finish(now, ask, Outcome::Answered, 50 * MS));
            }
        }
    }

    /// Nothing is left to happen: time goes on, and all that comes of it is taken in its order.
    fn end(&mut self) {
        for _ in 0..TICKS {
            self.now += TICK;
            (0..DESKS as u8).for_each(|at| self.with(at, &"tick", |desk, now| desk.tick(now)));
            for _ in 0..100 {
                let step = if self.mail.is_empty() { Step::Ends(0) } else { Step::Comes(0) };
                if self.mail.is_empty() && self.granted.is_empty() || self.breach.is_some() {
                    break;
                }
                self.act(step);
            }
        }
        let out = self
            .desks
            .iter()
            .any(|desk| desk.scheduler().permits().count() > 0 || desk.open_request_count() > 0);
        let asked: usize = self.case.asks.iter().map(|n| usize::from(*n)).sum();
        if out || self.ever.len() < asked {
            self.breach = self.breach.or(Some(property::END));
        }
    }

    fn steps(&self) -> Vec<Step> {
        let desks = || 0..DESKS as u8;
        let mut all: Vec<Step> = (0..self.mail.len() as u8).map(Step::Comes).collect();
        all.extend((0..self.granted.len() as u8).map(Step::Ends));
        // The one that comes asks once it is named.
        let may_ask =
            |at: &u8| self.left[usize::from(*at)] > 0 && (usize::from(*at) != NEW || self.named[NEW]);
        all.extend(desks().filter(may_ask).map(Step::Ask));
        all.extend(desks().filter(|at| !self.named[usize::from(*at)]).map(Step::Named));
        all
    }
}

impl Clone for World {
    fn clone(&self) -> Self {
        let mut world = self.case.start(self.fault);
        self.way.iter().for_each(|step| world.happen(*step));
        world
    }
}

impl State for World {
    type Step = Step;

    fn expand(&self, mut each: impl FnMut(Step, World)) {
        if self.breach.is_none() {
            self.steps().into_iter().for_each(|step| each(step, self.after(step)));
        }
    }
    fn after(&self, step: Step) -> World {
        let mut world = self.clone();
        world.happen(step);
        world
    }
    fn settle(&mut self) {}
    fn fingerprint(&self, _: &mut Vec<u8>) -> u128 {
        print(&(self.heard, self.left, self.named, self.breach))
    }
    fn breach(&self) -> Option<&'static str> {
        self.breach
    }
    fn calm(&self) -> Option<Step> {
        self.steps().first().copied()
    }
}

/// A way for people: a step a line.
pub fn text(way: &Way<World>) -> String {
    let mut out = String::new();
    for (n, (world, step)) in way.iter().enumerate() {
        out += &format!("  {n:>3}  ");
        match (step, world.breach) {
            (Some(Step::Comes(place)), _) => {
                let (Mail { from, to, text }, _) = &world.mail[usize::from(*place)];
                out += &format!("{from} -> {to}: {text}\n");
            }
            (Some(step), _) => out += &format!("{step:?}\n"),
            (None, Some(name)) => out += &format!("does not hold: {name}\n"),
            (None, None) => out += "\n",
        }
    }
    out
}
