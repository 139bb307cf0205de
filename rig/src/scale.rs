//! How cost grows: one message through the module with so many destinations known and messages held, and one message
//! through the whole dispatcher. What is due at a time stays the same throughout.

use std::path::Path;
use std::time::Instant;

use millpost::Control;
use millpost::api::{Action, Entry, Event, Outcome, State};
use millpost_standins::plan::Plan;
use millpost_standins::service::Service;
use serde::Serialize;

use crate::play::{self, Watch};
use crate::proc::Deal;

const MS: u64 = 1_000_000;
/// Destinations that messages are sent to while others are known or waited for.
const ACTIVE: usize = 5;

/// One point: what one message costs in the module, and one round in which nothing is due.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    pub destinations: usize,
    pub held: usize,
    /// Microseconds: its event, its decision, its outcome and the decision after it.
    pub message_us: f64,
    /// Microseconds of one decision with nothing due.
    pub idle_us: f64,
}

/// One message through a dispatcher, by destinations.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Through {
    pub destinations: usize,
    pub cpu_us: f64,
    pub connections: u64,
    pub delivered_p50_ms: f64,
    pub resident_mb: f64,
    pub broken: u64,
}

/// The whole.
#[derive(Clone, Debug, Serialize)]
pub struct Scale {
    pub module: Vec<Point>,
    pub through: Vec<Through>,
    /// Fitted exponents: cost grows as the number to this power.
    pub by_destinations: f64,
    pub by_held: f64,
    pub idle_by_destinations: f64,
    pub through_by_destinations: f64,
}

/// The exponent that fits best: the slope of logarithms by least squares.
pub fn exponent(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<(f64, f64)> =
        points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect();
    let n = logs.len() as f64;
    let (mx, my) = (logs.iter().map(|l| l.0).sum::<f64>() / n, logs.iter().map(|l| l.1).sum::<f64>() / n);
    let (sxy, sxx) =
        logs.iter().fold((0.0, 0.0), |(xy, xx), (x, y)| (xy + (x - mx) * (y - my), xx + (x - mx) * (x - mx)));
    if sxx > 0.0 { sxy / sxx } else { 0.0 }
}

fn module(destinations: usize, held: usize, messages: usize) -> Result<Point, String> {
    // Room enough that nothing is given up for want of it.
    let service = Service { slots: 64, hold: 2 * held + 1_000, ..Service::default() };
    let settings = service.settings(0, 1).to_string();
    let (settings, _) = millpost_settings::read(&settings)?;
    let mut control = Control::new(settings, 7);
    let entry = |n: usize| Entry {
        endpoint: n as u64 + 1,
        zone: 0,
        kind: 0,
        dest: n as u64,
        state: State::Ready,
        weight: 0.0,
    };
    let mut now = 1_000 * MS;
    control.on_event(now, Event::Listed { whole: true, entries: (0..destinations).map(entry).collect() });
    let mut actions = Vec::new();
    // A few destinations are active; held messages wait for the others, each of which has told a wait that outlasts
    // the measurement.
    let active = ACTIVE.min(destinations - 1);
    let waiting = destinations - active;
    let mut id = 0;
    for dest in active..destinations.min(active + held) {
        id += 1;
        let dest = dest as u64;
        control.on_event(
            now,
            Event::Message { id, class: 0, tenant: None, key: None, dest, time_left: 600_000 * MS },
        );
        control.decide(now, &mut actions);
        let sent = actions.iter().any(|a| matches!(a, Action::Send { id: sent, .. } if *sent == id));
        actions.clear();
        if !sent {
            return Err(format!("destination {dest} was not called"));
        }
        let outcome = Outcome::Full(Some(500_000 * MS));
        let (endpoint, took) = (dest + 1, MS);
        control.on_event(
            now,
            Event::Outcome { id, attempt: 0, endpoint, outcome, took, closed: false, report: None },
        );
        now += MS / 10;
    }
    for n in (id as usize)..held {
        id += 1;
        let dest = (active + n % waiting.max(1)) as u64;
        control.on_event(
            now,
            Event::Message { id, class: 0, tenant: None, key: None, dest, time_left: 600_000 * MS },
        );
    }
    control.decide(now, &mut actions);
    let before = actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
    if before > 0 {
        return Err(format!("{before} went during a wait"));
    }
    actions.clear();
    let began = Instant::now();
    for n in 0..messages {
        now += 5 * MS;
        id += 1;
        let dest = (n % active) as u64;
        control.on_event(
            now,
            Event::Message { id, class: 0, tenant: None, key: None, dest, time_left: 10_000 * MS },
        );
        control.decide(now, &mut actions);
        let sent = actions.iter().any(|a| matches!(a, Action::Send { id: sent, .. } if *sent == id));
        if !sent {
            return Err(format!("message {n} was not sent at once: {actions:?}"));
        }
        actions.clear();
        now += MS;
        let event = Event::Outcome {
            id,
            attempt: 0,
            endpoint: dest + 1,
            outcome: Outcome::Served,
            took: MS,
            closed: true,
            report: None,
        };
        control.on_event(now, event);
        control.decide(now, &mut actions);
        actions.clear();
    }
    let message_us = began.elapsed().as_secs_f64() * 1e6 / messages as f64;
    let began = Instant::now();
    for _ in 0..messages {
        now += 5 * MS;
        control.decide(now, &mut actions);
    }
    let idle_us = began.elapsed().as_secs_f64() * 1e6 / messages as f64;
    Ok(Point { destinations, held, message_us, idle_us })
}

/// The median of three.
fn median(destinations: usize, held: usize) -> Result<Point, String> {
    // About as long for each.
    let messages = (2_000_000 / (destinations + held).max(1_000)).clamp(40, 2_000);
    let mut all = [(); 3].map(|()| module(destinations, held, messages));
    let key = |p: &Result<Point, String>| p.as_ref().map_or(f64::MAX, |p| p.message_us);
    all.sort_by(|a, b| key(a).total_cmp(&key(b)));
    let [_, middle, _] = all;
    middle
}

fn plan(destinations: usize, rate: f64, seconds: f64, seed: u64) -> Plan {
    let mut plan = Plan { name: format!("{destinations} destinations"), seed, seconds, ..Plan::default() };
    plan.dispatchers.count = 1;
    plan.service.slots = 256;
    plan.service.hold = 20_000;
    plan.service.sockets = 16_384;
    plan.service.disk_mb = 500.0;
    plan.service.weights = "unknown".to_owned();
    for class in &mut plan.service.classes {
        (class.aim_ms, class.deadline_ms) = (1_000, 5_000);
    }
    plan.load.per_second = rate;
    plan.load.body = [300, 300];
    plan.load.skew = 0.0;
    plan.partners.destinations = destinations;
    plan.partners.endpoints = 1;
    plan.partners.latency_ms = 0.0;
    plan.partners.shared = true;
    plan
}

/// Measures the module alone, and the dispatcher at `rate` for `seconds` a point.
///
/// # Errors
/// A text that says what did not go as it must.
pub async fn measure(
    most_destinations: usize,
    most_held: usize,
    rate: f64,
    seconds: f64,
    seed: u64,
    program: &Path,
    deal: &Deal,
) -> Result<Scale, String> {
    let mut points = Vec::new();
    let tens = |most: usize| [10, 100, 1_000, 10_000, 100_000].into_iter().filter(move |n| *n <= most);
    for destinations in tens(most_destinations) {
        let point = median(destinations, 100)?;
        eprintln!(
            "module  {destinations:>7} destinations {:>6} held  {:>9.2} us a message {:>9.2} us a round",
            100, point.message_us, point.idle_us
        );
        points.push(point);
    }
    for held in [100, 1_000, 10_000, 20_000].into_iter().filter(|n| *n <= most_held) {
        let point = median(1_000, held)?;
        eprintln!(
            "module  {:>7} destinations {held:>6} held  {:>9.2} us a message {:>9.2} us a round",
            1_000, point.message_us, point.idle_us
        );
        points.push(point);
    }
    let mut through = Vec::new();
    for destinations in tens(most_destinations.min(10_000)).filter(|_| seconds > 0.0) {
        let plan = plan(destinations, rate, seconds, seed);
        let watch = Watch { progress: &|_, _| {}, logs: None, ends: false };
        let done = play::play(&plan, program, deal, &watch).await.map_err(|e| e.to_string())?;
        let cost = &done.costs[0];
        eprintln!(
            "service {destinations:>7} destinations {rate:>6.0}/s   {:>9.2} us of CPU a message, {} connections, delivered p50 {:.2} ms, {:.0} MB{}",
            cost.cpu_us_a_message,
            done.partner_connections,
            done.delivered_ms.p50,
            cost.most_resident_mb,
            if done.verdict.rules_broken() > 0 {
                format!(", rules broken: {:?}", done.verdict.broken)
            } else {
                String::new()
            }
        );
        through.push(Through {
            destinations,
            cpu_us: cost.cpu_us_a_message,
            connections: done.partner_connections,
            delivered_p50_ms: done.delivered_ms.p50,
            resident_mb: cost.most_resident_mb,
            broken: done.verdict.rules_broken(),
        });
    }
    let by = |x: fn(&Point) -> usize, y: fn(&Point) -> f64, keep: fn(&Point) -> bool| {
        let pairs: Vec<(f64, f64)> = points.iter().filter(|p| keep(p)).map(|p| (x(p) as f64, y(p))).collect();
        exponent(&pairs)
    };
    // The aim speaks of 10 to 10,000 destinations.
    let few = |p: &Point| p.held == 100 && p.destinations <= 10_000;
    Ok(Scale {
        by_destinations: by(|p| p.destinations, |p| p.message_us, few),
        idle_by_destinations: by(|p| p.destinations, |p| p.idle_us, few),
        by_held: by(|p| p.held, |p| p.message_us, |p| p.destinations == 1_000),
        through_by_destinations: exponent(
            &through.iter().map(|t| (t.destinations as f64, t.cpu_us)).collect::<Vec<_>>(),
        ),
        module: points,
        through,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn exponents_are_fitted() {
        let of = |f: fn(f64) -> f64| exponent(&[10.0, 100.0, 1_000.0, 10_000.0].map(|x| (x, f(x))));
        assert!((of(|x| 3.0 * x) - 1.0).abs() < 1e-9);
        assert!(of(|_| 5.0).abs() < 1e-9);
        assert!((of(|x| x * x) - 2.0).abs() < 1e-9);
    }

    #[test]
    fn a_message_goes_through_the_module_with_others_held() {
        let point = module(50, 20, 10).expect("it is sent");
        assert!(point.message_us > 0.0 && point.idle_us > 0.0);
    }
}
