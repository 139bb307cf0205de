//! What comes over a link: whole, in pieces, odd, and by nobody in particular.

use bytes::{Bytes, BytesMut};
use millpost_gateway::frame::{
    self, Destination, Error, Hello, Key, Kind, LONGEST, Offer, Ping, Settled, Told,
};
use millpost_gateway::near::Word;
use millpost_gateway::{End, HopKey};
use proptest::prelude::*;

fn offer(body: usize) -> Offer {
    Offer {
        store: 9,
        message: 77,
        attempt: 1,
        reference: "r".to_owned(),
        class: "licence-order".to_owned(),
        dest: 5,
        left_us: 3_000_000,
        key: Bytes::from_static(b"k"),
        order: Some(4),
        path: vec!["lyon".to_owned()],
        body: Bytes::from(vec![7; body]),
    }
}

fn any_kind() -> impl Strategy<Value = Kind> {
    let key = (any::<u64>(), any::<u64>(), any::<u32>());
    let key = key.prop_map(|(store, message, attempt)| HopKey { store, message, attempt });
    let word = prop_oneof![
        Just(Word::Accepted),
        Just(Word::Void),
        Just(Word::Ended(End::Delivered)),
        Just(Word::Ended(End::Failed)),
        (0..1_000_000_u64).prop_map(|us| Word::Ended(End::Refused { wait: us * 1_000 })),
    ];
    prop_oneof![
        (1..9_u32, "[a-z]{1,9}", any::<u64>()).prop_map(|(most, site, store)| Kind::Hello(Hello {
            least: 1,
            most,
            site,
            store
        })),
        (0..LONGEST - 2_000).prop_map(|body| Kind::Offer(offer(body))),
        key.clone().prop_map(|key| Kind::Ask(key.into())),
        key.clone().prop_map(|key| Kind::Acknowledge(key.into())),
        (any::<u64>(), any::<u64>()).prop_map(|(store, below)| Kind::Settled(Settled { store, below })),
        (key, word).prop_map(|(key, word)| Kind::Told(Told::new(key, word))),
        (any::<u64>(), any::<u32>(), any::<u64>(), any::<bool>()).prop_map(
            |(dest, credit, wait_us, away)| Kind::Destination(Destination { dest, credit, wait_us, away })
        ),
        (any::<u64>(), any::<bool>()).prop_map(|(number, back)| Kind::Ping(Ping { number, back })),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Frames come back as they were written, however the stream was cut into pieces.
    #[test]
    fn frames_are_read_in_any_pieces(kinds in prop::collection::vec(any_kind(), 1..6), cut in 1..5_000_usize) {
        let stream: Vec<u8> = kinds.iter().flat_map(|k| frame::encode(k.clone()).expect("it fits").to_vec()).collect();
        let (mut bytes, mut read) = (BytesMut::new(), Vec::new());
        for piece in stream.chunks(cut) {
            bytes.extend_from_slice(piece);
            while let Some(kind) = frame::decode(&mut bytes).expect("a frame") {
                read.push(kind);
            }
        }
        prop_assert_eq!(read, kinds);
        prop_assert!(bytes.is_empty());
    }

    /// Any bytes are a frame, an error, or the beginning of a frame; none makes the reader keep more than a frame.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = BytesMut::from(&bytes[..]);
        for _ in 0..200 {
            match frame::decode(&mut bytes) {
                Ok(Some(_)) | Err(Error::Unknown) => {}
                Ok(None) | Err(_) => break,
            }
        }
    }

    /// A frame with any one byte spoilt is read as a frame or refused.
    #[test]
    fn a_spoilt_frame_harms_nothing(kind in any_kind(), at in any::<prop::sample::Index>(), by in 1..=255_u8) {
        let mut bytes = BytesMut::from(&frame::encode(kind).expect("it fits")[..]);
        let at = at.index(bytes.len());
        bytes[at] ^= by;
        let _ = frame::decode(&mut bytes);
    }
}

#[test]
fn a_word_survives_the_wire() {
    let key = HopKey { store: 1, message: 2, attempt: 3 };
    for word in
        [Word::Accepted, Word::Void, Word::Ended(End::Refused { wait: 5_000 }), Word::Ended(End::Failed)]
    {
        assert_eq!(Told::new(key, word).read(), Ok((key, word)));
    }
    // A wait is never told shorter than it is.
    let told = Told::new(key, Word::Ended(End::Refused { wait: 1 }));
    assert_eq!(told.read(), Ok((key, Word::Ended(End::Refused { wait: 1_000 }))));
    let strange = Told { what: 9, ..told };
    assert!(strange.read().expect_err("refused").to_string().contains("`what`"));
    assert!(Told { key: None, ..told }.read().is_err());
}

#[test]
fn what_is_too_long_is_refused_by_its_length() {
    let mut bytes = BytesMut::from(&(LONGEST as u32 + 1).to_be_bytes()[..]);
    assert_eq!(frame::decode(&mut bytes), Err(Error::TooLong(LONGEST + 1)));
    assert_eq!(
        frame::encode(Kind::Offer(offer(LONGEST))).map(drop).map_err(|e| matches!(e, Error::TooLong(_))),
        Err(true)
    );
}

#[test]
fn an_offer_that_makes_no_sense_names_its_field() {
    for (wrong, said) in [
        (Offer { reference: String::new(), ..offer(1) }, "reference"),
        (Offer { class: "x".repeat(5_000), ..offer(1) }, "class"),
        (Offer { key: Bytes::from(vec![0; 5_000]), ..offer(1) }, "key"),
        (Offer { path: vec!["a".to_owned(); 17], ..offer(1) }, "path"),
        (Offer { path: vec![String::new()], ..offer(1) }, "path"),
    ] {
        let mut bytes = BytesMut::from(&frame::encode(Kind::Offer(wrong)).expect("it fits")[..]);
        let why = frame::decode(&mut bytes).expect_err("refused").to_string();
        assert!(why.contains(said), "{why}");
    }
}

#[test]
fn versions_are_agreed_on_or_refused() {
    assert_eq!(Hello::new("oslo", 1).agree(), Ok(1));
    // A newer side that still reads this one.
    assert_eq!(Hello { most: 7, ..Hello::new("oslo", 1) }.agree(), Ok(1));
    let newer = Hello { least: 2, most: 7, ..Hello::new("oslo", 1) };
    assert_eq!(newer.agree(), Err(Error::Version { least: 2, most: 7 }));
    let older = Hello { least: 0, most: 0, ..Hello::new("oslo", 1) };
    assert!(older.agree().is_err(), "version 0 was never one");
    assert!(Hello::new("", 1).agree().is_err());
}

/// A frame of a kind that came later is passed over, and the next one is read.
#[test]
fn a_kind_that_is_not_known_is_passed_over() {
    // Field 15, of two bytes.
    let mut bytes = BytesMut::from(&[0, 0, 0, 4, 0x7a, 2, 1, 2][..]);
    bytes.extend_from_slice(
        &frame::encode(Kind::Ask(Key { store: 1, message: 2, attempt: 3 })).expect("it fits"),
    );
    assert_eq!(frame::decode(&mut bytes), Err(Error::Unknown));
    assert!(matches!(frame::decode(&mut bytes), Ok(Some(Kind::Ask(_)))));
}
