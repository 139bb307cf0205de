//! Why owners decided as they did, in words.

use millpost_scheduler::{Nanos, Reason, RequestDecision};

use crate::story::Parts;

fn ms(nanos: Nanos) -> f64 {
    nanos as f64 / 1e6
}

/// Any reason.
pub fn reason(reason: &Reason) -> String {
    match reason {
        Reason::Request { who, ask, why } => format!("ask {ask} of {who}: {}", because(why).1),
        Reason::InstanceTarget { service, need, live, held, queued, wait } => {
            want(service, *need, *live, *held, *queued, *wait)
        }
        Reason::SurplusInstance { instance, need, live } => spare(instance, *need, *live),
        Reason::DeadInstance { instance, failing } => dead(instance, *failing),
    }
}

/// How many instances are wanted.
pub fn want(service: &str, need: u32, live: usize, held: usize, queued: usize, wait: Nanos) -> String {
    let wait = ms(wait);
    format!(
        "wants {need} of {service}: {live} are there or start, {held} permits out, {queued} wait, {wait:.1} ms to wait"
    )
}

/// An instance is not needed.
pub fn spare(instance: &str, need: u32, live: usize) -> String {
    format!("lets {instance} go: {need} of its function are needed, {live} are there")
}

/// An instance is dead.
pub fn dead(instance: &str, failing: bool) -> String {
    let why = if failing { "tries fail one after the other" } else { "it refuses connections" };
    format!("finds {instance} dead: {why}")
}

/// What became of an ask: in one word, in words, and for programs.
pub fn because(why: &RequestDecision) -> (&'static str, String, Parts) {
    match why {
        RequestDecision::Granted { instance, out, most, failed_there, waited } => {
            let there = if *failed_there { ", where it has failed before: no other has a slot" } else { "" };
            let when = if *waited { "a slot comes free: " } else { "a slot is free: " };
            let say = format!("{when}granted {instance}, {out} of {most} out{there}");
            let parts = vec![
                ("instance", instance.into()),
                ("out", (*out as u64).into()),
                ("most", u64::from(*most).into()),
            ];
            ("slot", say, parts)
        }
        RequestDecision::Duplicate => ("known", "it is known here already".to_owned(), Parts::new()),
        RequestDecision::Queued { ahead, wait, open, coming, awaiting_instances: unheard } => {
            let say = if *unheard {
                format!("waits: no instance is known here, word of one may be on its way; {ahead} before it")
            } else {
                format!(
                    "waits: no slot is free, {ahead} before it, {open} instances work and {coming} start; {:.1} ms expected",
                    ms(*wait)
                )
            };
            let parts = vec![
                ("ahead", (*ahead as u64).into()),
                ("wait_ms", ms(*wait).into()),
                ("open", (*open as u64).into()),
                ("coming", (*coming as u64).into()),
            ];
            ("queued", say, parts)
        }
        RequestDecision::RetrySuppressed { chance, drawn, instance } => {
            let at = instance.as_ref().map_or("by the mean of all".to_owned(), |i| format!("at {i}"));
            let say = format!("thinned out: goes with p = {chance:.3} {at}, and {drawn:.3} was drawn");
            ("thinned", say, vec![("p", (*chance).into()), ("drawn", (*drawn).into())])
        }
        RequestDecision::BudgetSpent { requests, repeats, most } => {
            let say = format!(
                "budget of further tries spent: {repeats} to {requests} requests in the window, {most:.1} may be"
            );
            (
                "spent",
                say,
                vec![
                    ("requests", (*requests).into()),
                    ("repeats", (*repeats).into()),
                    ("most", (*most).into()),
                ],
            )
        }
        RequestDecision::DeadlineUnreachable { wait, left } => {
            let say = format!("no slot in time: {:.1} ms to wait, {:.1} ms left", ms(*wait), ms(*left));
            ("hopeless", say, vec![("wait_ms", ms(*wait).into()), ("left_ms", ms(*left).into())])
        }
        RequestDecision::WouldMissTarget { wait, takes, left } => {
            let say = format!(
                "turned away, as its answer would be late: {:.1} ms to wait and {:.1} ms to run, {:.1} ms to its aim",
                ms(*wait),
                ms(*takes),
                ms(*left)
            );
            (
                "too late",
                say,
                vec![
                    ("wait_ms", ms(*wait).into()),
                    ("takes_ms", ms(*takes).into()),
                    ("left_ms", ms(*left).into()),
                ],
            )
        }
        RequestDecision::QueueFull { queued } => {
            ("long", format!("too many wait: {queued}"), vec![("queued", (*queued as u64).into())])
        }
        RequestDecision::DeadlinePassed => {
            ("overdue", "its deadline has come while it waited".to_owned(), Parts::new())
        }
        RequestDecision::UnknownFunction => {
            ("unknown", "the function is not known here".to_owned(), Parts::new())
        }
    }
}
