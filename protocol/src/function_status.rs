//! Load status of a function, reported by its owner with the desired instance count while the controller
//! asks for it.

use std::collections::HashMap;

use tinyjson::JsonValue;

use crate::json::{Fault, list};

/// Load status of a function as one owner sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FunctionStatus {
    /// Mean of the averaged delays of its instances, in milliseconds; 0 if nothing has been served yet.
    pub delay: f64,
    /// Lowest value of `delay`, in milliseconds, since the controller began to ask for the status.
    pub lowest: f64,
    /// Permit requests in a short recent interval.
    pub asked: u32,
    /// Permit requests in the same interval that were denied, or rejected by an instance.
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
            _ => Err(Fault { key: key.to_owned(), reason: "not four non-negative numbers" }),
        }
    }
}
