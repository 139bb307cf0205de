//! Whole simulated days, recorded and played again: what each process has decided is decided again, to the bit.

use std::collections::BTreeMap;

use millpost_replay::check::{Check, Rule};
use millpost_replay::lines::{Lines, Which};
use millpost_replay::play::{Event, How, Played, play_so};
use millpost_scheduler::recording::Input;
use millpost_scheduler::{FlowStep, TraceEvent};
use millpost_simulator::day::{Report, play, play_recorded};
use millpost_simulator::plan::Plan;
use millpost_simulator::record::Recordings;
use millpost_simulator::site::Size;

/// A day and its lines, by process.
fn recorded(plan: &Plan) -> (Report, Vec<(String, String)>) {
    let (records, kept) = Recordings::in_memory();
    let report = play_recorded(plan, false, true, Some(records));
    let kept = kept.take().into_iter();
    (report, kept.map(|(of, lines)| (of, String::from_utf8(lines).expect("text"))).collect())
}

/// What clients were told, by the ids of their tries.
type Answers = BTreeMap<String, u16>;

fn played(text: &str) -> (Played, Answers) {
    let (mut checks, mut asked, mut answers) = (Vec::new(), BTreeMap::new(), Answers::new());
    let mut lines = Lines::new(text.as_bytes(), Which::default());
    let played = play_so(&mut lines, &How::default(), |event| {
        match event {
            Event::Begins { .. } => {
                checks.push(Check::default());
                asked.clear();
            }
            Event::Coordinator(step) => {
                checks.last_mut().expect("a life").see(&step);
                match (step.trail, step.next) {
                    (Some(TraceEvent::Received { p, attempt, .. }), _) => {
                        drop(asked.insert(*p, attempt.to_string()))
                    }
                    (Some(TraceEvent::Rejected { attempt, status }), _) => {
                        answers.insert(attempt.to_string(), *status);
                    }
                    _ => {}
                }
                let p = match step.input {
                    Input::RequestPermit { of, .. } => *of,
                    _ => step.trail.and_then(TraceEvent::of),
                };
                if let (Some(FlowStep::Respond(told)), Some(p)) = (step.next, p) {
                    let status = told.as_ref().map_or_else(|refusal| refusal.answer().0, |status| *status);
                    let id = asked.get(&p).expect("it was read");
                    assert_eq!(answers.insert(id.clone(), status), None, "{id} is answered once");
                }
            }
            _ => {}
        }
        Ok(())
    });
    for check in &checks {
        assert!(Rule::ALL.iter().all(|rule| check.count(*rule) == 0), "{:?}", check.breaches());
    }
    (played.expect("it plays"), answers)
}

/// A quiet day, and two with troubles, lives that end and new stewards.
#[yare::parameterized(
    quiet = { Plan::quiet(5, Size::Small) },
    troubled = { Plan::draw(7, Size::Small, None) },
    killed = { Plan::draw(42, Size::Small, None) },
)]
fn a_day_is_decided_again_to_the_bit(plan: Plan) {
    let (report, all) = recorded(&plan);
    assert_eq!(report.digest, play(&plan, false, false).digest, "to be recorded changes nothing");
    let (mut sum, mut answers) = (0, Answers::new());
    for (of, text) in &all {
        let (played, told) = played(text);
        assert_eq!(played.unlike, [], "{of}");
        // The last input of a life has no line after it that could tell of its outputs.
        assert!(played.same > 0 || played.inputs < 3, "{of}: {played:?}");
        sum += played.same;
        answers.extend(told);
    }
    assert!(sum > 40_000 && answers.len() >= report.served, "{sum}, {}", answers.len());
    // Every answer that a client has heard is the one that its stall decided on.
    let heard = report.trace.iter().filter_map(|line| {
        let (id, status) = line.split_once(" request ")?.1.split_once(" is answered with ")?;
        status.parse::<u16>().ok().filter(|status| *status > 1).map(|status| (id, status))
    });
    let (mut count, mut other) = (0, 0);
    for (id, status) in heard {
        count += 1;
        other += usize::from(answers.get(id) != Some(&status));
    }
    assert!(count > 5_000 && other == 0, "{other} of {count}");
}

#[test]
fn one_input_that_was_otherwise_shows_where_its_decisions_do() {
    let (_, all) = recorded(&Plan::quiet(5, Size::Small));
    let (_, text) = all.iter().find(|(of, _)| of.ends_with("/stall")).expect("a stall");
    let lines: Vec<&str> = text.lines().collect();
    // A client's wish is told otherwise: its first ask shows it.
    let at = lines.iter().position(|l| l.contains(r#""in":"request""#)).expect("a request");
    let end = lines[at].find(",\"#\"").expect("a checksum");
    let changed = lines[at][..end].replacen(r#""target":"#, r#""target":1"#, 1) + "}";
    let changed = millpost_protocol::frame::sealed(changed);
    let other = [&lines[..at], &[&changed], &lines[at + 1..]].concat();
    let (played, _) = played(&other.join("\n"));
    assert_eq!(played.unlike.len(), 1);
    assert_eq!(played.unlike[0].lines, (at + 2, at + 2), "{played:?}");
}
