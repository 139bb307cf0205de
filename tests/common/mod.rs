//! What the tests share: settings, short forms of events, and a recorder of what the module does.
#![allow(dead_code)]

use millpost::Control;
use millpost::api::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub fn class(effect: Effect) -> Class {
    Class {
        aim: 2 * S,
        deadline: 20 * S,
        worth: 1.0,
        late_worth: 0.5,
        effect,
        in_order: false,
        retired: false,
    }
}

/// T1 is 500 ms under these settings. Classes: 0 safe, 1 keyed, 2 unsafe, 3 keyed and in order.
pub fn settings() -> Settings {
    let keyed = Effect::Keyed { window: 5 * S, zone_only: false };
    Settings {
        me: 0,
        dispatchers: 2,
        classes: vec![
            class(Effect::Safe),
            class(keyed),
            class(Effect::Unsafe),
            Class { in_order: true, ..class(keyed) },
        ],
        tenants: vec![],
        over_share_worth: 1.0,
        kinds: vec![
            Kind { bundle: 1, apart: false },
            Kind { bundle: 10, apart: false },
            Kind { bundle: 1, apart: true },
        ],
        late: LateDecay::Even,
        slots: 8,
        hold: 100,
        try_limit: 6,
        tick: 5 * MS,
        connect_timeout: S,
        keepalive: 5 * S,
        streams: 1,
        max_retry_after: 2 * S,
        allow: Permissions { probes: true, notes: true, cancel: true, retry_after: true },
        rules: Rules {
            answer_grace: 20 * MS,
            drain_grace: 500 * MS,
            cold_from: 0.25,
            cold: 12 * S,
            fall_multiple: 1.5,
            fall: 2 * S,
            key_rest: 300 * MS,
        },
        weights: Weights::Unknown,
        subscribe: false,
    }
}

pub fn entry(endpoint: EndpointId, dest: DestId, kind: usize) -> Entry {
    Entry { endpoint, zone: 0, kind, dest, state: State::Ready, weight: 0.0 }
}

pub struct Bench {
    pub control: Control,
    pub now: Nanos,
    pub wake: Option<Nanos>,
}

impl Bench {
    pub fn new(settings: Settings, entries: Vec<Entry>) -> Self {
        let mut control = Control::new(settings, 1);
        control.on_event(0, Event::Listed { whole: true, entries });
        Bench { control, now: 0, wake: None }
    }
    pub fn tell(&mut self, event: Event) {
        self.control.on_event(self.now, event);
    }
    pub fn take(&mut self, id: MsgId, class: usize, dest: DestId) {
        self.take_key(id, class, dest, None);
    }
    pub fn take_key(&mut self, id: MsgId, class: usize, dest: DestId, key: Option<u64>) {
        self.tell(Event::Message { id, class, tenant: None, key, dest, time_left: 20 * S });
    }
    pub fn over(&mut self, id: MsgId, attempt: u32, endpoint: EndpointId, outcome: Outcome, took: Nanos) {
        let closed = outcome == Outcome::Served;
        self.tell(Event::Outcome { id, attempt, endpoint, outcome, took, closed, report: None });
    }
    /// A refusal as full of a first attempt, with what the report says.
    pub fn refused(&mut self, id: MsgId, attempt: u32, share_left: f64, limit: f64) {
        let report = Some(Report { share_left, limit });
        let (outcome, took, closed) = (Outcome::Full(None), 5 * MS, false);
        self.tell(Event::Outcome { id, attempt, endpoint: 1, outcome, took, closed, report });
    }
    /// Decides now; what was done, but for wake-ups.
    pub fn decide(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.control.decide(self.now, &mut actions);
        for action in &actions {
            if let Action::Wake { at } = action {
                self.wake = Some(*at);
            }
        }
        actions.retain(|a| !matches!(a, Action::Wake { .. }));
        actions
    }
    /// Goes on to `until`, waking in steps of a tick; what was done, with its time.
    pub fn run(&mut self, until: Nanos) -> Vec<(Nanos, Action)> {
        let mut done = Vec::new();
        while self.now < until {
            self.now += 5 * MS;
            if self.wake.is_some_and(|at| at <= self.now) {
                self.wake = None;
                self.tell(Event::Wake);
                let now = self.now;
                done.extend(self.decide().into_iter().map(|a| (now, a)));
            }
        }
        done
    }
    /// The same, keeping only the sends: time and message.
    pub fn sends(&mut self, until: Nanos) -> Vec<(Nanos, MsgId)> {
        let sends = self.run(until).into_iter();
        sends
            .filter_map(|(at, a)| if let Action::Send { id, .. } = a { Some((at, id)) } else { None })
            .collect()
    }
}

pub fn sent(actions: &[Action]) -> Vec<MsgId> {
    actions.iter().filter_map(|a| if let Action::Send { id, .. } = a { Some(*id) } else { None }).collect()
}
