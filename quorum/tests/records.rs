//! Decoding of records and messages: invalid input gives an error and never a panic.

use std::collections::BTreeMap;

use millpost_quorum::*;
use yare::parameterized;

/// Returns the records of a voter that has accepted a value for every key, under a joint record.
fn sample_disk() -> BTreeMap<String, String> {
    let first = Members::initial("lab", ["a", "b \"ü\""].map(Address::from));
    let joint = first.joint(vec!["a".into(), "c".into()]);
    let mut disk = BTreeMap::new();
    let mut store = |writes: &[Write]| {
        disk.extend(writes.iter().map(|write| (write.key.clone(), write.text.clone())));
        Ok::<_, ()>(())
    };
    let mut voter = Voter::open("a".into(), [], vec![], 1, 0).unwrap();
    voter.bootstrap(first.clone()).commit(&mut store).unwrap();
    for key in Key::ALL {
        let (ballot, members) = (Ballots::new("p", u64::MAX).next(7), joint.clone());
        let value = match key {
            Key::Members => Value { version: 1, content: joint.to_text().into() },
            _ => Value { version: u64::MAX, content: "{\"x\": [\"é\\\"\"]}".into() },
        };
        let write = Message::Write { key, ballot, value, members };
        voter.handle(0, "p", write).commit(&mut store).unwrap();
    }
    disk
}

#[test]
fn truncated_record_gives_an_error_that_names_it() {
    let records = sample_disk();
    assert_eq!(records.len(), 5);
    let voter = Voter::open("a".into(), records.clone(), vec![], 1, 0).unwrap();
    assert_eq!((voter.state(), voter.members().unwrap().epoch), (State::Voting, 1));
    assert_eq!(voter.slot(Key::Config).unwrap().accepted.as_ref().unwrap().value.version, u64::MAX);
    for (key, text) in &records {
        for cut in 0..text.len() {
            let truncated = String::from_utf8_lossy(&text.as_bytes()[..cut]).into_owned();
            let records = records.clone().into_iter().chain([(key.clone(), truncated)]);
            let error = Voter::open("a".into(), records, vec![], 1, 0).unwrap_err();
            assert!(error.to_string().contains(key.as_str()), "{error}");
        }
    }
}

#[parameterized(
    empty_text = { "voter", "" },
    nested_too_deep = { "voter", &"[".repeat(1 << 20) },
    other_key = { "key/config", r#"{"key":"steward","promised":null,"accepted":null}"# },
    no_voters = { "voter", r#"{"state":"voting","members":{"epoch":"1","uid":"u","voters":[]}}"# },
    duplicate_voter = { "voter", r#"{"state":"voting","members":{"epoch":"1","uid":"u","voters":["a","a"]}}"# },
    epoch_as_number = { "voter", r#"{"state":"voting","members":{"epoch":1,"uid":"u","voters":["a"]}}"# },
    epoch_with_sign = { "voter", r#"{"state":"voting","members":{"epoch":"+1","uid":"u","voters":["a"]}}"# },
    format_as_number = { "voter", r#"{"state":"voting","format":1,"members":{"epoch":"1","uid":"u","voters":["a"],"next":null}}"# },
    accepted_without_promise = { "key/config", r#"{"key":"config","promised":null,"accepted":
        {"ballot":["1","p","1"],"version":"1","content":"","copied":false}}"# },
    unknown_key = { "key/other", "{}" },
)]
fn invalid_record_is_rejected(key: &str, text: &str) {
    let records = [(key.to_owned(), text.to_owned())];
    assert!(Voter::open("a".into(), records, vec![], 1, 0).unwrap_err().to_string().contains(key));
}

#[parameterized(
    missing_means_first = { "", None },
    first = { r#","format":"1""#, None },
    previous = { r#","format":"2""#, None },
    current = { r#","format":"3""#, None },
    newer = { r#","format":"4""#, Some(4) },
    newest = { r#","format":"18446744073709551615""#, Some(u64::MAX) },
)]
fn newer_format_is_rejected_whatever_the_other_records_hold(format: &str, newer: Option<u64>) {
    let voter = r#"{"state":"voting","members":{"epoch":"1","uid":"u","voters":["a"],"next":null}"#;
    let mut records = vec![("voter".to_owned(), format!("{voter}{format}}}"))];
    if newer.is_some() {
        let unknown = [("key/config", "?"), ("of/later", "{}"), ("aaa", "")];
        records.extend(unknown.map(|(key, text)| (key.to_owned(), text.to_owned())));
        records.rotate_left(1);
    }
    match (Voter::open("a".into(), records, vec![], 1, 0), newer) {
        (Ok(voter), None) => assert_eq!(voter.state(), State::Voting),
        (Err(OpenError::Newer { format }), Some(newer)) => assert_eq!(format, newer),
        (other, _) => panic!("{other:?}"),
    }
}

/// Returns the only voter of a register, with its members and its first batch.
fn new_voter() -> (Members, Voter, Vec<Write>) {
    let members = Members::initial("lab", ["a"].map(Address::from));
    let mut first = Vec::new();
    let mut store = |writes: &[Write]| {
        first.extend_from_slice(writes);
        Ok::<_, ()>(())
    };
    let mut voter = Voter::open("a".into(), [], vec![], 1, 0).unwrap();
    voter.bootstrap(members.clone()).commit(&mut store).unwrap();
    (members, voter, first)
}

/// Earlier versions do not know the key `moves`. They must be able to read the disk until there is a record
/// for it.
#[test]
fn newer_format_is_written_right_before_the_first_record_of_migrations() {
    let (members, mut voter, first) = new_voter();
    let mut batches = vec![first];
    let mut store = |writes: &[Write]| {
        batches.push(writes.to_vec());
        Ok::<_, ()>(())
    };
    for (n, key) in [Key::Config, Key::Migrations, Key::Migrations].into_iter().enumerate() {
        let ballot = Ballots::new("p", 1).next(n as u64);
        voter
            .handle(0, "p", Message::Query { key, tag: ballot.clone(), members: members.clone() })
            .commit(&mut store)
            .unwrap();
        voter
            .handle(0, "p", Message::Prepare { key, ballot, members: members.clone() })
            .commit(&mut store)
            .unwrap();
    }
    let key_and_format = |batch: &Vec<Write>| {
        let [write] = &batch[..] else { panic!("{batch:?}") };
        let format = ["1", "2"].into_iter().find(|f| write.text.contains(&format!(r#""format":"{f}""#)));
        (write.key.clone(), format)
    };
    let formats: Vec<_> = batches.iter().map(key_and_format).collect();
    let expected = [
        ("voter", Some("1")),
        ("key/config", None),
        ("voter", Some("2")),
        ("key/moves", None),
        ("key/moves", None),
    ];
    assert_eq!(formats, expected.map(|(key, format)| (key.to_owned(), format)));
    assert!(sample_disk()["voter"].contains(r#""format":"2""#));
}

/// Earlier versions do not know of records in parts, and would take them for damage. They must refuse the disk from
/// the moment that there is one, also after the record has become short again.
#[test]
fn newer_format_is_written_right_before_the_first_long_record() {
    let (members, mut voter, first) = new_voter();
    let mut batches = vec![first];
    let mut store = |writes: &[Write]| {
        batches.push(writes.to_vec());
        Ok::<_, ()>(())
    };
    for (n, length) in [(1, 10), (2, MAX_WHOLE_RECORD), (3, MAX_WHOLE_RECORD), (4, 10)] {
        let (key, ballot) = (Key::Config, Ballots::new("p", 1).next(n));
        let value = Value { version: n, content: "x".repeat(length).into() };
        let write = Message::Write { key, ballot, value, members: members.clone() };
        voter.handle(0, "p", write).commit(&mut store).unwrap();
    }
    let keys: Vec<_> = batches.iter().flatten().map(|write| write.key.as_str()).collect();
    assert_eq!(keys, ["voter", "key/config", "voter", "key/config", "key/config", "key/config"]);
    assert!(batches[2][0].text.contains(&format!(r#""format":"{FORMAT}""#)));
    let parse = |write: Write| (write.key, write.text.parse::<tinyjson::JsonValue>().unwrap());
    let disk: BTreeMap<_, _> = batches.into_iter().flatten().map(parse).collect();
    let all: BTreeMap<_, _> = voter.records().unwrap().into_iter().map(parse).collect();
    assert_eq!(all, disk);
}

#[test]
fn messages_round_trip_and_are_rejected_without_a_required_field() {
    let (key, ballot) = (Key::Config, Ballots::new("p", 3).next(1 << 60));
    let members = Members::initial("lab", ["a".into()]).joint(vec!["b".into()]);
    let value = Value { version: 9, content: "text".into() };
    let slot_value = Accepted { ballot: ballot.clone(), value: value.clone(), copied: true };
    let (accepted, tag, promised) = (Some(slot_value), ballot.clone(), ballot.clone());
    let slot = Slot { promised: Some(ballot.clone()), accepted: accepted.clone() };
    let (lease, holder) = (Address::from("steward"), Address::from("h"));
    let (incarnation, request, remaining) = (u64::MAX, 2, 5);
    let (b, m, a, l) = (|| ballot.clone(), || members.clone(), || accepted.clone(), || lease.clone());
    let all = [
        Message::Query { key, tag: tag.clone(), members: m() },
        Message::Prepare { key, ballot: b(), members: m() },
        Message::Write { key, ballot: b(), value, members: m() },
        Message::QueryReply { key, tag, accepted: a() },
        Message::Promised { key, ballot: b(), accepted: a() },
        Message::Wrote { key, ballot: b() },
        Message::Refused { key, ballot: b(), promised },
        Message::NewerMembers { key, ballot: b(), members: m(), chosen: true },
        Message::StateRequest { request },
        Message::StateReply {
            request,
            members: m(),
            slots: vec![(key, slot), (Key::Members, Slot::default())],
        },
        Message::LeaseRequest {
            lease: l(),
            holder: holder.clone(),
            incarnation,
            request,
            held_epoch: Some(4),
            previous_holder: true,
            members: m(),
        },
        Message::LeaseGranted { lease: l(), incarnation, request },
        Message::LeaseDenied { lease: l(), incarnation, request, remaining, newer_members: Some(m()) },
        Message::LeaseRelease { lease: l(), holder, incarnation, request },
    ];
    for message in all {
        let text = message.to_json().stringify().unwrap();
        assert_eq!(Message::from_json(&text.parse().unwrap()), Ok(message.clone()));
        let tinyjson::JsonValue::Object(fields) = message.to_json() else { panic!("not an object") };
        for field in
            fields.keys().filter(|field| !["accepted", "again", "held", "newer"].contains(&field.as_str()))
        {
            let mut incomplete = fields.clone();
            incomplete.remove(field);
            assert!(Message::from_json(&incomplete.into()).is_err(), "{message:?} without {field}");
        }
    }
}
