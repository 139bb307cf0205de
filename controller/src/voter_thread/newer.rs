//! Records that a newer version of the program has written.

use millpost_quorum::Write;

use super::*;

#[test]
fn records_of_a_newer_format_are_kept_and_the_voter_does_not_open() {
    let data = tempfile::tempdir().expect("a folder");
    let first = Some(Members::initial("u", ["127.0.0.1:1".into()]));
    let (me, seeds) = ("127.0.0.1:1".into(), vec!["127.0.0.1:1".into()]);
    let options = VoterOptions { me, folder: folder(data.path()), seeds, life: 1, first };
    let records = [("key/config", "{}"), ("later", "x"), ("voter", r#"{"format":"4","later":[]}"#)];
    let writes = records.map(|(key, text)| Write { key: key.to_owned(), text: text.to_owned() });
    disk::read(&options.folder).and_then(|(disk, _)| disk.put(&writes)).expect("written");
    for _ in 0..2 {
        assert!(open(&options, 0).is_none());
        assert_eq!(
            disk::read_after_close(&options.folder),
            records.map(|(key, text)| (key.to_owned(), text.to_owned()))
        );
    }
    assert_eq!(std::fs::read_dir(data.path()).expect("listed").count(), 1);
}
