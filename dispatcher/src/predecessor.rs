//! The two sides after a handover. The former owner finishes the calls and client requests on its sockets,
//! reports their results to the new owner, and makes no decisions. [`Predecessor`] is the new owner's view of
//! that process.

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

/// The new owner's state about its predecessor, while that finishes its calls and requests.
pub struct Predecessor {
    frame_tx: mpsc::UnboundedSender<Frame>,
    /// Calls that the predecessor wrote and that have not ended.
    pub written: BTreeSet<CallId>,
    /// Accepted messages whose clients the predecessor has not confirmed to have been told, by request
    /// number.
    pub unconfirmed: HashMap<u64, MsgId>,
}

impl Predecessor {
    pub fn new(frame_tx: mpsc::UnboundedSender<Frame>, written: BTreeSet<CallId>) -> Self {
        Predecessor { frame_tx, written, unconfirmed: HashMap::new() }
    }

    pub fn send(&self, frame: Frame) {
        // If the predecessor is gone, its end of connection is reported separately.
        let _ = self.frame_tx.send(frame);
    }

    /// Sends the reply for a client of the predecessor.
    pub fn verdict(&mut self, number: u64, verdict: SubmitReply, taken: Option<MsgId>) {
        self.unconfirmed.extend(taken.map(|id| (number, id)));
        self.send(Frame::Verdict { number, verdict });
    }

    /// Answers a maintenance command of the predecessor's console once the result is known.
    pub fn maintained(&self, number: u64, answer: oneshot::Receiver<Result<(), String>>) {
        let frame_tx = self.frame_tx.clone();
        tokio::spawn(async move {
            let answer = answer.await.unwrap_or_else(|_| Err("nobody decides".to_owned()));
            let _ = frame_tx.send(Frame::Maintained { number, answer });
        });
    }
}

/// A former owner without work that was not told to stop ends after this long without input: its successor
/// serves.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a former owner stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// Its work is finished, or it was told to stop.
    Finished,
    /// The new owner has died.
    OwnerGone,
}

/// The driver loop of a process that handed its work over.
pub struct FormerOwner {
    calls: Calls<Input>,
    frame_tx: mpsc::UnboundedSender<Frame>,
    connection_limiter: std::sync::Arc<ConnectionLimiter>,
    shared: console::Shared,
    replies: HashMap<u64, oneshot::Sender<SubmitReply>>,
    maintenance: HashMap<u64, oneshot::Sender<Result<(), String>>>,
    next_number: u64,
    written: BTreeSet<CallId>,
}

impl FormerOwner {
    pub fn new(
        calls: Calls<Input>,
        frame_tx: mpsc::UnboundedSender<Frame>,
        connection_limiter: std::sync::Arc<ConnectionLimiter>,
        shared: console::Shared,
    ) -> Self {
        let written = calls.written().collect();
        let (replies, maintenance) = (HashMap::new(), HashMap::new());
        FormerOwner {
            calls,
            frame_tx,
            connection_limiter,
            shared,
            replies,
            maintenance,
            next_number: 0,
            written,
        }
    }

    /// Cancels the calls in progress, for a new owner that does not know them.
    pub fn cancel_calls(&mut self) {
        for call in std::mem::take(&mut self.written) {
            self.calls.cancel(call);
        }
    }

    /// Runs until nothing is left to do, or until it is told to stop.
    pub async fn run(mut self, inputs: &mut mpsc::Receiver<Input>) -> Done {
        let (mut stop_at, mut last_input) = (None, Instant::now());
        // This process sends no new calls, so it needs no idle connections.
        self.calls.retain(|_| false);
        loop {
            let idle =
                self.written.is_empty() && self.replies.is_empty() && self.connection_limiter.taken() == 0;
            let over = stop_at.is_some_and(|at| Instant::now() >= at);
            if over || idle && (stop_at.is_some() || last_input.elapsed() > IDLE_TIMEOUT) {
                return Done::Finished;
            }
            tokio::select! {
                input = inputs.recv() => match input {
                    None => return Done::Finished,
                    Some(Input::Stop { after }) => stop_at = Some(Instant::now() + after),
                    Some(Input::FromSuccessor(None)) => return Done::OwnerGone,
                    Some(input) => {
                        last_input = Instant::now();
                        self.process(input);
                    }
                },
                () = sleep_until(Instant::now() + POLL_INTERVAL) => {}
            }
        }
    }

    fn send(&self, frame: Frame) {
        let _ = self.frame_tx.send(frame);
    }

    fn process(&mut self, input: Input) {
        match input {
            Input::Client(ClientRequest { submission, received_at, reply }) => {
                if !reply.is_closed() {
                    self.next_number += 1;
                    self.replies.insert(self.next_number, reply);
                    let ago = received_at.elapsed().as_nanos() as Nanos;
                    self.send(Frame::Handed { number: self.next_number, ago, handed: Box::new(submission) });
                }
            }
            Input::Calls(event) => self.on_call_event(event),
            Input::Console(console::Query::Figures { done }) => {
                let mut figures = self.shared.figures();
                (figures.inflight, figures.calls) = (0, self.calls.sent().count());
                let _ = done.send(());
            }
            Input::Console(console::Query::Standing { done }) => drop(done),
            Input::Console(console::Query::Maintain { id, out, done }) => {
                self.next_number += 1;
                self.maintenance.insert(self.next_number, done);
                self.send(Frame::Maintain { number: self.next_number, id, out });
            }
            Input::ApplySettings(request) => drop(request.done.send(Err("another process has taken over"))),
            Input::FromSuccessor(Some(frame)) => self.on_frame(frame),
            // The owner receives these itself.
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

    fn on_call_event(&mut self, event: calls::Event) {
        match event {
            calls::Event::Ended { call, ended, link: _ } => {
                self.calls.ended(call, &ended.ends, None, |_| false);
                if self.written.remove(&call) {
                    self.send(Frame::Ended { call, ended });
                }
            }
            calls::Event::Unsent { call } => {
                let fresh = self.calls.unsent(call);
                if self.written.remove(&call) {
                    self.send(Frame::Unsent { call, fresh });
                }
            }
            // Nothing was written on these connections; the owner opens its own.
            calls::Event::Connected { .. } | calls::Event::Probed { .. } => {}
        }
    }

    fn on_frame(&mut self, frame: Frame) {
        match frame {
            Frame::Verdict { number, verdict } => {
                let reply = self.replies.remove(&number);
                let heard = reply.is_some_and(|reply| reply.send(verdict).is_ok());
                self.send(Frame::Heard { number, heard });
            }
            Frame::CallOff { call } => self.calls.cancel(call),
            Frame::Maintained { number, answer } => {
                if let Some(done) = self.maintenance.remove(&number) {
                    let _ = done.send(answer);
                }
            }
            _ => {}
        }
    }
}
