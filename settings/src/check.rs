//! Whether new settings can take the place of those in force: everything that is wrong with them, each with its key.

use millpost::api::Settings;
use serde_json::Value;

use crate::Shape;

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// What a new file lacks that the one in force has, or has in another form. Whoever writes these files names each key
/// each time: one that is missing was cut off or mistyped, and no default stands in for it. Elements of a list need what
/// all of the list in force have.
pub fn short(in_force: &Value, new: &Value) -> Vec<String> {
    let mut wrong = Vec::new();
    compare("", in_force, new, &mut wrong);
    wrong
}

fn compare(path: &str, old: &Value, new: &Value, wrong: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, old) in old {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match new.get(key) {
                    Some(new) => compare(&path, old, new, wrong),
                    None => wrong.push(format!("`{path}` is missing")),
                }
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            let Some(common) = common(old) else { return };
            for (place, new) in new.iter().enumerate() {
                compare(&format!("{path}[{place}]"), &common, new, wrong);
            }
        }
        (Value::Null, _) => {}
        (old, new) if kind(old) == kind(new) => {}
        (old, new) => wrong.push(format!("`{path}` is {}, not {}", kind(new), kind(old))),
    }
}

/// What all elements of a list have in common, where they are objects.
fn common(list: &[Value]) -> Option<Value> {
    let mut all = list.iter();
    let mut common = all.next()?.as_object()?.clone();
    for other in all {
        let other = other.as_object()?;
        common.retain(|key, value| other.get(key).is_some_and(|other| kind(other) == kind(value)));
    }
    Some(Value::Object(common))
}

/// What no settings may have, whatever was in force.
pub fn unsound(settings: &Settings, shape: &Shape) -> Vec<String> {
    let mut wrong = Vec::new();
    for (place, (name, class)) in shape.class_names.iter().zip(&settings.classes).enumerate() {
        let mut say = |key: &str, why: &str| wrong.push(format!("`settings.profiles[{place}].{key}` {why}"));
        if name.is_empty() || name.contains(['/', '?', '#', ' ']) {
            say("name", "is no part of a path");
        }
        if shape.class_names[..place].contains(name) {
            say("name", "is there twice");
        }
        if class.deadline == 0 {
            say("deadlineNs", "is not over 0");
        }
        if class.aim == 0 {
            say("objectiveNs", "is not over 0");
        }
    }
    let numbers = [
        ("limits.tryLimit", settings.try_limit as usize),
        ("limits.openCap", settings.hold),
        ("familyInfo.workers", settings.slots),
    ];
    let zero = numbers.into_iter().filter(|(_, number)| *number == 0);
    wrong.extend(zero.map(|(key, _)| format!("`settings.{key}` is not over 0")));
    if settings.classes.is_empty() {
        wrong.push("`settings.profiles` is empty".to_owned());
    }
    wrong
}

/// What new settings may not change while the process is in service.
pub fn fixed(old: &Settings, old_shape: &Shape, new: &Settings, shape: &Shape) -> Vec<String> {
    let moved = [
        ("areas", shape.zone_names.starts_with(&old_shape.zone_names)),
        ("kinds", shape.kind_names.starts_with(&old_shape.kind_names)),
        ("slotNo", old.me == new.me),
        ("membershipMode", old.subscribe == new.subscribe),
        ("weightKind", old.weights == new.weights),
    ];
    let moved = moved.into_iter().filter(|(_, good)| !good);
    moved.map(|(key, _)| format!("`settings.{key}` can't change without a restart")).collect()
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;
    use crate::tests::settings;

    #[test]
    fn everything_that_is_missing_or_of_another_form_is_named() {
        let old = json!({"name": "n", "limits": {"tryLimit": 6, "openCap": 300},
                         "profiles": [{"name": "a", "deadlineNs": 1, "only": 1}, {"name": "b", "deadlineNs": 2}]});
        assert!(short(&old, &old).is_empty());
        let more = json!({"name": "m", "new": 1, "limits": {"tryLimit": 4, "openCap": 300},
                          "profiles": [{"name": "c", "deadlineNs": 1}]});
        assert!(short(&old, &more).is_empty());
        let bad = json!({"limits": {"tryLimit": "soon"}, "profiles": [{"name": "a", "deadlineNs": 1}, {"name": 7}]});
        let wrong = short(&old, &bad);
        let named = [
            "`name`",
            "`limits.tryLimit` is text",
            "`limits.openCap`",
            "`profiles[1].name`",
            "`profiles[1].deadlineNs`",
        ];
        assert_eq!(wrong.len(), named.len(), "{wrong:?}");
        for key in named {
            assert!(wrong.iter().any(|why| why.contains(key)), "{key}: {wrong:?}");
        }
        assert_eq!(short(&old, &json!([])), ["`` is a list, not an object"]);
    }

    #[test]
    fn settings_that_make_no_sense_are_refused() {
        let (good, shape) = settings();
        assert!(unsound(&good, &shape).is_empty());
        let mut bad = Settings { try_limit: 0, ..good.clone() };
        bad.classes[0].deadline = 0;
        let wrong = unsound(&bad, &shape);
        assert_eq!(wrong.len(), 2, "{wrong:?}");
        let empty = Settings { classes: vec![], ..good.clone() };
        let none = Shape { class_names: vec![], ..shape.clone() };
        assert_eq!(unsound(&empty, &none).len(), 1);
        let other = Shape { zone_names: vec!["elsewhere".to_owned()], ..shape.clone() };
        assert_eq!(fixed(&good, &shape, &good, &other).len(), 1);
    }
}
