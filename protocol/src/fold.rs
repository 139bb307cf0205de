//! Notes in a digest: what is said often goes in by its parts, all else as its text.

use crate::frame::Fold;
use crate::line::Line;
use crate::peer_message::PeerMessage;

impl PeerMessage {
    /// Puts it in, whole.
    pub fn fold(&self, into: &mut Fold<'_>) {
        match self {
            PeerMessage::Ask { id, service, left, aim, target, sent, first, returned, avoid, zone } => {
                into.text("ask").whole(*id).text(service).number(*left).number(*aim).number(*target);
                into.whole((*sent).into()).whole((*first).into()).whole((*returned).into());
                into.whole(avoid.len() as u64);
                avoid.iter().for_each(|instance| {
                    into.text(instance);
                });
                into.text(zone);
            }
            PeerMessage::Drop { id } => {
                into.text("drop").whole(*id);
            }
            PeerMessage::Waits { id } => {
                into.text("waits").whole(*id);
            }
            PeerMessage::Grant { id, instance, address, zone } => {
                into.text("grant").whole(*id).text(instance).text(address);
                into.text(zone.as_deref().unwrap_or_default());
            }
            PeerMessage::No { id, why, wait } => {
                into.text("no").whole(*id).text(why).number(*wait);
            }
            PeerMessage::Done { id, outcome, took } => {
                into.text("done").whole(*id).text(outcome).number(*took);
            }
            PeerMessage::Retire { instance } => {
                into.text("retire").text(instance);
            }
            PeerMessage::Lost { instance } => {
                into.text("lost").text(instance);
            }
            PeerMessage::Up { instance } => {
                into.text("up").text(instance);
            }
            other => {
                let mut line = Line::new();
                line.note("note", other);
                into.text(&line.end());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::frame::Digest;

    #[test]
    fn notes_that_differ_in_one_part_differ_in_the_digest() {
        let ask = |id, avoid: &[&str], zone: &str| PeerMessage::Ask {
            id,
            service: "s".into(),
            left: 1.0,
            aim: 0.5,
            target: 0.25,
            sent: 0,
            first: true,
            returned: false,
            avoid: avoid.iter().map(|i| (*i).into()).collect(),
            zone: zone.into(),
        };
        let want = |count, strain| PeerMessage::Want {
            service: "s".into(),
            count,
            zones: vec!["a".into()],
            lot: None,
            strain,
            does: None,
            slow: Vec::new(),
        };
        let grant = |zone: Option<&str>| PeerMessage::Grant {
            id: 1,
            instance: "i".into(),
            address: "a:1".into(),
            zone: zone.map(Into::into),
        };
        let all = [
            ask(1, &[], "ab"),
            ask(2, &[], "ab"),
            ask(1, &["a"], "b"),
            want(1, 0.0),
            want(2, 0.0),
            want(1, 0.1),
            PeerMessage::Floor { service: "s".into(), count: 1, fence: 1, left: 1.0 },
            grant(None),
            grant(Some("z")),
            PeerMessage::Drop { id: 1 },
            PeerMessage::Waits { id: 1 },
            PeerMessage::No { id: 1, why: "full".into(), wait: 0.0 },
            PeerMessage::Done { id: 1, outcome: "ok".into(), took: 1.0 },
            PeerMessage::Retire { instance: "i".into() },
            PeerMessage::Lost { instance: "i".into() },
            PeerMessage::Up { instance: "i".into() },
        ];
        let sums = all.iter().map(|note| {
            let mut digest = Digest::default();
            digest.fold(|parts| note.fold(parts));
            digest.state().1
        });
        assert_eq!(sums.collect::<std::collections::BTreeSet<_>>().len(), all.len());
    }
}
