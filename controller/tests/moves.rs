//! Moves with real owners: control machines and stalls' desks in memory.

#[allow(dead_code)] // What other tests need of it.
mod cluster;
mod market;

use cluster::MS;
use market::{Market, Serves};
use millpost_scheduler::Outcome;

/// Eight routes, `a` to `h`, all on `s`.
fn tenant() -> String {
    let routes: Vec<_> = ('a'..='h')
        .map(|r| {
            format!(
                r#"{{"name":"{r}","host":"l.example","path_prefix":"/{r}/","traffic_kind":"mutating","deadline_ms":1500,"target_latency_ms":400,"priority":1,"max_tries":1,"service":"s"}}"#
            )
        })
        .collect();
    let service =
        |name: &str| format!(r#"{{"name":"{name}","memory_mb":512,"boot_ms":300,"concurrency":4}}"#);
    let services = [service("s"), service("t")].join(",");
    format!(r#"{{"revision":1,"routes":[{}],"services":[{services}],"limits":{{}}}}"#, routes.join(","))
}

/// A move of all of it in eight loads is under way.
fn moving(serves: Serves, rate: u64) -> Market {
    let mut market = Market::new(&tenant(), serves);
    market.rate = rate;
    market.run(8_000);
    let plan =
        r#"{"order":"plan","contract":{"name":"m","hosts":["l.example"],"services":{"s":"t"},"loads":8}}"#;
    assert_eq!(market.order(plan), (200, r#"{"step":"planned"}"#.to_owned()));
    let start = r#"{"order":"start","name":"m","revisions":{"first":10,"last":30}}"#;
    let (status, body) = market.order(start);
    assert_eq!(status, 200, "{body}");
    market
}

fn calm(_: &str, _: usize) -> (Outcome, u64) {
    (Outcome::Answered, 50 * MS)
}

/// How many routes are on the target, as the stall that is furthest behind has it.
fn moved(market: &Market) -> usize {
    market.config().routes.iter().filter(|route| route.shares == [("t".into(), 1)]).count()
}

/// A floor holds without any request, over the death of its owner and the loss of the leader, and is gone with the move.
#[test]
fn the_target_is_warm_before_the_first_load_and_stays_so_whoever_owns_it() {
    let mut market = moving(calm, 40);
    market.rate = 0;
    assert!(market.until(20_000, |market| moved(market) > 0), "{}", market.tells("m"));
    assert!(market.ready("t") >= 2 && !market.told.contains_key("t ok"));
    assert_eq!(market.order(r#"{"order":"pause","name":"m"}"#).0, 200);
    let (warm, retired) = (market.ready("t"), market.retired.len());
    let owner = market.owner("t");
    market.kill(owner);
    market.run(8_000);
    assert!(market.owner("t") != owner && market.ready("t") == warm);
    let leader = market.cluster.leader().expect("a steward");
    market.cluster.cut(leader, 1);
    market.run(9_000);
    assert!(market.cluster.leader().is_some_and(|n| n != leader));
    market.cluster.cut(leader, 0);
    assert_eq!(market.ready("t"), warm);
    let kept = market.cluster.started.iter().filter(|(_, entry)| entry.service == "t").count();
    assert_eq!((kept, &market.retired[retired..]), (warm, &[] as &[String]));

    assert_eq!(market.order(r#"{"order":"start","name":"m"}"#).0, 200);
    assert!(market.until(40_000, |market| market.is("m", "done")), "{}", market.tells("m"));
    market.run(1_000);
    let floors = market.floors;
    market.run(15_000);
    assert_eq!((market.floors, market.ready("t"), market.ready("s")), (floors, 0, 0));
}

#[test]
fn without_a_move_nobody_is_told_of_floors_and_nobody_tells_how_functions_do() {
    let mut market = Market::new(&tenant(), calm);
    market.rate = 40;
    market.run(10_000);
    assert!(market.told["s ok"] > 300);
    assert_eq!((market.floors, market.does.len()), (0, 0));
}

/// The more requests at once, the longer: about half way up to T1 with all of the load.
fn slow(service: &str, busy: usize) -> (Outcome, u64) {
    let more = busy.min(5) as u64 * 20 * MS;
    (Outcome::Answered, 50 * MS + if service == "t" { more } else { 0 })
}

/// One that stands still with more than a few.
fn stuck(service: &str, busy: usize) -> (Outcome, u64) {
    (Outcome::Answered, if service == "t" && busy > 2 { 900 * MS } else { 50 * MS })
}

fn full(service: &str, _: usize) -> (Outcome, u64) {
    if service == "t" { (Outcome::Full, 5 * MS) } else { (Outcome::Answered, 50 * MS) }
}

#[test]
fn a_target_that_gets_slow_slows_the_move() {
    let took = |serves| {
        let mut market = moving(serves, 80);
        let began = market.cluster.now;
        assert!(market.until(60_000, |market| moved(market) == 8), "{}", market.tells("m"));
        let took = (market.cluster.now - began) / MS;
        assert!(market.until(20_000, |market| market.is("m", "done")), "{}", market.tells("m"));
        took
    };
    let (calm, slow) = (took(calm), took(slow));
    assert!(slow > calm * 4 / 3, "{calm} ms, {slow} ms");
}

#[yare::parameterized(
    one_that_stands_still = { stuck, "delay is past T1" },
    one_that_is_full = { full, "refuses too much" },
)]
fn a_bad_target_turns_the_move_back(serves: Serves, why: &str) {
    let mut market = moving(serves, 80);
    assert!(market.until(60_000, |market| market.is("m", "turned_back")), "{}", market.tells("m"));
    let told = market.tells("m");
    assert!(told.contains(why), "{told}");
    assert_eq!(moved(&market), 0);
}

/// Each request runs once at an endpoint, whoever carries the move on.
#[test]
fn under_load_a_move_whose_leader_is_cut_off_is_done_and_loses_and_doubles_no_request() {
    let mut market = moving(calm, 80);
    assert!(market.until(20_000, |market| moved(market) >= 3), "{}", market.tells("m"));
    let leader = market.cluster.leader().expect("a steward");
    market.cluster.cut(leader, 1);
    assert!(market.until(60_000, |market| market.is("m", "done")), "{}", market.tells("m"));
    assert!(market.cluster.leader().is_some_and(|n| n != leader));
    assert_eq!(moved(&market), 8);
    market.rate = 0;
    market.run(2_000);
    assert_eq!(market.told.keys().collect::<Vec<_>>(), ["s ok", "t ok"]);
    assert_eq!(market.told.values().sum::<usize>(), market.asks);
}
