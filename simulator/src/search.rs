//! Runs many random days, and minimizes the plan of a day that violates a rule.

use crate::day::{Report, play};
use crate::mutation::Mutation;
use crate::plan::{Plan, PlanKind};
use crate::site::Size;
use crate::speeds::Speeds;

/// Totals over all simulated days.
pub struct SearchSummary {
    /// Days simulated, including those with a violation.
    pub days: u64,
    /// Events of all days.
    pub events: u64,
    /// Client requests of all days.
    pub requests: usize,
    /// Days with a rule violation.
    pub broken: u64,
}

/// Which days to simulate.
pub struct SearchOptions {
    /// Maximum number of days.
    pub days: u64,
    /// Seed of the first day; each following day uses the next seed.
    pub seed: u64,
    /// Size of the site.
    pub size: Size,
    /// The safeguard that is disabled, if any.
    pub mutation: Option<Mutation>,
    /// Checks the LIMIT rule also while the core is disturbed.
    pub strict: bool,
    /// Charges permit requests to the CPU of the owning proxy.
    pub charge_request_cpu: bool,
    /// Distribution of worker speeds.
    pub speeds: Speeds,
    /// Which kinds of faults the days contain.
    pub kind: PlanKind,
}

/// Simulates days, each up to its first rule violation. `on_report` receives each report and returns whether
/// to continue.
pub fn search(of: &SearchOptions, mut on_report: impl FnMut(&Report) -> bool) -> SearchSummary {
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
        if !on_report(&report) {
            break;
        }
    }
    summary
}

/// Minimizes a plan: removes the final fault and then single faults as long as the same rule is violated.
/// Returns `None` if the plan violates no rule.
pub fn shrink(plan: &Plan, mut on_step: impl FnMut(&str)) -> Option<(Plan, Report)> {
    let mut last = play(plan, true, false);
    let rule = last.breaches.first()?.rule;
    let mut plan = plan.clone();
    let mut try_one = |smaller: Plan, plan: &mut Plan, what: &str| {
        let report = play(&smaller, true, false);
        let same = report.breaches.first().is_some_and(|b| b.rule == rule);
        on_step(&format!("without {what}: {}", if same { "still violated" } else { "not violated" }));
        if same {
            (*plan, last) = (smaller, report);
        }
        same
    };
    if plan.final_fault.is_some() {
        let smaller = Plan { final_fault: None, ..plan.clone() };
        try_one(smaller, &mut plan, "the final fault");
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
