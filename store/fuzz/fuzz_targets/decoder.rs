//! Decodes arbitrary bytes as a segment, a checkpoint and an old journal: decoding must not panic, or
//! allocate more than a small multiple of the input. Run with `cargo fuzz run decoder` in `store/`.
#![no_main]

use libfuzzer_sys::fuzz_target;
use millpost_store::format::{FrameCodec, Header, Item, ops};
use millpost_store::memory::Memory;
use millpost_store::{Durability, Ledger, Options, journal};

fuzz_target!(|bytes: &[u8]| {
    let _ = Header::decode(bytes);
    let _ = ops(bytes).count();
    journal::read(&bytes.to_vec().into());
    let codec = FrameCodec::new(77, 1);
    let header = Header { store: 77, segment: 1, first_seq: 1, retired_before: 0, reserved: 0 }.encode();
    let frame = codec.encode_frame(header.len() as u64, 1, bytes);
    let mut at = 0;
    while let Item::Corrupt(length) | Item::Frame { len: length, .. } =
        codec.read_item(&bytes[at..], at as u64, true)
    {
        at += length;
    }
    let second = Header { store: 77, segment: 2, first_seq: 2, retired_before: 0, reserved: 0 }.encode();
    for (segment, checkpoint) in [(bytes.to_vec(), frame.clone()), (frame, bytes.to_vec())] {
        let files = [
            ("000000000001.seg", [&header[..], &segment].concat()),
            ("000000000001.sum", [&header[..], &checkpoint].concat()),
            ("000000000002.seg", second.to_vec()),
        ];
        let folder = Memory::with(files.into_iter().map(|(name, file)| (name.to_owned(), file)).collect());
        let options = Options { limit: 3_000_000, durability: Durability::Process, checkpoints: true };
        let _ = Ledger::open(folder, options, 1, 77, None);
    }
});
