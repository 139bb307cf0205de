//! The audit as one page that needs nothing else: versions by dispatcher over time, times out of service, how versions went
//! round, breaches and what is missing. No I/O.

use std::collections::BTreeMap;
use std::fmt::Write;

use millpost_audit::Audit;
use millpost_audit::judge::RULES;
use millpost_tier::versions::{KINDS, Kind};

const WIDTH: f64 = 1_000.0;
const ROW: f64 = 14.0;
/// Rows of a chart; of more dispatchers than this only those are drawn that were out or differ from most.
const ROWS: usize = 400;

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// A colour for a version: those that are near in time are far apart.
fn colour(place: usize) -> String {
    format!("hsl({}, 55%, {}%)", (place * 137) % 360, 52 + (place % 3) * 9)
}

fn seconds(nanos: u64) -> f64 {
    nanos as f64 / 1e9
}

/// The page.
pub fn page(audit: &Audit) -> String {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Audit of the fleet</title><style>\
         body{font:14px system-ui,sans-serif;margin:2em;max-width:1100px}table{border-collapse:collapse}\
         td,th{padding:2px 10px;border-bottom:1px solid #ddd;text-align:left;vertical-align:top}\
         .bad{color:#a00}svg{background:#fafafa;border:1px solid #ddd}</style>",
    );
    let _ = write!(page, "<h1>Audit of the fleet</h1>");
    summary(&mut page, audit);
    breaches(&mut page, audit);
    for kind in KINDS {
        chart(&mut page, audit, kind);
    }
    spreads(&mut page, audit);
    troubles(&mut page, audit);
    page
}

fn summary(page: &mut String, audit: &Audit) {
    let sum = |of: fn(&millpost_audit::audit::Log) -> u64| audit.logs.iter().map(of).sum::<u64>();
    let broken: u64 = audit.counts.values().sum();
    let class = if broken > 0 { " class=\"bad\"" } else { "" };
    let _ = write!(
        page,
        "<p>{} logs, {} records, {} decisions, {} calls, {} bytes. <b{class}>{broken} breaches</b>.{}</p>",
        audit.logs.len(),
        sum(|log| log.records),
        sum(|log| log.decisions),
        sum(|log| log.attempts),
        sum(|log| log.bytes),
        if audit.has_gaps() { " <b class=\"bad\">Something is missing; see below.</b>" } else { "" },
    );
}

fn breaches(page: &mut String, audit: &Audit) {
    if audit.breaches.is_empty() {
        return;
    }
    let _ = write!(page, "<h2>Breaches</h2><table><tr><th>rule<th>times</tr>");
    for rule in RULES {
        if let Some(count) = audit.counts.get(&rule) {
            let _ = write!(page, "<tr><td>{}<td>{count}</tr>", rule.text());
        }
    }
    let _ =
        write!(page, "</table><table><tr><th>at, s<th>by<th>rule<th>message<th>what<th>list, settings</tr>");
    for breach in audit.breaches.iter().take(200) {
        let message = breach.message.map_or(String::new(), |message| format!("{message:016x}"));
        let on = breach.standing.map_or(String::new(), |on| {
            format!("#{} {:08x}, {:08x}", on.index, on.list.digest, on.settings.digest)
        });
        let _ = write!(
            page,
            "<tr><td>{:.3}<td>{}<td>{}<td>{message}<td>{}<td>{on}</tr>",
            seconds(audit.aligned(breach.by, breach.at)),
            breach.by,
            breach.rule.text(),
            escaped(&breach.what),
        );
    }
    let _ = write!(page, "</table>");
}

/// One bar for each dispatcher: a colour for each version, and a hatch over the times out of service.
fn chart(page: &mut String, audit: &Audit, kind: Kind) {
    let spans = audit.logs.iter().filter(|log| log.records > 0);
    let at = |who: Option<u16>, at: u64| audit.aligned(who.unwrap_or(0), at);
    let first = spans.clone().map(|log| at(log.number, log.span.0)).min();
    let last = spans.map(|log| at(log.number, log.span.1)).max();
    let (Some(first), Some(last)) = (first, last) else { return };
    let span = last.saturating_sub(first).max(1) as f64;
    let x = |time: u64| time.saturating_sub(first) as f64 / span * WIDTH;
    let mut places: BTreeMap<u32, usize> = BTreeMap::new();
    for spread in audit.spreads.iter().filter(|spread| spread.kind == kind) {
        let next = places.len();
        places.entry(spread.digest).or_insert(next);
    }
    let drawn: Vec<_> = audit.logs.iter().filter(|log| log.number.is_some()).take(ROWS).collect();
    let height = ROW * drawn.len() as f64 + 20.0;
    let _ = write!(
        page,
        "<h2>{}</h2><p>{} versions over {:.1} s; a dark bar is a time out of service.</p>\
         <svg viewBox=\"-60 0 {} {height}\" width=\"100%\">",
        kind.name(),
        places.len(),
        span / 1e9,
        WIDTH + 70.0
    );
    for (n, log) in drawn.iter().enumerate() {
        let y = n as f64 * ROW;
        let _ =
            write!(page, "<text x=\"-55\" y=\"{}\" font-size=\"9\">{}</text>", y + 10.0, escaped(&log.name));
        let moves: Vec<_> = log.moves.iter().filter(|moved| moved.kind == kind).collect();
        for (place, moved) in moves.iter().enumerate() {
            let from = x(at(log.number, moved.at));
            let to = moves.get(place + 1).map_or(x(at(log.number, log.span.1)), |m| x(at(log.number, m.at)));
            let fill = colour(places.get(&moved.digest).copied().unwrap_or(0));
            let _ = write!(
                page,
                "<rect x=\"{from:.1}\" y=\"{y}\" width=\"{:.1}\" height=\"11\" fill=\"{fill}\">\
                 <title>{} {:08x} #{} from {:.3} s</title></rect>",
                (to - from).max(0.5),
                escaped(&log.name),
                moved.digest,
                moved.index,
                seconds(at(log.number, moved.at).saturating_sub(first)),
            );
        }
        for outage in log.outages.iter().filter(|outage| outage.kind == kind) {
            let from = x(at(log.number, outage.from));
            let to = x(at(log.number, outage.until.unwrap_or(log.span.1)));
            let _ = write!(
                page,
                "<rect x=\"{from:.1}\" y=\"{}\" width=\"{:.1}\" height=\"5\" fill=\"#222\">\
                 <title>out of service, behind on its {}</title></rect>",
                y + 6.0,
                (to - from).max(0.5),
                kind.name(),
            );
        }
    }
    let _ = write!(page, "</svg>");
}

fn spreads(page: &mut String, audit: &Audit) {
    let _ = write!(
        page,
        "<h2>How versions went round</h2><table><tr><th>kind<th>version<th>dispatchers<th>first<th>last\
         <th>from first to last, ms</tr>"
    );
    for spread in audit.spreads.iter().filter(|spread| spread.dispatchers > 1).take(500) {
        let _ = write!(
            page,
            "<tr><td>{}<td>{:08x}<td>{}<td>{}<td>{}<td>{:.1}</tr>",
            spread.kind.name(),
            spread.digest,
            spread.dispatchers,
            spread.first.0,
            spread.last.0,
            spread.last.1.saturating_sub(spread.first.1) as f64 / 1e6,
        );
    }
    let _ = write!(page, "</table>");
    let _ = write!(page, "<h2>Clocks</h2><table><tr><th>dispatcher<th>ahead, ms<th>within, ms</tr>");
    for (who, ahead) in &audit.clocks {
        let (by, within) = (ahead.by as f64 / 1e6, ahead.within as f64 / 1e6);
        let _ = write!(page, "<tr><td>{who}<td>{by:.1}<td>{within:.1}</tr>");
    }
    let _ = write!(page, "</table>");
}

fn troubles(page: &mut String, audit: &Audit) {
    let any = audit.logs.iter().any(|log| !log.troubles.is_empty());
    if !any && audit.missing.is_empty() {
        return;
    }
    let _ = write!(page, "<h2>What the logs do not say</h2><ul>");
    if !audit.missing.is_empty() {
        let _ = write!(page, "<li class=\"bad\">no log of dispatchers {:?}</li>", audit.missing);
    }
    for trouble in audit.logs.iter().flat_map(|log| &log.troubles) {
        let class = if trouble.gap { " class=\"bad\"" } else { "" };
        let _ = write!(page, "<li{class}>{}</li>", escaped(&trouble.to_string()));
    }
    let _ = write!(page, "</ul>");
}
