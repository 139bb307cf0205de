//! The stand-ins of the whole system: what the platform and an endpoint answer, and each planted breach by its name.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use millpost_standins::cluster::auditor::{
    Asked, Auditor, ClientAnswer, EndpointAnswer, NotExecuted, Rule, digest,
};
use millpost_standins::cluster::client::{Clients, Door, Order};
use millpost_standins::cluster::fleet::{Fleet, Programs};
use millpost_standins::cluster::function::{Endpoint, EndpointBehaviour, Fault, Nested, Phase};
use millpost_standins::cluster::message::{Connection, exchange, request};
use millpost_standins::cluster::operator::Operator;
use millpost_standins::cluster::platform::{Platform, Shape};
use millpost_standins::cluster::settings::{
    self, Bounds, Class, Configuration, Deployment, Function, Kind, Role, Route,
};
use millpost_standins::link::LinkConditions;
use millpost_standins::scripted::{Reply, Server, TIMEOUT, answer};
use millpost_standins::wire::Message;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Value, json};
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);

fn auditor() -> Auditor {
    let auditor = Auditor::new(Bounds::default());
    auditor.configured(&Configuration::small(1));
    auditor
}

async fn platform(change: impl FnOnce(&mut Shape)) -> Platform {
    let mut shape = Shape::small(&["ikeja".to_owned()], 2);
    (shape.max_lag_ms, shape.rate_per_s) = (0, 1_000.0);
    change(&mut shape);
    Platform::start(shape, &Configuration::small(1), auditor()).await.expect("a platform")
}

async fn call(to: SocketAddr, method: &str, path: &str, body: Value) -> (u16, Value) {
    let text = if body.is_null() { String::new() } else { body.to_string() };
    let bytes = request(method, "x", path, &[("X-Fence-Number", "12")], text.as_bytes(), false);
    let answer = exchange(to, &bytes, TIMEOUT).await.expect("an answer");
    (answer.status(), serde_json::from_slice(&answer.body).expect("JSON"))
}

async fn start(platform: &Platform, service: &str, worker: &str, nonce: &str) -> (u16, Value) {
    let asked = json!({"service": service, "worker": worker, "request_nonce": nonce});
    call(platform.address, "POST", "/start", asked).await
}

async fn listed(platform: &Platform) -> Vec<Value> {
    let (status, list) = call(platform.address, "GET", "/endpoints?zone=ikeja", Value::Null).await;
    assert_eq!(status, 200);
    list["endpoints"].as_array().expect("a list").clone()
}

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < TIMEOUT, "never: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn platform_starts_once_for_each_nonce_and_says_where_there_is_no_room() {
    let p = platform(|s| s.workers[0].memory_mb = 200).await;
    let (status, first) = start(&p, "wuno96b", "w-1", "a").await;
    assert_eq!((status, &start(&p, "wuno96b", "w-1", "a").await.1), (200, &first));
    assert_eq!(p.starts().len(), 1);
    // Refused until it has started, and not on the list.
    let address: SocketAddr = first["address"].as_str().expect("text").parse().expect("an address");
    assert!(Connection::open(address, SECOND).await.is_err());
    assert!(listed(&p).await.is_empty());
    assert_eq!(start(&p, "wuno96b", "w-1", "b").await.0, 409, "no room");
    assert_eq!(start(&p, "wuno96b", "w-9", "c").await.0, 409, "unknown");
    assert_eq!(start(&p, "nobody", "w-2", "d").await.0, 400);
    assert_eq!(start(&p, "wuno96b", "w-2", &"n".repeat(65)).await.0, 400);
    assert_eq!(call(p.address, "POST", "/start", json!({"service": "wuno96b"})).await.0, 400);
    assert_eq!(call(p.address, "POST", "/stop", json!({"id": "i-none"})).await.0, 404);

    until("it is listed", async || listed(&p).await.len() == 1).await;
    let entry = &listed(&p).await[0];
    assert_eq!(
        (&entry["id"], &entry["worker"], &entry["state"]),
        (&first["id"], &json!("w-1"), &json!("ready"))
    );
    p.drain_worker("w-1");
    assert_eq!(listed(&p).await[0]["state"], "draining");
    assert_eq!(start(&p, "wuno96b", "w-1", "e").await.0, 409, "draining");
    assert_eq!(call(p.address, "POST", "/stop", json!({"id": first["id"]})).await.0, 200);
    until("its memory is free", async || p.endpoints("wuno96b").is_empty()).await;
    assert!(listed(&p).await.is_empty());
    assert_eq!(call(p.address, "POST", "/stop", json!({"id": first["id"]})).await.0, 200, "it did exist");
    assert_eq!(p.calls().iter().filter(|c| c.fence == Some(12) && c.what == "POST /stop").count(), 3);
}

#[tokio::test]
async fn platform_keeps_its_rates_pages_and_lag() {
    let p = platform(|s| (s.duty_per_s, s.rate_per_s, s.page, s.max_lag_ms) = (4.0, 5.0, 2, 150)).await;
    let mut last = 0;
    for n in 0..5 {
        last = start(&p, "wuno96b", "w-2", &format!("n{n}")).await.0;
    }
    assert_eq!((last, p.starts().len()), (429, 4));
    for endpoint in p.endpoints("wuno96b") {
        endpoint.reaches(Phase::Up).await;
    }
    assert!(listed(&p).await.is_empty(), "the list runs behind");
    sleep(SECOND).await;
    let (_, first) = call(p.address, "GET", "/endpoints", Value::Null).await;
    let token = first["next_token"].as_str().expect("a next page").to_owned();
    let unencoded = call(p.address, "GET", &format!("/endpoints?page_token={token}"), Value::Null).await;
    assert_eq!(unencoded.0, 400);
    let encoded = utf8_percent_encode(&token, NON_ALPHANUMERIC);
    let (_, second) = call(p.address, "GET", &format!("/endpoints?page_token={encoded}"), Value::Null).await;
    let ids = |page: &Value| page["endpoints"].as_array().map_or(0, Vec::len);
    assert_eq!((ids(&first), ids(&second), &second["next_token"]), (2, 2, &Value::Null));
    for _ in 0..4 {
        last = call(p.address, "GET", "/workers", Value::Null).await.0;
    }
    assert_eq!(last, 429);
    // Silent, it does what it is told all the same.
    p.weather(LinkConditions::OneWay);
    let asked = json!({"service": "huvo11a", "worker": "w-1", "request_nonce": "x"}).to_string();
    let bytes = request("POST", "x", "/start", &[], asked.as_bytes(), false);
    assert!(exchange(p.address, &bytes, Duration::from_millis(200)).await.is_err());
    assert_eq!(p.endpoints("huvo11a").len(), 1);
}

#[tokio::test]
async fn crashed_worker_takes_its_endpoints_along_and_comes_back_empty() {
    let p = platform(|s| s.lingers = Duration::from_millis(300)).await;
    let (_, started) = start(&p, "wuno96b", "w-1", "a").await;
    until("it is listed", async || listed(&p).await.len() == 1).await;
    p.crash_worker("w-1", Duration::from_millis(200));
    assert_eq!(start(&p, "wuno96b", "w-1", "b").await.0, 409, "down");
    assert_eq!(listed(&p).await.len(), 1, "it lingers on the list");
    until("it is gone", async || listed(&p).await.is_empty()).await;
    let (_, workers) = call(p.address, "GET", "/workers", Value::Null).await;
    assert_eq!(
        (&workers["workers"][0]["name"], &workers["workers"][0]["free_memory_mb"]),
        (&json!("w-1"), &json!(4096))
    );
    assert_eq!(start(&p, "wuno96b", "w-1", "a").await.1, started, "a nonce names one start for good");
}

/// An endpoint that is up.
async fn endpoint(auditor: &Auditor, concurrency: usize, manner: EndpointBehaviour) -> Endpoint {
    let function = Function::new("huvo11a", concurrency, 1);
    let endpoint = Endpoint::boot(&function, manner, Duration::ZERO, None, auditor.clone());
    endpoint.reaches(Phase::Up).await;
    endpoint
}

/// A client's request, heard by the auditor.
fn asked(auditor: &Auditor, id: &str, route: &str, more: &[(&str, &str)]) -> Vec<u8> {
    let (id, path): (Arc<str>, _) = (id.into(), format!("/{route}/2f"));
    let (method, host) = ("POST", "dese56.example");
    let sent = Asked { method: method.into(), host: host.into(), path: path.clone(), body: digest(b"b") };
    auditor.sent(&id, sent, false);
    request(method, host, &path, &[&[("X-Attempt-Id", &*id)], more].concat(), b"b", true)
}

#[tokio::test]
async fn endpoint_turns_away_what_it_does_not_run() {
    let auditor = auditor();
    let e = endpoint(
        &auditor,
        1,
        EndpointBehaviour { work: Duration::from_millis(200), ..EndpointBehaviour::default() },
    )
    .await;
    let (first, second) = (asked(&auditor, "a1", "order", &[]), asked(&auditor, "a2", "order", &[]));
    let (one, other) = tokio::join!(exchange(e.address(), &first, TIMEOUT), async {
        until("it works", async || e.running() == 1).await;
        exchange(e.address(), &second, TIMEOUT).await
    });
    let (one, other) = (one.expect("an answer"), other.expect("an answer"));
    assert_eq!((one.status(), one.header("x-attempt-id")), (200, Some("a1")));
    assert!(one.header("x-endpoint-seal").is_some());
    assert_eq!((other.status(), other.header("x-not-executed")), (503, Some("1")));

    let stranger = asked(&auditor, "a3", "order", &[("X-Expect-Endpoint", "i-other")]);
    let answer = exchange(e.address(), &stranger, TIMEOUT).await.expect("an answer");
    assert_eq!((answer.status(), answer.header("x-endpoint-id")), (421, Some(e.id())));
    let named = asked(&auditor, "a4", "order", &[("X-Expect-Endpoint", e.id()), ("X-Deadline-Ms", "50")]);
    assert_eq!(exchange(e.address(), &named, TIMEOUT).await.map(|a| a.status()).ok(), Some(504));
    let nameless = request("GET", "dese56.example", "/look/1", &[], b"", false);
    let answer = exchange(e.address(), &nameless, TIMEOUT).await.expect("an answer");
    assert_eq!((answer.status(), answer.header("x-not-executed")), (400, Some("1")));

    let verdict = auditor.verdict();
    assert_eq!((verdict.clean().runs, verdict.full, verdict.arrivals), (2, 1, 4));
    e.stop();
    e.reaches(Phase::Over).await;
    assert!(Connection::open(e.address(), SECOND).await.is_err());
}

#[tokio::test]
async fn each_fault_of_an_endpoint() {
    let auditor = auditor();
    let e = endpoint(&auditor, 4, EndpointBehaviour::default()).await;
    let runs = |id: &str| auditor.arrivals(id).iter().filter(|a| a.away.is_none()).count();
    for (id, fault, run) in [
        ("f1", Fault::Drop, 0),
        ("f2", Fault::Lose, 1),
        ("f3", Fault::Garble, 1),
        ("f4", Fault::Cut, 1),
        ("f5", Fault::Silent, 1),
    ] {
        e.strike(fault);
        let asked = asked(&auditor, id, "order", &[]);
        assert!(exchange(e.address(), &asked, Duration::from_millis(300)).await.is_err(), "{fault:?}");
        assert_eq!(runs(id), run, "{fault:?}");
    }
    e.strike(Fault::Surplus(Duration::from_millis(10)));
    let mut connection = Connection::open(e.address(), SECOND).await.expect("a connection");
    connection.write(&asked(&auditor, "f6", "order", &[])).await.expect("sent");
    let (whole, surplus) = (connection.message().await, connection.message().await);
    let id = |m: std::io::Result<Option<Message>>| {
        m.ok().flatten().and_then(|m| m.header("x-attempt-id").map(str::to_owned))
    };
    assert_eq!((id(whole).as_deref(), id(surplus).as_deref()), (Some("f6"), Some("f6")));
    // The connection goes on, up to an answer that ends it.
    e.strike(Fault::Close);
    connection.write(&asked(&auditor, "f7", "order", &[])).await.expect("sent");
    assert!(connection.message().await.ok().flatten().is_some_and(|m| m.closes()));
    assert!(matches!(connection.message().await, Ok(None)));
    auditor.verdict().clean();
}

#[tokio::test]
async fn a_run_calls_through_the_front_with_what_is_left_of_its_time() {
    let auditor = auditor();
    let inner =
        endpoint(&auditor, 1, EndpointBehaviour { work: SECOND, ..EndpointBehaviour::default() }).await;
    let nested = Nested {
        front: inner.address(),
        method: "POST".into(),
        host: "dese56.example".into(),
        path: "/order/n".into(),
        share: 1.0,
    };
    let outer =
        endpoint(&auditor, 1, EndpointBehaviour { nested: Some(nested), ..EndpointBehaviour::default() })
            .await;
    let short = asked(&auditor, "o1", "order", &[("X-Deadline-Ms", "300")]);
    assert_eq!(exchange(outer.address(), &short, TIMEOUT).await.map(|a| a.status()).ok(), Some(504));
    inner.behave(EndpointBehaviour::default());
    let long = asked(&auditor, "o2", "order", &[("X-Deadline-Ms", "3000")]);
    assert_eq!(exchange(outer.address(), &long, TIMEOUT).await.map(|a| a.status()).ok(), Some(200));
    inner.strike(Fault::Fail);
    let long = asked(&auditor, "o3", "order", &[("X-Deadline-Ms", "3000")]);
    assert_eq!(exchange(outer.address(), &long, TIMEOUT).await.map(|a| a.status()).ok(), Some(500));
    assert_eq!(auditor.verdict().clean().sent, 6);
}

/// What the auditor is told in one line.
struct Plant(Auditor);

impl Plant {
    fn asked(path: &str) -> Asked {
        Asked { method: "POST".into(), host: "dese56.example".into(), path: path.into(), body: 7 }
    }
    fn sent(&self, id: &str, path: &str) -> &Self {
        self.0.sent(&id.into(), Self::asked(path), false);
        self
    }
    fn run(&self, id: &str, path: &str, service: &str) -> &Self {
        let id: Arc<str> = id.into();
        let arrival = self.0.arrived(&id, "i-1", service, Self::asked(path), None);
        self.0.gave(
            &id,
            arrival,
            EndpointAnswer { status: 200, seal: format!("seal {id} {arrival}"), body: 1 },
        );
        self
    }
    fn away(&self, id: &str, why: NotExecuted) -> &Self {
        self.0.arrived(&id.into(), "i-1", "huvo11a", Self::asked("/look/1"), Some(why));
        self
    }
    fn got(&self, id: &str, status: u16, seal: Option<&str>) -> &Self {
        let seal = seal.map(str::to_owned);
        self.0.got(&id.into(), ClientAnswer { status, seal, body: 1, ..ClientAnswer::default() });
        self
    }
}

#[test]
fn auditor_names_each_planted_breach() {
    let breach = |rule: Option<Rule>, plant: &dyn Fn(&Plant)| {
        let planted = Plant(auditor());
        plant(&planted);
        assert_eq!(planted.0.verdict().rules(), rule.into_iter().collect::<Vec<_>>());
    };
    let (look, order) = ("/look/1", "/order/1");
    // What is allowed: one run; a second run of what may be repeated; a promise that is kept.
    breach(None, &|p| {
        p.sent("a", order).run("a", order, "huvo11a").got("a", 200, Some("seal a 0")).got("b", 0, None);
    });
    breach(None, &|p| {
        p.sent("a", look).run("a", look, "huvo11a").run("a", look, "huvo11a");
    });
    breach(None, &|p| {
        p.sent("a", order).away("a", NotExecuted::Full).got("a", 503, None);
    });
    breach(None, &|p| {
        p.sent("a", look).run("a", look, "huvo11a").got("a", 503, None);
    });

    breach(Some(Rule::Twice), &|p| {
        p.sent("a", order).run("a", order, "huvo11a").run("a", order, "huvo11a");
    });
    // Whichever comes first.
    breach(Some(Rule::Refused), &|p| {
        p.sent("a", order).run("a", order, "huvo11a").got("a", 429, None);
    });
    breach(Some(Rule::Refused), &|p| {
        p.sent("a", order).got("a", 408, None).run("a", order, "huvo11a");
    });
    breach(Some(Rule::Unasked), &|p| {
        p.run("a", look, "huvo11a");
    });
    breach(Some(Rule::Unasked), &|p| {
        p.sent("a", look).run("a", "/look/2", "huvo11a");
    });
    breach(Some(Rule::Unasked), &|p| {
        let other = Asked { body: 8, ..Plant::asked(look) };
        p.sent("a", look).0.arrived(&"a".into(), "i-1", "huvo11a", other, None);
    });
    breach(Some(Rule::Route), &|p| {
        p.sent("a", look).run("a", look, "wuno96b");
    });
    let many = |p: &Plant, n: usize| {
        (0..n).for_each(|n| {
            p.sent(&n.to_string(), look).away(&n.to_string(), NotExecuted::Full);
        })
    };
    breach(None, &|p| many(p, 10));
    breach(Some(Rule::Limit), &|p| many(p, 11));
    breach(None, &|p| {
        p.0.trouble(Duration::ZERO..SECOND);
        many(p, 11);
    });
    // 52 free, and a fifth of the requests: here one, later ten.
    let again = |p: &Plant, n: usize| {
        (0..=n).for_each(|_| {
            p.run("a", look, "huvo11a");
        })
    };
    breach(None, &|p| again(p.sent("a", look), 52));
    breach(Some(Rule::Budget), &|p| again(p.sent("a", look), 53));
    breach(None, &|p| {
        (0..9).for_each(|n| {
            p.sent(&n.to_string(), look);
        });
        again(p.sent("a", look), 54);
    });
    breach(Some(Rule::Mixed), &|p| {
        p.sent("a", look).run("a", look, "huvo11a").got("a", 200, None);
    });
    breach(Some(Rule::Mixed), &|p| {
        p.sent("a", look).run("a", look, "huvo11a").got("a", 200, Some("seal b 0"));
    });
    let odd = |change: &dyn Fn(&mut ClientAnswer)| {
        breach(Some(Rule::Mixed), &|p| {
            p.sent("a", look).run("a", look, "huvo11a");
            let mut got = ClientAnswer {
                status: 200,
                seal: Some("seal a 0".into()),
                body: 1,
                ..ClientAnswer::default()
            };
            change(&mut got);
            p.0.got(&"a".into(), got);
        });
    };
    odd(&|got| got.body = 2);
    odd(&|got| got.id = Some("b".into()));
    odd(&|got| got.encoded = true);
    odd(&|got| got.status = 206);
    breach(Some(Rule::Mixed), &|p| p.0.stray("bytes".into()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_try_again_as_they_may() {
    let auditor = auditor();
    let e = endpoint(&auditor, 32, EndpointBehaviour::default()).await;
    let ready = Server::start(|_, _| answer("200 OK"));
    let clients = Clients::new(auditor.clone(), vec![Door::new(e.address(), ready.address, "ikeja")]);
    let configuration = Configuration::small(1);
    let (look, order) = (Order::on(configuration.named("look")), Order::on(configuration.named("order")));
    e.strike(Fault::Lose);
    let outcome = clients.send(1, &look).await;
    assert_eq!((outcome.served(), outcome.tries.len()), (true, 2));
    e.strike(Fault::Lose);
    let outcome = clients.send(1, &order).await;
    assert_eq!((outcome.status(), outcome.tries.len()), (0, 1));
    assert!(clients.is_ready(0).await);
    clients.run(200.0, SECOND, &[(look, 1.0), (order, 1.0)], 3).await;
    clients.hang_up();
    assert!(clients.seen.served_share() > 0.9 && clients.seen.within(0.5) > Duration::from_millis(15));
    auditor.verdict().clean();
    // A surplus answer that is passed on.
    e.strike(Fault::Surplus(Duration::ZERO));
    clients.send(1, &Order::on(&Route::new("look", "huvo11a", Kind::Idempotent))).await;
    sleep(Duration::from_millis(100)).await;
    clients.hang_up();
    assert_eq!(auditor.verdict().rules(), [Rule::Mixed]);
}

#[tokio::test]
async fn operator_goes_on_until_it_is_told_clearly() {
    let text = Configuration::small(1).text();
    let good = Server::start(move |_, m| match m.line.as_str() {
        line if line.starts_with("GET") => Reply::Answer("200 OK", text.clone()),
        _ if m.body.starts_with(b"{\"revision\"") => answer("200 OK"),
        _ => answer("400 Bad Request"),
    });
    let to: &'static str = format!(
        "HTTP/1.1 307 There\r\nLocation: http://{}/Config.Replace\r\nContent-Length: 0\r\n\r\n",
        good.address
    )
    .leak();
    let sends_on = Server::start(move |_, _| Reply::Raw(to.as_bytes()));
    let full = Server::start(|_, _| answer("503 Full"));
    let silent = Server::start(|_, _| Reply::Silent);
    let controls = [&full, &silent, &sends_on].map(|s| s.address).to_vec();
    let operator = Operator::new(controls, auditor());
    let done = operator.replace(&Configuration::small(2), TIMEOUT).await;
    assert_eq!((done.tries, done.by), (vec![503, 0, 200], Some(good.address)));
    operator.begin_at(2);
    assert_eq!(operator.replace_with("{", TIMEOUT).await.status, 400);
    let reader = Operator::new(vec![good.address], auditor());
    assert_eq!(reader.read(TIMEOUT).await, Some(Configuration::small(1)));
}

#[test]
fn processes_of_a_fleet_are_told_signalled_and_ended() {
    let shape = settings::Shape::small("127.0.0.1:1".parse().expect("an address"));
    let deployment = Deployment::new(shape).expect("a deployment");
    let told = deployment.settings(deployment.of(Class::Core)[0], Role::Controller, true);
    assert_eq!(told["seed_nodes"].as_array().map(Vec::len), Some(3));
    assert_eq!((&told["bootstrap"], &told["serves"]), (&json!(true), &json!(["control_plane"])));
    // Any program will do that stays: it puts out what it is told, then waits.
    let program = deployment.folder().join("program");
    std::fs::write(&program, "#!/bin/sh\ncat \"$DEWJUNCTION_CONFIG\"; exec sleep 600\n").expect("written");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o755);
    std::fs::set_permissions(&program, mode).expect("a mode");
    let programs = Programs { proxy: program.clone(), agent: program.clone(), controller: program };
    let mut fleet = Fleet::start(deployment, &programs).expect("a fleet");
    assert_eq!(fleet.processes.len(), 9);
    let pids: Vec<u32> = fleet.processes.iter().filter_map(|p| p.pid()).collect();
    let first = fleet.nth(Role::Controller, 0);
    first.freeze();
    first.thaw();
    assert!(first.runs());
    first.kill();
    assert!(!first.runs());
    let machine = first.machine;
    fleet.wipe(machine).expect("wiped");
    fleet.restart_machine(machine).expect("started");
    let stall = fleet.nth(Role::Proxy, 1);
    millpost_standins::scripted::until("it has read", || stall.said().contains("\"front\"").then_some(()));
    stall.terminate();
    millpost_standins::scripted::until("it ends", || stall.ended());
    assert_eq!(fleet.ended().len(), 1);
    let bourse = fleet.nth(Role::Controller, 0);
    millpost_standins::scripted::until("both lives have said", || {
        (bourse.said().contains("\"bootstrap\": true") && bourse.said().contains("\"bootstrap\": false"))
            .then_some(())
    });
    let new = fleet.add(Class::Core, "yaba").expect("added");
    fleet.remove(machine);
    assert!(fleet.deployment.of(Class::Core).contains(&new));
    drop(fleet);
    let alive = |pid: &u32| std::path::Path::new(&format!("/proc/{pid}/exe")).read_link().is_ok();
    assert_eq!(pids.iter().filter(|p| alive(p)).count(), 0);
}
