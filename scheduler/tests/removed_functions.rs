//! Requests queued for a function that is removed from the configuration, from the owner that drops them
//! to the response to the client.

use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{
    Action, Coordinator, DenialReason, FlowStep, FunctionSpec, MS, Nanos, Owners, Peer, Refusal, RequestFlow,
    RequestInfo, SECOND, SchedulerLimits,
};

const T: Nanos = 2 * SECOND;

fn peer(n: usize) -> Peer {
    Peer { name: format!("edge-{n}").into(), address: format!("edge-{n}").into(), zone: "z".into() }
}

/// Which of the two proxies owns a function.
fn owner(service: &str) -> usize {
    let owners = Owners::new((1, 1), vec![peer(0), peer(1)], []);
    owners.owner(service, "z", |_| true).expect("an owner").name[5..].parse().expect("a number")
}

fn spec(name: &str) -> FunctionSpec {
    FunctionSpec { name: name.into(), concurrency: 1, startup_time: 400 * MS, memory_mb: 128 }
}

/// Two proxies with the functions `s`, which has one instance, and `t`, which has two.
struct Cluster {
    coordinators: [Coordinator; 2],
    in_transit: Vec<(usize, usize, PeerMessage)>,
    /// Responses to permit requests: proxy, request id, and the instance or the reason for the denial.
    responses: Vec<(usize, u64, Result<String, DenialReason>)>,
}

impl Cluster {
    fn new() -> Self {
        let coordinator = |n: usize| {
            let limits = SchedulerLimits {
                retry_ratio: 0.2,
                retry_window: 10 * SECOND,
                retry_slack: 50.0,
                requests_per_s: 1e6,
                rank_by_latency: false,
            };
            let mut coordinator = Coordinator::new(peer(n), limits, n as u64, 1_000 * n as u64);
            coordinator.configure(0, [spec("s"), spec("t")].into_iter());
            coordinator.receive_from_controller(
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
            coordinator.receive_from_controller(
                0,
                PeerMessage::Instances { version: (1, 1), all: true, set, gone: vec![] },
            );
            coordinator.tick(T);
            coordinator
        };
        let mut cluster =
            Cluster { coordinators: [coordinator(0), coordinator(1)], in_transit: vec![], responses: vec![] };
        cluster.deliver_all(T);
        cluster
    }

    /// Delivers all messages at once.
    fn deliver_all(&mut self, now: Nanos) {
        loop {
            for n in 0..2 {
                for out in self.coordinators[n].take_actions() {
                    match out {
                        Action::Send { to, note: message } => {
                            self.in_transit.push((n, to[5..].parse().expect("a number"), message))
                        }
                        Action::Granted { ask: request_id, instance, .. } => {
                            self.responses.push((n, request_id, Ok(instance.into())))
                        }
                        Action::Refused { ask: request_id, reason } => {
                            self.responses.push((n, request_id, Err(reason)))
                        }
                        _ => {}
                    }
                }
            }
            if self.in_transit.is_empty() {
                return;
            }
            for (from, to, message) in std::mem::take(&mut self.in_transit) {
                self.coordinators[to].receive(now, &format!("edge-{from}"), 1, vec![message]);
            }
        }
    }

    /// Makes the permit request of a flow step.
    fn request(&mut self, now: Nanos, n: usize, step: FlowStep<u16>) -> u64 {
        let FlowStep::RequestPermit(request_id, first) = step else { panic!("{step:?}") };
        let id =
            self.coordinators[n].request_permit(now, request_id, first).expect("below the request limit");
        self.deliver_all(now);
        id
    }

    fn response(&self, n: usize, id: u64) -> Option<&Result<String, DenialReason>> {
        self.responses
            .iter()
            .find(|(who, request_id, _)| (*who, *request_id) == (n, id))
            .map(|(.., response)| response)
    }

    fn remove_s(&mut self, now: Nanos, n: usize) {
        self.coordinators[n].configure(now, [spec("t")].into_iter());
        self.deliver_all(now);
    }
}

/// The flow of a returning request, which is queued rather than denied.
fn flow(received_at: Nanos) -> RequestFlow<u16> {
    let (service, zone) = ("s".into(), "z".into());
    let (target, repeatable, max_attempts, returned) = (400 * MS, false, 1, true);
    let deadline = received_at + 1_500 * MS;
    RequestFlow::new(RequestInfo {
        service,
        zone,
        target,
        repeatable,
        max_attempts,
        received_at,
        deadline,
        returned,
    })
}

/// Which of the two proxies makes the request, and whether the owner receives the configuration change
/// before it does.
#[yare::parameterized(
    owner_requests = { true, true },
    other_requests_and_owner_is_configured_first = { false, true },
    other_requests_and_is_configured_first = { false, false },
)]
fn queued_request_follows_its_route_and_keeps_its_arrival_time(same: bool, owner_first: bool) {
    let mut cluster = Cluster::new();
    let owner_index = owner("s");
    let requester = if same { owner_index } else { 1 - owner_index };
    let running = flow(T).begin(true);
    let running = cluster.request(T, requester, running);
    assert_eq!(cluster.response(requester, running), Some(&Ok("i".to_owned())));
    let mut queued = flow(T + 10 * MS);
    let step = queued.begin(true);
    let before = cluster.request(T + 10 * MS, requester, step);
    assert_eq!(cluster.response(requester, before), None);

    let now = T + 100 * MS;
    cluster.remove_s(now, if owner_first { owner_index } else { requester });
    if !owner_first {
        assert_eq!(cluster.response(requester, before), None, "the request is still queued");
        cluster.remove_s(now, owner_index);
    }
    assert_eq!(cluster.response(requester, before), Some(&Err(DenialReason::Moved)));
    assert_eq!(queued.denied(now, DenialReason::Moved), FlowStep::ResolveRoute);
    let (mut now, mut step) = (now, queued.route_resolved(now, Some("t".into())));
    if owner_first && !same {
        // By this proxy's older configuration the route still leads to the same function for a moment.
        let mut behind = flow(T + 10 * MS);
        behind.begin(true);
        behind.denied(now, DenialReason::Moved);
        let FlowStep::Wait(again) = behind.route_resolved(now, Some("s".into())) else {
            panic!("expected a wait before resolving the route again")
        };
        let asked_again = behind.request_permit();
        let id = cluster.request(again, requester, asked_again);
        assert_eq!(
            cluster.response(requester, id),
            Some(&Err(DenialReason::Moved)),
            "while proxies may have an older configuration"
        );
        cluster.remove_s(again, requester);
        behind.denied(again, DenialReason::Moved);
        (now, step) = (again, behind.route_resolved(again, Some("t".into())));
    }
    let FlowStep::RequestPermit(request, first) = &step else { panic!("{step:?}") };
    assert_eq!((request.service.as_str(), *first, request.returned), ("t", true, true));
    assert_eq!((request.deadline, request.soft_deadline), (T + 1_510 * MS, T + 410 * MS));
    let id = cluster.request(now, requester, step);
    assert!(matches!(cluster.response(requester, id), Some(Ok(instance)) if instance != "i"));
}

#[test]
fn request_that_may_have_run_or_has_no_route_is_not_moved() {
    use millpost_scheduler::Outcome;
    let mut gone = flow(T);
    gone.begin(true);
    assert_eq!(gone.denied(T, DenialReason::Moved), FlowStep::ResolveRoute);
    assert_eq!(gone.route_resolved(T, None), FlowStep::Respond(Err(Refusal::NotReady)));

    let info = RequestInfo { repeatable: true, max_attempts: 2, ..flow(T).info().clone() };
    let mut ran = RequestFlow::<u16>::new(info);
    ran.begin(true);
    ran.granted(T);
    let step = ran.attempt_ended(T + MS, "i".into(), Outcome::NoAnswer, true, None);
    assert!(matches!(step, FlowStep::Wait(_)));
    ran.request_permit();
    assert_eq!(ran.denied(T + 100 * MS, DenialReason::Moved), FlowStep::Respond(Err(Refusal::NoAnswer)));

    // While the new owner does not know the function yet, it is asked again until the deadline.
    let mut early = flow(T);
    early.begin(true);
    early.denied(T, DenialReason::Moved);
    assert!(matches!(early.route_resolved(T, Some("t".into())), FlowStep::RequestPermit(..)));
    assert_eq!(early.denied(T, DenialReason::Unknown), FlowStep::Wait(T + 50 * MS));
    assert_eq!(early.denied(T + 1_460 * MS, DenialReason::Unknown), FlowStep::Respond(Err(Refusal::NotSent)));
}

/// An owner remembers removed functions for a while; a function that a later configuration names again
/// works as before.
#[test]
fn late_requests_for_a_removed_function_are_moved_until_it_is_configured_again() {
    let mut cluster = Cluster::new();
    let owner_index = owner("s");
    cluster.remove_s(T, owner_index);
    for (at, reason) in [(T + 9 * SECOND, DenialReason::Moved), (T + 11 * SECOND, DenialReason::Unknown)] {
        let step = flow(at).begin(true);
        let id = cluster.request(at, owner_index, step);
        assert_eq!(cluster.response(owner_index, id), Some(&Err(reason)));
    }
    let now = T + 12 * SECOND;
    cluster.remove_s(now, owner_index);
    cluster.coordinators[owner_index].configure(now, [spec("s"), spec("t")].into_iter());
    let step = flow(now).begin(true);
    let id = cluster.request(now, owner_index, step);
    assert!(!matches!(cluster.response(owner_index, id), Some(Err(_))));
}
