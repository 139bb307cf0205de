//! The stand-ins themselves: what a fault makes of a call, byte for byte; links; discovery; clients at a plain server.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use millpost_standins::audit::{Heard, Recorder};
use millpost_standins::client::Clients;
use millpost_standins::discovery::Discovery;
use millpost_standins::link::{Link, LinkConditions};
use millpost_standins::partner::Partners;
use millpost_standins::peers::{LONGEST, Relay};
use millpost_standins::plan::{Fault, Plan, Target, What};
use millpost_standins::scripted::{TIMEOUT, answer, endpoint, until};
use tokio::runtime::Runtime;

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime")
}

struct World {
    _runtime: Runtime,
    recorder: Recorder,
    partners: Partners,
}

fn world(change: impl FnOnce(&mut Plan)) -> World {
    let mut plan = Plan { seconds: 10.0, seed: 7, ..Plan::default() };
    (plan.partners.destinations, plan.partners.endpoints, plan.partners.latency_ms) = (2, 1, 0.0);
    change(&mut plan);
    let (runtime, recorder) = (runtime(), Recorder::new(plan.service.clone()));
    let partners = runtime.block_on(Partners::start(&plan, recorder.clone())).expect("partners");
    World { _runtime: runtime, recorder, partners }
}

impl World {
    fn handed_in(&self, reference: &str, class: usize) {
        let time_left = Duration::from_secs(20);
        let reference = reference.into();
        // Both handings in of the test of keys are one message's.
        self.recorder.hear(Heard::HandedIn { reference, origin: 1, class, dest: 0, order: None, time_left });
    }
    /// What comes back for a call, up to the end of the connection or of the answer's head.
    fn call(&self, reference: &str) -> Result<String, std::io::ErrorKind> {
        let mut stream = TcpStream::connect(self.partners.address(0, 0)).map_err(|e| e.kind())?;
        exchange(&mut stream, reference)
    }
    fn begin(&self, what: What) -> Fault {
        let fault = Fault {
            at: 0.0,
            lasts: 1.0,
            target: Target::Destination(0),
            what,
            share: 1.0,
            wait_ms: 250,
            factor: 3.0,
        };
        self.partners.begin(0, &fault, self.recorder.now() + Duration::from_secs(60));
        fault
    }
}

fn exchange(stream: &mut TcpStream, reference: &str) -> Result<String, std::io::ErrorKind> {
    stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a limit");
    let call = format!(
        "POST /hook HTTP/1.1\r\nReq-Id: {reference}\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nab"
    );
    stream.write_all(call.as_bytes()).map_err(|e| e.kind())?;
    let (mut all, mut some) = (Vec::new(), [0; 512]);
    loop {
        match stream.read(&mut some) {
            Ok(0) => break,
            Ok(n) => all.extend_from_slice(&some[..n]),
            // Nothing more comes, and the connection stays.
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
            Err(e) if all.is_empty() => return Err(e.kind()),
            Err(_) => break,
        }
        if all.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    Ok(String::from_utf8_lossy(&all).into_owned())
}

#[test]
fn each_fault_makes_of_a_call_what_it_says_and_ends_with_it() {
    use std::io::ErrorKind::{ConnectionRefused, ConnectionReset};
    let world = world(|_| {});
    world.handed_in("m", 0);
    let first = |told: &str| told.lines().next().unwrap_or_default().to_owned();
    let good = "HTTP/1.1 200 OK";
    assert_eq!(world.call("m").map(|t| first(&t)), Ok(good.to_owned()));
    let cases = [
        (What::Silent, Ok("")),
        (What::Shut, Ok("HTTP/1.1 429 No")),
        (What::Busy, Ok("HTTP/1.1 503 No")),
        (What::Wait, Ok("HTTP/1.1 429 No")),
        (What::Error, Ok("HTTP/1.1 500 No")),
        (What::Stall, Ok("HTTP/1.1 2")),
        (What::Spoilt, Ok("\0\u{1} no answer")),
        (What::Slow, Ok(good)),
        (What::CloseIdle, Ok(good)),
        (What::ResetBefore, Err(ConnectionReset)),
        (What::ResetAfter, Err(ConnectionReset)),
    ];
    for (what, expected) in cases {
        let fault = world.begin(what);
        assert_eq!(world.call("m").map(|t| first(&t)), expected.map(str::to_owned), "{what:?}");
        world.partners.end(0, &fault);
        assert_eq!(world.call("m").map(|t| first(&t)), Ok(good.to_owned()), "after {what:?}");
    }
    // Connections that are refused, those that are open reset, and back at the same address.
    let mut open = TcpStream::connect(world.partners.address(0, 0)).expect("a connection");
    assert_eq!(exchange(&mut open, "m").map(|t| first(&t)), Ok(good.to_owned()));
    let fault = world.begin(What::Refuse);
    until("it refuses", || (world.call("m") == Err(ConnectionRefused)).then_some(()));
    assert!(exchange(&mut open, "m").is_err());
    world.partners.end(0, &fault);
    until("it is back", || world.call("m").is_ok_and(|t| first(&t) == good).then_some(()));
}

#[test]
fn waits_are_told_in_seconds_and_the_auditor_hears_of_them() {
    let world = world(|plan| {
        (plan.partners.per_second, plan.partners.window_ms, plan.partners.tells_wait) = (2.0, 60_000, true);
    });
    world.handed_in("m", 0);
    world.begin(What::Wait);
    assert!(world.call("m").expect("an answer").contains("Retry-After: 0.250\r\n"));
    std::thread::sleep(Duration::from_millis(120));
    assert!(world.call("m").is_ok());
    // The second one came in the wait; both were heard, and no rule but that one.
    let counts = world.recorder.close().counts;
    assert_eq!(counts.keys().map(ToString::to_string).collect::<Vec<_>>(), ["waits heeded"]);
}

#[test]
fn a_limit_turns_away_what_is_above_it() {
    let world = world(|plan| (plan.partners.per_second, plan.partners.window_ms) = (0.1, 60_000));
    world.handed_in("m", 0);
    let told: Vec<String> = (0..20).map(|_| world.call("m").expect("an answer")).collect();
    // Six a minute; a new minute may begin meanwhile.
    let taken = told.iter().filter(|t| t.starts_with("HTTP/1.1 200")).count();
    assert!((6..=12).contains(&taken) && told[0].starts_with("HTTP/1.1 200"), "{told:?}");
}

#[test]
fn a_key_takes_effect_once() {
    let world = world(|_| {});
    // Class 1 is keyed, and both calls have the key `k`.
    for reference in ["a", "b"] {
        world.handed_in(reference, 1);
        assert!(world.call(reference).expect("an answer").starts_with("HTTP/1.1 200"));
    }
    // An answer is heard of once it has been written: its reader may be first.
    until("both are over", || (world.recorder.audit().verdict().delivered == 2).then_some(()));
    assert_eq!(world.recorder.close().rules_broken(), 0);
}

#[test]
fn a_link_carries_cuts_hangs_and_lets_one_direction_pass() {
    let (runtime, partner) = (runtime(), endpoint("200 OK"));
    let link = runtime.block_on(Link::to(partner.address)).expect("a link");
    let call = |stream: &mut TcpStream| exchange(stream, "m");
    let connect = || TcpStream::connect(link.address).expect("a connection");
    let whole = call(&mut connect()).expect("an answer");
    assert!(whole.starts_with("HTTP/1.1 200 OK"));
    let (out, back, _) = link.counts();
    // Cut at every byte of the request, and of the answer.
    for at in [0, 1, out / 2, out - 1] {
        let before = partner.count();
        link.cut_after_out(at);
        assert!(call(&mut connect()).is_err(), "cut after {at} bytes");
        assert_eq!(partner.count(), before, "a part is no request");
        link.set(LinkConditions::Clear);
    }
    for at in [0, 1, back - 1] {
        let before = partner.count();
        link.cut_after_back(at);
        let told = call(&mut connect());
        assert!(told.as_ref().map_or(true, |t| t.len() < whole.len()), "cut after {at} bytes back: {told:?}");
        assert_eq!(partner.count(), before + 1, "it came there all the same");
        link.set(LinkConditions::Clear);
    }
    for weather in [LinkConditions::Hang, LinkConditions::OneWay] {
        let (mut stream, before) = (connect(), partner.count());
        call(&mut stream).expect("an answer");
        link.set(weather);
        assert_eq!(call(&mut stream), Ok(String::new()), "{weather:?}");
        let came = partner.count() - before;
        assert_eq!(came, if weather == LinkConditions::Hang { 1 } else { 2 });
        link.set(LinkConditions::Clear);
        // What hung goes on its way.
        until("it comes", || (partner.count() == before + 2).then_some(()));
    }
    link.set(LinkConditions::Cut);
    assert!(call(&mut connect()).is_err());
}

#[test]
fn discovery_tells_changes_and_is_silent_late_or_unreadable_on_demand() {
    let discovery = Discovery::start();
    let ask = |path: &str| {
        let mut stream = TcpStream::connect(discovery.server.address).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a limit");
        write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
        millpost_standins::wire::read(&mut std::io::BufReader::new(stream)).expect("an answer")
    };
    let body = |path: &str| String::from_utf8(ask(path).body).expect("text");
    assert_eq!(body("/v1/servers"), r#"{"index":1,"snapshot":false,"endpoints":[]}"#);
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let line = |name: &str, status: &str| {
        let text = millpost_standins::discovery::line(name, address, 7, status, 1.0);
        (name.to_owned(), text, 0, status == "in_service")
    };
    discovery.list([line("a", "in_service"), line("b", "in_service")]);
    assert!(body("/v1/servers").starts_with(r#"{"index":2,"snapshot":true,"#));
    discovery.list([line("b", "terminating")]);
    let changes = body("/v1/servers?index=2&wait=5000");
    assert!(changes.starts_with(r#"{"index":3,"snapshot":false,"endpoints":[{"name":"b""#), "{changes}");
    assert!(!changes.contains(r#""name":"a""#));
    assert_eq!(body("/v1/servers?index=3&wait=20"), r#"{"index":3,"snapshot":false,"endpoints":[]}"#);
    discovery.spoil(true);
    assert!(body("/v1/servers").contains("nowhere"));
    discovery.spoil(false);
    discovery.delay(Duration::from_millis(200));
    discovery.list([line("c", "in_service")]);
    assert!(body("/v1/servers?index=3&wait=5000").contains(r#""name":"c""#), "late, and then told");
    discovery.silence();
    assert_eq!(ask("/v1/servers").status(), 503);
}

#[test]
fn a_relay_carries_datagrams_from_each_to_all_others() {
    let relay = Relay::start(3).expect("a relay");
    let sockets: Vec<_> =
        relay.listens.iter().map(|a| std::net::UdpSocket::bind(a).expect("its address")).collect();
    sockets.iter().for_each(|s| s.set_read_timeout(Some(TIMEOUT)).expect("a limit"));
    sockets[0].send_to(&[7; LONGEST + 1], relay.all).expect("sent");
    sockets[0].send_to(b"note", relay.all).expect("sent");
    for hears in [1, 2] {
        let mut datagram = [0; 512];
        let (length, from) = sockets[hears].recv_from(&mut datagram).expect("it comes");
        assert_eq!((&datagram[..length], from), (&b"note"[..], relay.peers[0]));
    }
}

#[test]
fn clients_count_what_they_are_told_and_come_again_after_a_refusal() {
    let refuses = millpost_standins::scripted::Server::start(|number, _| {
        answer(if number % 2 == 0 { "503 Full\r\nRetry-After: 0.02" } else { "202 Accepted" })
    });
    let mut plan = Plan { seconds: 1.0, ..Plan::default() };
    (plan.load.per_second, plan.load.retries) = (60.0, 20);
    let recorder = Recorder::new(plan.service.clone());
    let clients = Clients::new(&plan, recorder.clone(), &[refuses.address]);
    runtime().block_on(clients.clone().run(60.0, Duration::from_secs(1), 7));
    let of = |n: &std::sync::atomic::AtomicU64| n.load(std::sync::atomic::Ordering::Relaxed);
    let (offered, taken, refused) =
        (of(&clients.seen.offered), of(&clients.seen.taken), of(&clients.seen.refused));
    assert!(offered > 20 && taken == offered && refused > 0, "{offered} {taken} {refused}");
    assert_eq!(recorder.audit().verdict().taken, taken);
    assert_eq!(recorder.audit().verdict().refused, refused);
}
