//! How a function does at its owner: told with what it wants, while that is asked for.

use std::collections::HashMap;

use tinyjson::JsonValue;

use crate::json::{Fault, list};

/// How a function does, as one owner sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FunctionStatus {
    /// The averaged delay of its instances, their mean, in milliseconds; 0 where nothing was served yet.
    pub delay: f64,
    /// The lowest that was since this is asked for.
    pub lowest: f64,
    /// Asks in a short span up to now,
    pub asked: u32,
    /// ... and those that were refused, or refused by an instance.
    pub refused: u32,
}

impl FunctionStatus {
    pub(crate) fn to_json(self) -> JsonValue {
        let ms = |time: f64| (time * 100.0).round() / 100.0;
        let all = [ms(self.delay), ms(self.lowest), self.asked.into(), self.refused.into()];
        JsonValue::Array(all.into_iter().map(JsonValue::Number).collect())
    }

    pub(crate) fn read(from: &HashMap<String, JsonValue>, key: &str) -> Result<Self, Fault> {
        let count = |n: f64| n.min(u32::MAX.into()) as u32;
        match list(from, key)? {
            [
                JsonValue::Number(delay),
                JsonValue::Number(lowest),
                JsonValue::Number(asked),
                JsonValue::Number(refused),
            ] if [delay, lowest, asked, refused].iter().all(|n| **n >= 0.0 && n.is_finite()) => {
                Ok(FunctionStatus {
                    delay: *delay,
                    lowest: *lowest,
                    asked: count(*asked),
                    refused: count(*refused),
                })
            }
            _ => Err(Fault { key: key.to_owned(), reason: "no four numbers" }),
        }
    }
}
