//! Outputs as lines: `{"out":"granted","life":1,"at":12000000,"line":7,…}`, the same text for the same output.

use std::borrow::Cow;

use millpost_agent::Effect as RoundEffect;
use millpost_autoscaler::Effect;
use millpost_autoscaler::recording::state_name;
use millpost_protocol::PeerMessage;
use millpost_protocol::line::Line;
use millpost_scheduler::{Action, DenialReason, Stage};

use crate::numbers::Numbers;

/// What every line of an output begins with.
pub const MARK: &str = r#"{"out":"#;

fn begin(out: &str, life: usize, at: u64, line: usize) -> Line {
    let mut text = Line::new();
    text.text("out", out).whole("life", life as u64).time("at", at).whole("line", line as u64);
    text
}

/// An output, with the numbers of the recording.
pub fn recorded<'a>(out: &'a Action, numbers: &Numbers) -> Cow<'a, Action> {
    if numbers.are_the_same() {
        return Cow::Borrowed(out);
    }
    let mut out = out.clone();
    match &mut out {
        Action::Send { note, .. } => *note = said(note, numbers),
        Action::Granted { ask, .. } | Action::Refused { ask, .. } => *ask = numbers.recorded(*ask),
        Action::NotifyController(_) | Action::ProbeReadiness { .. } => {}
    }
    Cow::Owned(out)
}

/// A note that is sent, with the numbers of the recording.
fn said(note: &PeerMessage, numbers: &Numbers) -> PeerMessage {
    let mut note = note.clone();
    // Grants and refusals bear the other's numbers.
    if let PeerMessage::RequestPermit { id, .. }
    | PeerMessage::CancelRequest { id }
    | PeerMessage::ReleasePermit { id, .. }
    | PeerMessage::HeldPermit { id, .. } = &mut note
    {
        *id = numbers.recorded(*id);
    }
    note
}

/// An output of a desk.
pub fn desk(at: u64, line: usize, life: usize, out: &Action, numbers: &Numbers) -> String {
    let begin = |out: &str| begin(out, life, at, line);
    match out {
        Action::Send { to, note } => {
            let mut line = begin("send");
            line.text("to", to).message("note", &said(note, numbers));
            line.end()
        }
        Action::Granted { ask, instance, address } => {
            let mut line = begin("granted");
            line.whole("id", numbers.recorded(*ask)).text("i", instance).text("a", address);
            line.end()
        }
        Action::Refused { ask, reason: no } => {
            let mut line = begin("refused");
            line.whole("id", numbers.recorded(*ask)).text("y", no.as_str());
            if let DenialReason::Full(wait) = no {
                line.time("wait", *wait);
            }
            line.end()
        }
        Action::NotifyController(note) => {
            let mut line = begin("up");
            line.message("note", note);
            line.end()
        }
        Action::ProbeReadiness { instance, from } => {
            let mut line = begin("scout");
            let stage = match instance.stage {
                Stage::Booting => "booting",
                Stage::Ready => "ready",
                Stage::Draining => "draining",
            };
            line.text("i", &instance.id).text("s", &instance.service).text("a", &instance.address);
            line.text("st", stage).time("from", *from);
            line.end()
        }
    }
}

/// An output of a scaler.
pub fn scaler(at: u64, line: usize, life: usize, out: &Effect) -> String {
    let begin = |out: &str| begin(out, life, at, line);
    match out {
        Effect::Start { service, worker, nonce } => {
            let mut line = begin("start");
            line.text("s", service).text("w", worker).text("nonce", nonce);
            line.end()
        }
        Effect::Stop { id } => {
            let mut line = begin("stop");
            line.text("i", id);
            line.end()
        }
        Effect::Updated { instance: i } => {
            let mut line = begin("known");
            line.text("i", &i.id).text("s", &i.service).text("a", &i.address.to_string());
            line.text("z", &i.zone).text("w", &i.worker).text("st", state_name(i.state));
            line.whole("boot", i.boot_ms.into()).time("since", i.since);
            line.end()
        }
        Effect::Removed { id, service, zone } => {
            let mut line = begin("gone");
            line.text("i", id).text("s", service).text("z", zone);
            line.end()
        }
    }
}

/// An output of a porter's round.
pub fn round(at: u64, line: usize, life: usize, out: &RoundEffect) -> String {
    let begin = |out: &str| begin(out, life, at, line);
    let line = match out {
        RoundEffect::Open { feed, address, path, messages: notes } => {
            let mut line = begin("open");
            line.whole("feed", *feed).text("a", &address.to_string()).text("path", path);
            line.messages("notes", notes);
            line
        }
        RoundEffect::Close { feed } => {
            let mut line = begin("close");
            line.whole("feed", *feed);
            line
        }
        RoundEffect::SendToControl { feed, to, message: note } => {
            let mut line = begin("post");
            line.whole("feed", *feed).text("a", &to.to_string()).message("note", note);
            line
        }
        RoundEffect::SendToProxy(note) => {
            let mut line = begin("tell");
            line.message("note", note);
            line
        }
        RoundEffect::AnswerProxy { read } => {
            let mut line = begin("answer");
            line.mark("read", *read);
            line
        }
        RoundEffect::ReadSettings => begin("read_settings"),
        RoundEffect::Log(level, text) => {
            let mut line = begin("log");
            line.text("level", level.as_str()).text("say", text);
            line
        }
        RoundEffect::Exit => begin("end"),
    };
    line.end()
}
