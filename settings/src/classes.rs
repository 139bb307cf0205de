//! The classes that messages may be of: those that the settings in force name, and those of before that open messages
//! were taken under. No I/O, no clock.
//!
//! Kept invariant: a position means the same class, rule for rule, for as long as any message is of it. So a class whose
//! rules change gets a new position, and one that is dropped keeps its own; the module is told which take nothing new.

use std::collections::BTreeSet;

use millpost::api::{Class, Settings};
use serde::{Deserialize, Serialize};

use crate::Shape;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Row {
    name: String,
    class: Class,
}

/// The classes, by position.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Classes {
    rows: Vec<Row>,
}

impl Classes {
    /// As they were noted by [`Self::write`]; `None` where that can't be read.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// To be noted before any message is of a new class.
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Takes in the classes of new settings: each gets the position where it stands, rule for rule, or a new one. Where
    /// `open` is given, the messages there are are of these classes alone, and other places may be taken again.
    pub fn adopt(&mut self, settings: &Settings, shape: &Shape, open: Option<&BTreeSet<usize>>) {
        for row in &mut self.rows {
            row.class.retired = true;
        }
        for (name, class) in shape.class_names.iter().zip(&settings.classes) {
            let same = |row: &Row| {
                row.name == *name
                    && Class { retired: false, ..row.class.clone() } == *class
                    && row.class.retired
            };
            let free =
                |(place, row): (usize, &Row)| (row.class.retired && !open?.contains(&place)).then_some(place);
            let at = self.rows.iter().position(same).or_else(|| self.rows.iter().enumerate().find_map(free));
            let row = Row { name: name.clone(), class: class.clone() };
            match at {
                Some(at) => self.rows[at] = row,
                None => self.rows.push(row),
            }
        }
    }

    /// These settings with all classes, so that messages name them by their positions here.
    pub fn settings(&self, settings: Settings) -> Settings {
        Settings { classes: self.rows.iter().map(|row| row.class.clone()).collect(), ..settings }
    }

    /// Where a class stands that new messages may be of.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.rows.iter().position(|row| row.name == name && !row.class.retired)
    }

    /// Name and rules at each position.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Class)> {
        self.rows.iter().map(|row| (row.name.as_str(), &row.class))
    }
}

#[cfg(test)]
mod tests {
    use millpost::RandomSource;
    use millpost::api::Effect;

    use super::*;
    use crate::tests::settings;

    fn class(deadline: u64, effect: Effect) -> Class {
        Class { aim: 1, deadline, worth: 1.0, late_worth: 0.5, effect, in_order: false, retired: false }
    }

    fn adopt(classes: &mut Classes, named: &[(&str, Class)], open: Option<&BTreeSet<usize>>) {
        let (settings, shape) = settings();
        let settings =
            Settings { classes: named.iter().map(|(_, class)| class.clone()).collect(), ..settings };
        let class_names = named.iter().map(|(name, _)| (*name).to_owned()).collect();
        classes.adopt(&settings, &Shape { class_names, ..shape }, open);
    }

    #[test]
    fn a_class_that_changes_stands_anew_and_one_that_is_dropped_stays() {
        let (a, b) = (class(10, Effect::Safe), class(20, Effect::Unsafe));
        let mut classes = Classes::default();
        adopt(&mut classes, &[("a", a.clone()), ("b", b.clone())], None);
        assert_eq!((classes.position("a"), classes.position("b")), (Some(0), Some(1)));
        let changed = class(10, Effect::Unsafe);
        adopt(&mut classes, &[("c", a.clone()), ("a", changed.clone())], None);
        assert_eq!(
            (classes.position("c"), classes.position("a"), classes.position("b")),
            (Some(2), Some(3), None)
        );
        let rules: Vec<_> =
            classes.all().map(|(name, class)| (name.to_owned(), class.effect, class.retired)).collect();
        assert_eq!(rules[0], ("a".to_owned(), Effect::Safe, true), "open messages keep the rules of before");
        assert_eq!(rules[1], ("b".to_owned(), Effect::Unsafe, true));
        // What comes back as it was stands where it stood: going to and fro takes no room.
        for _ in 0..10 {
            adopt(&mut classes, &[("a", a.clone()), ("b", b.clone())], None);
            adopt(&mut classes, &[("c", a.clone()), ("a", changed.clone())], None);
        }
        assert_eq!(classes.all().count(), 4);
        assert_eq!(Classes::read(&classes.write()), Some(classes.clone()));
        // At a start with one message, of the class `b` of before, all other places may be taken.
        adopt(&mut classes, &[("d", a.clone()), ("e", b.clone())], Some(&BTreeSet::from([1])));
        assert_eq!((classes.position("d"), classes.position("e")), (Some(0), Some(2)));
        assert_eq!(
            classes.all().nth(1).map(|(name, class)| (name, class.effect)),
            Some(("b", Effect::Unsafe))
        );
    }

    /// Whatever settings follow each other, an open message's position keeps its rules, and each name in force stands
    /// somewhere with just its rules.
    #[test]
    fn a_position_means_the_same_class_while_a_message_is_of_it() {
        for seed in 0..200 {
            let (mut dice, mut classes) = (RandomSource::seeded(seed), Classes::default());
            let mut open: Vec<(usize, Class)> = Vec::new();
            for step in 0..30 {
                let named: Vec<(&str, Class)> = ["a", "b", "c"]
                    .into_iter()
                    .filter(|_| dice.next_f64() < 0.7)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .map(|name| {
                        let effect = if dice.next_f64() < 0.5 { Effect::Safe } else { Effect::Unsafe };
                        (name, class(1 + (dice.next_f64() * 3.0) as u64, effect))
                    })
                    .collect();
                let places = open.iter().map(|(place, _)| *place).collect();
                let restart = dice.next_f64() < 0.3;
                if restart {
                    classes = Classes::read(&classes.write()).expect("it was written");
                }
                adopt(&mut classes, &named, restart.then_some(&places));
                let all: Vec<Class> = classes.all().map(|(_, class)| class.clone()).collect();
                for (name, class) in &named {
                    let at = classes.position(name).expect("it stands");
                    assert_eq!(&all[at], class, "seed {seed}, step {step}");
                    open.push((at, class.clone()));
                }
                for (at, class) in &open {
                    assert_eq!(
                        Class { retired: false, ..all[*at].clone() },
                        *class,
                        "seed {seed}, step {step}"
                    );
                }
                open.retain(|_| dice.next_f64() < 0.5);
            }
        }
    }
}
