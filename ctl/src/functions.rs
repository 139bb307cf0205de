//! How functions stand, as the steward tells it.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use millpost_config::values::{get_list, get_str, get_u64, list, number, object, string};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use tinyjson::JsonValue;

use crate::errors::{Error, NoStewardSnafu, UnclearSnafu};
use crate::http::get_from_steward;
use crate::status::{Status, table};

/// Functions in one answer; answers that are read at most.
const PAGE: usize = 200;
const PAGES: usize = 100;

/// Which functions are asked for.
#[derive(Clone, Copy, PartialEq)]
pub enum Which<'a> {
    /// All.
    All,
    /// The one of this name.
    Name(&'a str),
    /// The one that an instance belongs to.
    Instance(&'a str),
}

/// What the steward says.
pub struct Functions {
    /// Who it is.
    pub steward: SocketAddr,
    fence: u64,
    all: Vec<JsonValue>,
    /// There are more than were read.
    cut: bool,
}

/// What an answer of the steward's holds: its fence, functions, and after which the next page begins.
type Page = (u64, Vec<JsonValue>, Option<String>);

impl Functions {
    /// Finds the steward and asks it.
    pub async fn ask(first: &[SocketAddr], which: Which<'_>, within: Duration) -> Result<Self, Error> {
        let status = Status::ask(first, within).await;
        let Some(steward) = status.steward_at() else { return NoStewardSnafu.fail() };
        let mut found = Functions { steward, fence: 0, all: Vec::new(), cut: false };
        let encoded = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
        let mut query = match which {
            Which::Name(name) => format!("name={}", encoded(name)),
            Which::Instance(id) => format!("instance={}", encoded(id)),
            Which::All => format!("most={PAGE}"),
        };
        for _ in 0..PAGES {
            let (fence, functions, next) = page(steward, &query, within).await?;
            found.fence = fence;
            found.all.extend(functions);
            let Some(next) = next else { return Ok(found) };
            query = format!("most={PAGE}&after={}", encoded(&next));
        }
        found.cut = true;
        Ok(found)
    }

    /// Each of them, as the steward says it.
    pub fn all(&self) -> &[JsonValue] {
        &self.all
    }

    /// Those that are held back by something that people have to mend.
    pub fn held(&self) -> impl Iterator<Item = &JsonValue> {
        let held = |of: &&JsonValue| matches!(get_str(of, "hold"), Some("refused" | "no_room" | "no_list"));
        self.all.iter().filter(held)
    }

    /// Whether something that people have to mend holds none of them back, and there is any.
    pub fn is_well(&self) -> bool {
        !self.all.is_empty() && self.held().next().is_none()
    }

    /// As text: a line for each, or all of one.
    pub fn text(&self, which: Which<'_>) -> String {
        let (steward, fence) = (self.steward, self.fence);
        if self.all.is_empty() {
            let what = match which {
                Which::All => "no function".to_owned(),
                Which::Name(name) => format!("no function {name:?}"),
                Which::Instance(id) => format!("no instance {id:?}"),
            };
            return format!("{what} is known to the steward {steward}, fence {fence}\n");
        }
        let head =
            ["function", "wanted", "said", "ready", "booting", "draining", "starting", "owner", "held by"];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
        rows.extend(self.all.iter().map(row));
        let mut text = table(&rows);
        if which != Which::All {
            self.all.iter().for_each(|of| details(&mut text, of));
        }
        let cut = if self.cut { "; there are more" } else { "" };
        let _ = writeln!(text, "by the steward {steward}, fence {fence}{cut}");
        text
    }

    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("steward", string(&self.steward.to_string())),
            ("fence", number(self.fence)),
            ("functions", list(self.all.iter().cloned())),
            ("more", JsonValue::Boolean(self.cut)),
        ])
    }
}

async fn page(steward: SocketAddr, query: &str, within: Duration) -> Result<Page, Error> {
    let what = "of the steward to how functions stand";
    let json = get_from_steward(steward, &format!("/core/functions?{query}"), within, what).await?;
    let read = |json: &JsonValue| {
        let functions = get_list(json, "functions")?.to_vec();
        Some((get_u64(json, "fence")?, functions, get_str(json, "next").map(str::to_owned)))
    };
    let last = format!("{steward}: what it sent is no answer to this");
    read(&json).ok_or_else(|| UnclearSnafu { what, tries: 1_u32, last }.build())
}

/// A count, or a dash.
fn count(of: &JsonValue, key: &str) -> String {
    get_u64(of, key).map_or_else(|| "-".to_owned(), |n| n.to_string())
}

fn name(of: &JsonValue, key: &str) -> String {
    get_str(of, key).map_or_else(|| "-".to_owned(), |text| text.escape_debug().to_string())
}

/// A span in seconds, or a dash.
fn span(of: &JsonValue, key: &str) -> String {
    get_u64(of, key).map_or_else(|| "-".to_owned(), |ms| format!("{:.1} s", ms as f64 / 1e3))
}

fn held_by(of: &JsonValue) -> String {
    match (get_str(of, "hold"), get_u64(of, "hold_ms")) {
        (Some("enough" | "unwanted") | None, _) => "-".to_owned(),
        (Some(_), Some(_)) => format!("{}, {} more", name(of, "hold"), span(of, "hold_ms")),
        (Some(_), None) => name(of, "hold"),
    }
}

fn row(of: &JsonValue) -> Vec<String> {
    let hold = held_by(of);
    let said = match span(of, "said_ms_ago") {
        dash if dash == "-" => dash,
        span => format!("{span} ago"),
    };
    let mut cells = vec![name(of, "name"), count(of, "wanted"), said];
    cells.extend(["ready", "booting", "draining", "starting"].map(|key| count(of, key)));
    let owner = match get_list(of, "lots") {
        Some(lots) => format!("one in each of {} zones", lots.len()),
        None => name(of, "owner"),
    };
    cells.extend([owner, hold]);
    cells
}

fn details(text: &mut String, of: &JsonValue) {
    let zones = get_list(of, "zones").unwrap_or_default().iter().filter_map(|pair| match pair {
        JsonValue::Array(pair) => match &pair[..] {
            [JsonValue::String(zone), JsonValue::Number(share)] => {
                Some(format!("{} {share}", zone.escape_debug()))
            }
            _ => None,
        },
        _ => None,
    });
    let zones = zones.collect::<Vec<_>>().join(", ");
    if !zones.is_empty() {
        let _ = writeln!(text, "requests come from: {zones}");
    }
    if let Some(refusals @ 1..) = get_u64(of, "refusals") {
        let _ = writeln!(text, "starts refused by the platform: {refusals}");
    }
    if let Some(lots @ [_, ..]) = get_list(of, "lots") {
        let head = ["zone", "wanted", "live", "owner", "held by"].map(str::to_owned).to_vec();
        let cells = |of: &JsonValue| {
            vec![name(of, "zone"), count(of, "wanted"), count(of, "live"), name(of, "owner"), held_by(of)]
        };
        text.push_str(&table(&std::iter::once(head).chain(lots.iter().map(cells)).collect::<Vec<_>>()));
    }
    let head = ["instance", "address", "worker", "zone", "state", "for", "stop"].map(str::to_owned).to_vec();
    let cells = |of: &JsonValue| {
        let mut cells = ["id", "address", "worker", "zone", "state"].map(|key| name(of, key)).to_vec();
        cells.extend([span(of, "since_ms"), name(of, "stop")]);
        cells
    };
    if let Some(all @ [_, ..]) = get_list(of, "instances") {
        text.push_str(&table(&std::iter::once(head).chain(all.iter().map(cells)).collect::<Vec<_>>()));
    }
    for start in get_list(of, "starts").unwrap_or_default() {
        let sent = match get_u64(start, "sent_ms_ago") {
            Some(_) => format!("called {} ago", span(start, "sent_ms_ago")),
            None => "to be called again".to_owned(),
        };
        let (worker, nonce, failed) = (name(start, "worker"), name(start, "nonce"), count(start, "failed"));
        let _ = writeln!(text, "start {nonce} on {worker}: {sent}, {failed} times in vain");
    }
}
