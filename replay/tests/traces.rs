//! Traces that are kept: each plays, breaks no rule, can be cut, and never makes the tool panic, however spoilt.

use std::path::{Path, PathBuf};

use millpost::RandomSource;
use millpost_agent::Effect;
use millpost_protocol::PeerMessage;
use millpost_replay::Error;
use millpost_replay::check::{Check, Rule};
use millpost_replay::cut::{Part, cut};
use millpost_replay::diff::{diff, outputs};
use millpost_replay::feeds::{Feeds, Must};
use millpost_replay::lines::{Entry, Lines, Which};
use millpost_replay::play::{Event, Pass, Step, play};
use millpost_replay::table::{Rounds, Table};
use millpost_scheduler::recording::{Entry as DeskEntry, Input};
use millpost_scheduler::{Action, Coordinator, Instance, MS, SECOND, SchedulerLimits};

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces").join(name)
}

fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).expect("a trace")
}

/// All checks of a play, one for each life.
fn checked(
    text: &[u8],
    which: Which,
    mut turn: impl FnMut(&mut Check, Step<'_>),
) -> Result<Vec<Check>, Error> {
    let mut checks = Vec::new();
    play(&mut Lines::new(text, which), None, |event| {
        match event {
            Event::Begins { .. } => checks.push(Check::default()),
            Event::Coordinator(step) => turn(checks.last_mut().expect("a life"), step),
            Event::Scaler(_) | Event::Round(_) => {}
        }
        Ok(())
    })?;
    Ok(checks)
}

fn plainly(check: &mut Check, step: Step<'_>) {
    check.see(&step);
}

#[yare::parameterized(
    calm = { "calm.jsonl", None, 1, 1 },
    burst = { "burst.jsonl", None, 1, 1 },
    failures = { "failures.jsonl", None, 1, 1 },
    crashes = { "crashes.jsonl", None, 1, 1 },
    twice = { "twice.jsonl", None, 1, 0 },
    one_of_three = { "ends.log", Some("edge-1"), 1, 1 },
    ended_and_back = { "ends.log", Some("edge-2/stall"), 2, 1 },
    third = { "ends.log", Some("edge-3"), 1, 1 },
)]
fn rules_are_kept(name: &str, node: Option<&str>, lives: usize, granted: usize) {
    let which = Which { node: node.map(str::to_owned), lenient: false, all: false };
    let mut tables = Vec::new();
    let checks = checked(text(name).as_bytes(), which, |check, step| {
        if matches!(step.input, Input::New { .. }) {
            tables.push(Table::new(None));
        }
        tables.last_mut().into_iter().for_each(|table| table.see(&step));
        check.see(&step);
    });
    let checks = checks.expect("it plays");
    assert_eq!(checks.len(), lives);
    assert_eq!(checks[lives - 1].out(), 0, "all that was granted is given back, but by one that was ended");
    for (check, table) in checks.iter().zip(tables) {
        assert_eq!(check.breaches(), []);
        let (rows, sum) = table.rows();
        assert!(sum.granted >= granted && !rows.is_empty());
        assert!(sum.granted + sum.refused.iter().sum::<usize>() <= sum.asks + sum.mail);
        assert!(sum.wait(50) <= sum.wait(99));
    }
}

#[test]
fn a_scalers_term_plays() {
    let text = text("term.jsonl");
    let mut rounds = Rounds::new(None);
    let played = play(&mut Lines::new(text.as_bytes(), Which::default()), None, |event| {
        if let Event::Scaler(turn) = event {
            rounds.see(&turn);
        }
        Ok(())
    });
    assert_eq!(played.expect("it plays").inputs, text.lines().count());
    let rounds = rounds.rounds();
    let starts: usize = rounds.iter().map(|(_, round)| round.starts[0]).sum();
    assert!(starts >= 2, "{rounds:?}");
    assert_eq!(rounds.first().map(|(second, _)| *second), Some(2));
}

#[test]
fn a_porters_life_plays_and_what_must_not_be_is_seen() {
    let text = text("porter.jsonl");
    let (mut feeds, mut spoilt) = (Feeds::default(), Feeds::default());
    let mut first = None;
    let played = play(&mut Lines::new(text.as_bytes(), Which::default()), None, |event| {
        if let Event::Round(pass) = event {
            feeds.see(&pass);
            // The first that was told comes again after all the others; a feed more is opened; a note goes astray.
            let told = pass
                .outs
                .iter()
                .find(|out| matches!(out, Effect::SendToProxy(PeerMessage::Config { .. })))
                .cloned();
            let mut outs = pass.outs.to_vec();
            if pass.input == &millpost_agent::Input::Shutdown {
                let (address, note) = (([10, 0, 0, 9], 1).into(), PeerMessage::CancelRequest { id: 1 });
                outs.extend(first.clone());
                outs.push(Effect::SendToControl { feed: 900, to: address, message: note });
                for feed in 901..904 {
                    outs.push(Effect::Open { feed, address, path: "/follow", messages: vec![] });
                }
            }
            first = first.take().or(told);
            spoilt.see(&Pass { outs: &outs, ..pass });
        }
        Ok(())
    });
    assert_eq!(played.expect("it plays").inputs, text.lines().count());
    let (seconds, good) = feeds.text();
    assert!(good, "{seconds}");
    let rows = feeds.rows();
    assert!(rows.iter().any(|(_, row)| row.stand[1..] == [5, 5, 1, 2]), "{seconds}");
    assert!(rows.iter().map(|(_, row)| row.feeds[0]).sum::<usize>() > 10, "{seconds}");
    assert_eq!(Must::ALL.map(|of| spoilt.count(of)), [1, 3, 1]);
    assert!(!spoilt.text().1);
}

/// What comes of a play where something goes wrong in the machine, seen by one who watches from outside.
fn planted(name: &str, mut plant: impl FnMut(&Step<'_>) -> (Input, Vec<Action>, u64)) -> Vec<(Rule, usize)> {
    let text = text(name);
    let checks = checked(text.as_bytes(), Which::default(), |check, step| {
        let (input, outs, at) = plant(&step);
        check.see(&Step { input: &input, outs: &outs, at, ..step });
    });
    let checks = checks.expect("it plays");
    Rule::ALL.into_iter().map(|rule| (rule, checks[0].count(rule))).filter(|(_, count)| *count > 0).collect()
}

#[test]
fn a_grant_told_twice_or_for_a_stranger_is_seen() {
    let mut done = false;
    let twice = planted("calm.jsonl", |step| {
        let mut outs = step.outs.to_vec();
        let granted = outs.iter().find(|out| matches!(out, Action::Granted { .. })).cloned();
        outs.extend(granted.filter(|_| !std::mem::replace(&mut done, true)));
        (step.input.clone(), outs, step.at)
    });
    assert_eq!(twice, [(Rule::Once, 1)]);
    let stranger = planted("calm.jsonl", |step| {
        let mut outs = step.outs.to_vec();
        for out in &mut outs {
            if let Action::Granted { instance, .. } = out {
                *instance = "i-none".into();
            }
        }
        (step.input.clone(), outs, step.at)
    });
    assert_eq!(stranger.iter().map(|(rule, _)| *rule).collect::<Vec<_>>(), [Rule::Gone]);
}

/// How often `Once` is broken where each permit that goes back does so `times` times by way of the owner that it was handed to.
fn passed_on(times: usize) -> usize {
    let text = text("ends.log");
    let which = Which { node: Some("edge-1".to_owned()), ..Which::default() };
    let checks = checked(text.as_bytes(), which, |check, step| {
        let mut outs = step.outs.to_vec();
        if let Input::Finish { .. } = step.input {
            outs = outs
                .into_iter()
                .flat_map(|out| match out {
                    Action::Send { to, note: PeerMessage::ReleasePermit { id, outcome, took } } => {
                        let note = PeerMessage::ForwardRelease {
                            who: "edge-1".into(),
                            id,
                            instance: None,
                            outcome,
                            took,
                        };
                        vec![Action::Send { to, note }; times]
                    }
                    other => vec![other],
                })
                .collect();
        }
        check.see(&Step { outs: &outs, ..step });
    });
    checks.expect("it plays")[0].count(Rule::Once)
}

#[test]
fn a_permit_that_goes_back_by_way_of_a_new_owner_goes_back_once() {
    assert_eq!(passed_on(1), 0);
    assert!(passed_on(0) > 0 && passed_on(2) > 0);
}

#[test]
fn a_permit_whose_word_came_back_here_goes_back_to_nobody() {
    let text = text("ends.log");
    let which = Which { node: Some("edge-1".to_owned()), ..Which::default() };
    let mut count = 0;
    let checks = checked(text.as_bytes(), which, |check, step| {
        let mut outs = step.outs.to_vec();
        if let (Input::Finish { id, .. }, true) = (step.input, outs.len() == 1)
            && let Action::Send { to, note: PeerMessage::ReleasePermit { .. } } = outs.remove(0)
        {
            let (instance, service) = ("i".into(), "s".into());
            let notes = vec![PeerMessage::HeldPermit { id: *id, service, instance, left: 9.0 }];
            check.see(&Step {
                input: &Input::Undelivered { address: to, messages: notes },
                outs: &[],
                ..step
            });
            count += 1;
            return check.see(&Step { outs: &outs, ..step });
        }
        check.see(&step);
    });
    assert_eq!((checks.expect("it plays")[0].count(Rule::Once), count > 0), (0, true));
}

/// How often `Gone` is broken where each grant to another stall is for a stranger; `again`: the permit was there before.
fn strange_grants(again: bool) -> usize {
    let text = text("ends.log");
    let which = Which { node: Some("edge-3".to_owned()), ..Which::default() };
    let checks = checked(text.as_bytes(), which, |check, step| {
        let mut outs = step.outs.to_vec();
        for out in &mut outs {
            if let Action::Send { note: PeerMessage::Grant { instance, .. }, .. } = out {
                *instance = "i-none".into();
            }
        }
        let before = if again { Some(step.desk) } else { step.before };
        check.see(&Step { outs: &outs, before, ..step });
    });
    checks.expect("it plays")[0].count(Rule::Gone)
}

#[test]
fn a_permit_that_was_taken_in_and_is_told_again_is_not_given() {
    assert!(strange_grants(false) > 0);
    assert_eq!(strange_grants(true), 0);
}

#[test]
fn a_permit_for_what_was_let_go_or_is_full_is_seen() {
    let let_go = planted("calm.jsonl", |step| {
        let mut outs = step.outs.to_vec();
        if let Some(Action::Granted { instance, .. }) = step.outs.first() {
            let note = PeerMessage::RetireInstance { instance: instance.clone() };
            outs.insert(0, Action::NotifyController(note));
        }
        (step.input.clone(), outs, step.at)
    });
    assert_eq!(let_go.iter().map(|(rule, _)| *rule).collect::<Vec<_>>(), [Rule::Gone]);
    let fuller = planted("calm.jsonl", |step| {
        let mut input = step.input.clone();
        if let Input::Configure(specs) = &mut input {
            specs.iter_mut().for_each(|spec| spec.concurrency = 1);
        }
        (input, step.outs.to_vec(), step.at)
    });
    assert_eq!(fuller.iter().map(|(rule, _)| *rule).collect::<Vec<_>>(), [Rule::Full]);
}

#[test]
fn early_retries_and_a_spent_budget_are_seen() {
    let mut last = 0;
    let early = planted("failures.jsonl", |step| {
        // As if the retry had come with the input before it.
        let retry = matches!(step.input, Input::RequestPermit { first: false, .. });
        let at = if retry { last } else { step.at };
        last = if let Input::Finish { .. } = step.input { step.at } else { last };
        (step.input.clone(), step.outs.to_vec(), at)
    });
    assert!(early.contains(&(Rule::Doubled, early.iter().map(|(_, n)| *n).max().unwrap_or(0))), "{early:?}");
    let spent = planted("failures.jsonl", |step| {
        let mut input = step.input.clone();
        if let Input::New { terms, .. } = &mut input {
            *terms = SchedulerLimits { retry_ratio: 0.0, retry_slack: 1.0, ..terms.clone() };
        }
        (input, step.outs.to_vec(), step.at)
    });
    assert_eq!(spent.iter().map(|(rule, _)| *rule).collect::<Vec<_>>(), [Rule::Budget]);
}

#[yare::parameterized(
    burst = { "burst.jsonl" },
    failures = { "failures.jsonl" },
    twice = { "twice.jsonl" },
    term = { "term.jsonl" },
    porter = { "porter.jsonl" },
)]
fn cut_short_anywhere_it_plays_to_its_last_whole_line(name: &str) {
    let text = text(name);
    let inputs =
        |text: &[u8]| play(&mut Lines::new(text, Which::default()), None, |_| Ok(())).map(|p| p.inputs);
    for end in (0..text.len()).step_by(if text.len() > 20_000 { 997 } else { 61 }) {
        let part = &text[..end];
        match inputs(part.as_bytes()) {
            Ok(inputs) => assert_eq!(
                inputs,
                part.matches("}\n").count()
                    + usize::from(part.ends_with('}') && text[end..].starts_with('\n'))
            ),
            Err(Error::Nothing { .. }) => assert!(!part.contains('\n')),
            Err(e) => panic!("{end}: {e}"),
        }
        let whole = &text[part.rfind('\n').map_or(0, |at| at + 1)..];
        // Without its first part a line is passed over; the next one shows that it is missing.
        if end > 0 && !part.ends_with('\n') && whole.lines().count() > 2 {
            let spoilt = format!("{}{}", &text[..part.rfind('\n').map_or(0, |at| at + 1)], &text[end..]);
            let error = checked(spoilt.as_bytes(), Which::default(), plainly).expect_err("a gap");
            assert!(matches!(error, Error::Spoilt { .. }), "{error}");
        }
    }
}

/// Puts odd values into lines; whatever they are, it is an error or it plays.
#[yare::parameterized(
    failures = { "failures.jsonl", 7 },
    twice = { "twice.jsonl", 8 },
    term = { "term.jsonl", 9 },
    crashes = { "crashes.jsonl", 10 },
    porter = { "porter.jsonl", 11 },
)]
fn odd_values_are_errors_or_play(name: &str, seed: u64) {
    let text = text(name);
    let odd =
        ["9007199254740992", "-1", "0", "1e308", "0.5", "\"\"", "null", "[]", "{}", "true", "4294967295"];
    let lines: Vec<&str> = text.lines().collect();
    let mut dice = RandomSource::seeded(seed);
    let mut draw = |most: usize| ((dice.next_f64() * most as f64) as usize).min(most - 1);
    let mut errors = 0;
    for _ in 0..400 {
        let at = if draw(3) == 0 { draw(5) } else { draw(lines.len()) };
        let colons: Vec<usize> = lines[at].match_indices(':').map(|(n, _)| n + 1).collect();
        let from = colons[draw(colons.len())];
        let value = &lines[at][from..];
        let end = value.find([',', '}']).map_or(lines[at].len(), |n| from + n);
        let line = format!("{}{}{}", &lines[at][..from], odd[draw(odd.len())], &lines[at][end..]);
        // What comes long after it shows nothing new.
        let near = lines.len().min(at + 60);
        let spoilt = [&lines[..at], &[line.as_str()], &lines[(at + 1).min(near)..near]].concat().join("\n");
        for lenient in [false, true] {
            let played = checked(spoilt.as_bytes(), Which { node: None, lenient, all: false }, plainly);
            errors += usize::from(played.is_err());
        }
    }
    assert!(errors > 50, "{errors}");
}

fn outs(path: &Path) -> Vec<String> {
    let mut all = Vec::new();
    outputs(path, &Which::default(), |out| all.push(out)).expect("it plays");
    all
}

#[yare::parameterized(
    calm = { "calm.jsonl" },
    burst = { "burst.jsonl" },
    failures = { "failures.jsonl" },
    crashes = { "crashes.jsonl" },
)]
fn a_cut_plays_by_itself(name: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let whole = outs(&path(name));
    for (from, to, warm) in [(1.0, 1.5, 0.2), (0.5, 0.9, 0.0), (1.2, 9.0, 0.6), (1.5, 1.6, 9.0)] {
        let at = |s: f64| (s * SECOND as f64) as u64;
        let part = Part { life: None, from: at(from), to: at(to), warm: at(warm) };
        let (file, mut bytes) = (folder.path().join("cut.jsonl"), Vec::new());
        let cut = cut(&path(name), &Which::default(), &part, &mut bytes).expect("a cut");
        std::fs::write(&file, &bytes).expect("a file");
        let mut ends = 0;
        let checks = checked(&bytes, Which::default(), |check, step| {
            ends = ends.max(step.at);
            check.see(&step);
        });
        let checks = checks.expect("it plays");
        assert_eq!(checks[0].breaches(), []);
        assert!(ends <= part.to && cut.lines > 0);
        if warm > from {
            assert_eq!(cut.left_out, 0);
            // Nothing is missing before: what came up to the end is the same.
            let cut = outs(&file);
            assert!(!cut.is_empty() && whole.starts_with(&cut));
        } else {
            assert!(cut.left_out > 0);
            let granted = outs(&file).iter().any(|out| out.starts_with(r#"{"out":"granted""#));
            assert!(granted, "{name}: something goes on in the part");
        }
    }
}

#[test]
fn a_cut_keeps_what_is_open() {
    // An ask of another stall that waits, and one of our own that is out, both from long before.
    let part = Part { life: None, from: 13 * MS, to: 30 * MS, warm: 0 };
    let mut bytes = Vec::new();
    cut(&path("twice.jsonl"), &Which::default(), &part, &mut bytes).expect("a cut");
    let kept = String::from_utf8(bytes).expect("text");
    let kept: Vec<_> = kept.lines().collect();
    assert!(kept[0].starts_with(r#"{"in":"new","n":0,"at":0,"#));
    assert!(kept.iter().any(|line| line.contains(r#""at":10000000"#) && line.contains(r#""id":1"#)));
    assert!(kept.iter().enumerate().all(|(n, line)| line.contains(&format!(r#""n":{n},"at""#))));
}

#[test]
fn the_first_difference_is_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let other = folder.path().join("other.jsonl");
    let changed = text("failures.jsonl").replacen(r#""seed":93"#, r#""seed":94"#, 1);
    assert_ne!(changed, text("failures.jsonl"));
    std::fs::write(&other, changed).expect("a file");
    let which = Which::default();
    let found = diff(&path("failures.jsonl"), &other, &which).expect("both play").expect_err("a difference");
    assert!(found.same > 5 && found.before.len() == 3 && found.one != found.other);
    // Saved outputs are the same as played ones.
    let saved = folder.path().join("saved.outs");
    let all = outs(&path("failures.jsonl"));
    std::fs::write(&saved, all.join("\n")).expect("a file");
    assert_eq!(diff(&saved, &path("failures.jsonl"), &which).expect("both play"), Ok(all.len()));
    std::fs::write(&saved, all[..7].join("\n")).expect("a file");
    let found =
        diff(&path("failures.jsonl"), &saved, &which).expect("both play").expect_err("it ends sooner");
    assert_eq!((found.same, found.other), (7, None));
}

/// Another build, which has forgotten that a request does not go where it has failed: the first difference is where that first counts.
#[test]
fn a_planted_change_is_found_at_its_first_difference() {
    let text = text("failures.jsonl");
    let forgetful = |line: &str| match line.split_once(r#","avoid":["#) {
        Some((head, tail)) => format!("{head}{}", tail.split_once(']').expect("a list").1),
        None => line.to_owned(),
    };
    let (mut one, mut other, mut differs) = (None, None, None);
    for (n, line) in text.lines().enumerate() {
        let outs = |desk: &mut Option<Coordinator>, line: &str| {
            let entry = DeskEntry::read(line).expect("a line");
            match (desk, entry.input) {
                (desk, Input::New { me, terms, seed, first }) => {
                    *desk = Some(Coordinator::new(me, terms, seed, first));
                    Vec::new()
                }
                (Some(desk), input) => {
                    input.apply(entry.at, desk);
                    Vec::from(desk.take_actions())
                }
                (None, _) => panic!("a life begins"),
            }
        };
        if outs(&mut one, line) != outs(&mut other, &forgetful(line)) {
            differs = Some(n + 1);
            break;
        }
    }
    let differs = differs.expect("somebody would have gone where it has failed");
    let folder = tempfile::tempdir().expect("a folder");
    let changed = folder.path().join("changed.jsonl");
    std::fs::write(&changed, text.lines().map(|l| forgetful(l) + "\n").collect::<String>()).expect("a file");
    let found = diff(&path("failures.jsonl"), &changed, &Which::default()).expect("both play");
    let found = found.expect_err("a difference");
    for out in [&found.one, &found.other] {
        let out = out.as_deref().expect("an output");
        assert!(out.contains(&format!(r#""line":{differs},"#)), "{differs}: {out}");
    }
    assert_eq!(found.input.as_deref(), text.lines().nth(differs - 1));
}

#[test]
fn lives_and_nodes_are_asked_for() {
    let which = |node: Option<&str>| Which { node: node.map(str::to_owned), lenient: false, all: false };
    let part = |life| Part { life, from: 0, to: SECOND, warm: 0 };
    let of = |node, life| cut(&path("ends.log"), &which(node), &part(life), &mut Vec::new());
    assert!(matches!(of(None, None), Err(Error::Several { line: 5, .. })));
    assert!(matches!(of(Some("edge-2"), None), Err(Error::Lives { count: 2 })));
    assert!(matches!(of(Some("edge-2"), Some(3)), Err(Error::NoLife { life: 3, count: 2 })));
    assert!(matches!(of(Some("edge-9"), None), Err(Error::Nothing { .. })));
    assert!(of(Some("edge-2"), Some(2)).expect("a cut").lines > 0);
}

#[test]
fn an_instance_in_a_scout_is_told_whole() {
    let mut scouts: Vec<Instance> = Vec::new();
    checked(text("calm.jsonl").as_bytes(), Which::default(), |_, step| {
        scouts.extend(step.outs.iter().filter_map(|out| match out {
            Action::ProbeReadiness { instance, .. } => Some(instance.clone()),
            _ => None,
        }));
    })
    .expect("it plays");
    let told = outs(&path("calm.jsonl"));
    for scout in scouts {
        let told = told.iter().filter(|out| out.starts_with(r#"{"out":"scout""#));
        assert!(told.filter(|out| out.contains(scout.id.as_str())).count() >= 1);
    }
}

#[test]
fn every_kept_line_is_written_as_it_was_read() {
    for name in [
        "calm.jsonl",
        "burst.jsonl",
        "failures.jsonl",
        "crashes.jsonl",
        "term.jsonl",
        "twice.jsonl",
        "porter.jsonl",
    ] {
        let text = text(name);
        let mut lines = Lines::new(text.as_bytes(), Which::default());
        let mut of = text.lines();
        while let Some(read) = lines.read().expect("a line") {
            let again = match &read.entry {
                Entry::Coordinator(entry) => entry.write(),
                Entry::Scaler(entry) => entry.write(),
                Entry::Round(entry) => entry.write(),
            };
            assert_eq!(Some(again.as_str()), of.next());
        }
    }
}
