//! Adds messages to a digest: frequent messages field by field, all others as their JSON text.

use crate::frame::Fold;
use crate::line::Line;
use crate::peer_message::PeerMessage;

impl PeerMessage {
    /// Adds all fields of the message to the digest.
    pub fn fold(&self, into: &mut Fold<'_>) {
        match self {
            PeerMessage::RequestPermit {
                id,
                service,
                left,
                aim,
                target,
                sent,
                first,
                returned,
                avoid,
                zone,
            } => {
                into.text("ask").whole(*id).text(service).number(*left).number(*aim).number(*target);
                into.whole((*sent).into()).whole((*first).into()).whole((*returned).into());
                into.whole(avoid.len() as u64);
                avoid.iter().for_each(|instance| {
                    into.text(instance);
                });
                into.text(zone);
            }
            PeerMessage::CancelRequest { id } => {
                into.text("drop").whole(*id);
            }
            PeerMessage::Queued { id } => {
                into.text("waits").whole(*id);
            }
            PeerMessage::Grant { id, instance, address, zone } => {
                into.text("grant").whole(*id).text(instance).text(address);
                into.text(zone.as_deref().unwrap_or_default());
            }
            PeerMessage::Denied { id, why, wait } => {
                into.text("no").whole(*id).text(why).number(*wait);
            }
            PeerMessage::ReleasePermit { id, outcome, took } => {
                into.text("done").whole(*id).text(outcome).number(*took);
            }
            PeerMessage::RetireInstance { instance } => {
                into.text("retire").text(instance);
            }
            PeerMessage::InstanceDown { instance } => {
                into.text("lost").text(instance);
            }
            PeerMessage::InstanceUp { instance } => {
                into.text("up").text(instance);
            }
            other => {
                let mut line = Line::new();
                line.message("note", other);
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
    fn messages_that_differ_in_one_field_have_different_digests() {
        let request = |id, avoid: &[&str], zone: &str| PeerMessage::RequestPermit {
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
        let desired = |count, strain| PeerMessage::DesiredInstances {
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
            request(1, &[], "ab"),
            request(2, &[], "ab"),
            request(1, &["a"], "b"),
            desired(1, 0.0),
            desired(2, 0.0),
            desired(1, 0.1),
            PeerMessage::MinInstances { service: "s".into(), count: 1, fence: 1, left: 1.0 },
            grant(None),
            grant(Some("z")),
            PeerMessage::CancelRequest { id: 1 },
            PeerMessage::Queued { id: 1 },
            PeerMessage::Denied { id: 1, why: "full".into(), wait: 0.0 },
            PeerMessage::ReleasePermit { id: 1, outcome: "ok".into(), took: 1.0 },
            PeerMessage::RetireInstance { instance: "i".into() },
            PeerMessage::InstanceDown { instance: "i".into() },
            PeerMessage::InstanceUp { instance: "i".into() },
        ];
        let sums = all.iter().map(|message| {
            let mut digest = Digest::default();
            digest.fold(|fields| message.fold(fields));
            digest.state().1
        });
        assert_eq!(sums.collect::<std::collections::BTreeSet<_>>().len(), all.len());
    }
}
