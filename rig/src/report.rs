//! What a run comes to: lines on the terminal, JSON, and one HTML file with plots that needs nothing beside it.

use std::fmt::Write;

use millpost_charts::{self as charts, BASELINE_COLOR, COLORS, Line, Span};
use millpost_standins::audit::RULES;

use crate::play::{Outcome, Sample};

/// The report as text.
pub fn text(o: &Outcome) -> String {
    let mut t = String::new();
    let c = &o.clients;
    let v = &o.verdict;
    let share = |n: u64, of: u64| if of > 0 { 100.0 * n as f64 / of as f64 } else { 0.0 };
    let _ = writeln!(
        t,
        "plan {} (seed {}), {} s, {} dispatcher{}, {} cores\n",
        if o.plan.is_empty() { "without a name" } else { &o.plan },
        o.seed,
        o.seconds,
        o.dispatchers,
        if o.dispatchers == 1 { "" } else { "s" },
        o.cores
    );
    for (at, lasts, what) in &o.faults {
        let _ = writeln!(t, "  {at:>6.1} s  {what}, for {lasts} s");
    }
    let _ = writeln!(
        t,
        "\nmessages    {} offered, {} taken on ({:.2} %), {} given up by their clients",
        c.offered,
        c.taken,
        share(c.taken, c.offered),
        c.given_up
    );
    let _ = writeln!(
        t,
        "tries       {} refused, {} without a connection, {} without an answer",
        c.refused, c.unconnected, c.unanswered
    );
    let _ = writeln!(
        t,
        "ends        {} delivered ({} within the aim, {:.2} % of those offered), {} dead, {} refused later",
        v.delivered,
        v.in_aim,
        share(v.in_aim, c.offered),
        v.dead,
        v.bounced
    );
    let spread = |s: &crate::play::Spread| {
        format!(
            "p50 {:.2}  p90 {:.2}  p99 {:.2}  p99.9 {:.2}  most {:.1} ms",
            s.p50, s.p90, s.p99, s.p999, s.most
        )
    };
    let _ = writeln!(t, "to the 202  {}", spread(&o.taken_ms));
    let _ = writeln!(t, "delivered   {}", spread(&o.delivered_ms));
    let _ = writeln!(
        t,
        "partners    {} calls, {} connections, {} above a limit",
        v.calls, o.partner_connections, o.over_limit
    );
    for cost in &o.costs {
        let core = cost.core.map_or(String::new(), |core| format!(" on core {core}"));
        let _ = writeln!(
            t,
            "dispatcher {}{core}: {:.0} us of CPU a message, {:.0} bytes written a message, {:.0} % of a core, {:.0} MB at most, {} descriptors",
            cost.dispatcher,
            cost.cpu_us_a_message,
            cost.bytes_written_a_message,
            100.0 * cost.share_of_core,
            cost.most_resident_mb,
            cost.descriptors
        );
    }
    let _ = writeln!(
        t,
        "the rig     {:.0} % of its cores at most, arrivals late by {:.1} ms at most{}",
        100.0 * o.rig_busy,
        c.rig_lag_ms,
        if o.rig_bound { ": IT STOOD IN ITS OWN WAY, the figures are its own" } else { "" }
    );
    let _ = writeln!(t, "\nrules");
    for rule in RULES {
        let broken = v.counts.get(&rule).copied().unwrap_or(0);
        let _ = writeln!(
            t,
            "  {:<24} {}",
            rule.to_string(),
            if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") }
        );
    }
    for b in &v.broken {
        let _ = writeln!(t, "  {:>8.3} s  {}: {}", b.at, b.rule, b.what);
    }
    t
}

fn line<'a>(o: &Outcome, name: &'a str, color: &'a str, of: impl Fn(&Sample) -> f64) -> Line<'a> {
    Line { name, color, points: o.samples.iter().map(|s| (s.at, of(s))).collect() }
}

/// One plot over time, with the faults shaded.
fn plot(title: &str, unit: &str, o: &Outcome, lines: &[Line]) -> String {
    let end = o.samples.last().map_or(1.0, |s| s.at);
    let fault = |(at, lasts, what): &(f64, f64, String)| Span {
        from: *at,
        to: at + lasts,
        tooltip: what.clone(),
        color: String::new(),
    };
    charts::plot(title, unit, end, &o.faults.iter().map(fault).collect::<Vec<_>>(), lines)
}

/// The report as one HTML file.
pub fn html(o: &Outcome) -> String {
    let mut body = String::new();
    body.push_str(&plot(
        "Messages",
        "a second",
        o,
        &[
            line(o, "offered", BASELINE_COLOR, |s| s.offered),
            line(o, "taken on", COLORS[0], |s| s.taken),
            line(o, "delivered", COLORS[1], |s| s.delivered),
            line(o, "refused at the door", COLORS[2], |s| s.refused),
            line(o, "without an answer", COLORS[3], |s| s.unanswered),
            line(o, "ended by a notice", COLORS[4], |s| s.ended_otherwise),
        ],
    ));
    body.push_str(&plot(
        "Held and out",
        "messages",
        o,
        &[line(o, "held", COLORS[0], |s| s.held as f64), line(o, "calls out", COLORS[1], |s| s.out as f64)],
    ));
    body.push_str(&plot(
        "To the 202",
        "ms from the intended send",
        o,
        &[line(o, "p50", COLORS[1], |s| s.taken_p50), line(o, "p99", COLORS[2], |s| s.taken_p99)],
    ));
    body.push_str(&plot(
        "To the delivery",
        "ms from the first handing in",
        o,
        &[line(o, "p50", COLORS[1], |s| s.delivered_p50), line(o, "p99", COLORS[2], |s| s.delivered_p99)],
    ));
    let names: Vec<String> = (0..o.dispatchers).map(|n| format!("dispatcher {n}")).collect();
    let mut cores: Vec<Line> = names
        .iter()
        .enumerate()
        .map(|(n, name)| {
            line(o, name, COLORS[n % COLORS.len()], move |s: &Sample| s.cores.get(n).copied().unwrap_or(0.0))
        })
        .collect();
    cores.push(line(o, "the rig, of its own cores", BASELINE_COLOR, |s| s.rig));
    body.push_str(&plot("Cores", "share of one", o, &cores));
    let resident: Vec<Line> = names
        .iter()
        .enumerate()
        .map(|(n, name)| {
            line(o, name, COLORS[n % COLORS.len()], move |s: &Sample| {
                s.resident.get(n).copied().unwrap_or(0.0)
            })
        })
        .collect();
    body.push_str(&plot("Resident", "MB", o, &resident));
    body.push_str(&plot("Rules broken", "so far", o, &[line(o, "broken", COLORS[2], |s| s.broken as f64)]));
    let title = if o.plan.is_empty() { "a plan" } else { &o.plan };
    charts::page(title, &text(o), &body)
}
