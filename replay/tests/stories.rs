//! What is told of requests, versions, instances and the duty of a simulated day, beside what the day itself shows.

use std::collections::BTreeMap;
use std::path::Path;

use millpost_protocol::frame::sealed;
use millpost_replay::clocks::By;
use millpost_replay::duty::duty;
use millpost_replay::explain::explain;
use millpost_replay::instance::instance;
use millpost_replay::lines::{Entry, Lines, Which};
use millpost_replay::report::report;
use millpost_replay::story::{Part, Story};
use millpost_replay::survey::Day;
use millpost_replay::version::version;
use millpost_simulator::day::{Report, play_recorded};
use millpost_simulator::plan::{FaultKind, Plan};
use millpost_simulator::record::Recordings;
use millpost_simulator::site::Size;
use millpost_simulator::{MS, SECOND};

fn recorded(plan: &Plan) -> (Report, tempfile::TempDir) {
    let folder = tempfile::tempdir().expect("a folder");
    let records = Recordings::folder(folder.path()).expect("a folder");
    let report = play_recorded(plan, false, true, Some(records.clone()));
    records.end().expect("written");
    (report, folder)
}

/// A day on which answers get lost, so that requests go again, are thinned out and spend their budget.
fn lossy() -> Plan {
    let lost = FaultKind::AnswerLost { share: 0.3, lasts: 6 * SECOND };
    Plan::quiet(3, Size::Small).with(7 * SECOND, lost).with(9 * SECOND, FaultKind::ConfigChange)
}

fn kinds(story: &Story) -> Vec<&'static str> {
    story.steps.iter().map(|step| step.kind).collect()
}

fn whole(story: &Story, kind: &str, part: &str) -> Option<u64> {
    let step = story.steps.iter().find(|step| step.kind == kind)?;
    step.parts.iter().find_map(|(key, of)| match of {
        Part::Whole(n) if *key == part => Some(*n),
        _ => None,
    })
}

/// The id of a request that was turned down for this reason.
fn denied(folder: &Path, why: &str) -> Option<String> {
    let files = std::fs::read_dir(folder).expect("listed").map(|of| of.expect("a file").path());
    files.filter(|path| path.to_string_lossy().contains("stall")).find_map(|path| {
        let text = std::fs::read_to_string(path).expect("text");
        let (denied, reason) = (r#""in":"denied""#, format!(r#""y":"{why}""#));
        let line = text.lines().find(|line| line.contains(denied) && line.contains(&reason))?;
        let p = line.split(r#""p":"#).nth(1)?.split(',').next()?;
        let (request, p) = (r#""in":"request""#, format!(r#""p":{p},"#));
        let line = text.lines().find(|line| line.contains(request) && line.contains(&p))?;
        Some(line.split(r#""id":""#).nth(1)?.split('"').next()?.to_owned())
    })
}

#[test]
fn requests_are_told_as_the_day_went() {
    let (report, folder) = recorded(&lossy());
    let answers = report.trace.iter().filter_map(|line| {
        let (_, said) = line.trim_start().split_once(" request ")?;
        let (id, status) = said.split_once(" is answered with ")?;
        Some((id.to_owned(), status.parse::<u64>().ok()?))
    });
    let answers: BTreeMap<String, u64> = answers.collect();
    // One whose retry was thinned out, one that was refused, one that got no answer, and one that was served.
    let mut wanted: Vec<String> = Vec::new();
    wanted.extend(["skip", "full"].iter().filter_map(|why| denied(folder.path(), why)));
    wanted.extend(
        [502, 200].iter().filter_map(|s| answers.iter().find(|(_, is)| *is == s)).map(|(id, _)| id.clone()),
    );
    assert_eq!(wanted.len(), 4);
    let mut rules: BTreeMap<&str, usize> = BTreeMap::new();
    for id in wanted {
        let (day, stories) = explain(folder.path(), &Which::default(), &id, None).expect("it plays");
        let [story] = &stories[..] else { panic!("{id}: {}", stories.len()) };
        let text = story.text(&day.sources);
        assert_eq!(whole(story, "answered", "status"), answers.get(&id).copied(), "{text}");
        assert_eq!((story.missing.len(), story.sorted()[0].0.kind), (0, "read"), "{text}");
        // Each ask was decided on by an owner, and each call has an end.
        let count = |all: &[&str]| story.steps.iter().filter(|step| all.contains(&step.kind)).count();
        let decided = ["slot", "thinned", "spent", "hopeless", "too late", "long", "overdue", "unknown"];
        assert!(count(&decided) >= count(&["wants"]), "{text}");
        assert_eq!(count(&["calls"]), count(&["call"]), "{text}");
        for step in &story.steps {
            *rules.entry(step.kind).or_default() += 1;
            let aligned = story.clocks.of(step.node);
            assert!(aligned.error.is_some_and(|error| error < 2 * MS), "{aligned:?}");
        }
        let json = story.json(&day.sources);
        assert!(
            millpost_protocol::line::read(&json).is_ok() && json.contains(r#""step":"answered""#),
            "{json}"
        );
    }
    assert!(rules.contains_key("thinned") && rules.contains_key("slot"), "{rules:?}");
    assert!(rules.contains_key("too late") || rules.contains_key("hopeless"), "{rules:?}");
    let (_, none) = explain(folder.path(), &Which::default(), "nobody", None).expect("it is read");
    assert!(none.is_empty());
}

#[test]
fn versions_instances_and_the_duty_are_told_as_the_day_went() {
    let (report, folder) = recorded(&lossy());
    let changed = report.propagation.last().expect("a change");
    let (day, story) = version(folder.path(), &Which::default(), changed.0, None).expect("it plays");
    let times = |kind: &str| story.steps.iter().filter(|s| s.kind == kind).map(|s| s.at).collect::<Vec<_>>();
    let (has, acts) = (times("has"), times("acts"));
    assert_eq!((has.len(), acts.len(), story.well), (6, 6, true), "{}", story.text(&day.sources));
    let said = format!("revision {} is acknowledged", changed.0);
    let acknowledged = report.trace.iter().find(|line| line.contains(&said)).expect("a word");
    let at: f64 = acknowledged.split_whitespace().next().expect("a time").parse().expect("a number");
    let last = (*acts.iter().max().expect("one") as f64 / 1e6 - at).max(0.0);
    let expected = changed.1.expect("it came round") as f64 / 1e6;
    // What the records show is no later than what the simulator saw from outside, on clocks that were aligned.
    assert!(last < expected + 2.0, "{last} {expected}");

    let (_, duties) = duty(folder.path(), &Which::default(), None).expect("it plays");
    assert!(duties.well && kinds(&duties) == ["begins", "silent"], "{:?}", duties.ends);

    // The first instance that was started and stopped.
    let steward = std::fs::read_dir(folder.path()).expect("listed").map(|of| of.expect("a file").path());
    let steward = steward.max_by_key(|path| {
        (path.to_string_lossy().contains("bourse"), path.metadata().map_or(0, |m| m.len()))
    });
    let text = std::fs::read_to_string(steward.expect("one")).expect("text");
    let stopped = text.lines().find(|line| line.contains(r#""in":"stopped""#)).expect("a stop");
    let id = stopped.split(r#""i":""#).nth(1).and_then(|rest| rest.split('"').next()).expect("an id");
    let (day, story) = instance(folder.path(), &Which::default(), id, None).expect("it plays");
    let mut sorted = story.steps.clone();
    sorted.sort_by_key(|step| story.clocks.of(step.node).at(step.at));
    let order: Vec<_> = sorted.iter().map(|step| step.kind).collect();
    let place = |kind: &str| {
        order.iter().position(|k| *k == kind).unwrap_or_else(|| panic!("{}", story.text(&day.sources)))
    };
    let places = ["wants", "start", "started", "seen", "spare", "retired", "stop", "stopped"].map(place);
    assert!(places.is_sorted(), "{}", story.text(&day.sources));
    let (_, nobody) = instance(folder.path(), &Which::default(), "i-none", None).expect("it plays");
    assert!(!nobody.well && nobody.steps.is_empty());
}

/// Puts a process's clock so far ahead.
fn shift(path: &Path, ahead: u64) {
    let text = std::fs::read_to_string(path).expect("text");
    let mut lines = Lines::new(text.as_bytes(), Which::default());
    let mut out: Vec<String> = text.lines().take(1).map(str::to_owned).collect();
    while let Some(read) = lines.read().expect("a line") {
        let line = match read.entry {
            Entry::Coordinator(mut entry) => {
                entry.at += ahead;
                entry.write()
            }
            Entry::Scaler(mut entry) => {
                entry.at += ahead;
                entry.write()
            }
            Entry::Round(mut entry) => {
                entry.at += ahead;
                entry.write()
            }
        };
        out.push(sealed(line));
    }
    std::fs::write(path, out.join("\n")).expect("written");
}

#[test]
fn clocks_that_are_seconds_apart_are_brought_together_within_the_error_that_is_told() {
    let (_, folder) = recorded(&Plan::quiet(5, Size::Small));
    let mut ahead = BTreeMap::new();
    let mut paths: Vec<_> =
        std::fs::read_dir(folder.path()).expect("listed").map(|of| of.expect("a file").path()).collect();
    paths.sort();
    for (n, path) in paths.iter().enumerate() {
        let seconds = (n as u64 * 7) % 11 * SECOND;
        shift(path, seconds);
        let name = path.file_stem().expect("a name").to_string_lossy().replace('.', "/");
        ahead.insert(name, seconds as i64);
    }
    let day = Day::survey(folder.path(), Which::default(), None, |_, _| {}).expect("it is read");
    let to = day.sources.iter().position(|s| s.of == "edge-0-1/stall").expect("a stall");
    let clocks = day.clocks.align((to, 0), &day.sources);
    let mut held = 0;
    for (n, source) in day.sources.iter().enumerate() {
        let aligned = clocks.of((n, 0));
        let truth = ahead["edge-0-1/stall"] - ahead[&source.of];
        match aligned.by {
            By::Mail | By::Itself => {
                held += 1;
                let error = aligned.error.expect("it is bounded");
                assert!(
                    (aligned.offset - truth).unsigned_abs() <= error,
                    "{}: {aligned:?} {truth}",
                    source.of
                );
                assert!(error < 2 * MS, "{}: {aligned:?}", source.of);
            }
            // Control machines that were never the steward say nothing.
            _ => assert!(source.of.ends_with("/bourse")),
        }
    }
    assert!(held >= 13, "{held}");
}

#[test]
fn a_report_is_one_page_that_shows_the_day() {
    let (day, folder) = recorded(&lossy());
    let found = report(folder.path(), &Which::default(), 4, None).expect("it plays");
    assert!(found.is_well(), "{}", found.text());
    // What the day's own clients heard.
    let answered = |status: fn(u64) -> bool| {
        let said = |line: &String| line.split_once(" is answered with ")?.1.parse::<u64>().ok();
        day.trace.iter().filter_map(said).filter(|s| status(*s)).count()
    };
    let told = |kind: usize| found.of.spans.iter().map(|span| span.answers[kind]).sum::<usize>();
    assert!(told(0) >= answered(|s| s == 200) && answered(|s| s == 200) > 4_000);
    assert!(told(2) >= answered(|s| s == 502 || s == 504));
    assert!(found.of.spans.iter().map(|span| span.repeats).sum::<usize>() > 20, "{}", found.text());
    assert!(found.of.functions.values().any(|f| f.samples.values().any(|s| s.used > 0.1 && s.used <= 1.0)));
    assert_eq!((found.of.busiest(4).len(), found.of.terms.len()), (4, 1));
    let revisions: Vec<u64> = found.of.on.iter().map(|on| on.revision).collect();
    assert_eq!(revisions.len(), 12, "each of six stalls acts on two: {revisions:?}");
    let page = found.html();
    for title in
        ["Answers", "Configurations by proxy", "The steward&#39;s duty", "Instances", "Permits that are out"]
    {
        assert!(page.contains(&format!("<h2>{title} ")), "{title}");
    }
    assert_eq!((page.matches("<svg").count(), page.matches("</svg>").count()), (9, 9));
    assert!(["src=", "href=", "http", "NaN", "<script"].iter().all(|word| !page.contains(word)));
    assert!(millpost_protocol::line::read(&found.json()).is_ok());
}
