//! The storage engines under comparison, behind one interface. A change that has returned survives a crash of
//! the process, or of the machine for engines named `sync`.

use std::path::Path;

use bytes::Bytes;
use fjall::{KeyspaceCreateOptions, PersistMode};
use millpost_store::ledger::{AcceptedMessage, Answer, FinalOutcome};
use millpost_store::{Disk, Durability, Ledger, Options};
use redb::{ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};

use crate::journal;

pub trait Engine {
    fn take(&mut self, n: u64, body: &[u8]);
    fn begin(&mut self, n: u64);
    /// Removes a message and stores its answer. `old_answer` is an answer to delete, for engines without
    /// expiry.
    fn end(&mut self, n: u64, old_answer: Option<u64>);
    fn count(&self) -> u64;
}

pub const NAMES: [&str; 9] =
    ["store", "journal", "fjall", "sqlite", "redb", "store sync", "fjall sync", "sqlite sync", "redb sync"];

const LIMIT: u64 = 200_000_000;

pub fn open(name: &str, folder: &Path) -> Box<dyn Engine> {
    let sync = name.ends_with("sync");
    match name.trim_end_matches(" sync") {
        "store" => Box::new(MillpostStore::open(folder, sync)),
        "journal" => Box::new(OldJournal(journal::Journal::open(folder, LIMIT).expect("opens").0)),
        "fjall" => Box::new(Fjall::open(folder, sync)),
        "sqlite" => Box::new(Sqlite::open(folder, sync)),
        "redb" => Box::new(Redb::open(folder, sync)),
        other => panic!("unknown engine {other}"),
    }
}

/// The fields of a message besides its body, encoded for engines that store bytes.
fn head(n: u64) -> Vec<u8> {
    let mut head = vec![0; 28];
    head.extend_from_slice(format!("reference-{n:016}").as_bytes());
    head.extend_from_slice(format!("key-{n:028}").as_bytes());
    head
}

const HISTORY: [u8; 26] = [7; 26];
const ANSWER: [u8; 9] = [1; 9];

fn message(n: u64, body: &[u8]) -> AcceptedMessage {
    AcceptedMessage {
        reference: format!("reference-{n:016}"),
        class: 1,
        dest: n % 50,
        deadline: 1 << 60,
        key: Some(Bytes::from(format!("key-{n:028}"))),
        order: None,
        body: Bytes::copy_from_slice(body),
    }
}

struct MillpostStore {
    ledger: Ledger<Disk>,
    sync: bool,
}

impl MillpostStore {
    fn open(folder: &Path, sync: bool) -> Self {
        let durability = if sync { Durability::Machine } else { Durability::Process };
        let options = Options::new(LIMIT, durability);
        let folder = Disk::open(folder).expect("the folder");
        let (ledger, _) = Ledger::open(folder, options, 1, 77, None).expect("opens");
        MillpostStore { ledger, sync }
    }
    fn sync_if_required(&mut self) {
        if self.sync {
            self.ledger.store_mut().sync().expect("synced");
        }
    }
}

impl Engine for MillpostStore {
    fn take(&mut self, n: u64, body: &[u8]) {
        assert_eq!(self.ledger.accept(5, &message(n, body)).expect("room").0, n + 1);
        self.sync_if_required();
    }
    fn begin(&mut self, n: u64) {
        self.ledger.begin_attempt(n + 1, 6, 1).expect("written");
        self.sync_if_required();
    }
    fn end(&mut self, n: u64, _: Option<u64>) {
        let reference = format!("reference-{n:016}");
        let until = 10 + n;
        self.ledger.finish(n + 1, Some((&reference, FinalOutcome::Delivered, until))).expect("written");
        if n.is_multiple_of(64) {
            self.ledger.maintain(until.saturating_sub(crate::ANSWERS));
        }
        self.sync_if_required();
    }
    fn count(&self) -> u64 {
        self.ledger.pending() as u64
    }
}

struct OldJournal(journal::Journal);

impl Engine for OldJournal {
    fn take(&mut self, n: u64, body: &[u8]) {
        let AcceptedMessage { reference, class, dest, deadline, key, body, .. } = message(n, body);
        let taken = journal::Taken { reference, class, dest, deadline, key, body };
        self.0.take(5, &taken).expect("room");
    }
    fn begin(&mut self, n: u64) {
        self.0.begin(n + 1, 6, 1).expect("written");
    }
    fn end(&mut self, n: u64, _: Option<u64>) {
        // The journal keeps no answers.
        let _ = Answer::Failed;
        self.0.end(n + 1).expect("written");
    }
    fn count(&self) -> u64 {
        self.0.count() as u64
    }
}

struct Fjall {
    db: fjall::Database,
    tables: [fjall::Keyspace; 4],
    mode: PersistMode,
}

impl Fjall {
    fn open(folder: &Path, sync: bool) -> Self {
        let db = fjall::Database::builder(folder).open().expect("opens");
        let table = |name| db.keyspace(name, KeyspaceCreateOptions::default).expect("a table");
        let tables = [table("heads"), table("bodies"), table("histories"), table("answers")];
        Fjall { tables, mode: if sync { PersistMode::SyncData } else { PersistMode::Buffer }, db }
    }
    fn commit(&self, batch: fjall::OwnedWriteBatch) {
        batch.durability(Some(self.mode)).commit().expect("written");
    }
}

impl Engine for Fjall {
    fn take(&mut self, n: u64, body: &[u8]) {
        let mut batch = self.db.batch();
        batch.insert(&self.tables[0], n.to_be_bytes(), head(n));
        batch.insert(&self.tables[1], n.to_be_bytes(), body);
        self.commit(batch);
    }
    fn begin(&mut self, n: u64) {
        let mut batch = self.db.batch();
        batch.insert(&self.tables[2], n.to_be_bytes(), HISTORY);
        self.commit(batch);
    }
    fn end(&mut self, n: u64, old_answer: Option<u64>) {
        let mut batch = self.db.batch();
        for table in &self.tables[..3] {
            batch.remove(table, n.to_be_bytes());
        }
        batch.insert(&self.tables[3], format!("reference-{n:016}"), ANSWER);
        if let Some(old) = old_answer {
            batch.remove(&self.tables[3], format!("reference-{old:016}"));
        }
        self.commit(batch);
    }
    fn count(&self) -> u64 {
        self.tables[0].iter().map(|item| item.key().is_ok()).filter(|ok| *ok).count() as u64
    }
}

struct Sqlite {
    db: rusqlite::Connection,
}

impl Sqlite {
    fn open(folder: &Path, sync: bool) -> Self {
        let db = rusqlite::Connection::open(folder.join("db")).expect("opens");
        let sync = if sync { "FULL" } else { "OFF" };
        db.execute_batch(&format!(
            "PRAGMA journal_mode = WAL; PRAGMA synchronous = {sync};
             CREATE TABLE IF NOT EXISTS messages (id INTEGER PRIMARY KEY, head BLOB, body BLOB);
             CREATE TABLE IF NOT EXISTS histories (id INTEGER PRIMARY KEY, history BLOB);
             CREATE TABLE IF NOT EXISTS answers (reference TEXT PRIMARY KEY, answer BLOB) WITHOUT ROWID;"
        ))
        .expect("its tables");
        Sqlite { db }
    }
    fn run(&self, text: &str, parameters: impl rusqlite::Params) {
        self.db.prepare_cached(text).expect("a statement").execute(parameters).expect("written");
    }
}

impl Engine for Sqlite {
    fn take(&mut self, n: u64, body: &[u8]) {
        self.run("INSERT INTO messages VALUES (?, ?, ?)", (n as i64, head(n), body));
    }
    fn begin(&mut self, n: u64) {
        self.run("INSERT OR REPLACE INTO histories VALUES (?, ?)", (n as i64, HISTORY));
    }
    fn end(&mut self, n: u64, old_answer: Option<u64>) {
        self.db.execute_batch("BEGIN").expect("begun");
        self.run("DELETE FROM messages WHERE id = ?", [n as i64]);
        self.run("DELETE FROM histories WHERE id = ?", [n as i64]);
        self.run("INSERT INTO answers VALUES (?, ?)", (format!("reference-{n:016}"), ANSWER));
        if let Some(old) = old_answer {
            self.run("DELETE FROM answers WHERE reference = ?", [format!("reference-{old:016}")]);
        }
        self.db.execute_batch("COMMIT").expect("written");
    }
    fn count(&self) -> u64 {
        let text = "SELECT count(length(body)) FROM messages";
        self.db.query_row(text, [], |row| row.get::<_, i64>(0)).expect("a count") as u64
    }
}

const MESSAGES: TableDefinition<u64, &[u8]> = TableDefinition::new("messages");
const BODIES: TableDefinition<u64, &[u8]> = TableDefinition::new("bodies");
const HISTORIES: TableDefinition<u64, &[u8]> = TableDefinition::new("histories");
const ANSWERS: TableDefinition<&str, &[u8]> = TableDefinition::new("answers");

/// Without a sync, a commit of redb does not survive a crash of the process. So `redb` syncs every hundredth
/// commit, which is a weaker guarantee than that of the other engines.
struct Redb {
    db: redb::Database,
    sync: bool,
    commits: u64,
}

impl Redb {
    fn open(folder: &Path, sync: bool) -> Self {
        let db = redb::Database::create(folder.join("db")).expect("opens");
        let write = db.begin_write().expect("begun");
        write.open_table(MESSAGES).expect("a table");
        write.open_table(BODIES).expect("a table");
        write.open_table(HISTORIES).expect("a table");
        write.open_table(ANSWERS).expect("a table");
        write.commit().expect("written");
        Redb { db, sync, commits: 0 }
    }
    fn change(&mut self, change: impl FnOnce(&redb::WriteTransaction)) {
        let mut write = self.db.begin_write().expect("begun");
        self.commits += 1;
        if !self.sync && !self.commits.is_multiple_of(100) {
            write.set_durability(redb::Durability::None).expect("set");
        }
        change(&write);
        write.commit().expect("written");
    }
}

impl Engine for Redb {
    fn take(&mut self, n: u64, body: &[u8]) {
        self.change(|write| {
            write.open_table(MESSAGES).expect("a table").insert(n, &head(n)[..]).expect("put");
            write.open_table(BODIES).expect("a table").insert(n, body).expect("put");
        });
    }
    fn begin(&mut self, n: u64) {
        self.change(|write| {
            write.open_table(HISTORIES).expect("a table").insert(n, &HISTORY[..]).expect("put");
        });
    }
    fn end(&mut self, n: u64, old_answer: Option<u64>) {
        self.change(|write| {
            write.open_table(MESSAGES).expect("a table").remove(n).expect("gone");
            write.open_table(BODIES).expect("a table").remove(n).expect("gone");
            write.open_table(HISTORIES).expect("a table").remove(n).expect("gone");
            let mut answers = write.open_table(ANSWERS).expect("a table");
            answers.insert(&format!("reference-{n:016}")[..], &ANSWER[..]).expect("put");
            if let Some(old) = old_answer {
                answers.remove(&format!("reference-{old:016}")[..]).expect("gone");
            }
        });
    }
    fn count(&self) -> u64 {
        let read = self.db.begin_read().expect("begun");
        let table = read.open_table(BODIES).expect("a table");
        let readable = table.iter().expect("all").map(|item| item.is_ok()).filter(|ok| *ok).count() as u64;
        readable.min(table.len().expect("a count"))
    }
}
