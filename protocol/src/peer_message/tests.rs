//! Encoding and decoding of every message type.

use super::*;

fn all_messages() -> Vec<PeerMessage> {
    let peer = Peer { name: "edge-1".into(), address: "10.0.0.1:7760".into(), zone: "a".into() };
    let instance = Instance {
        id: "i-1".into(),
        service: "f".into(),
        address: "10.0.0.9:80".into(),
        zone: "a".into(),
        worker: "w".into(),
        stage: 1,
    };
    let request = |sent, avoid| PeerMessage::RequestPermit {
        id: 7,
        service: "f".into(),
        left: 1_500.25,
        aim: -3.0,
        target: 200.0,
        sent,
        first: sent == 0,
        returned: true,
        avoid,
        zone: "a".into(),
    };
    vec![
        request(0, vec![]),
        request(2, vec!["i-2".into()]),
        PeerMessage::CancelRequest { id: 1 },
        PeerMessage::Queued { id: 1 },
        PeerMessage::Grant { id: 1, instance: "i-1".into(), address: "10.0.0.9:80".into(), zone: None },
        PeerMessage::Grant {
            id: 1,
            instance: "i-1".into(),
            address: "10.0.0.9:80".into(),
            zone: Some("b".into()),
        },
        PeerMessage::Denied { id: 1, why: "full".into(), wait: 12.5 },
        PeerMessage::ReleasePermit { id: 1, outcome: "ok".into(), took: 45.0 },
        PeerMessage::HeldPermit { id: 1, service: "f".into(), instance: "i-1".into(), left: 9.0 },
        PeerMessage::HandOverPermits {
            service: "f".into(),
            version: (1, 2),
            permits: vec![Permit { who: "edge-2".into(), id: 9, instance: "i-1".into(), left: -2.5 }],
        },
        PeerMessage::ForwardRelease {
            who: "edge-2".into(),
            id: 9,
            instance: None,
            outcome: "ok".into(),
            took: 4.5,
        },
        PeerMessage::ForwardRelease {
            who: "edge-2".into(),
            id: 9,
            instance: Some("i-1".into()),
            outcome: "ok".into(),
            took: 4.5,
        },
        PeerMessage::Config { revision: 3, body: text("x") },
        PeerMessage::Patch { revision: 4, change: text("y") },
        PeerMessage::PackedConfig { revision: 4, packed: "eJ".to_owned() },
        PeerMessage::PackedPatch { revision: 4, packed: "eJ".to_owned() },
        PeerMessage::FullView {
            version: (1, 2),
            peers: vec![peer.clone()],
            leaving: vec![Peer { name: "edge-3".into(), ..peer.clone() }],
            split: vec!["f".into()],
        },
        PeerMessage::Instances {
            version: (1, 2),
            all: true,
            set: vec![instance.clone()],
            gone: vec!["i-0".into()],
        },
        PeerMessage::OwnedInstances { set: vec![instance] },
        PeerMessage::Leader { address: "10.0.0.2:80".into(), fence: 3 },
        PeerMessage::Controllers { addresses: vec!["10.0.0.2:80".into(), "10.0.0.3:80".into()] },
        PeerMessage::DesiredInstances {
            service: "f".into(),
            count: 2,
            zones: vec!["a".into()],
            lot: Some("a".into()),
            strain: 0.25,
            does: Some(FunctionStatus { delay: 12.25, lowest: 4.5, asked: 7, refused: 2 }),
            slow: vec!["w-1".into()],
        },
        PeerMessage::Drain { name: "edge-1".into(), left: 250.5 },
        PeerMessage::MinInstances { service: "f".into(), count: 2, fence: 3, left: 10_000.0 },
        PeerMessage::Contact { holds: true },
        PeerMessage::Contact { holds: false },
        PeerMessage::StaleIncarnation { known: 1_700_000_000_000 },
        PeerMessage::RetireInstance { instance: "i-1".into() },
        PeerMessage::InstanceDown { instance: "i-1".into() },
        PeerMessage::InstanceUp { instance: "i-1".into() },
        PeerMessage::PeerUnreachable { peer: "edge-2".into(), from: "edge-1".into() },
        PeerMessage::ConfigApplied { revision: 3, number: 9 },
        PeerMessage::Heartbeat { peer: peer.clone(), serving: true, split: None, digest: None },
        PeerMessage::Heartbeat {
            peer: peer.clone(),
            serving: true,
            split: Some(((1, 2), vec!["f".into()])),
            digest: Some(u64::MAX - 4),
        },
        PeerMessage::ViewChange(ViewChange {
            version: (2, 1),
            from: (1, 2),
            came: vec![peer.clone()],
            left: vec!["edge-2".into()],
            leaving: vec![Peer { name: "edge-2".into(), ..peer }],
            ended: vec!["edge-3".into()],
            split: vec!["f".into()],
            joined: vec!["g".into()],
        }),
        PeerMessage::QueryRevision,
        PeerMessage::CommittedRevision { revision: 3 },
        PeerMessage::ViewOutdated { version: (1, 2) },
    ]
}

#[test]
fn every_message_reads_back_and_does_not_read_as_the_same_without_any_of_its_fields() {
    for message in all_messages() {
        let json = message.to_json();
        let text = json.stringify().expect("finite numbers");
        assert_eq!(PeerMessage::read(&text.parse().expect("JSON")), Ok(message.clone()));
        let JsonValue::Object(fields) = json else { panic!("an object") };
        for key in fields.keys() {
            let mut fewer = fields.clone();
            fewer.remove(key);
            assert_ne!(PeerMessage::read(&JsonValue::Object(fewer)), Ok(message.clone()), "{key}");
            let mut mistyped = fields.clone();
            mistyped.insert(key.clone(), JsonValue::Object(HashMap::new()));
            let _ = PeerMessage::read(&JsonValue::Object(mistyped));
        }
    }
}
