//! What a loss of power, a cut or a spoilt block leaves of the store's files.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use millpost_quorum::Write;

use super::{RecordStore, StoreError, read, read_copy};

type Image = BTreeMap<PathBuf, Vec<u8>>;

fn image(folder: &Path) -> Image {
    let mut all = Image::new();
    let mut folders = vec![folder.to_owned()];
    while let Some(next) = folders.pop() {
        for entry in fs::read_dir(next).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                let name = path.strip_prefix(folder).expect("within").to_owned();
                all.insert(name, fs::read(&path).expect("read"));
            }
        }
    }
    all
}

fn lay(image: &Image, folder: &Path) {
    for (name, bytes) in image {
        let path = folder.join(name);
        fs::create_dir_all(path.parent().expect("a folder")).expect("made");
        fs::write(path, bytes).expect("written");
    }
}

fn write(n: u32) -> Write {
    Write { key: format!("k{}", n % 3), text: format!("text {n} {}", "x".repeat(n as usize * 37 % 3_000)) }
}

/// A store after so many puts, opened and closed as a process that was killed would leave it, and its image at each put.
fn images(puts: u32) -> Vec<Image> {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = RecordStore::open(folder.path()).expect("opened");
    let put = |n| {
        disk.put(&[write(n)]).expect("put");
        image(folder.path())
    };
    (0..puts).map(put).collect()
}

/// What was put last under each key after so many puts.
fn state(puts: u32) -> BTreeMap<String, String> {
    (0..puts).map(write).map(|w| (w.key, w.text)).collect()
}

fn opened(image: &Image) -> Option<BTreeMap<String, String>> {
    let folder = tempfile::tempdir().expect("a folder");
    lay(image, folder.path());
    read(folder.path()).ok().map(|(_, records)| records.into_iter().collect())
}

/// Writes after the last sync are there, missing or torn, block by block and file by file.
#[test]
fn after_a_loss_of_power_all_that_was_acknowledged_is_there() {
    let images = images(12);
    let (mut chance, mut tried) = (7u64, 0);
    for (before, pair) in images.windows(2).enumerate() {
        for _ in 0..12 {
            let mut mixed = pair[1].clone();
            for (name, bytes) in &mut mixed {
                let Some(old) = pair[0].get(name) else { continue };
                for (n, block) in bytes.chunks_mut(512).enumerate() {
                    chance = chance
                        .wrapping_mul(6_364_136_223_846_793_005)
                        .wrapping_add(1_442_695_040_888_963_407);
                    let at = n * 512;
                    if chance >> 63 == 0 && at < old.len() {
                        let end = (at + block.len()).min(old.len());
                        block[..end - at].copy_from_slice(&old[at..end]);
                    }
                }
            }
            let found = opened(&mixed).expect("it opens");
            let (least, most) = (state(before as u32 + 1), state(before as u32 + 2));
            assert!(found == least || found == most, "after put {before}: {:?}", found.keys());
            tried += 1;
        }
    }
    assert_eq!(tried, 132);
}

/// The bytes of a file at which it is cut or spoilt: so many, spread over it. `TILL_PLACES` in the environment asks for more, `all` for
/// each byte.
fn places(length: usize, count: usize) -> impl Iterator<Item = usize> {
    let step = match std::env::var("TILL_PLACES") {
        Ok(word) if word == "all" => 1,
        Ok(word) => length / word.parse::<usize>().expect("a number, or all").max(1),
        Err(_) => length / count,
    };
    (0..length).step_by(step.max(1))
}

/// A file that was cut or spoilt is an error or an older state; it never ends the process, and nothing is made up.
#[test]
fn cut_and_spoilt_files_are_errors_and_no_panic() {
    let last = images(9).pop().expect("an image");
    let ever: Vec<_> = (0..9).map(write).map(|w| (w.key, w.text)).collect();
    for (name, bytes) in &last {
        for at in places(bytes.len(), 24) {
            let mut cut = last.clone();
            cut.insert(name.clone(), bytes[..at].to_vec());
            let mut spoilt = last.clone();
            if let Some(byte) = spoilt.get_mut(name).and_then(|b| b.get_mut(at)) {
                *byte ^= 0x5a;
            }
            for image in [cut, spoilt] {
                for record in opened(&image).into_iter().flatten() {
                    assert!(ever.contains(&record), "{}: {}", name.display(), record.0);
                }
            }
        }
    }
}

fn full(puts: u32) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    lay(&images(puts).pop().expect("an image"), folder.path());
    folder
}

/// A look beside whoever has it open gives what was put, and leaves each byte as it was.
#[test]
fn a_look_beside_a_running_process_gives_all_that_was_put() {
    let data = tempfile::tempdir().expect("a folder");
    let place = data.path().join("tally");
    let disk = RecordStore::open(&place).expect("opened");
    for n in 0..9 {
        disk.put(&[write(n)]).expect("put");
        let before = image(data.path());
        // By its own name, and by that of the folder above.
        for named in [place.as_path(), data.path()] {
            let (folder, records) = read_copy(named).expect("read");
            assert_eq!(folder, place);
            assert_eq!(records.into_iter().collect::<BTreeMap<_, _>>(), state(n + 1));
        }
        assert_eq!(image(data.path()), before);
    }
}

/// Cut or spoilt at any place, a look is an error that names the folder, or an older state; nothing on disk changes.
#[test]
fn a_look_at_cut_and_spoilt_files_changes_nothing() {
    let last = images(6).pop().expect("an image");
    let ever: Vec<_> = (0..6).map(write).map(|w| (w.key, w.text)).collect();
    let mut tried = 0;
    for (name, bytes) in &last {
        for at in places(bytes.len(), 40) {
            let (mut cut, mut spoilt) = (last.clone(), last.clone());
            cut.insert(name.clone(), bytes[..at].to_vec());
            spoilt.entry(name.clone()).and_modify(|bytes| bytes[at] ^= 0x5a);
            for laid in [cut, spoilt] {
                let folder = tempfile::tempdir().expect("a folder");
                lay(&laid, folder.path());
                match read_copy(folder.path()) {
                    Ok((_, records)) => {
                        assert!(records.iter().all(|r| ever.contains(r)), "{}", name.display())
                    }
                    Err(e) => assert!(e.to_string().contains(&*folder.path().to_string_lossy()), "{e}"),
                }
                assert_eq!(image(folder.path()), laid);
                tried += 1;
            }
        }
    }
    assert!(tried > 100, "{tried}");
}

#[yare::parameterized(
    empty = { &[] },
    something_else = { &[("notes.txt", "x"), ("db.d/db", "x")] },
    no_store_under_tally = { &[("tally/conf", "segment_size: 524288")] },
)]
fn what_is_no_store_is_said_and_stays_none(files: &[(&str, &str)]) {
    let folder = tempfile::tempdir().expect("a folder");
    let laid: Image = files.iter().map(|(name, text)| (name.into(), text.as_bytes().to_vec())).collect();
    lay(&laid, folder.path());
    let said = read_copy(folder.path());
    assert!(matches!(said, Err(StoreError::NoStore { .. })), "{said:?}");
    assert_eq!(image(folder.path()), laid);
}

#[test]
fn what_is_no_folder_is_said() {
    let folder = full(1);
    assert!(matches!(read_copy(&folder.path().join("db")), Err(StoreError::NoStore { .. })));
    let said = read_copy(&folder.path().join("other")).expect_err("nothing there").to_string();
    assert!(said.contains("other"), "{said}");
}
