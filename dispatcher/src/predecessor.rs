//! A process that gave the work away: it finishes the calls and the clients' requests that are on its sockets, tells the
//! owner what comes of them, and decides nothing. And what the owner keeps of such a process.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use millpost::api::{MsgId, Nanos};
use millpost_core::{CallId, SubmitReply};
use millpost_handover::Frame;
use millpost_net::connection_limiter::ConnectionLimiter;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::calls::{self, Calls};
use crate::console;
use crate::input::Input;
use crate::intake::ClientRequest;

/// What the owner knows of the process before it, while that finishes what it has.
pub struct Predecessor {
    say: mpsc::UnboundedSender<Frame>,
    /// Calls that it wrote.
    pub written: BTreeSet<CallId>,
    /// Messages whose clients are being told there that they are taken on.
    pub unheard: HashMap<u64, MsgId>,
}

impl Predecessor {
    pub fn new(say: mpsc::UnboundedSender<Frame>, written: BTreeSet<CallId>) -> Self {
        Predecessor { say, written, unheard: HashMap::new() }
    }

    pub fn say(&self, frame: Frame) {
        // It may be gone, which is told otherwise.
        let _ = self.say.send(frame);
    }

    /// Tells a client there.
    pub fn verdict(&mut self, number: u64, verdict: SubmitReply, taken: Option<MsgId>) {
        self.unheard.extend(taken.map(|id| (number, id)));
        self.say(Frame::Verdict { number, verdict });
    }

    /// Answers the staff there, once that is decided.
    pub fn maintained(&self, number: u64, answer: oneshot::Receiver<Result<(), String>>) {
        let say = self.say.clone();
        tokio::spawn(async move {
            let answer = answer.await.unwrap_or_else(|_| Err("nobody decides".to_owned()));
            let _ = say.send(Frame::Maintained { number, answer });
        });
    }
}

/// Nobody told it to end, and nobody has asked it anything for so long: its successor serves.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a process that gave the work away stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// All is finished, or it was told to.
    Finished,
    /// The owner has died.
    OwnerGone,
}

/// The process that gave the work away.
pub struct FormerOwner {
    calls: Calls<Input>,
    say: mpsc::UnboundedSender<Frame>,
    connection_limiter: std::sync::Arc<ConnectionLimiter>,
    shared: console::Shared,
    replies: HashMap<u64, oneshot::Sender<SubmitReply>>,
    staff: HashMap<u64, oneshot::Sender<Result<(), String>>>,
    next: u64,
    out: BTreeSet<CallId>,
}

impl FormerOwner {
    pub fn new(
        calls: Calls<Input>,
        say: mpsc::UnboundedSender<Frame>,
        connection_limiter: std::sync::Arc<ConnectionLimiter>,
        shared: console::Shared,
    ) -> Self {
        let out = calls.written().collect();
        let (replies, staff) = (HashMap::new(), HashMap::new());
        FormerOwner { calls, say, connection_limiter, shared, replies, staff, next: 0, out }
    }

    /// The owner knows nothing of these calls: they are broken off.
    pub fn cancel_calls(&mut self) {
        for call in std::mem::take(&mut self.out) {
            self.calls.cancel(call);
        }
    }

    /// Runs until nothing is left, or until it is told to end.
    pub async fn run(mut self, inputs: &mut mpsc::Receiver<Input>) -> Done {
        let (mut ends, mut heard) = (None, Instant::now());
        // Nothing new goes out here, and idle connections are the owner's to open.
        self.calls.retain(|_| false);
        loop {
            let idle = self.out.is_empty() && self.replies.is_empty() && self.connection_limiter.taken() == 0;
            let over = ends.is_some_and(|at| Instant::now() >= at);
            if over || idle && (ends.is_some() || heard.elapsed() > IDLE_TIMEOUT) {
                return Done::Finished;
            }
            tokio::select! {
                input = inputs.recv() => match input {
                    None => return Done::Finished,
                    Some(Input::Stop { after }) => ends = Some(Instant::now() + after),
                    Some(Input::FromSuccessor(None)) => return Done::OwnerGone,
                    Some(input) => {
                        heard = Instant::now();
                        self.take(input);
                    }
                },
                () = sleep_until(Instant::now() + POLL_INTERVAL) => {}
            }
        }
    }

    fn tell(&self, frame: Frame) {
        let _ = self.say.send(frame);
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Client(ClientRequest { handed, came, reply }) => {
                if !reply.is_closed() {
                    self.next += 1;
                    self.replies.insert(self.next, reply);
                    let ago = came.elapsed().as_nanos() as Nanos;
                    self.tell(Frame::Handed { number: self.next, ago, handed: Box::new(handed) });
                }
            }
            Input::Calls(event) => self.called(event),
            Input::Console(console::Query::Figures { done }) => {
                let mut figures = self.shared.figures();
                (figures.inflight, figures.calls) = (0, self.calls.sent().count());
                let _ = done.send(());
            }
            Input::Console(console::Query::Standing { done }) => drop(done),
            Input::Console(console::Query::Maintain { id, out, done }) => {
                self.next += 1;
                self.staff.insert(self.next, done);
                self.tell(Frame::Maintain { number: self.next, id, out });
            }
            Input::ApplySettings(request) => drop(request.done.send(Err("another process has taken over"))),
            Input::FromSuccessor(Some(frame)) => self.heard(frame),
            // Of these the owner hears itself.
            Input::Listed(_)
            | Input::NoticesAccepted(_)
            | Input::PeerMessage(_)
            | Input::SharedFrame(_)
            | Input::Synced(_)
            | Input::SettingsRejected(_)
            | Input::TakeoverRequest(_)
            | Input::FromPredecessor(_)
            | Input::FromSuccessor(None)
            | Input::Stop { .. } => {}
        }
    }

    fn called(&mut self, event: calls::Event) {
        match event {
            calls::Event::Ended { call, ended, link: _ } => {
                self.calls.ended(call, &ended.ends, None, |_| false);
                if self.out.remove(&call) {
                    self.tell(Frame::Ended { call, ended });
                }
            }
            calls::Event::Unsent { call } => {
                let fresh = self.calls.unsent(call);
                if self.out.remove(&call) {
                    self.tell(Frame::Unsent { call, fresh });
                }
            }
            // Nothing had been written: the owner connects itself.
            calls::Event::Connected { .. } | calls::Event::Probed { .. } => {}
        }
    }

    fn heard(&mut self, frame: Frame) {
        match frame {
            Frame::Verdict { number, verdict } => {
                let reply = self.replies.remove(&number);
                let heard = reply.is_some_and(|reply| reply.send(verdict).is_ok());
                self.tell(Frame::Heard { number, heard });
            }
            Frame::CallOff { call } => self.calls.cancel(call),
            Frame::Maintained { number, answer } => {
                if let Some(done) = self.staff.remove(&number) {
                    let _ = done.send(answer);
                }
            }
            _ => {}
        }
    }
}
