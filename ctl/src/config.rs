//! Reading, checking, comparing and putting the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use millpost_config::values::{self, get, get_list, get_str, list, object, string};
use millpost_config::{Config, ConfigError};
use snafu::ResultExt;
use tinyjson::JsonValue;

use crate::errors::{
    EmptySnafu, Error, FileSnafu, InvalidSnafu, LateSnafu, RefusedSnafu, SupersededSnafu, UnclearSnafu,
};
use crate::http::{Controls, Reply, describe};
use crate::status::Status;

/// How often the followers are polled after a put, and the time-out of each machine.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// A configuration and its text.
pub struct ConfigText {
    /// The text as it was read.
    pub text: String,
    /// The parsed configuration.
    pub config: Config,
}

impl ConfigText {
    /// Reads and checks a file.
    pub fn file(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let config = Config::parse_collecting_errors(&text).context(InvalidSnafu { path })?;
        Ok(ConfigText { text, config })
    }

    fn value(&self) -> Option<JsonValue> {
        values::parse(&self.text).ok()
    }

    /// Whether both have the same content, in any order.
    fn same_content(&self, other: &Self) -> bool {
        self.value() == other.value() || self.config.same_content(&other.config)
    }
}

/// Reads the active configuration from a majority of the voters.
pub async fn read_active(controls: &Controls) -> Result<(ConfigText, Reply), Error> {
    let what = "to a read of the configuration";
    let reply = controls.call(Method::GET, "/Config.Read", Bytes::new(), what).await?;
    if reply.status == 503 {
        return EmptySnafu.fail();
    }
    let refused = |why: String| RefusedSnafu { by: reply.by, status: reply.status, why }.build();
    if reply.status >= 300 {
        return Err(refused(describe(reply.status, &reply.body)));
    }
    let text = String::from_utf8(reply.body.to_vec())
        .map_err(|_| refused("the answer is not UTF-8 text".to_owned()))?;
    let config = Config::parse(&text)
        .map_err(|e: ConfigError| refused(format!("the answer is not a configuration: {e}")))?;
    Ok((ConfigText { text, config }, reply))
}

/// Writes a file atomically, by writing to a temporary file next to it and renaming that.
pub fn write_file(path: &Path, text: &str) -> Result<(), Error> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    std::fs::write(&temporary, text).context(FileSnafu { path: &temporary })?;
    std::fs::rename(&temporary, path).context(FileSnafu { path })
}

/// The result of a put.
pub struct PutResult {
    /// The active revision, which has the content of the file.
    pub revision: u64,
    /// The machine that acknowledged it.
    pub by: String,
    /// The number of attempts.
    pub tries: u32,
    /// Number of followers, all of which apply the revision, and after how many seconds they did; `None`
    /// without `--wait`.
    pub applied: Option<(usize, f64)>,
}

/// The active configuration has the revision that was put.
const OTHER_CONTENT: &str =
    "with another content: two configurations were put under this revision, and the other one was accepted";

/// The revision of a conflict answer: it is active with another content.
fn conflict(answer: &JsonValue) -> Option<u64> {
    let is_conflict = get_str(answer, "error") == Some("conflict");
    let JsonValue::Number(revision) = get(get(answer, "why")?, "revision")? else { return None };
    values::to_uint(*revision).filter(|_| is_conflict)
}

/// Puts a configuration, reads the active one, and optionally waits until all followers apply it.
pub async fn put(controls: &Controls, file: &ConfigText, wait: Option<Duration>) -> Result<PutResult, Error> {
    let began = Instant::now();
    let ours = file.config.revision;
    let body = Bytes::from(file.text.clone());
    let what = "to a change: it may be in force or may still come into force; repeat the same put";
    let reply = controls.call(Method::POST, "/Config.Replace", body, what).await?;
    if reply.status >= 300 {
        let json = millpost_net::messaging::json(&reply.body);
        if let Some(active) = json.as_ref().and_then(conflict) {
            return SupersededSnafu { ours, active, how: OTHER_CONTENT }.fail();
        }
        let why = json.as_ref().and_then(|json| get_str(json, "why")).map(str::to_owned);
        let why = why.unwrap_or_else(|| describe(reply.status, &reply.body));
        return RefusedSnafu { by: reply.by, status: reply.status, why }.fail();
    }
    let (active, _) = match read_active(controls).await {
        Ok(active) => active,
        Err(Error::Unclear { tries, last, .. }) => {
            let what = "to the read after a change that was acknowledged";
            return UnclearSnafu { what, tries, last }.fail();
        }
        Err(e) => return Err(e),
    };
    let revision = active.config.revision;
    if !active.same_content(file) {
        let how = match revision == ours {
            true => OTHER_CONTENT,
            false => "which is newer",
        };
        return SupersededSnafu { ours, active: revision, how }.fail();
    }
    let applied = match wait {
        Some(wait) => Some(wait_for_followers(controls, revision, wait, began).await?),
        None => None,
    };
    Ok(PutResult { revision, by: reply.by.to_string(), tries: reply.tries, applied })
}

/// Waits until all followers apply a revision or a newer one.
async fn wait_for_followers(
    controls: &Controls,
    revision: u64,
    wait: Duration,
    began: Instant,
) -> Result<(usize, f64), Error> {
    let until = Instant::now() + wait;
    loop {
        let status = Status::ask(&controls.all, POLL_TIMEOUT).await;
        let followers = status.followers();
        let late: Vec<_> = followers.iter().filter(|(_, applied)| **applied < revision).collect();
        if late.is_empty() && !followers.is_empty() {
            return Ok((followers.len(), began.elapsed().as_secs_f64()));
        }
        if Instant::now() + POLL_INTERVAL >= until {
            let late = late.iter().map(|(name, applied)| format!("{name} on {applied}"));
            let followers = late.collect::<Vec<_>>().join(", ");
            let followers = if followers.is_empty() { "no follower is known".to_owned() } else { followers };
            return LateSnafu { revision, seconds: wait.as_secs_f64(), followers }.fail();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// Only the second configuration has it.
    Added {
        /// `route` or `service`.
        what: &'static str,
        /// The name of the route or service.
        name: String,
        /// Its value.
        value: JsonValue,
    },
    /// Only the first configuration has it.
    Removed {
        /// `route` or `service`.
        what: &'static str,
        /// The name of the route or service.
        name: String,
    },
    /// Both configurations have it, with different fields.
    Changed {
        /// `route`, `service`, `limits` or `revision`.
        what: &'static str,
        /// The name of the route or service.
        name: String,
        /// Field, value before and value after; null for a missing field.
        fields: Vec<(String, JsonValue, JsonValue)>,
    },
}

/// All differences: the revision, routes, services, then limits.
pub fn between(old: &Config, new: &Config) -> Vec<Difference> {
    let (before, after) = (old.to_value(), new.to_value());
    let mut all = Vec::new();
    if old.revision != new.revision {
        let fields =
            vec![("revision".to_owned(), values::number(old.revision), values::number(new.revision))];
        all.push(Difference::Changed { what: "revision", name: String::new(), fields });
    }
    let route = |value: &JsonValue| {
        let part = |key| get_str(value, key).unwrap_or_default().to_owned();
        format!("{}{}", part("host"), part("path_prefix"))
    };
    compare_items(&mut all, "route", get_list(&before, "routes"), get_list(&after, "routes"), route);
    let service = |value: &JsonValue| get_str(value, "name").unwrap_or_default().to_owned();
    compare_items(&mut all, "service", get_list(&before, "services"), get_list(&after, "services"), service);
    if let (Some(before), Some(after)) = (get(&before, "limits"), get(&after, "limits")) {
        let fields = changed_fields(before, after);
        if !fields.is_empty() {
            all.push(Difference::Changed { what: "limits", name: String::new(), fields });
        }
    }
    all
}

fn compare_items(
    all: &mut Vec<Difference>,
    what: &'static str,
    old: Option<&[JsonValue]>,
    new: Option<&[JsonValue]>,
    name: impl Fn(&JsonValue) -> String,
) {
    let keyed = |items: Option<&[JsonValue]>| -> BTreeMap<String, JsonValue> {
        items.unwrap_or_default().iter().map(|item| (name(item), item.clone())).collect()
    };
    let (old, new) = (keyed(old), keyed(new));
    for name in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
        let name = name.clone();
        match (old.get(&name), new.get(&name)) {
            (Some(old), Some(new)) if old != new => {
                all.push(Difference::Changed { what, name, fields: changed_fields(old, new) });
            }
            (Some(_), None) => all.push(Difference::Removed { what, name }),
            (None, Some(new)) => all.push(Difference::Added { what, name, value: new.clone() }),
            _ => {}
        }
    }
}

fn changed_fields(old: &JsonValue, new: &JsonValue) -> Vec<(String, JsonValue, JsonValue)> {
    let keys = |value: &JsonValue| match value {
        JsonValue::Object(parts) => parts.keys().cloned().collect(),
        _ => Vec::new(),
    };
    let field = |value, key: &str| get(value, key).cloned().unwrap_or(JsonValue::Null);
    let all: BTreeSet<String> = keys(old).into_iter().chain(keys(new)).collect();
    let all = all.into_iter().map(|key| (field(old, &key), field(new, &key), key));
    all.filter(|(old, new, _)| old != new).map(|(old, new, key)| (key, old, new)).collect()
}

impl Difference {
    /// Formats the difference as one line.
    pub fn text(&self) -> String {
        match self {
            Difference::Added { what, name, value } => format!("+ {what} {name} {}", values::write(value)),
            Difference::Removed { what, name } => format!("- {what} {name}"),
            Difference::Changed { what, name, fields } => {
                let show = |value| values::write(value);
                let each =
                    fields.iter().map(|(key, old, new)| format!("{key} {} -> {}", show(old), show(new)));
                let each = each.collect::<Vec<_>>().join(", ");
                match *what {
                    "revision" => format!("~ {each}"),
                    what => format!("~ {what}{}{name}: {each}", if name.is_empty() { "" } else { " " }),
                }
            }
        }
    }

    /// Encodes the difference as JSON.
    pub fn to_json(&self) -> JsonValue {
        let encode = |how, what, name: &str, rest| {
            let mut parts = vec![("how", string(how)), ("what", string(what)), ("name", string(name))];
            parts.extend(rest);
            JsonValue::Object(parts.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
        };
        match self {
            Difference::Added { what, name, value } => {
                encode("added", what, name, vec![("value", value.clone())])
            }
            Difference::Removed { what, name } => encode("removed", what, name, vec![]),
            Difference::Changed { what, name, fields } => {
                let each = fields.iter().map(|(key, old, new)| {
                    object([("field", string(key)), ("was", old.clone()), ("is", new.clone())])
                });
                encode("changed", what, name, vec![("fields", list(each))])
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: &str = r#"{"revision":7,"routes":[
        {"host":"h","path_prefix":"/a/","traffic_kind":"idempotent","deadline_ms":4000,"service":"f"},
        {"host":"h","path_prefix":"/b/","traffic_kind":"mutating","deadline_ms":4000,"service":"f"}],
        "services":[{"name":"f"}],"limits":{"max_body_bytes":1}}"#;

    fn config(text: &str) -> Config {
        Config::parse(text).expect("valid")
    }

    #[test]
    fn each_difference_is_listed_with_both_values() {
        let new = OLD
            .replace(r#""revision":7"#, r#""revision":9"#)
            .replace("/b/", "/c/")
            .replacen("4000", "3000", 1)
            .replace(r#"{"name":"f"}"#, r#"{"name":"f"},{"name":"g"}"#)
            .replace("max_body_bytes\":1", "max_body_bytes\":2");
        let lines: Vec<_> = between(&config(OLD), &config(&new)).iter().map(Difference::text).collect();
        let prefixes = [
            "~ revision 7 -> 9",
            "~ route h/a/: deadline_ms 4000 -> 3000, target_latency_ms 4000 -> 3000",
            "- route h/b/",
            "+ route h/c/ {",
            "+ service g {",
            "~ limits: max_body_bytes 1 -> 2",
        ];
        assert_eq!(lines.len(), prefixes.len(), "{lines:#?}");
        lines.iter().zip(prefixes).for_each(|(line, prefix)| assert!(line.starts_with(prefix), "{line}"));
        assert_eq!(between(&config(OLD), &config(OLD)), []);
    }
}
