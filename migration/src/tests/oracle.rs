//! What must hold of moves, judged from what stands, what is offered and what is answered; never from the inside of a machine.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_config::Config;

use crate::record::{Direction, Record, RouteMove, State};
use crate::shift::{RouteLocation, has_loads_on_target, locate_routes};
use crate::{MS, Nanos};

/// A proxy, as the oracle sees it.
pub(super) struct Seen {
    pub in_touch: bool,
    /// What it acts on, and since when what it acts on has the tenant's routes where they are now.
    pub config: Option<Config>,
    pub since: BTreeMap<u64, Nanos>,
}

#[derive(Default)]
pub(super) struct Oracle {
    pub broken: Vec<String>,
    /// Texts that were offered by moves, by their number.
    offered: BTreeMap<u64, String>,
    /// Puts that stood in a record: number, base, move, loads.
    recorded: BTreeSet<(u64, u64)>,
    /// The routes of each move, which its record forgets at its end.
    pub route_moves: BTreeMap<CompactString, (Vec<RouteMove>, u32, u64)>,
    /// The highest revision that an operator put.
    by_operator: BTreeSet<u64>,
    /// Orders that were answered well: planned, to turn back, paused.
    planned: BTreeSet<CompactString>,
    backs: BTreeSet<CompactString>,
    paused: BTreeMap<CompactString, u32>,
    /// Moves whose plan or start was refused, and not asked for again since.
    refused: BTreeSet<CompactString>,
    pub configs: BTreeMap<u64, Config>,
}

impl Oracle {
    pub fn fail(&mut self, now: Nanos, what: &str, more: impl std::fmt::Display) {
        if self.broken.len() < 10 {
            self.broken.push(format!("{what}: at {} ms: {more}", now / MS));
        }
    }

    pub fn offers(&mut self, now: Nanos, number: u64, text: &str) {
        if self.offered.entry(number).or_insert_with(|| text.to_owned()) != text {
            self.fail(now, "twice", format!("two configurations under {number}"));
        }
    }

    /// An operator's configuration stands.
    pub fn put_by_operator(&mut self, config: Config) {
        self.by_operator.insert(config.revision);
        self.configs.insert(config.revision, config);
    }

    /// A move's configuration stands now, over this one.
    pub fn put_by_move(&mut self, now: Nanos, name: &str, before: &Config, config: Config, record: &Record) {
        let number = config.revision;
        if !self.recorded.contains(&(number, before.revision)) {
            self.fail(now, "unrecorded", format!("{number} over {}", before.revision));
        }
        if record.find(name).is_none_or(|of| of.state.is_ended()) {
            self.fail(now, "after its end", format!("{number} of {name}"));
        }
        let Some((route_moves, loads, _)) = self.route_moves.get(name).cloned() else {
            return self.fail(now, "unrecorded", format!("no move {name}"));
        };
        // All but the tenant's services is as it was.
        let blank = |config: &Config| {
            let mut config = config.clone();
            config.revision = 0;
            for route in &mut config.routes {
                if route_moves.iter().any(|h| h.host == route.host && h.path_prefix == route.path_prefix) {
                    route.shares.clear();
                }
            }
            config
        };
        if blank(before) != blank(&config) {
            self.fail(
                now,
                "undone",
                format!("{number} over {} changes what is not its own", before.revision),
            );
        }
        let at = locate_routes(before, &route_moves);
        let elsewhere = at.contains(&RouteLocation::Other)
            || !(0..=loads).any(|n| has_loads_on_target(before, &route_moves, n));
        if elsewhere && self.by_operator.contains(&before.revision) {
            self.fail(now, "fights", format!("{number} over the operator's {}", before.revision));
        }
        self.configs.insert(number, config);
    }

    /// A record stands now.
    pub fn record(
        &mut self,
        now: Nanos,
        before: &Record,
        record: &Record,
        stands: &Config,
        proxies: &[Seen],
    ) {
        let mut held = BTreeSet::new();
        for of in record.open() {
            for route_move in &of.route_moves {
                if !held.insert((&route_move.host, &route_move.path_prefix)) {
                    self.fail(now, "crossing", format!("{:?} is in two moves", route_move.path_prefix));
                }
            }
        }
        if record.moves.iter().filter(|of| of.state.is_active()).count() > 1 {
            self.fail(now, "two out", "");
        }
        for name in self.planned.clone() {
            if record.find(&name).is_none() {
                self.fail(now, "forgotten", format!("the plan of {name}"));
            }
        }
        for name in &self.refused.clone() {
            let far = |record: &Record| {
                record.find(name).map_or(0, |of| 1 + u8::from(of.state.name() != "planned"))
            };
            if far(record) > far(before) && record.find(name).is_some_and(|of| !of.state.is_ended()) {
                self.fail(now, "denied", format!("{name} goes on though that was refused"));
            }
        }
        for of in &record.moves {
            let was = before.find(&of.name).map(|was| &was.state);
            if !of.route_moves.is_empty() {
                self.route_moves
                    .insert(of.name.clone(), (of.route_moves.clone(), of.loads, of.max_deadline_ms));
            }
            if let State::Switching(way, put) = of.state {
                self.recorded.insert((put.revision, put.base));
                if way == Direction::ToTarget
                    && self.paused.get(&of.name).is_some_and(|load| put.loads > *load)
                {
                    self.fail(now, "forgotten", format!("the pause of {}", of.name));
                }
            }
            if was != Some(&of.state) && of.state.is_ended() {
                self.ended(now, &of.name, &of.state, was, stands, proxies);
            }
        }
    }

    /// A record is offered while the target has been past T1 for a while, or not.
    pub fn offered_record(&mut self, now: Nanos, stands: &Record, next: &Record, bad: bool) {
        for of in &next.moves {
            let load = |of: &crate::Move| match of.state {
                State::Switching(Direction::ToTarget, put) => put.loads,
                _ => 0,
            };
            let was = stands.find(&of.name).map_or(0, load);
            if bad && was > 0 && load(of) > was {
                self.fail(now, "pushed", format!("load {} on a target that is past T1", load(of)));
            }
        }
    }

    fn ended(
        &mut self,
        now: Nanos,
        name: &CompactString,
        state: &State,
        was: Option<&State>,
        stands: &Config,
        proxies: &[Seen],
    ) {
        if *state == State::Done && self.backs.contains(name) {
            self.fail(now, "forgotten", format!("the way back of {name}"));
        }
        let Some((route_moves, loads, longest)) = self.route_moves.get(name).cloned() else { return };
        let loads = match state {
            State::Done => loads,
            State::RolledBack => 0,
            _ => return,
        };
        if !was.is_some_and(|was| matches!(was, State::Settling(..))) {
            if *state == State::Done {
                self.fail(now, "early", format!("{name} ends without having settled"));
            }
            return;
        }
        // An operator's own word may have come in the same moment.
        if !has_loads_on_target(stands, &route_moves, loads) && !self.by_operator.contains(&stands.revision) {
            self.fail(now, "apart", format!("{name} is {} and {} stands", state.name(), stands.revision));
        }
        for (n, seen) in proxies.iter().enumerate().filter(|(_, seen)| seen.in_touch) {
            let Some(config) = &seen.config else { continue };
            if !has_loads_on_target(config, &route_moves, loads)
                && !self.by_operator.contains(&config.revision)
            {
                self.fail(now, "early", format!("{name} ends, proxy {n} acts on {}", config.revision));
            }
            // Since when it acts on what fits.
            let fitting = seen.since.iter().rev().take_while(|(revision, _)| {
                self.configs
                    .get(revision)
                    .is_some_and(|config| has_loads_on_target(config, &route_moves, loads))
            });
            if let Some(since) = fitting.map(|(_, since)| *since).last()
                && now < since + longest * MS
            {
                self.fail(now, "early", format!("{name} ends, proxy {n} had {} ms", (now - since) / MS));
            }
        }
    }

    /// An operator's order is answered well.
    pub fn answered(&mut self, order: &crate::Order, record: &Record) {
        let name = order.name().clone();
        let load = match record.find(&name).map(|of| &of.state) {
            Some(State::Switching(_, put)) => put.loads,
            _ => 0,
        };
        match order {
            crate::Order::Plan(_) => _ = self.planned.insert(name),
            crate::Order::Start(..) => {}
            crate::Order::Pause(_) => _ = self.paused.insert(name, load),
            crate::Order::Rollback(..) => _ = self.backs.insert(name),
        }
    }

    /// An operator's order is refused.
    pub fn refuses(&mut self, order: &crate::Order) {
        if let crate::Order::Plan(_) | crate::Order::Start(..) = order {
            self.refused.insert(order.name().clone());
        }
    }

    /// An operator gives an order: from now on a pause or a refusal may be over.
    pub fn orders(&mut self, order: &crate::Order) {
        self.refused.remove(order.name());
        if let crate::Order::Start(name, _) = order {
            self.paused.remove(name);
        }
    }
}
