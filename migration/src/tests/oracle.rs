//! Checks the invariants of moves from the records, configurations and answers that a simulation produces,
//! never from the internal state of a machine.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_config::Config;

use crate::record::{Direction, Record, RouteMove, State};
use crate::shift::{RouteLocation, has_loads_on_target, locate_routes};
use crate::{MS, Nanos};

/// The state of a proxy as the oracle sees it.
pub(super) struct ProxyView {
    pub connected: bool,
    /// The configuration that the proxy applies.
    pub config: Option<Config>,
    /// When the proxy started to apply each revision.
    pub since: BTreeMap<u64, Nanos>,
}

#[derive(Default)]
pub(super) struct Oracle {
    /// Violated invariants, at most ten.
    pub violations: Vec<String>,
    /// Configurations that moves tried to write, by revision.
    offered: BTreeMap<u64, String>,
    /// Puts that were part of a written record: revision and base.
    recorded: BTreeSet<(u64, u64)>,
    /// Routes, loads and longest deadline of each move; the record drops the routes when the move ends.
    pub route_moves: BTreeMap<CompactString, (Vec<RouteMove>, u32, u64)>,
    /// Revisions that operators put.
    by_operator: BTreeSet<u64>,
    /// Moves whose plan, rollback or pause was accepted; for a pause also the load at that time.
    planned: BTreeSet<CompactString>,
    rollbacks: BTreeSet<CompactString>,
    paused: BTreeMap<CompactString, u32>,
    /// Moves whose plan or start was refused and has not been ordered again since.
    refused: BTreeSet<CompactString>,
    /// All configurations by revision.
    pub configs: BTreeMap<u64, Config>,
}

impl Oracle {
    pub fn fail(&mut self, now: Nanos, what: &str, more: impl std::fmt::Display) {
        if self.violations.len() < 10 {
            self.violations.push(format!("{what}: at {} ms: {more}", now / MS));
        }
    }

    /// A move tries to write a configuration.
    pub fn config_offered(&mut self, now: Nanos, revision: u64, text: &str) {
        if self.offered.entry(revision).or_insert_with(|| text.to_owned()) != text {
            self.fail(now, "revision reused", format!("two configurations under revision {revision}"));
        }
    }

    /// An operator's configuration has become active.
    pub fn put_by_operator(&mut self, config: Config) {
        self.by_operator.insert(config.revision);
        self.configs.insert(config.revision, config);
    }

    /// A move's configuration has replaced `before`.
    pub fn put_by_move(&mut self, now: Nanos, name: &str, before: &Config, config: Config, record: &Record) {
        let revision = config.revision;
        if !self.recorded.contains(&(revision, before.revision)) {
            self.fail(now, "put not recorded", format!("{revision} over {}", before.revision));
        }
        if record.find(name).is_none_or(|mv| mv.state.is_ended()) {
            self.fail(now, "put after end", format!("{revision} of {name}"));
        }
        let Some((route_moves, loads, _)) = self.route_moves.get(name).cloned() else {
            return self.fail(now, "put not recorded", format!("no move {name}"));
        };
        // Everything except the tenant's services has to be unchanged.
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
                "foreign change",
                format!("{revision} over {} changes more than the tenant's services", before.revision),
            );
        }
        let at = locate_routes(before, &route_moves);
        let elsewhere = at.contains(&RouteLocation::Other)
            || !(0..=loads).any(|n| has_loads_on_target(before, &route_moves, n));
        if elsewhere && self.by_operator.contains(&before.revision) {
            self.fail(
                now,
                "operator overridden",
                format!("{revision} over the operator's {}", before.revision),
            );
        }
        self.configs.insert(revision, config);
    }

    /// A record has been written.
    pub fn record_written(
        &mut self,
        now: Nanos,
        before: &Record,
        record: &Record,
        active: &Config,
        proxies: &[ProxyView],
    ) {
        let mut held = BTreeSet::new();
        for mv in record.open() {
            for route_move in &mv.route_moves {
                if !held.insert((&route_move.host, &route_move.path_prefix)) {
                    self.fail(
                        now,
                        "route in two moves",
                        format!("{:?} is in two moves", route_move.path_prefix),
                    );
                }
            }
        }
        if record.moves.iter().filter(|mv| mv.state.is_active()).count() > 1 {
            self.fail(now, "two active moves", "");
        }
        for name in self.planned.clone() {
            if record.find(&name).is_none() {
                self.fail(now, "order lost", format!("plan of {name}"));
            }
        }
        for name in &self.refused.clone() {
            let progress = |record: &Record| {
                record.find(name).map_or(0, |mv| 1 + u8::from(mv.state.name() != "planned"))
            };
            if progress(record) > progress(before) && record.find(name).is_some_and(|mv| !mv.state.is_ended())
            {
                self.fail(
                    now,
                    "refused order applied",
                    format!("{name} advances although the order was refused"),
                );
            }
        }
        for mv in &record.moves {
            let was = before.find(&mv.name).map(|was| &was.state);
            if !mv.route_moves.is_empty() {
                self.route_moves
                    .insert(mv.name.clone(), (mv.route_moves.clone(), mv.loads, mv.max_deadline_ms));
            }
            if let State::Switching(direction, put) = mv.state {
                self.recorded.insert((put.revision, put.base));
                if direction == Direction::ToTarget
                    && self.paused.get(&mv.name).is_some_and(|load| put.loads > *load)
                {
                    self.fail(now, "order lost", format!("pause of {}", mv.name));
                }
            }
            if was != Some(&mv.state) && mv.state.is_ended() {
                self.move_ended(now, &mv.name, &mv.state, was, active, proxies);
            }
        }
    }

    /// A leader tries to write a record; `bad` if the target's delay has been past T1 for a while.
    pub fn record_offered(&mut self, now: Nanos, current: &Record, next: &Record, bad: bool) {
        for mv in &next.moves {
            let load = |mv: &crate::Move| match mv.state {
                State::Switching(Direction::ToTarget, put) => put.loads,
                _ => 0,
            };
            let was = current.find(&mv.name).map_or(0, load);
            if bad && was > 0 && load(mv) > was {
                self.fail(
                    now,
                    "load on slow target",
                    format!("load {} while the target's delay is past T1", load(mv)),
                );
            }
        }
    }

    fn move_ended(
        &mut self,
        now: Nanos,
        name: &CompactString,
        state: &State,
        was: Option<&State>,
        active: &Config,
        proxies: &[ProxyView],
    ) {
        if *state == State::Done && self.rollbacks.contains(name) {
            self.fail(now, "order lost", format!("rollback of {name}"));
        }
        let Some((route_moves, loads, max_deadline_ms)) = self.route_moves.get(name).cloned() else { return };
        let loads = match state {
            State::Done => loads,
            State::RolledBack => 0,
            _ => return,
        };
        if !was.is_some_and(|was| matches!(was, State::Settling(..))) {
            if *state == State::Done {
                self.fail(now, "ended early", format!("{name} ends without settling"));
            }
            return;
        }
        // An operator's configuration may have come at the same time.
        if !has_loads_on_target(active, &route_moves, loads) && !self.by_operator.contains(&active.revision) {
            self.fail(
                now,
                "routes misplaced",
                format!("{name} is {} and {} is active", state.name(), active.revision),
            );
        }
        for (n, proxy) in proxies.iter().enumerate().filter(|(_, proxy)| proxy.connected) {
            let Some(config) = &proxy.config else { continue };
            if !has_loads_on_target(config, &route_moves, loads)
                && !self.by_operator.contains(&config.revision)
            {
                self.fail(
                    now,
                    "ended early",
                    format!("{name} ends while proxy {n} applies {}", config.revision),
                );
            }
            // Since when the proxy has applied a configuration with the final routes.
            let matching = proxy.since.iter().rev().take_while(|(revision, _)| {
                self.configs
                    .get(revision)
                    .is_some_and(|config| has_loads_on_target(config, &route_moves, loads))
            });
            if let Some(since) = matching.map(|(_, since)| *since).last()
                && now < since + max_deadline_ms * MS
            {
                self.fail(
                    now,
                    "ended early",
                    format!("{name} ends {} ms after proxy {n} applied the final routes", (now - since) / MS),
                );
            }
        }
    }

    /// An operator's order was accepted.
    pub fn order_accepted(&mut self, order: &crate::Order, record: &Record) {
        let name = order.name().clone();
        let load = match record.find(&name).map(|mv| &mv.state) {
            Some(State::Switching(_, put)) => put.loads,
            _ => 0,
        };
        match order {
            crate::Order::Plan(_) => _ = self.planned.insert(name),
            crate::Order::Start(..) => {}
            crate::Order::Pause(_) => _ = self.paused.insert(name, load),
            crate::Order::Rollback(..) => _ = self.rollbacks.insert(name),
        }
    }

    /// An operator's order was refused.
    pub fn order_refused(&mut self, order: &crate::Order) {
        if let crate::Order::Plan(_) | crate::Order::Start(..) = order {
            self.refused.insert(order.name().clone());
        }
    }

    /// An operator gives an order, which may end an earlier pause or refusal.
    pub fn order_given(&mut self, order: &crate::Order) {
        self.refused.remove(order.name());
        if let crate::Order::Start(name, _) = order {
            self.paused.remove(name);
        }
    }
}
