//! The configuration: read, checked, compared and put.

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

/// How often it is looked whether all act on a configuration, and how long each machine has for its word.
const LOOK: Duration = Duration::from_millis(300);
const LOOK_WITHIN: Duration = Duration::from_secs(1);

/// A configuration, and the text that it came as.
pub struct Read {
    /// As it came.
    pub text: String,
    /// What it says.
    pub config: Config,
}

impl Read {
    /// From a file, checked.
    pub fn file(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let config = Config::parse_collecting_errors(&text).context(InvalidSnafu { path })?;
        Ok(Read { text, config })
    }

    fn value(&self) -> Option<JsonValue> {
        values::parse(&self.text).ok()
    }

    /// Whether both have one content: the same values, or the same meaning in another order.
    fn same(&self, other: &Self) -> bool {
        self.value() == other.value() || self.config.same_content(&other.config)
    }
}

/// What stands, from a majority of the voters.
pub async fn standing(controls: &Controls) -> Result<(Read, Reply), Error> {
    let what = "to a read";
    let given = controls.call(Method::GET, "/Config.Read", Bytes::new(), what).await?;
    if given.status == 503 {
        return EmptySnafu.fail();
    }
    let refused = |why: String| RefusedSnafu { by: given.by, status: given.status, why }.build();
    if given.status >= 300 {
        return Err(refused(describe(given.status, &given.body)));
    }
    let text = String::from_utf8(given.body.to_vec()).map_err(|_| refused("it sent no text".to_owned()))?;
    let config = Config::parse(&text).map_err(|e: ConfigError| refused(format!("what it sent: {e}")))?;
    Ok((Read { text, config }, given))
}

/// Writes a file beside its name first, so that nobody reads half of it.
pub fn keep(path: &Path, text: &str) -> Result<(), Error> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    std::fs::write(&beside, text).context(FileSnafu { path: &beside })?;
    std::fs::rename(&beside, path).context(FileSnafu { path })
}

/// How a put ended.
pub struct Put {
    /// What stands, which has this content.
    pub revision: u64,
    /// Who acknowledged it.
    pub by: String,
    /// At which attempt.
    pub tries: u32,
    /// All that follow act on it: how many, and after how many seconds. None where nobody waited for that.
    pub acted: Option<(usize, f64)>,
}

/// What stands under the number that was put.
const WON: &str = "with another content: two were put under one number, and the other one won";

/// The revision that stands with another content, where control says that one does.
fn conflict(answer: &JsonValue) -> Option<u64> {
    let is_conflict = get_str(answer, "error") == Some("conflict");
    let JsonValue::Number(revision) = get(get(answer, "why")?, "revision")? else { return None };
    values::to_uint(*revision).filter(|_| is_conflict)
}

/// Puts a configuration, finds out what stands then, and waits until all that follow act on it.
pub async fn put(controls: &Controls, file: &Read, wait: Option<Duration>) -> Result<Put, Error> {
    let began = Instant::now();
    let ours = file.config.revision;
    let body = Bytes::from(file.text.clone());
    let what = "to a change: it may be in force or may still come into force; put it again as it is";
    let given = controls.call(Method::POST, "/Config.Replace", body, what).await?;
    if given.status >= 300 {
        let json = millpost_net::messaging::json(&given.body);
        if let Some(active) = json.as_ref().and_then(conflict) {
            return SupersededSnafu { ours, active, how: WON }.fail();
        }
        let why = json.as_ref().and_then(|json| get_str(json, "why")).map(str::to_owned);
        let why = why.unwrap_or_else(|| describe(given.status, &given.body));
        return RefusedSnafu { by: given.by, status: given.status, why }.fail();
    }
    let (stands, _) = match standing(controls).await {
        Ok(stands) => stands,
        Err(Error::Unclear { tries, last, .. }) => {
            let what = "to the read after a change that was acknowledged";
            return UnclearSnafu { what, tries, last }.fail();
        }
        Err(e) => return Err(e),
    };
    let revision = stands.config.revision;
    if !stands.same(file) {
        let how = match revision == ours {
            true => WON,
            false => "which is newer",
        };
        return SupersededSnafu { ours, active: revision, how }.fail();
    }
    let acted = match wait {
        Some(wait) => Some(acted_on(controls, revision, wait, began).await?),
        None => None,
    };
    Ok(Put { revision, by: given.by.to_string(), tries: given.tries, acted })
}

/// Waits until all that follow act on a revision, or a newer one.
async fn acted_on(
    controls: &Controls,
    revision: u64,
    wait: Duration,
    began: Instant,
) -> Result<(usize, f64), Error> {
    let until = Instant::now() + wait;
    loop {
        let status = Status::ask(&controls.all, LOOK_WITHIN).await;
        let followers = status.followers();
        let late: Vec<_> = followers.iter().filter(|(_, acts)| **acts < revision).collect();
        if late.is_empty() && !followers.is_empty() {
            return Ok((followers.len(), began.elapsed().as_secs_f64()));
        }
        if Instant::now() + LOOK >= until {
            let late = late.iter().map(|(name, acts)| format!("{name} on {acts}"));
            let who = late.collect::<Vec<_>>().join(", ");
            let who = if who.is_empty() { "nobody is seen to follow".to_owned() } else { who };
            return LateSnafu { revision, seconds: wait.as_secs_f64(), who }.fail();
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// What tells two configurations apart.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// Only the second has it.
    Added {
        /// `route` or `service`.
        what: &'static str,
        /// Its name.
        name: String,
        /// As it is.
        value: JsonValue,
    },
    /// Only the first has it.
    Removed {
        /// `route` or `service`.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// Both have it, with these fields before and after; what is left out is null.
    Changed {
        /// `route`, `service`, `limits` or `revision`.
        what: &'static str,
        /// Its name.
        name: String,
        /// Field, before, after.
        fields: Vec<(String, JsonValue, JsonValue)>,
    },
}

/// All that differs, routes first.
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
    parts(&mut all, "route", get_list(&before, "routes"), get_list(&after, "routes"), route);
    let service = |value: &JsonValue| get_str(value, "name").unwrap_or_default().to_owned();
    parts(&mut all, "service", get_list(&before, "services"), get_list(&after, "services"), service);
    if let (Some(before), Some(after)) = (get(&before, "limits"), get(&after, "limits")) {
        let fields = fields(before, after);
        if !fields.is_empty() {
            all.push(Difference::Changed { what: "limits", name: String::new(), fields });
        }
    }
    all
}

fn parts(
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
                all.push(Difference::Changed { what, name, fields: fields(old, new) });
            }
            (Some(_), None) => all.push(Difference::Removed { what, name }),
            (None, Some(new)) => all.push(Difference::Added { what, name, value: new.clone() }),
            _ => {}
        }
    }
}

fn fields(old: &JsonValue, new: &JsonValue) -> Vec<(String, JsonValue, JsonValue)> {
    let keys = |value: &JsonValue| match value {
        JsonValue::Object(parts) => parts.keys().cloned().collect(),
        _ => Vec::new(),
    };
    let of = |value, key: &str| get(value, key).cloned().unwrap_or(JsonValue::Null);
    let all: BTreeSet<String> = keys(old).into_iter().chain(keys(new)).collect();
    let all = all.into_iter().map(|key| (of(old, &key), of(new, &key), key));
    all.filter(|(old, new, _)| old != new).map(|(old, new, key)| (key, old, new)).collect()
}

impl Difference {
    /// One line.
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

    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        let of = |how, what, name: &str, rest| {
            let mut parts = vec![("how", string(how)), ("what", string(what)), ("name", string(name))];
            parts.extend(rest);
            JsonValue::Object(parts.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
        };
        match self {
            Difference::Added { what, name, value } => {
                of("added", what, name, vec![("value", value.clone())])
            }
            Difference::Removed { what, name } => of("removed", what, name, vec![]),
            Difference::Changed { what, name, fields } => {
                let each = fields.iter().map(|(key, old, new)| {
                    object([("field", string(key)), ("was", old.clone()), ("is", new.clone())])
                });
                of("changed", what, name, vec![("fields", list(each))])
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
    fn each_difference_is_named_with_what_was_and_what_is() {
        let new = OLD
            .replace(r#""revision":7"#, r#""revision":9"#)
            .replace("/b/", "/c/")
            .replacen("4000", "3000", 1)
            .replace(r#"{"name":"f"}"#, r#"{"name":"f"},{"name":"g"}"#)
            .replace("max_body_bytes\":1", "max_body_bytes\":2");
        let lines: Vec<_> = between(&config(OLD), &config(&new)).iter().map(Difference::text).collect();
        let begins = [
            "~ revision 7 -> 9",
            "~ route h/a/: deadline_ms 4000 -> 3000, target_latency_ms 4000 -> 3000",
            "- route h/b/",
            "+ route h/c/ {",
            "+ service g {",
            "~ limits: max_body_bytes 1 -> 2",
        ];
        assert_eq!(lines.len(), begins.len(), "{lines:#?}");
        lines.iter().zip(begins).for_each(|(line, begin)| assert!(line.starts_with(begin), "{line}"));
        assert_eq!(between(&config(OLD), &config(OLD)), []);
    }
}
