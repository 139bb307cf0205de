//! A way to a state for people: a sequence diagram, as text and as SVG.

use std::fmt::Write;

use crate::step::{Crash, Happening, Ran, Reply, Step};
use crate::world::World;

const LANES: [&str; 5] = ["client", "dispatcher", "partner", "discovery", "platform"];
const CLIENT: usize = 0;
const CORE: usize = 1;
const PARTNER: usize = 2;
const DISCOVERY: usize = 3;
const PLATFORM: usize = 4;

fn fate(ran: Ran) -> &'static str {
    match ran {
        Ran::Never => "it never ran",
        Ran::Before => "it ran",
        Ran::Still => "it still runs",
    }
}

/// What a step shows: from which lane to which, and its words.
fn arrow(step: &Step) -> (usize, usize, String) {
    let (from, to, mut words) = match step.what {
        None => (CORE, CORE, String::new()),
        Some(Happening::HandIn { left: false }) => (CLIENT, CORE, "hands in".to_owned()),
        Some(Happening::HandIn { left: true }) => (CLIENT, CORE, "hands in, and leaves".to_owned()),
        Some(Happening::Again { message }) => (CLIENT, CORE, format!("hands in m{message} again")),
        Some(Happening::Connect { call, up: true }) => {
            (CORE, PARTNER, format!("call {call}: connected, written"))
        }
        Some(Happening::Connect { call, up: false }) => {
            (CORE, PARTNER, format!("call {call}: no connection"))
        }
        Some(Happening::GiveUp { call, ran }) => {
            (CORE, PARTNER, format!("call {call}: given up, {}", fate(ran)))
        }
        Some(Happening::Late { place }) => {
            (PARTNER, PARTNER, format!("call that was over ({place}) takes effect"))
        }
        Some(Happening::Partner { call, reply }) => {
            let said = match reply {
                Reply::Served => "200".to_owned(),
                Reply::Error { ran: true } => "500, it ran".to_owned(),
                Reply::Error { ran: false } => "500, it never ran".to_owned(),
                Reply::Full => "503".to_owned(),
                Reply::Wait => "429, come back later".to_owned(),
                Reply::BreakBefore => "breaks before the last byte".to_owned(),
                Reply::BreakAfter { ran } => format!("breaks, {}", fate(ran)),
            };
            (PARTNER, CORE, format!("call {call}: {said}"))
        }
        Some(Happening::Drain { endpoint }) => (DISCOVERY, CORE, format!("endpoint {endpoint} drains")),
        Some(Happening::Lose { endpoint }) => (DISCOVERY, CORE, format!("endpoint {endpoint} is gone")),
        Some(Happening::Return { endpoint }) => (DISCOVERY, CORE, format!("endpoint {endpoint} is back")),
        Some(Happening::Notice { heard: true, .. }) => (PLATFORM, CORE, "takes a notice".to_owned()),
        Some(Happening::Notice { heard: false, .. }) => {
            (PLATFORM, CORE, "takes a notice, its word is lost".to_owned())
        }
        Some(Happening::Change) => (CORE, CORE, "a new process takes the work over".to_owned()),
        Some(Happening::Gone { ran }) => {
            (CORE, CORE, format!("the process of before is gone, its calls: {ran:b} by two bits each"))
        }
        Some(Happening::Sync) => (CORE, CORE, "what was written lasts".to_owned()),
        Some(Happening::FailNext) => (CORE, CORE, "the next write will fail".to_owned()),
        Some(Happening::Decide) => (CORE, CORE, "decides".to_owned()),
        Some(Happening::Time) => (CORE, CORE, "time passes".to_owned()),
    };
    if step.bits > 0 {
        let _ = write!(words, ", draws {:b}", step.bits);
    }
    if let Some(crash) = step.crash {
        let sep = if words.is_empty() { "" } else { "; " };
        let _ = write!(words, "{sep}CRASH after {} effects", crash.after);
        for place in (0..Crash::MOST).filter(|place| crash.of(*place) != Ran::Never) {
            let _ = write!(words, ", call {place} of those out: {}", fate(crash.of(place)));
        }
        words.push_str("; starts again");
    }
    (from, to, words)
}

/// The diagram as lines of text, a step a line, with the time in hundredths of a T1 at its beginning.
pub fn text(way: &[(World, Option<Step>)]) -> String {
    let mut out = format!("{:>6}  {:<11}    {:<11}\n", "time", "from", "to");
    for (world, step) in way {
        let Some(step) = step else { break };
        let (from, to, words) = arrow(step);
        let to = if from == to { "".to_owned() } else { format!("--> {}", LANES[to]) };
        let _ = writeln!(out, "{:>6}  {:<11}{:<15} {words}", world.time(), LANES[from], to);
    }
    if let Some(breach) = way.last().and_then(|(world, _)| world.breach) {
        let _ = writeln!(out, "        does not hold: {breach}");
    }
    out
}

/// The same as an SVG picture.
pub fn svg(way: &[(World, Option<Step>)]) -> String {
    let steps: Vec<_> = way.iter().filter_map(|(world, step)| Some((world, step.as_ref()?))).collect();
    let (x, height) = (|lane: usize| 110 + 190 * lane, 70 + 34 * steps.len());
    let mut out = format!(
        r##"<svg xmlns="http://www.w3.org/2000/svg" width="980" height="{height}" font-family="sans-serif" font-size="11">
<rect width="100%" height="100%" fill="#fff"/>
<defs><marker id="to" viewBox="0 0 8 8" refX="8" refY="4" markerWidth="7" markerHeight="7" orient="auto"><path d="M0 0L8 4L0 8z"/></marker></defs>
"##
    );
    for (lane, name) in LANES.iter().enumerate() {
        let _ = writeln!(
            out,
            r##"<text x="{0}" y="20" text-anchor="middle" font-weight="bold">{name}</text><line x1="{0}" y1="28" x2="{0}" y2="{height}" stroke="#bbb"/>"##,
            x(lane)
        );
    }
    for (n, (world, step)) in steps.into_iter().enumerate() {
        let ((from, to, words), y) = (arrow(step), 60 + 34 * n);
        let _ = writeln!(out, r##"<text x="8" y="{y}" fill="#666">{}</text>"##, world.time());
        let middle = (x(from) + x(to)) / 2;
        let _ = writeln!(out, r##"<text x="{middle}" y="{}" text-anchor="middle">{words}</text>"##, y - 5);
        if from != to {
            let _ = writeln!(
                out,
                r##"<line x1="{}" y1="{y}" x2="{}" y2="{y}" stroke="#000" marker-end="url(#to)"/>"##,
                x(from),
                x(to)
            );
        }
    }
    out + "</svg>\n"
}
