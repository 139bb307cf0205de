use std::sync::Arc;

use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::*;

const LONG: Duration = Duration::from_secs(20);
const LIMITS: Limits = Limits {
    max_body_bytes: 1_000,
    idle_timeout: LONG,
    body_timeout: LONG,
    max_connections: 8,
    ack_timeout: None,
};
const TERMS: StreamOptions = StreamOptions { open_timeout: LONG, max_line_bytes: 4, idle_timeout: LONG };

fn wait<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { timeout(LONG, future).await.expect("in time") })
}

/// A server whose calls are answered here, and the word that closes it.
struct Served {
    address: SocketAddr,
    calls: mpsc::Receiver<(Call, oneshot::Sender<Reply>)>,
    close: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

async fn served(limits: Limits) -> Served {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let ((asked, calls), (close, closes)) = (mpsc::channel(8), oneshot::channel());
    let handler = move |call| {
        let asked = asked.clone();
        async move {
            let (reply, replied) = oneshot::channel();
            asked.send((call, reply)).await.expect("it is awaited");
            replied.await.expect("a reply")
        }
    };
    let task = tokio::spawn(serve(listener, limits, handler, async { drop(closes.await) }));
    Served { address, calls, close, task }
}

fn post(address: SocketAddr) -> (Outbox, mpsc::Receiver<Event>) {
    let (told, events) = mpsc::channel(8);
    let (from, incarnation) = (JsonValue::from("edge".to_owned()), Incarnation::new(7));
    let to = OutboxTarget {
        peer: Arc::from("core"),
        address,
        path: "/notes".to_owned(),
        headers: HeaderMap::new(),
        from,
        incarnation,
    };
    (
        Outbox::new(
            to,
            OutboxLimits { max_messages: 3, max_bytes: 1_000, max_in_flight: 2, timeout: LONG },
            told,
        ),
        events,
    )
}

fn number(n: u8) -> JsonValue {
    JsonValue::from(f64::from(n))
}

#[test]
fn notes_gather_while_two_posts_are_on_their_way() {
    wait(async {
        let mut server = served(LIMITS).await;
        let (post, mut events) = post(server.address);
        let mut held = Vec::new();
        for n in 1..=2 {
            post.push(number(n)).expect("room");
            let (call, reply) = server.calls.recv().await.expect("a call");
            assert_eq!(call.body, format!(r#"{{"from":"edge","life":7,"notes":[{n}]}}"#));
            assert_eq!(call.headers.len(), 3, "{:?}", call.headers);
            held.push(reply);
        }
        for n in 3..=5 {
            post.push(number(n)).expect("room");
        }
        assert_eq!(post.push(number(6)), Err(PushError::Full(number(6))));
        held.remove(0).send(Reply::empty(StatusCode::NO_CONTENT)).expect("awaited");
        let (call, reply) = server.calls.recv().await.expect("a call");
        assert_eq!(call.json().expect("JSON")["notes"], JsonValue::from([3, 4, 5].map(number).to_vec()));
        assert_eq!(events.recv().await, Some(Event::Up { peer: Arc::from("core") }));
        reply.send(Reply::empty(StatusCode::SERVICE_UNAVAILABLE)).expect("awaited");
        assert_eq!(events.recv().await, Some(Event::Down { peer: Arc::from("core") }));
        let notes = [3, 4, 5].map(number).to_vec();
        assert_eq!(
            events.recv().await,
            Some(Event::Undelivered { peer: Arc::from("core"), messages: notes })
        );
    });
}

#[test]
fn notes_to_nobody_come_back() {
    wait(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (post, mut events) = post(listener.local_addr().expect("an address"));
        drop(listener);
        post.push(number(0)).expect("room");
        assert!(matches!(events.recv().await, Some(Event::Down { .. })));
        assert!(
            matches!(events.recv().await, Some(Event::Undelivered { messages, .. }) if messages == [number(0)])
        );
        assert!(matches!(post.push(JsonValue::from(f64::NAN)), Err(PushError::NotSerializable(_))));
    });
}

#[test]
fn a_held_stream_yields_lines_until_the_server_closes() {
    wait(async {
        let mut server = served(LIMITS).await;
        for (pieces, lines, ended) in [
            (["a\nb", "c\n\n", "4444\n"], vec!["a", "bc", "4444"], StreamEnd::Closed),
            (["a\n", "55", "555\n"], vec!["a"], StreamEnd::TooLong),
        ] {
            let opening = tokio::spawn(LineStream::open(server.address, "/feed", Bytes::from("{}"), TERMS));
            let (_, reply) = server.calls.recv().await.expect("a call");
            let (sender, receiver) = mpsc::channel(8);
            reply.send(Reply::streamed(receiver)).expect("awaited");
            let mut held = opening.await.expect("it ends").expect("a stream");
            for piece in pieces {
                sender.send(Bytes::from(piece)).await.expect("taken");
            }
            drop(sender);
            for line in lines {
                assert_eq!(held.next_line().await.expect("a line"), line);
            }
            assert_eq!((held.next_line().await, held.ended()), (None, Some(ended)));
        }
        let opening = tokio::spawn(LineStream::open(server.address, "/feed", Bytes::from("{}"), TERMS));
        let (_, reply) = server.calls.recv().await.expect("a call");
        let (_sender, receiver) = mpsc::channel(8);
        reply.send(Reply::streamed(receiver)).expect("awaited");
        let mut held = opening.await.expect("it ends").expect("a stream");
        server.close.send(()).expect("it serves");
        assert_eq!((held.next_line().await, held.ended()), (None, Some(StreamEnd::Closed)));
        drop(held);
        server.task.await.expect("it ends");
    });
}

#[test]
fn what_is_too_much_is_refused() {
    wait(async {
        let mut server = served(Limits { max_connections: 1, ..LIMITS }).await;
        let client = Client::new(server.address, OPTIONS);
        let ask = |size| {
            let body = Bytes::from(vec![b'x'; size]);
            client.call(Method::PUT, "/a?b=c", HeaderMap::new(), body, LONG, 10)
        };
        let answer = async {
            let (call, reply) = server.calls.recv().await.expect("a call");
            assert_eq!((&*call.path, call.query.as_deref(), call.body.len()), ("/a", Some("b=c"), 1_000));
            reply.send(Reply::json(StatusCode::OK, "{}")).expect("awaited");
        };
        let (answered, ()) = tokio::join!(ask(1_000), answer);
        let (status, headers, body) = answered.expect("an answer");
        assert_eq!((status, headers.len(), &*body), (StatusCode::OK, 2, &b"{}"[..]));
        // One is kept: there is no room for another.
        let mut other = TcpStream::connect(server.address).await.expect("a connection");
        let _ = other.write_all(b"GET / HTTP/1.1\r\n").await;
        assert!(matches!(other.read(&mut [0; 8]).await, Ok(0) | Err(_)));
        assert_eq!(ask(1_001).await.expect("an answer").0, StatusCode::PAYLOAD_TOO_LARGE);
    });
}

#[test]
fn json_is_read_unless_it_is_too_deep() {
    assert!(json(br#"{"a":["[[\"[",1]}"#).is_some());
    assert!(json("[".repeat(64).as_bytes()).is_none());
    assert!(json([&[b'['; 64][..], &[b']'; 64][..]].concat().as_slice()).is_some());
    assert!(json([&[b'['; 65][..], &[b']'; 65][..]].concat().as_slice()).is_none());
}
