//! Tests of a store whose files are damaged by a power loss, truncation or corrupted bytes.

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

fn write_image(image: &Image, folder: &Path) {
    for (name, bytes) in image {
        let path = folder.join(name);
        fs::create_dir_all(path.parent().expect("a folder")).expect("made");
        fs::write(path, bytes).expect("written");
    }
}

fn write(n: u32) -> Write {
    Write { key: format!("k{}", n % 3), text: format!("text {n} {}", "x".repeat(n as usize * 37 % 3_000)) }
}

/// A write of one of three records, of which two are long most of the time.
fn long_write(n: u32) -> Write {
    let length = if n.is_multiple_of(3) { 100 } else { (n as usize * 7_919) % 60_000 };
    let letter = |at: usize| char::from(b'a' + ((at + n as usize) * 31 % 26) as u8);
    Write { key: format!("k{}", n % 3), text: (0..length).map(letter).collect() }
}

/// Returns an image of the store's files after each of `puts` writes, as a killed process would leave them.
fn images(puts: u32) -> Vec<Image> {
    images_of(puts, write)
}

fn images_of(puts: u32, write: fn(u32) -> Write) -> Vec<Image> {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = RecordStore::open(folder.path()).expect("opened");
    let put = |n| {
        disk.put(&[write(n)]).expect("put");
        image(folder.path())
    };
    (0..puts).map(put).collect()
}

/// Returns the last record of each key after `puts` writes.
fn state(puts: u32) -> BTreeMap<String, String> {
    state_of(puts, write)
}

fn state_of(puts: u32, write: fn(u32) -> Write) -> BTreeMap<String, String> {
    (0..puts).map(write).map(|w| (w.key, w.text)).collect()
}

fn opened(image: &Image) -> Option<BTreeMap<String, String>> {
    let folder = tempfile::tempdir().expect("a folder");
    write_image(image, folder.path());
    read(folder.path()).ok().map(|(_, records)| records.into_iter().collect())
}

/// After a power loss, each block written since the last sync is present, missing or torn, independently for
/// each file.
#[yare::parameterized(
    short = { write, 12 },
    in_parts = { long_write, 24 },
)]
fn acknowledged_records_survive_a_power_loss(write: fn(u32) -> Write, puts: u32) {
    let images = images_of(puts, write);
    let (mut random, mut cases) = (7u64, 0_u32);
    for (before, pair) in images.windows(2).enumerate() {
        for _ in 0..12 {
            let mut mixed = pair[1].clone();
            for (name, bytes) in &mut mixed {
                let Some(old) = pair[0].get(name) else { continue };
                for (n, block) in bytes.chunks_mut(512).enumerate() {
                    random = random
                        .wrapping_mul(6_364_136_223_846_793_005)
                        .wrapping_add(1_442_695_040_888_963_407);
                    let at = n * 512;
                    if random >> 63 == 0 && at < old.len() {
                        let end = (at + block.len()).min(old.len());
                        block[..end - at].copy_from_slice(&old[at..end]);
                    }
                }
            }
            let found = opened(&mixed).expect("the store opens");
            let (before_put, after_put) =
                (state_of(before as u32 + 1, write), state_of(before as u32 + 2, write));
            assert!(found == before_put || found == after_put, "after put {before}: {:?}", found.keys());
            cases += 1;
        }
    }
    assert_eq!(cases, (puts - 1) * 12);
}

/// Returns the offsets at which a file is truncated or corrupted: `count` offsets spread evenly. The
/// environment variable `TILL_PLACES` sets another count, or `all` for every byte.
fn offsets(length: usize, count: usize) -> impl Iterator<Item = usize> {
    let step = match std::env::var("TILL_PLACES") {
        Ok(value) if value == "all" => 1,
        Ok(value) => length / value.parse::<usize>().expect("a number or `all`").max(1),
        Err(_) => length / count,
    };
    (0..length).step_by(step.max(1))
}

/// Opening a truncated or corrupted file gives an error or an older state. It never panics, and never returns
/// a record that was not written.
#[test]
fn truncated_or_corrupted_files_give_errors_without_a_panic() {
    let last = images(9).pop().expect("an image");
    let written: Vec<_> = (0..9).map(write).map(|w| (w.key, w.text)).collect();
    for (name, bytes) in &last {
        for at in offsets(bytes.len(), 24) {
            let mut truncated = last.clone();
            truncated.insert(name.clone(), bytes[..at].to_vec());
            let mut corrupted = last.clone();
            if let Some(byte) = corrupted.get_mut(name).and_then(|b| b.get_mut(at)) {
                *byte ^= 0x5a;
            }
            for image in [truncated, corrupted] {
                for record in opened(&image).into_iter().flatten() {
                    assert!(written.contains(&record), "{}: {}", name.display(), record.0);
                }
            }
        }
    }
}

fn store_folder(puts: u32) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    write_image(&images(puts).pop().expect("an image"), folder.path());
    folder
}

/// Reading a copy while the store is open returns all records, and changes no byte on disk.
#[test]
fn read_copy_of_an_open_store_returns_all_records() {
    let data = tempfile::tempdir().expect("a folder");
    let store = data.path().join("tally");
    let disk = RecordStore::open(&store).expect("opened");
    for n in 0..9 {
        disk.put(&[write(n)]).expect("put");
        let before = image(data.path());
        // By the path of the store, and by that of the folder above it.
        for path in [store.as_path(), data.path()] {
            let (folder, records) = read_copy(path).expect("read");
            assert_eq!(folder, store);
            assert_eq!(records.into_iter().collect::<BTreeMap<_, _>>(), state(n + 1));
        }
        assert_eq!(image(data.path()), before);
    }
}

/// Reading a copy of truncated or corrupted files gives an error that names the folder, or an older state,
/// and changes nothing on disk.
#[test]
fn read_copy_of_damaged_files_changes_nothing() {
    let last = images(6).pop().expect("an image");
    let written: Vec<_> = (0..6).map(write).map(|w| (w.key, w.text)).collect();
    let mut cases = 0;
    for (name, bytes) in &last {
        for at in offsets(bytes.len(), 40) {
            let (mut truncated, mut corrupted) = (last.clone(), last.clone());
            truncated.insert(name.clone(), bytes[..at].to_vec());
            corrupted.entry(name.clone()).and_modify(|bytes| bytes[at] ^= 0x5a);
            for damaged in [truncated, corrupted] {
                let folder = tempfile::tempdir().expect("a folder");
                write_image(&damaged, folder.path());
                match read_copy(folder.path()) {
                    Ok((_, records)) => {
                        assert!(records.iter().all(|r| written.contains(r)), "{}", name.display())
                    }
                    Err(e) => assert!(e.to_string().contains(&*folder.path().to_string_lossy()), "{e}"),
                }
                assert_eq!(image(folder.path()), damaged);
                cases += 1;
            }
        }
    }
    assert!(cases > 100, "{cases}");
}

#[yare::parameterized(
    empty = { &[] },
    other_files = { &[("notes.txt", "x"), ("db.d/db", "x")] },
    subfolder_without_store = { &[("tally/conf", "segment_size: 524288")] },
)]
fn folder_without_a_store_is_reported_and_unchanged(files: &[(&str, &str)]) {
    let folder = tempfile::tempdir().expect("a folder");
    let initial: Image = files.iter().map(|(name, text)| (name.into(), text.as_bytes().to_vec())).collect();
    write_image(&initial, folder.path());
    let result = read_copy(folder.path());
    assert!(matches!(result, Err(StoreError::NoStore { .. })), "{result:?}");
    assert_eq!(image(folder.path()), initial);
}

#[test]
fn path_that_is_not_a_folder_is_reported() {
    let folder = store_folder(1);
    assert!(matches!(read_copy(&folder.path().join("db")), Err(StoreError::NoStore { .. })));
    let error = read_copy(&folder.path().join("other")).expect_err("nothing there").to_string();
    assert!(error.contains("other"), "{error}");
}
