//! Many folders, read side by side: what each dispatcher acted on and when, what is missing, and what must not be.
//!
//! Kept bound: no more than [`TAKINGS`] messages are held at once, whatever the logs hold; where there are more, the logs are
//! read again for each further part of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use millpost_tier::versions::{ActiveVersions, KINDS, Kind};
use serde::Serialize;

use crate::Nanos;
use crate::align::{Ahead, Clocks};
use crate::entry::{End, Entry, Head};
use crate::judge::{Breach, Rule, Watch};
use crate::log::segments;
use crate::read::{Names, Trouble, folder};

/// Messages that are compared at once.
pub const TAKINGS: u64 = 4_000_000;
/// The least that a message that was taken on takes in a log, bytes.
const TAKING: u64 = 14;
/// Breaches that are kept of each rule and dispatcher.
const KEPT: usize = 20;
/// Messages with two owners that are looked into.
const LOOKED_INTO: usize = 200;
/// Moves that are kept of each dispatcher and kind.
const MOVES: usize = 2_000;

/// A move to another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Move {
    /// Of what.
    pub kind: Kind,
    /// To what.
    pub digest: u32,
    /// When, by the dispatcher's clock.
    pub at: Nanos,
    /// Its agent's number of the list.
    pub index: u64,
}

/// A time out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Outage {
    /// Behind on this.
    pub kind: Kind,
    /// From when.
    pub from: Nanos,
    /// Until when; the end of the log where it did not come back.
    pub until: Option<Nanos>,
}

/// One dispatcher's log.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Log {
    /// Where it is.
    pub folder: PathBuf,
    /// Whose it is, by number; none where nothing could be read.
    pub number: Option<u16>,
    /// And by name.
    pub name: String,
    /// Of how many dispatchers, as it was configured last.
    pub of: u16,
    /// Lives that are in it.
    pub lives: u32,
    /// Records.
    pub records: u64,
    /// Decisions among them.
    pub decisions: u64,
    /// Calls among these.
    pub attempts: u64,
    /// Bytes.
    pub bytes: u64,
    /// The first and the last record, by the dispatcher's clock.
    pub span: (Nanos, Nanos),
    /// Moves from one version to another.
    pub moves: Vec<Move>,
    /// Times out of service.
    pub outages: Vec<Outage>,
    /// What is missing, or can't be read.
    pub troubles: Vec<Trouble>,
}

/// How a version went round.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// Of what.
    pub kind: Kind,
    /// Which.
    pub digest: u32,
    /// Who had it first, and when, by the first dispatcher's clock.
    pub first: (u16, Nanos),
    /// Who had it last of those who had it at all.
    pub last: (u16, Nanos),
    /// How many had it.
    pub dispatchers: usize,
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Audit {
    /// The logs, by the dispatchers' numbers.
    pub logs: Vec<Log>,
    /// Configured dispatchers without a log.
    pub missing: Vec<u16>,
    /// Breaches by rule.
    pub counts: BTreeMap<Rule, u64>,
    /// Some of each.
    pub breaches: Vec<Breach>,
    /// How far clocks are ahead of the first one's. Whose can't be told is not in it.
    pub clocks: BTreeMap<u16, Ahead>,
    /// How versions went round.
    pub spreads: Vec<Spread>,
}

impl Audit {
    /// Something is missing, beside what a crash cuts off.
    pub fn has_gaps(&self) -> bool {
        !self.missing.is_empty() || self.logs.iter().any(|log| log.troubles.iter().any(|t| t.gap))
    }
    /// A dispatcher's time by the first one's clock.
    pub fn aligned(&self, who: u16, at: Nanos) -> Nanos {
        aligned(&self.clocks, who, at)
    }
}

fn aligned(clocks: &BTreeMap<u16, Ahead>, who: u16, at: Nanos) -> Nanos {
    at.saturating_add_signed(-clocks.get(&who).map_or(0, |ahead| ahead.by))
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Taking {
    message: u64,
    who: u16,
}

#[derive(Default)]
struct Found {
    logs: Vec<Log>,
    clocks: Clocks,
    watched: Vec<(BTreeMap<Rule, u64>, Vec<Breach>)>,
    takings: Vec<Taking>,
}

/// How far an audit is.
#[derive(Debug, Default)]
pub struct Progress {
    /// Folders in all, counted once for each reading.
    pub all: AtomicUsize,
    /// Folders that were read.
    pub done: AtomicUsize,
    /// Records that were read.
    pub records: AtomicU64,
}

/// Audits the logs in these folders, on so many threads.
pub fn audit(folders: &[PathBuf], threads: usize, progress: &Progress) -> Audit {
    let bytes: u64 = folders.iter().flat_map(|folder| segments(folder).unwrap_or_default()).map(size).sum();
    let parts = (bytes / TAKING).div_ceil(TAKINGS).max(1);
    progress.all.store(folders.len() * parts as usize, Ordering::Relaxed);
    let mut found = Found::default();
    let mut twice = BTreeSet::new();
    for part in 0..parts {
        let some = each(folders, threads, |path, found: &mut Found| {
            read(path, (part, parts), found, progress);
            progress.done.fetch_add(1, Ordering::Relaxed);
        });
        for some in some {
            found.logs.extend(some.logs);
            found.clocks.join(some.clocks);
            found.watched.extend(some.watched);
            found.takings.extend(some.takings);
        }
        found.takings.sort_unstable();
        let pairs = found
            .takings
            .windows(2)
            .filter(|two| two[0].message == two[1].message && two[0].who != two[1].who);
        twice.extend(pairs.map(|two| two[0].message));
        found.takings.clear();
    }
    let Found { mut logs, clocks, watched, .. } = found;
    logs.sort_by(|a, b| (a.number, &a.folder).cmp(&(b.number, &b.folder)));
    let mut audit = Audit { clocks: clocks.ahead(), ..Audit::default() };
    for (counts, breaches) in watched {
        counts.into_iter().for_each(|(rule, count)| *audit.counts.entry(rule).or_default() += count);
        audit.breaches.extend(breaches);
    }
    owners(folders, threads, twice, &mut audit);
    let known: BTreeSet<u16> = logs.iter().filter_map(|log| log.number).collect();
    let of = logs.iter().map(|log| log.of).max().unwrap_or(0);
    audit.missing = (0..of).filter(|number| !known.contains(number)).collect();
    audit.spreads = spreads(&logs, &audit.clocks);
    audit.logs = logs;
    let clocks = &audit.clocks;
    audit.breaches.sort_by_key(|breach| (aligned(clocks, breach.by, breach.at), breach.by));
    audit
}

fn size((_, path): (u64, PathBuf)) -> u64 {
    path.metadata().map_or(0, |data| data.len())
}

/// Each folder on one of the threads; what each thread found.
fn each<T: Default + Send>(
    folders: &[PathBuf],
    threads: usize,
    work: impl Fn(&Path, &mut T) + Sync,
) -> Vec<T> {
    let (next, all) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, folders.len().max(1)) {
            scope.spawn(|| {
                let mut found = T::default();
                while let Some(folder) = folders.get(next.fetch_add(1, Ordering::Relaxed)) {
                    work(folder, &mut found);
                }
                all.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(found);
            });
        }
    });
    all.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn read(path: &Path, (part, parts): (u64, u64), found: &mut Found, progress: &Progress) {
    let mut log = Log { folder: path.to_owned(), ..Log::default() };
    let (mut watch, mut last, first_part) = (Watch::new(KEPT), None::<ActiveVersions>, part == 0);
    let (clocks, takings) = (&mut found.clocks, &mut found.takings);
    let (head, troubles) = folder(path, |head, at, entry, names| {
        let who = head.author.number;
        let Some(entry) = entry else {
            if first_part {
                watch.begins(head);
            }
            log.lives += u32::from(head.begins || log.lives == 0);
            return;
        };
        if let Entry::Taken { message, .. } = entry {
            let message = u64::from_le_bytes(*message);
            if message % parts == part {
                takings.push(Taking { message, who });
            }
        }
        if !first_part {
            return;
        }
        log.records += 1;
        log.decisions += u64::from(entry.is_decision());
        log.attempts += u64::from(matches!(entry, Entry::Attempt { .. }));
        log.span = if log.records == 1 { (at, at) } else { (log.span.0.min(at), log.span.1.max(at)) };
        match entry {
            Entry::Beat { epoch, beat } => clocks.beat(who, *epoch, *beat, at),
            Entry::Heard { peer, epoch, beat } => clocks.heard(who, *peer, *epoch, *beat, at),
            Entry::Service(Some(kind)) => {
                let open = log.outages.last().is_some_and(|outage| outage.until.is_none());
                if !open {
                    log.outages.push(Outage { kind: *kind, from: at, until: None });
                }
            }
            Entry::Service(None) | Entry::Ends => {
                log.outages.iter_mut().filter(|o| o.until.is_none()).for_each(|o| o.until = Some(at));
            }
            Entry::Standing(standing) => {
                moves(&mut log.moves, last.as_ref(), standing, at);
                last = Some(**standing);
            }
            _ => {}
        }
        watch.see(head, at, entry, names);
    });
    if !first_part {
        return;
    }
    progress.records.fetch_add(log.records, Ordering::Relaxed);
    if let Some(Head { author, .. }) = head {
        (log.number, log.name, log.of) = (Some(author.number), author.name, author.of);
    }
    log.bytes = segments(path).unwrap_or_default().into_iter().map(size).sum();
    log.troubles = troubles;
    found.logs.push(log);
    found.watched.push((watch.counts, watch.breaches));
}

fn moves(moves: &mut Vec<Move>, last: Option<&ActiveVersions>, standing: &ActiveVersions, at: Nanos) {
    for kind in KINDS {
        let digest = standing.version(kind).digest;
        let moved = last.is_none_or(|last| last.version(kind).digest != digest);
        if moved && moves.len() < MOVES * KINDS.len() {
            moves.push(Move { kind, digest, at, index: standing.index });
        }
    }
}

/// A version that several have: who had it first, and who last. Who moves to it once more is of another time round.
fn spreads(logs: &[Log], clocks: &BTreeMap<u16, Ahead>) -> Vec<Spread> {
    let mut all: BTreeMap<(Kind, u32), Vec<(Nanos, u16)>> = BTreeMap::new();
    for log in logs {
        let Some(who) = log.number else { continue };
        for moved in &log.moves {
            let at = aligned(clocks, who, moved.at);
            all.entry((moved.kind, moved.digest)).or_default().push((at, who));
        }
    }
    let mut spreads = Vec::new();
    for ((kind, digest), mut moves) in all {
        moves.sort_unstable();
        let mut round: BTreeMap<u16, Nanos> = BTreeMap::new();
        let mut over = |round: &mut BTreeMap<u16, Nanos>| {
            let first = round.iter().min_by_key(|(_, at)| **at).map(|(who, at)| (*who, *at));
            let last = round.iter().max_by_key(|(_, at)| **at).map(|(who, at)| (*who, *at));
            if let (Some(first), Some(last)) = (first, last) {
                spreads.push(Spread { kind, digest, first, last, dispatchers: round.len() });
            }
            round.clear();
        };
        for (at, who) in moves {
            if round.contains_key(&who) {
                over(&mut round);
            }
            round.insert(who, at);
        }
        over(&mut round);
    }
    spreads.sort_by_key(|spread| (spread.first.1, spread.kind));
    spreads
}

/// Messages that two dispatchers took on, though the first had not told the client to go elsewhere.
fn owners(folders: &[PathBuf], threads: usize, twice: BTreeSet<u64>, audit: &mut Audit) {
    if twice.is_empty() {
        return;
    }
    let looked: BTreeSet<u64> = twice.iter().take(LOOKED_INTO).copied().collect();
    type Lives = HashMap<u64, Vec<(u16, Nanos, Option<ActiveVersions>, Option<(End, Nanos)>)>>;
    let found = each(folders, threads, |path, found: &mut Lives| {
        let _ = folder(path, |head, at, entry, names| match entry {
            Some(Entry::Taken { message, standing }) => {
                let message = u64::from_le_bytes(*message);
                if looked.contains(&message) {
                    let on = names.standing(*standing).copied();
                    found.entry(message).or_default().push((head.author.number, at, on, None));
                }
            }
            Some(Entry::Ended { message, end, .. }) => {
                let lives = found.get_mut(&names.message(*message));
                let own = lives.and_then(|lives| lives.iter_mut().rfind(|life| life.0 == head.author.number));
                if let Some(life) = own {
                    life.3 = Some((*end, at));
                }
            }
            _ => {}
        });
    });
    let mut all = Lives::new();
    for found in found {
        found.into_iter().for_each(|(message, lives)| all.entry(message).or_default().extend(lives));
    }
    for (message, mut lives) in all {
        lives.sort_by_key(|(who, at, ..)| aligned(&audit.clocks, *who, *at));
        for two in lives.windows(2) {
            let ((first, _, _, end), (second, at, on, _)) = (&two[0], &two[1]);
            let within: i64 =
                [first, second].iter().filter_map(|who| audit.clocks.get(who)).map(|a| a.within).sum();
            let later =
                aligned(&audit.clocks, *second, *at).saturating_add_signed(within).saturating_add(1_000_000);
            let released = end.is_some_and(|(end, at)| {
                end != End::Delivered && aligned(&audit.clocks, *first, at) <= later
            });
            if first != second && !released {
                *audit.counts.entry(Rule::Owner).or_default() += 1;
                let what = match end {
                    Some((end, _)) => {
                        format!("{first} had taken it on before, and it ended there as {end:?}")
                    }
                    None => format!("{first} had taken it on before, and it has not ended there"),
                };
                let (by, at, message, standing) = (*second, *at, Some(message), *on);
                audit.breaches.push(Breach { rule: Rule::Owner, by, at, message, what, standing });
            }
        }
    }
}

/// Something that was decided on a message.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// By which dispatcher.
    pub by: u16,
    /// When, by its clock, and by the first one's.
    pub at: Nanos,
    /// See there.
    pub aligned: Nanos,
    /// What.
    pub what: String,
    /// On which standing.
    pub standing: Option<ActiveVersions>,
}

/// All that was decided on a message, in its order; and what the logs do not say.
pub fn explain(folders: &[PathBuf], threads: usize, message: u64) -> (Vec<Step>, Vec<Trouble>) {
    type Some = (Vec<Step>, Vec<Trouble>, Clocks);
    let found = each(folders, threads, |path, (steps, troubles, clocks): &mut Some| {
        let (_, trouble) = folder(path, |head, at, entry, names| {
            let Some(entry) = entry else { return };
            match entry {
                Entry::Beat { epoch, beat } => clocks.beat(head.author.number, *epoch, *beat, at),
                Entry::Heard { peer, epoch, beat } => {
                    clocks.heard(head.author.number, *peer, *epoch, *beat, at)
                }
                _ => {}
            }
            if let Some((what, standing)) = about(entry, names, message) {
                let standing = names.standing(standing).copied();
                steps.push(Step { by: head.author.number, at, aligned: at, what, standing });
            }
        });
        troubles.extend(trouble);
    });
    let (mut steps, mut troubles, mut clocks) = Some::default();
    for (some, trouble, clock) in found {
        steps.extend(some);
        troubles.extend(trouble);
        clocks.join(clock);
    }
    let clocks = clocks.ahead();
    steps.iter_mut().for_each(|step| step.aligned = aligned(&clocks, step.by, step.at));
    steps.sort_by_key(|step| (step.aligned, step.by));
    (steps, troubles)
}

/// What a record says of a message, and on which standing.
fn about(entry: &Entry, names: &Names, message: u64) -> Option<(String, u32)> {
    let bytes = message.to_le_bytes();
    match entry {
        Entry::Taken { message, standing } if *message == bytes => Some(("taken on".to_owned(), *standing)),
        Entry::Refused { message, standing, wait_ms } if *message == bytes => {
            Some((format!("not taken on, to come again in {wait_ms} ms"), *standing))
        }
        Entry::Attempt { message: number, endpoint, standing, ago } if names.message(*number) == message => {
            let (place, dest) = names.endpoint(*endpoint);
            let what =
                format!("a call to endpoint {place:016x} of destination {dest}, decided {ago} ms before");
            Some((what, *standing))
        }
        Entry::Ended { message: number, end, standing } if names.message(*number) == message => {
            Some((format!("ended: {end:?}"), *standing))
        }
        _ => None,
    }
}
