//! Many days in a row, and one day made smaller while its rule still breaks.

use crate::day::{Report, play};
use crate::mutation::Mutation;
use crate::plan::{Plan, PlanKind};
use crate::site::Size;
use crate::speeds::Speeds;

/// Days that were played, and those that broke a rule.
pub struct SearchSummary {
    /// Days that were played to the end, the broken one counted in.
    pub days: u64,
    /// Events of all.
    pub events: u64,
    /// Requests of all.
    pub requests: usize,
    /// Days on which a rule broke.
    pub broken: u64,
}

/// Which days are played.
pub struct SearchOptions {
    /// How many at most.
    pub days: u64,
    /// The seed of the first.
    pub seed: u64,
    /// The size of the site.
    pub size: Size,
    /// A guard that is taken out.
    pub mutation: Option<Mutation>,
    /// LIMIT is judged while the core is not settled, too.
    pub strict: bool,
    /// Asks take of their owner's processor.
    pub charge_request_cpu: bool,
    /// How fast workers are.
    pub speeds: Speeds,
    /// How days are drawn.
    pub kind: PlanKind,
}

/// Plays days, each to its first broken rule; `told` of each as it ends, says whether the search goes on.
pub fn search(of: &SearchOptions, mut told: impl FnMut(&Report) -> bool) -> SearchSummary {
    let mut summary = SearchSummary { days: 0, events: 0, requests: 0, broken: 0 };
    for day in 0..of.days {
        let drawn = of.kind.draw(of.seed.wrapping_add(day), of.size, of.mutation);
        let plan =
            Plan { strict: of.strict, charge_request_cpu: of.charge_request_cpu, speeds: of.speeds, ..drawn };
        let report = play(&plan, true, false);
        summary.days += 1;
        summary.events += report.events;
        summary.requests += report.requests;
        summary.broken += u64::from(!report.breaches.is_empty());
        if !told(&report) {
            break;
        }
    }
    summary
}

/// Leaves troubles out one by one, and the end of the day, as long as the same rule breaks. None where no rule breaks.
pub fn shrink(plan: &Plan, mut told: impl FnMut(&str)) -> Option<(Plan, Report)> {
    let mut last = play(plan, true, false);
    let rule = last.breaches.first()?.rule;
    let mut plan = plan.clone();
    let mut try_one = |smaller: Plan, plan: &mut Plan, what: &str| {
        let report = play(&smaller, true, false);
        let same = report.breaches.first().is_some_and(|b| b.rule == rule);
        told(&format!("without {what}: {}", if same { "breaks still" } else { "holds" }));
        if same {
            (*plan, last) = (smaller, report);
        }
        same
    };
    if plan.final_fault.is_some() {
        let smaller = Plan { final_fault: None, ..plan.clone() };
        try_one(smaller, &mut plan, "its end");
    }
    let mut at = 0;
    while at < plan.faults.len() {
        let mut smaller = plan.clone();
        let left_out = smaller.faults.remove(at);
        if !try_one(
            smaller,
            &mut plan,
            &format!("{} at {} ms", left_out.kind.name(), left_out.at / crate::MS),
        ) {
            at += 1;
        }
    }
    Some((plan, last))
}
