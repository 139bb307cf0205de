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
const STREAM_OPTIONS: StreamOptions =
    StreamOptions { open_timeout: LONG, max_line_bytes: 4, idle_timeout: LONG };

fn wait<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { timeout(LONG, future).await.expect("finished in time") })
}

/// A server whose calls are answered by the test, and the sender that shuts it down.
struct TestServer {
    address: SocketAddr,
    calls: mpsc::Receiver<(Call, oneshot::Sender<Reply>)>,
    close: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

async fn start_server(limits: Limits) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let ((call_sender, calls), (close, closes)) = (mpsc::channel(8), oneshot::channel());
    let handler = move |call| {
        let call_sender = call_sender.clone();
        async move {
            let (reply, replied) = oneshot::channel();
            call_sender.send((call, reply)).await.expect("the test receives calls");
            replied.await.expect("a reply")
        }
    };
    let task = tokio::spawn(serve(listener, limits, handler, async { drop(closes.await) }));
    TestServer { address, calls, close, task }
}

fn outbox(address: SocketAddr) -> (Outbox, mpsc::Receiver<Event>) {
    let (sender, events) = mpsc::channel(8);
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
            sender,
        ),
        events,
    )
}

fn number(n: u8) -> JsonValue {
    JsonValue::from(f64::from(n))
}

#[test]
fn messages_are_batched_while_two_requests_are_in_flight() {
    wait(async {
        let mut server = start_server(LIMITS).await;
        let (outbox, mut events) = outbox(server.address);
        let mut replies = Vec::new();
        for n in 1..=2 {
            outbox.push(number(n)).expect("outbox not full");
            let (call, reply) = server.calls.recv().await.expect("a call");
            assert_eq!(call.body, format!(r#"{{"from":"edge","life":7,"notes":[{n}]}}"#));
            assert_eq!(call.headers.len(), 3, "{:?}", call.headers);
            replies.push(reply);
        }
        for n in 3..=5 {
            outbox.push(number(n)).expect("outbox not full");
        }
        assert_eq!(outbox.push(number(6)), Err(PushError::Full(number(6))));
        replies.remove(0).send(Reply::empty(StatusCode::NO_CONTENT)).expect("the handler waits");
        let (call, reply) = server.calls.recv().await.expect("a call");
        assert_eq!(call.json().expect("JSON")["notes"], JsonValue::from([3, 4, 5].map(number).to_vec()));
        assert_eq!(events.recv().await, Some(Event::Up { peer: Arc::from("core") }));
        reply.send(Reply::empty(StatusCode::SERVICE_UNAVAILABLE)).expect("the handler waits");
        assert_eq!(events.recv().await, Some(Event::Down { peer: Arc::from("core") }));
        let messages = [3, 4, 5].map(number).to_vec();
        assert_eq!(events.recv().await, Some(Event::Undelivered { peer: Arc::from("core"), messages }));
    });
}

#[test]
fn messages_to_an_unreachable_peer_are_returned() {
    wait(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (outbox, mut events) = outbox(listener.local_addr().expect("an address"));
        drop(listener);
        outbox.push(number(0)).expect("outbox not full");
        assert!(matches!(events.recv().await, Some(Event::Down { .. })));
        assert!(
            matches!(events.recv().await, Some(Event::Undelivered { messages, .. }) if messages == [number(0)])
        );
        assert!(matches!(outbox.push(JsonValue::from(f64::NAN)), Err(PushError::NotSerializable(_))));
    });
}

#[test]
fn a_line_stream_yields_lines_until_the_server_closes_it() {
    wait(async {
        let mut server = start_server(LIMITS).await;
        for (pieces, lines, ended) in [
            (["a\nb", "c\n\n", "4444\n"], vec!["a", "bc", "4444"], StreamEnd::Closed),
            (["a\n", "55", "555\n"], vec!["a"], StreamEnd::TooLong),
        ] {
            let opening =
                tokio::spawn(LineStream::open(server.address, "/feed", Bytes::from("{}"), STREAM_OPTIONS));
            let (_, reply) = server.calls.recv().await.expect("a call");
            let (sender, receiver) = mpsc::channel(8);
            reply.send(Reply::streamed(receiver)).expect("the handler waits");
            let mut stream = opening.await.expect("task finished").expect("a stream");
            for piece in pieces {
                sender.send(Bytes::from(piece)).await.expect("taken");
            }
            drop(sender);
            for line in lines {
                assert_eq!(stream.next_line().await.expect("a line"), line);
            }
            assert_eq!((stream.next_line().await, stream.ended()), (None, Some(ended)));
        }
        let opening =
            tokio::spawn(LineStream::open(server.address, "/feed", Bytes::from("{}"), STREAM_OPTIONS));
        let (_, reply) = server.calls.recv().await.expect("a call");
        let (_sender, receiver) = mpsc::channel(8);
        reply.send(Reply::streamed(receiver)).expect("the handler waits");
        let mut stream = opening.await.expect("task finished").expect("a stream");
        server.close.send(()).expect("server is running");
        assert_eq!((stream.next_line().await, stream.ended()), (None, Some(StreamEnd::Closed)));
        drop(stream);
        server.task.await.expect("task finished");
    });
}

#[test]
fn too_many_connections_and_too_long_bodies_are_rejected() {
    wait(async {
        let mut server = start_server(Limits { max_connections: 1, ..LIMITS }).await;
        let client = Client::new(server.address, OPTIONS);
        let ask = |size| {
            let body = Bytes::from(vec![b'x'; size]);
            client.call(Method::PUT, "/a?b=c", HeaderMap::new(), body, LONG, 10)
        };
        let answer = async {
            let (call, reply) = server.calls.recv().await.expect("a call");
            assert_eq!((&*call.path, call.query.as_deref(), call.body.len()), ("/a", Some("b=c"), 1_000));
            reply.send(Reply::json(StatusCode::OK, "{}")).expect("the handler waits");
        };
        let (answered, ()) = tokio::join!(ask(1_000), answer);
        let (status, headers, body) = answered.expect("an answer");
        assert_eq!((status, headers.len(), &*body), (StatusCode::OK, 2, &b"{}"[..]));
        // The client keeps its connection open, so that the server must close a second one.
        let mut other = TcpStream::connect(server.address).await.expect("a connection");
        let _ = other.write_all(b"GET / HTTP/1.1\r\n").await;
        assert!(matches!(other.read(&mut [0; 8]).await, Ok(0) | Err(_)));
        assert_eq!(ask(1_001).await.expect("an answer").0, StatusCode::PAYLOAD_TOO_LARGE);
    });
}

#[test]
fn json_is_rejected_only_if_it_is_nested_too_deeply() {
    assert!(json(br#"{"a":["[[\"[",1]}"#).is_some());
    assert!(json("[".repeat(64).as_bytes()).is_none());
    assert!(json([&[b'['; 64][..], &[b']'; 64][..]].concat().as_slice()).is_some());
    assert!(json([&[b'['; 65][..], &[b']'; 65][..]].concat().as_slice()).is_none());
}
