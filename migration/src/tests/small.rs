//! Unit tests of the checks, the configurations of steps, the record and the parsing of orders.

use compact_str::CompactString;
use millpost_config::{JsonCursor, values};

use crate::check::check;
use crate::observation::{ActiveConfig, FunctionLoad, Observation};
use crate::record::{Direction, Move, Put, Record, RouteMove, State};
use crate::shift::{has_loads_on_target, with_loads_on_target};
use crate::{Contract, MS, Order, Reason, Settings};

const BASE: &str = r#"{"revision":7,"odd":{"a":[1]},"routes":[
    {"name":"a","host":"L.example","path_prefix":"/a/","traffic_kind":"mutating","deadline_ms":1500,"services":[["s",3],["x",1]],"odd":1},
    {"name":"b","host":"l.example","path_prefix":"/b/","traffic_kind":"idempotent","deadline_ms":300,"service":"s"},
    {"name":"c","host":"o.example","path_prefix":"/a/","traffic_kind":"idempotent","deadline_ms":1500,"service":"s"}],
  "services":[{"name":"s","memory_mb":512,"boot_ms":200,"concurrency":4},
              {"name":"x","memory_mb":512,"boot_ms":200,"concurrency":4},
              {"name":"t","memory_mb":1000,"boot_ms":450,"concurrency":4,"max_conns":2,"tls":true}]}"#;

fn contract(text: &str) -> Contract {
    let value = values::parse(text).expect("JSON");
    Contract::read(&JsonCursor::root(&value)).expect("a contract")
}

fn observation(free_mb: Option<Vec<u64>>) -> (Observation, Settings) {
    let settings = Settings { contact_timeout: 4_000 * MS, duty_per_s: 10.0, prewarms: true };
    let mut observation = Observation::new(0, &settings);
    observation.set_active_config(ActiveConfig::read(BASE).expect("valid"));
    let load = |live, peak_requests| FunctionLoad {
        ready: live,
        live,
        peak_requests,
        delay: 0.0,
        refused_ratio: 0.0,
    };
    observation.record_function(0, "s".into(), load(5, 18.0));
    observation.record_function(0, "t".into(), load(1, 1.0));
    if let Some(free_mb) = free_mb {
        observation.set_free_memory(free_mb);
    }
    (observation, settings)
}

/// 18 requests of the source and one of the target, with a margin of a quarter, need six target instances;
/// one exists.
#[test]
fn a_check_estimates_a_move_and_reports_all_reasons_against_it() {
    let (observation, settings) = observation(Some(vec![1_900, 900]));
    let plan = contract(
        r#"{"name":"m","hosts":["l.EXAMPLE","none.example"],"routes":[{"host":"o.example","path_prefix":"/z/"}],
            "services":{"s":"t","q":"t"},"loads":9,"bounds":{"warm_ms":900,"most_memory_mb":4000}}"#,
    );
    let estimate = check(&plan, &Record::default(), &observation, &settings, 0);
    assert_eq!(
        (estimate.route_moves.len(), estimate.starts, estimate.memory_mb, estimate.max_deadline_ms),
        (2, 5, 5_000, 1_500)
    );
    assert_eq!(estimate.target_instances, [("t".into(), 6)]);
    assert_eq!(estimate.route_moves[0].to, [("t".into(), 3), ("x".into(), 1)]);
    let service = CompactString::from;
    let expected = [
        Reason::UnknownRoute { host: "o.example".into(), prefix: "/z/".into() },
        Reason::UnknownHost { host: "none.example".into() },
        Reason::InvalidLoads { loads: 9, most: 2 },
        Reason::UnknownService { service: "q".into() },
        Reason::ProtocolMismatch { from: "s".into(), to: "t".into() },
        Reason::TooFewConnections { service: service("t"), max_conns: 2, concurrency: 4 },
        Reason::StartTooSlow { service: service("t"), boot_ms: 450, deadline_ms: 300 },
        Reason::NotEnoughMemory { service: service("t"), wanted: 6, missing: 4, memory_mb: 1_000 },
        Reason::WarmingTooSlow { takes_ms: 1_175, warm_ms: 900 },
        Reason::TooMuchMemory { takes_mb: 5_000, most_mb: 4_000 },
    ];
    assert_eq!(estimate.reasons, expected);
}

#[yare::parameterized(
    no_workers = { None, 0, r#""services":{"s":"x"}"#, &[Reason::FreeMemoryUnknown, Reason::NoFunctionReport { service: "x".into() }] },
    expired_report = { Some(vec![9_000]), 5_000 * MS, r#""services":{"s":"x"}"#, &[Reason::NoFunctionReport { service: "s".into() }] },
    chained_services = { Some(vec![9_000]), 0, r#""services":{"s":"x","x":"s"}"#,
        &[Reason::ChainedService { service: "x".into() }, Reason::ChainedService { service: "s".into() }, Reason::NoFunctionReport { service: "x".into() }] },
    no_mapped_service = { Some(vec![9_000]), 0, r#""services":{"t":"x"},"routes":[{"host":"o.example","path_prefix":"/a/"}]"#,
        &[Reason::UnknownHost { host: "o.example".into() },
            Reason::NoMappedService { host: "o.example".into(), prefix: "/a/".into() }] },
)]
fn a_check_rejects_contracts_that_it_can_not_evaluate(
    free_mb: Option<Vec<u64>>,
    now: u64,
    services: &str,
    reasons: &[Reason],
) {
    let (observation, settings) = observation(free_mb);
    let plan = contract(&format!(r#"{{"name":"m","hosts":["o.example"],{services}}}"#));
    assert_eq!(check(&plan, &Record::default(), &observation, &settings, now).reasons, reasons);
}

fn route_moves() -> Vec<RouteMove> {
    let route_move = |prefix: &str, from: &[(&str, u32)], to: &[(&str, u32)], load| RouteMove {
        host: "l.example".into(),
        path_prefix: prefix.into(),
        from: from.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
        to: to.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
        load,
    };
    vec![
        route_move("/a/", &[("s", 3), ("x", 1)], &[("t", 3), ("x", 1)], 1),
        route_move("/b/", &[("s", 1)], &[("t", 1)], 2),
    ]
}

#[test]
fn a_step_changes_only_the_tenants_services_and_a_rollback_restores_them() {
    let route_moves = route_moves();
    let switched = with_loads_on_target(BASE, &route_moves, 1, 8).expect("valid");
    let active = ActiveConfig::read(&switched).expect("valid");
    assert!(
        has_loads_on_target(&active.config, &route_moves, 1)
            && !has_loads_on_target(&active.config, &route_moves, 0)
    );
    assert_eq!(switched, with_loads_on_target(BASE, &route_moves, 1, 8).expect("valid"));
    // Unknown fields are preserved, both at the top level and in a route that changes.
    let value = values::parse(&switched).expect("JSON");
    let route = &values::get_list(&value, "routes").expect("routes")[0];
    assert!(values::get(&value, "odd").is_some() && values::get_u64(route, "odd") == Some(1));
    let back = ActiveConfig::read(&with_loads_on_target(&switched, &route_moves, 0, 9).expect("valid"))
        .expect("valid");
    let base = ActiveConfig::read(BASE).expect("valid");
    assert!(has_loads_on_target(&back.config, &route_moves, 0));
    assert_eq!((back.config.routes, back.config.services), (base.config.routes, base.config.services));
}

#[test]
fn a_record_reads_back_and_newer_or_corrupt_ones_are_rejected() {
    let mut mv = Move {
        name: "m \"1\"".into(),
        epoch: 3,
        contract_hash: 4_000_000_000,
        route_moves: route_moves(),
        loads: 2,
        services: vec![("s".into(), "t".into())],
        max_deadline_ms: 1_500,
        bounds: crate::Bounds { most_memory_mb: Some(5), ..crate::Bounds::default() },
        target_instances: vec![("t".into(), 6)],
        source_instances: vec![("s".into(), 5)],
        revisions: (11, 14),
        paused: true,
        state: State::Opened,
        history: Vec::new(),
    };
    let put = Put { revision: 9, base: 7, loads: 1, previous_loads: 0 };
    let states = [
        State::Planned { started: false },
        State::Planned { started: true },
        State::Opened,
        State::Switching(Direction::ToTarget, put),
        State::Switching(Direction::ToSource, put),
        State::Settling(Direction::ToTarget, 9),
        State::Settling(Direction::ToSource, 9),
        State::Superseded,
        State::RolledBack,
        State::Done,
    ];
    for state in states {
        mv.enter(state, 1_700_000_000_000, 2, "é".repeat(300));
        let record = Record { fence: 2, moves: vec![mv.clone()] };
        let text = record.to_text();
        assert_eq!(Record::read(&text).expect("reads"), record);
        let newer = text.replacen(r#""format":1"#, r#""format":2"#, 1);
        assert!(matches!(Record::read(&newer), Err(crate::RecordError::Newer { format: 2 })));
        let corrupt = text.replacen("epoch", "epo", 1);
        assert!(matches!(Record::read(&corrupt), Err(crate::RecordError::Corrupt { .. })));
    }
    // The number of steps and the length of reasons are bounded.
    (0..100).for_each(|_| mv.enter(State::Done, 0, 2, "x".repeat(1_000)));
    assert!(mv.history.len() == 24 && mv.history.iter().all(|entry| entry.reason.len() <= 400));
    assert_eq!(mv.planned_at(), 1_700_000_000_000);
}

#[yare::parameterized(
    plan = { r#"{"order":"plan","contract":{"name":"m","hosts":["h"],"services":{"s":"t"},"loads":2}}"#, None },
    start = { r#"{"order":"start","name":"m","revisions":{"first":10,"last":14}}"#, None },
    back = { r#"{"order":"back","name":"m"}"#, None },
    no_order = { r#"{"order":"go","name":"m"}"#, Some("order: unknown order \"go\"; expected plan, start, pause or back") },
    no_name = { r#"{"order":"pause","name":""}"#, Some("name: is empty") },
    no_range = { r#"{"order":"back","name":"m","revisions":{"first":5,"last":4}}"#, Some("revisions: is not a range of revisions") },
    no_service = { r#"{"order":"plan","contract":{"name":"m","services":{"s":1}}}"#, Some("contract.services.s: is not a string") },
)]
fn an_order_parses_or_names_the_wrong_field(text: &str, error: Option<&str>) {
    let value = values::parse(text).expect("JSON");
    let read = Order::read(&JsonCursor::root(&value));
    assert_eq!(read.as_ref().err().map(ToString::to_string).as_deref(), error);
    if let Ok(Order::Plan(contract)) = read {
        assert_eq!(Contract::read(&JsonCursor::root(&contract.to_value())).expect("reads back"), contract);
    }
}

/// Counts the register requests of a new leader when there has never been a move.
#[test]
fn without_moves_a_leader_reads_the_record_twice_and_writes_nothing() {
    let mut migrator =
        crate::Migrator::new(Settings { contact_timeout: 4_000 * MS, duty_per_s: 1.0, prewarms: false });
    let (mut reads, mut others) = (0, 0);
    for ms in 0..60_000 {
        let at = crate::Moment { now: ms * MS, unix_ms: ms };
        migrator.input(at, crate::Input::Lease(1, (ms + 1_000) * MS));
        for effect in migrator.take_effects() {
            match effect {
                crate::Effect::ReadRecord(ask) => {
                    reads += 1;
                    migrator.input(at, crate::Input::Record(ask, millpost_quorum::Outcome::Found(None)));
                }
                _ => others += 1,
            }
        }
    }
    assert_eq!((reads, others, migrator.is_busy()), (2, 0, false));
}
