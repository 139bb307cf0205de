//! What a run comes to: lines on the terminal, JSON, and one HTML file with plots that needs nothing beside it.

use std::fmt::Write;

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

struct Line<'a> {
    name: &'a str,
    color: &'a str,
    of: Box<dyn Fn(&Sample) -> f64 + 'a>,
}

fn line<'a>(name: &'a str, color: &'a str, of: impl Fn(&Sample) -> f64 + 'a) -> Line<'a> {
    Line { name, color, of: Box::new(of) }
}

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 170.0;
const LEFT: f64 = 56.0;

/// One plot over time, with the faults shaded.
fn plot(title: &str, unit: &str, o: &Outcome, lines: &[Line]) -> String {
    let end = o.samples.last().map_or(1.0, |s| s.at).max(1e-9);
    let top = lines.iter().flat_map(|l| o.samples.iter().map(|s| (l.of)(s))).fold(0.0, f64::max);
    let top = nice(top);
    let x = |at: f64| LEFT + at / end * (WIDTH - LEFT - 8.0);
    let y = |value: f64| 8.0 + (1.0 - value / top) * (HEIGHT - 30.0);
    let mut svg = format!(
        "<h2>{title} <small>{unit}</small></h2><svg viewBox='0 0 {WIDTH} {HEIGHT}' role='img' aria-label='{title}'>"
    );
    for (at, lasts, what) in &o.faults {
        let (from, to) = (x(*at), x((at + lasts).min(end)));
        let _ = write!(
            svg,
            "<rect x='{from:.1}' y='8' width='{:.1}' height='{:.1}' class='fault'><title>{}</title></rect>",
            (to - from).max(1.0),
            HEIGHT - 30.0,
            escape(what)
        );
    }
    for part in 0..=4 {
        let value = top * f64::from(part) / 4.0;
        let _ = write!(
            svg,
            "<line x1='{LEFT}' x2='{WIDTH}' y1='{0:.1}' y2='{0:.1}' class='grid'/><text x='{1}' y='{2:.1}' class='y'>{3}</text>",
            y(value),
            LEFT - 6.0,
            y(value) + 4.0,
            short(value)
        );
    }
    for part in 0..=8 {
        let at = end * f64::from(part) / 8.0;
        let _ = write!(svg, "<text x='{:.1}' y='{:.1}' class='x'>{:.0} s</text>", x(at), HEIGHT - 6.0, at);
    }
    for l in lines {
        let points: Vec<String> =
            o.samples.iter().map(|s| format!("{:.1},{:.1}", x(s.at), y((l.of)(s)))).collect();
        let _ = write!(svg, "<polyline points='{}' stroke='{}'/>", points.join(" "), l.color);
    }
    svg.push_str("</svg><p class='key'>");
    for l in lines {
        let _ = write!(svg, "<span><i style='background:{}'></i>{}</span>", l.color, l.name);
    }
    svg.push_str("</p>");
    svg
}

/// The next round number above.
fn nice(top: f64) -> f64 {
    if top <= 0.0 {
        return 1.0;
    }
    let power = 10f64.powf(top.log10().floor());
    [1.0, 2.0, 2.5, 5.0, 10.0].into_iter().map(|f| f * power).find(|n| *n >= top).unwrap_or(top)
}

fn short(value: f64) -> String {
    match value {
        v if v >= 10_000.0 => format!("{:.0}k", v / 1e3),
        v if v >= 10.0 || v == 0.0 => format!("{v:.0}"),
        v => format!("{v:.2}"),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('\'', "&#39;")
}

const COLORS: [&str; 6] = ["#2563eb", "#16a34a", "#dc2626", "#d97706", "#7c3aed", "#0891b2"];

/// The report as one HTML file.
pub fn html(o: &Outcome) -> String {
    let mut body = String::new();
    body.push_str(&plot(
        "Messages",
        "a second",
        o,
        &[
            line("offered", "#94a3b8", |s| s.offered),
            line("taken on", COLORS[0], |s| s.taken),
            line("delivered", COLORS[1], |s| s.delivered),
            line("refused at the door", COLORS[2], |s| s.refused),
            line("without an answer", COLORS[3], |s| s.unanswered),
            line("ended by a notice", COLORS[4], |s| s.ended_otherwise),
        ],
    ));
    body.push_str(&plot(
        "Held and out",
        "messages",
        o,
        &[line("held", COLORS[0], |s| s.held as f64), line("calls out", COLORS[1], |s| s.out as f64)],
    ));
    body.push_str(&plot(
        "To the 202",
        "ms from the intended send",
        o,
        &[line("p50", COLORS[1], |s| s.taken_p50), line("p99", COLORS[2], |s| s.taken_p99)],
    ));
    body.push_str(&plot(
        "To the delivery",
        "ms from the first handing in",
        o,
        &[line("p50", COLORS[1], |s| s.delivered_p50), line("p99", COLORS[2], |s| s.delivered_p99)],
    ));
    let names: Vec<String> = (0..o.dispatchers).map(|n| format!("dispatcher {n}")).collect();
    let mut cores: Vec<Line> = names
        .iter()
        .enumerate()
        .map(|(n, name)| {
            line(name, COLORS[n % COLORS.len()], move |s: &Sample| s.cores.get(n).copied().unwrap_or(0.0))
        })
        .collect();
    cores.push(line("the rig, of its own cores", "#94a3b8", |s| s.rig));
    body.push_str(&plot("Cores", "share of one", o, &cores));
    let resident: Vec<Line> = names
        .iter()
        .enumerate()
        .map(|(n, name)| {
            line(name, COLORS[n % COLORS.len()], move |s: &Sample| s.resident.get(n).copied().unwrap_or(0.0))
        })
        .collect();
    body.push_str(&plot("Resident", "MB", o, &resident));
    body.push_str(&plot("Rules broken", "so far", o, &[line("broken", COLORS[2], |s| s.broken as f64)]));
    let title = if o.plan.is_empty() { "a plan" } else { &o.plan };
    format!(
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>{0}</title><style>\
         body{{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2rem auto;padding:0 1rem;color:#0f172a}}\
         pre{{background:#f1f5f9;padding:1rem;overflow:auto;font-size:13px}}h2{{font-size:1rem;margin:1.6rem 0 .2rem}}\
         small{{font-weight:normal;color:#64748b}}svg{{width:100%}}polyline{{fill:none;stroke-width:1.6}}\
         .grid{{stroke:#e2e8f0}}.fault{{fill:#fde68a;opacity:.45}}text{{font-size:11px;fill:#64748b}}\
         .y{{text-anchor:end}}.x{{text-anchor:middle}}.key{{margin:0;font-size:13px}}.key span{{margin-right:1.2em}}\
         .key i{{display:inline-block;width:1em;height:.25em;margin:0 .4em .25em 0}}\
         </style><h1>{0}</h1><pre>{1}</pre>{body}</html>\n",
        escape(title),
        escape(&text(o))
    )
}
