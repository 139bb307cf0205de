//! The state of functions as the steward reports it.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use millpost_config::values::{get_list, get_str, get_u64, list, number, object, string};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use tinyjson::JsonValue;

use crate::errors::{Error, NoStewardSnafu, UnclearSnafu};
use crate::http::get_from_steward;
use crate::status::{Status, table};

/// Number of functions per page.
const PAGE_SIZE: usize = 200;
/// Limit on the pages that are read.
const MAX_PAGES: usize = 100;

/// Selects functions.
#[derive(Clone, Copy, PartialEq)]
pub enum Selection<'a> {
    /// All functions.
    All,
    /// The function of this name.
    Name(&'a str),
    /// The function that this instance belongs to.
    Instance(&'a str),
}

/// Functions as the steward reports them.
pub struct Functions {
    /// The address of the steward.
    pub steward: SocketAddr,
    fence: u64,
    all: Vec<JsonValue>,
    /// Whether there are more functions than were read.
    truncated: bool,
}

/// A page: the steward's fence, functions, and the name after which the next page begins.
type Page = (u64, Vec<JsonValue>, Option<String>);

impl Functions {
    /// Finds the steward and reads the selected functions from it.
    pub async fn ask(
        first: &[SocketAddr],
        selection: Selection<'_>,
        within: Duration,
    ) -> Result<Self, Error> {
        let status = Status::ask(first, within).await;
        let Some(steward) = status.steward_at() else { return NoStewardSnafu.fail() };
        let mut result = Functions { steward, fence: 0, all: Vec::new(), truncated: false };
        let encoded = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
        let mut query = match selection {
            Selection::Name(name) => format!("name={}", encoded(name)),
            Selection::Instance(id) => format!("instance={}", encoded(id)),
            Selection::All => format!("most={PAGE_SIZE}"),
        };
        for _ in 0..MAX_PAGES {
            let (fence, functions, next) = page(steward, &query, within).await?;
            result.fence = fence;
            result.all.extend(functions);
            let Some(next) = next else { return Ok(result) };
            query = format!("most={PAGE_SIZE}&after={}", encoded(&next));
        }
        result.truncated = true;
        Ok(result)
    }

    /// The functions as JSON, unchanged.
    pub fn all(&self) -> &[JsonValue] {
        &self.all
    }

    /// Functions whose starts are blocked by something that needs an operator.
    pub fn blocked(&self) -> impl Iterator<Item = &JsonValue> {
        let is_blocked =
            |value: &&JsonValue| matches!(get_str(value, "hold"), Some("refused" | "no_room" | "no_list"));
        self.all.iter().filter(is_blocked)
    }

    /// Whether there are functions and none of them is blocked by something that needs an operator.
    pub fn is_well(&self) -> bool {
        !self.all.is_empty() && self.blocked().next().is_none()
    }

    /// A table with a line for each function, and the details if a single one was selected.
    pub fn text(&self, selection: Selection<'_>) -> String {
        let (steward, fence) = (self.steward, self.fence);
        if self.all.is_empty() {
            let what = match selection {
                Selection::All => "no function".to_owned(),
                Selection::Name(name) => format!("no function {name:?}"),
                Selection::Instance(id) => format!("no instance {id:?}"),
            };
            return format!("{what} is known to the steward {steward}, fence {fence}\n");
        }
        let head = [
            "function",
            "wanted",
            "reported",
            "ready",
            "booting",
            "draining",
            "starting",
            "owner",
            "blocked by",
        ];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
        rows.extend(self.all.iter().map(row));
        let mut text = table(&rows);
        if selection != Selection::All {
            self.all.iter().for_each(|value| details(&mut text, value));
        }
        let truncated = if self.truncated { "; there are more" } else { "" };
        let _ = writeln!(text, "by the steward {steward}, fence {fence}{truncated}");
        text
    }

    /// Encodes the functions as JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("steward", string(&self.steward.to_string())),
            ("fence", number(self.fence)),
            ("functions", list(self.all.iter().cloned())),
            ("more", JsonValue::Boolean(self.truncated)),
        ])
    }
}

async fn page(steward: SocketAddr, query: &str, within: Duration) -> Result<Page, Error> {
    let what = "to a request for functions";
    let json = get_from_steward(steward, &format!("/core/functions?{query}"), within, what).await?;
    let read = |json: &JsonValue| {
        let functions = get_list(json, "functions")?.to_vec();
        Some((get_u64(json, "fence")?, functions, get_str(json, "next").map(str::to_owned)))
    };
    let last = format!("{steward}: the answer is not a list of functions");
    read(&json).ok_or_else(|| UnclearSnafu { what, tries: 1_u32, last }.build())
}

/// A count, or a dash if it is missing.
fn count(value: &JsonValue, key: &str) -> String {
    get_u64(value, key).map_or_else(|| "-".to_owned(), |n| n.to_string())
}

fn name(value: &JsonValue, key: &str) -> String {
    get_str(value, key).map_or_else(|| "-".to_owned(), |text| text.escape_debug().to_string())
}

/// A duration in seconds, or a dash if it is missing.
fn duration(value: &JsonValue, key: &str) -> String {
    get_u64(value, key).map_or_else(|| "-".to_owned(), |ms| format!("{:.1} s", ms as f64 / 1e3))
}

fn held_by(value: &JsonValue) -> String {
    match (get_str(value, "hold"), get_u64(value, "hold_ms")) {
        (Some("enough" | "unwanted") | None, _) => "-".to_owned(),
        (Some(_), Some(_)) => format!("{}, {} more", name(value, "hold"), duration(value, "hold_ms")),
        (Some(_), None) => name(value, "hold"),
    }
}

fn row(value: &JsonValue) -> Vec<String> {
    let hold = held_by(value);
    let reported = match duration(value, "said_ms_ago") {
        dash if dash == "-" => dash,
        duration => format!("{duration} ago"),
    };
    let mut cells = vec![name(value, "name"), count(value, "wanted"), reported];
    cells.extend(["ready", "booting", "draining", "starting"].map(|key| count(value, key)));
    let owner = match get_list(value, "lots") {
        Some(lots) => format!("one in each of {} zones", lots.len()),
        None => name(value, "owner"),
    };
    cells.extend([owner, hold]);
    cells
}

fn details(text: &mut String, value: &JsonValue) {
    let zones = get_list(value, "zones").unwrap_or_default().iter().filter_map(|pair| match pair {
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
    if let Some(refusals @ 1..) = get_u64(value, "refusals") {
        let _ = writeln!(text, "starts refused by the platform: {refusals}");
    }
    if let Some(lots @ [_, ..]) = get_list(value, "lots") {
        let head = ["zone", "wanted", "live", "owner", "blocked by"].map(str::to_owned).to_vec();
        let cells = |value: &JsonValue| {
            vec![
                name(value, "zone"),
                count(value, "wanted"),
                count(value, "live"),
                name(value, "owner"),
                held_by(value),
            ]
        };
        text.push_str(&table(&std::iter::once(head).chain(lots.iter().map(cells)).collect::<Vec<_>>()));
    }
    let head = ["instance", "address", "worker", "zone", "state", "for", "stop"].map(str::to_owned).to_vec();
    let cells = |value: &JsonValue| {
        let mut cells = ["id", "address", "worker", "zone", "state"].map(|key| name(value, key)).to_vec();
        cells.extend([duration(value, "since_ms"), name(value, "stop")]);
        cells
    };
    if let Some(all @ [_, ..]) = get_list(value, "instances") {
        text.push_str(&table(&std::iter::once(head).chain(all.iter().map(cells)).collect::<Vec<_>>()));
    }
    for start in get_list(value, "starts").unwrap_or_default() {
        let sent = match get_u64(start, "sent_ms_ago") {
            Some(_) => format!("sent {} ago", duration(start, "sent_ms_ago")),
            None => "to be repeated".to_owned(),
        };
        let (worker, nonce, failed) = (name(start, "worker"), name(start, "nonce"), count(start, "failed"));
        let _ = writeln!(text, "start {nonce} on {worker}: {sent}, failed {failed} times");
    }
}
