//! What waits for a function that the configuration names no more, from the owner that drops it to what its client is told.

use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{
    Action, Coordinator, DenialReason, FlowStep, FunctionSpec, MS, Nanos, Owners, Peer, Refusal, RequestFlow,
    RequestInfo, SECOND, SchedulerLimits,
};

const T: Nanos = 2 * SECOND;

fn peer(n: usize) -> Peer {
    Peer { name: format!("edge-{n}").into(), address: format!("edge-{n}").into(), zone: "z".into() }
}

/// Which of two stalls owns a function.
fn owner(service: &str) -> usize {
    let owners = Owners::new((1, 1), vec![peer(0), peer(1)], []);
    owners.owner(service, "z", |_| true).expect("one").name[5..].parse().expect("a number")
}

fn spec(name: &str) -> FunctionSpec {
    FunctionSpec { name: name.into(), concurrency: 1, startup_time: 400 * MS, memory_mb: 128 }
}

/// Two stalls with `s`, which has one instance, and `t`, which has two.
struct Town {
    desks: [Coordinator; 2],
    mail: Vec<(usize, usize, PeerMessage)>,
    /// Words for asks: who asked, its number, the instance or why not.
    words: Vec<(usize, u64, Result<String, DenialReason>)>,
}

impl Town {
    fn new() -> Self {
        let desk = |n: usize| {
            let terms = SchedulerLimits {
                retry_ratio: 0.2,
                retry_window: 10 * SECOND,
                retry_slack: 50.0,
                requests_per_s: 1e6,
                rank_by_latency: false,
            };
            let mut desk = Coordinator::new(peer(n), terms, n as u64, 1_000 * n as u64);
            desk.configure(0, [spec("s"), spec("t")].into_iter());
            desk.receive_from_controller(
                0,
                PeerMessage::FullView {
                    version: (1, 1),
                    peers: vec![peer(0), peer(1)],
                    leaving: vec![],
                    split: vec![],
                },
            );
            let instance = |(id, service): (&str, &str)| Instance {
                id: id.into(),
                service: service.into(),
                address: "10.0.0.9:80".into(),
                zone: "z".into(),
                worker: "w".into(),
                stage: 1,
            };
            let set = [("i", "s"), ("j", "t"), ("k", "t")].map(instance).into();
            desk.receive_from_controller(
                0,
                PeerMessage::Instances { version: (1, 1), all: true, set, gone: vec![] },
            );
            desk.tick(T);
            desk
        };
        let mut town = Town { desks: [desk(0), desk(1)], mail: vec![], words: vec![] };
        town.carry_out(T);
        town
    }

    /// All mail comes at once.
    fn carry_out(&mut self, now: Nanos) {
        loop {
            for n in 0..2 {
                for out in self.desks[n].take_actions() {
                    match out {
                        Action::Send { to, note } => {
                            self.mail.push((n, to[5..].parse().expect("a number"), note))
                        }
                        Action::Granted { ask, instance, .. } => {
                            self.words.push((n, ask, Ok(instance.into())))
                        }
                        Action::Refused { ask, reason: no } => self.words.push((n, ask, Err(no))),
                        _ => {}
                    }
                }
            }
            if self.mail.is_empty() {
                return;
            }
            for (from, to, note) in std::mem::take(&mut self.mail) {
                self.desks[to].receive(now, &format!("edge-{from}"), 1, vec![note]);
            }
        }
    }

    /// Asks as a passage wants it, and what is said to it at once.
    fn ask(&mut self, now: Nanos, n: usize, step: FlowStep<u16>) -> u64 {
        let FlowStep::RequestPermit(ask, first) = step else { panic!("{step:?}") };
        let id = self.desks[n].request_permit(now, ask, first).expect("room");
        self.carry_out(now);
        id
    }

    fn word(&self, n: usize, id: u64) -> Option<&Result<String, DenialReason>> {
        self.words.iter().find(|(who, ask, _)| (*who, *ask) == (n, id)).map(|(.., word)| word)
    }

    fn drop_s(&mut self, now: Nanos, n: usize) {
        self.desks[n].configure(now, [spec("t")].into_iter());
        self.carry_out(now);
    }
}

/// One that came back, so that it waits rather than be turned away.
fn passage(came: Nanos) -> RequestFlow<u16> {
    let (service, zone) = ("s".into(), "z".into());
    let (target, repeatable, most, returned) = (400 * MS, false, 1, true);
    let deadline = came + 1_500 * MS;
    RequestFlow::new(RequestInfo {
        service,
        zone,
        target,
        repeatable,
        max_attempts: most,
        received_at: came,
        deadline,
        returned,
    })
}

/// Which of the two stalls asks, and whether the owner hears of the change before it does.
#[yare::parameterized(
    the_owner_asks = { true, true },
    another_and_the_owner_hears_first = { false, true },
    another_that_hears_first = { false, false },
)]
fn a_request_that_waits_goes_on_where_its_route_leads_with_its_time_of_arrival(
    same: bool,
    owner_first: bool,
) {
    let mut town = Town::new();
    let owns = owner("s");
    let asks = if same { owns } else { 1 - owns };
    let runs = passage(T).begin(true);
    let runs = town.ask(T, asks, runs);
    assert_eq!(town.word(asks, runs), Some(&Ok("i".to_owned())));
    let mut waits = passage(T + 10 * MS);
    let step = waits.begin(true);
    let before = town.ask(T + 10 * MS, asks, step);
    assert_eq!(town.word(asks, before), None);

    let now = T + 100 * MS;
    town.drop_s(now, if owner_first { owns } else { asks });
    if !owner_first {
        assert_eq!(town.word(asks, before), None, "it waits as before");
        town.drop_s(now, owns);
    }
    assert_eq!(town.word(asks, before), Some(&Err(DenialReason::Moved)));
    assert_eq!(waits.denied(now, DenialReason::Moved), FlowStep::ResolveRoute);
    let (mut now, mut step) = (now, waits.route_resolved(now, Some("t".into())));
    if owner_first && !same {
        // By its own configuration, for a moment, the route leads where it led.
        let mut behind = passage(T + 10 * MS);
        behind.begin(true);
        behind.denied(now, DenialReason::Moved);
        let FlowStep::Wait(again) = behind.route_resolved(now, Some("s".into())) else {
            panic!("it looks again")
        };
        let asked_again = behind.request_permit();
        let id = town.ask(again, asks, asked_again);
        assert_eq!(
            town.word(asks, id),
            Some(&Err(DenialReason::Moved)),
            "as long as stalls may not have heard"
        );
        town.drop_s(again, asks);
        behind.denied(again, DenialReason::Moved);
        (now, step) = (again, behind.route_resolved(again, Some("t".into())));
    }
    let FlowStep::RequestPermit(ask, first) = &step else { panic!("{step:?}") };
    assert_eq!((ask.service.as_str(), *first, ask.returned), ("t", true, true));
    assert_eq!((ask.deadline, ask.soft_deadline), (T + 1_510 * MS, T + 410 * MS));
    let id = town.ask(now, asks, step);
    assert!(matches!(town.word(asks, id), Some(Ok(instance)) if instance != "i"));
}

#[test]
fn what_may_have_run_goes_nowhere_else_and_without_a_route_nothing_does() {
    use millpost_scheduler::Outcome;
    let mut gone = passage(T);
    gone.begin(true);
    assert_eq!(gone.denied(T, DenialReason::Moved), FlowStep::ResolveRoute);
    assert_eq!(gone.route_resolved(T, None), FlowStep::Respond(Err(Refusal::NotReady)));

    let wish = RequestInfo { repeatable: true, max_attempts: 2, ..passage(T).info().clone() };
    let mut ran = RequestFlow::<u16>::new(wish);
    ran.begin(true);
    ran.granted(T);
    let step = ran.attempt_ended(T + MS, "i".into(), Outcome::NoAnswer, true, None);
    assert!(matches!(step, FlowStep::Wait(_)));
    ran.request_permit();
    assert_eq!(ran.denied(T + 100 * MS, DenialReason::Moved), FlowStep::Respond(Err(Refusal::NoAnswer)));

    // Where the new owner has not heard of the function yet, it is asked again until the time is over.
    let mut early = passage(T);
    early.begin(true);
    early.denied(T, DenialReason::Moved);
    assert!(matches!(early.route_resolved(T, Some("t".into())), FlowStep::RequestPermit(..)));
    assert_eq!(early.denied(T, DenialReason::Unknown), FlowStep::Wait(T + 50 * MS));
    assert_eq!(early.denied(T + 1_460 * MS, DenialReason::Unknown), FlowStep::Respond(Err(Refusal::NotSent)));
}

/// An owner remembers for a while what it has dropped; what comes again with a later configuration is there as before.
#[test]
fn a_function_is_gone_for_those_who_ask_late_and_back_with_the_configuration() {
    let mut town = Town::new();
    let owns = owner("s");
    town.drop_s(T, owns);
    for (at, no) in [(T + 9 * SECOND, DenialReason::Moved), (T + 11 * SECOND, DenialReason::Unknown)] {
        let step = passage(at).begin(true);
        let id = town.ask(at, owns, step);
        assert_eq!(town.word(owns, id), Some(&Err(no)));
    }
    let now = T + 12 * SECOND;
    town.drop_s(now, owns);
    town.desks[owns].configure(now, [spec("s"), spec("t")].into_iter());
    let step = passage(now).begin(true);
    let id = town.ask(now, owns, step);
    assert!(!matches!(town.word(owns, id), Some(Err(_))));
}
