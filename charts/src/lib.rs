//! Reports as a self-contained HTML page: plots over time and bar charts as inline SVG, and the page that
//! contains them. No I/O.
//!
//! Invariant: a page loads nothing from elsewhere, and all text passed in is escaped.

use std::fmt::Write;

/// Distinguishable colours for lines.
pub const COLORS: [&str; 6] = ["#2563eb", "#16a34a", "#dc2626", "#d97706", "#7c3aed", "#0891b2"];
/// The colour of a baseline that other lines are compared with.
pub const BASELINE_COLOR: &str = "#94a3b8";

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 170.0;
const LEFT: f64 = 56.0;
/// Width of the row names to the left of bars.
const NAMES: f64 = 130.0;
/// Height of a row of bars.
const ROW: f64 = 15.0;

/// A span of time in seconds, with a tooltip.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    /// Start of the span.
    pub from: f64,
    /// End of the span.
    pub to: f64,
    /// Text shown under the pointer.
    pub tooltip: String,
    /// CSS colour of a bar; ignored for spans behind a plot, which are all drawn alike.
    pub color: String,
}

/// A line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Line<'a> {
    /// The name in the legend.
    pub name: &'a str,
    /// CSS colour of the line.
    pub color: &'a str,
    /// Pairs of time in seconds and value.
    pub points: Vec<(f64, f64)>,
}

/// A row of bars.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The name to the left of the row.
    pub name: String,
    /// The bars of the row.
    pub spans: Vec<Span>,
}

/// Escapes text for HTML and for attribute values.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('\'', "&#39;")
        .replace('"', "&quot;")
}

/// A CSS colour for an index; neighbouring indices get clearly different colours.
pub fn color(index: usize) -> String {
    format!("hsl({}, 55%, {}%)", (index * 137) % 360, 52 + (index % 3) * 9)
}

/// The smallest round number that is at least `top`; 1 if `top` is not positive.
fn round_up(top: f64) -> f64 {
    if top <= 0.0 {
        return 1.0;
    }
    let power = 10f64.powf(top.log10().floor());
    [1.0, 2.0, 2.5, 5.0, 10.0].into_iter().map(|f| f * power).find(|n| *n >= top).unwrap_or(top)
}

fn format_tick(value: f64) -> String {
    match value {
        v if v >= 10_000.0 => format!("{:.0}k", v / 1e3),
        v if v >= 10.0 || v == 0.0 => format!("{v:.0}"),
        v => format!("{v:.2}"),
    }
}

fn time_axis(svg: &mut String, end: f64, x: impl Fn(f64) -> f64, y: f64) {
    for part in 0..=8 {
        let at = end * f64::from(part) / 8.0;
        let _ = write!(svg, "<text x='{:.1}' y='{y:.1}' class='x'>{:.0} s</text>", x(at), at);
    }
}

/// A plot over time from 0 to `end` seconds, with the spans in `behind` shaded in the background.
pub fn plot(title: &str, unit: &str, end: f64, behind: &[Span], lines: &[Line<'_>]) -> String {
    let end = end.max(1e-9);
    let values = lines.iter().flat_map(|l| l.points.iter().map(|(_, value)| *value));
    let top = round_up(values.filter(|value| value.is_finite()).fold(0.0, f64::max));
    let x = |at: f64| LEFT + at / end * (WIDTH - LEFT - 8.0);
    let y = |value: f64| 8.0 + (1.0 - value / top) * (HEIGHT - 30.0);
    let (title, unit) = (escape(title), escape(unit));
    let mut svg = format!(
        "<h2>{title} <small>{unit}</small></h2><svg viewBox='0 0 {WIDTH} {HEIGHT}' role='img' aria-label='{title}'>"
    );
    for span in behind {
        let (from, to) = (x(span.from), x(span.to.min(end)));
        let _ = write!(
            svg,
            "<rect x='{from:.1}' y='8' width='{:.1}' height='{:.1}' class='fault'><title>{}</title></rect>",
            (to - from).max(1.0),
            HEIGHT - 30.0,
            escape(&span.tooltip)
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
            format_tick(value)
        );
    }
    time_axis(&mut svg, end, x, HEIGHT - 6.0);
    for line in lines {
        let finite = line.points.iter().filter(|(at, value)| at.is_finite() && value.is_finite());
        let points: Vec<String> =
            finite.map(|(at, value)| format!("{:.1},{:.1}", x(*at), y(*value))).collect();
        let _ = write!(svg, "<polyline points='{}' stroke='{}'/>", points.join(" "), escape(line.color));
    }
    svg.push_str("</svg><p class='key'>");
    for line in lines {
        let (color, name) = (escape(line.color), escape(line.name));
        let _ = write!(svg, "<span><i style='background:{color}'></i>{name}</span>");
    }
    svg.push_str("</p>");
    svg
}

/// A chart of bars in rows over time from 0 to `end` seconds.
pub fn bars(title: &str, subtitle: &str, end: f64, rows: &[Row]) -> String {
    let end = end.max(1e-9);
    let x = |at: f64| NAMES + at.max(0.0) / end * (WIDTH - NAMES - 8.0);
    let height = ROW * rows.len() as f64 + 24.0;
    let (title, subtitle) = (escape(title), escape(subtitle));
    let mut svg = format!(
        "<h2>{title} <small>{subtitle}</small></h2><svg viewBox='0 0 {WIDTH} {height}' role='img' aria-label='{title}'>"
    );
    for (n, row) in rows.iter().enumerate() {
        let top = n as f64 * ROW;
        let name = escape(&row.name);
        let _ = write!(svg, "<text x='{:.1}' y='{:.1}' class='y'>{name}</text>", NAMES - 6.0, top + 11.0);
        for span in &row.spans {
            let (from, to) = (x(span.from), x(span.to.min(end)));
            let _ = write!(
                svg,
                "<rect x='{from:.1}' y='{:.1}' width='{:.1}' height='{:.1}' fill='{}'><title>{}</title></rect>",
                top + 1.0,
                (to - from).max(0.8),
                ROW - 3.0,
                escape(&span.color),
                escape(&span.tooltip)
            );
        }
    }
    time_axis(&mut svg, end, x, height - 6.0);
    svg.push_str("</svg>");
    svg
}

/// An HTML table; the first row is the heading.
pub fn table(rows: &[Vec<String>]) -> String {
    let mut html = String::from("<table>");
    for (n, row) in rows.iter().enumerate() {
        let tag = if n == 0 { "th" } else { "td" };
        html.push_str("<tr>");
        for cell in row {
            let _ = write!(html, "<{tag}>{}</{tag}>", escape(cell));
        }
        html.push_str("</tr>");
    }
    html.push_str("</table>");
    html
}

/// The whole page: a heading, preformatted text, and `body`, which is inserted as HTML.
pub fn page(title: &str, text: &str, body: &str) -> String {
    format!(
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>{0}</title><style>\
         body{{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2rem auto;padding:0 1rem;color:#0f172a}}\
         pre{{background:#f1f5f9;padding:1rem;overflow:auto;font-size:13px}}h2{{font-size:1rem;margin:1.6rem 0 .2rem}}\
         small{{font-weight:normal;color:#64748b}}svg{{width:100%}}polyline{{fill:none;stroke-width:1.6}}\
         .grid{{stroke:#e2e8f0}}.fault{{fill:#fde68a;opacity:.45}}text{{font-size:11px;fill:#64748b}}\
         .y{{text-anchor:end}}.x{{text-anchor:middle}}.key{{margin:0;font-size:13px}}.key span{{margin-right:1.2em}}\
         .key i{{display:inline-block;width:1em;height:.25em;margin:0 .4em .25em 0}}\
         table{{border-collapse:collapse;font-size:13px}}td,th{{padding:2px 10px 2px 0;border-bottom:1px solid #e2e8f0;text-align:left}}\
         </style><h1>{0}</h1><pre>{1}</pre>{body}</html>\n",
        escape(title),
        escape(text)
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_text_is_escaped_and_nothing_is_loaded_from_elsewhere() {
        let odd = "<script src='http://x'>\"&";
        let span = || Span { from: 0.5, to: 9.0, tooltip: odd.into(), color: odd.into() };
        let line = Line { name: odd, color: odd, points: vec![(0.0, 1.0), (1.0, f64::INFINITY)] };
        let rows = [Row { name: odd.into(), spans: vec![span()] }];
        let body = [
            plot(odd, odd, 2.0, &[span()], &[line]),
            bars(odd, odd, 2.0, &rows),
            table(&[vec![odd.into()], vec![odd.into()]]),
        ];
        let page = page(odd, odd, &body.concat());
        assert!(!page.contains("<script") && !page.contains("http://x'") && !page.contains("\"&"), "{page}");
        let tags = |tag: &str| page.matches(&format!("<{tag}")).count();
        assert_eq!((tags("svg"), tags("rect"), tags("polyline")), (2, 2, 1));
        assert!(!page.contains("inf"), "{page}");
        let plain = super::page("a", "b", &plot("c", "d", 1.0, &[], &[]));
        assert!(
            ["src=", "href=", "url(", "@import", "http"].iter().all(|word| !plain.contains(word)),
            "{plain}"
        );
    }

    #[yare::parameterized(
        none = { 0.0, 1.0 },
        small = { 0.013, 0.02 },
        round = { 250.0, 250.0 },
        above = { 251.0, 500.0 },
    )]
    fn scales_end_at_round_numbers(top: f64, end: f64) {
        assert!((round_up(top) - end).abs() < 1e-9);
    }
}
