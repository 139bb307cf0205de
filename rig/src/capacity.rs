//! What one core carries: the highest rate of arrivals at which the 202s stay quick and no message is late, beside the
//! same for a bare forwarder, and what one message costs.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::Duration;

use millpost_standins::audit::Recorder;
use millpost_standins::client::Clients;
use millpost_standins::partner::Partners;
use millpost_standins::plan::Plan;
use serde::Serialize;

use crate::play::{self, Watch, histogram};
use crate::proc::{self, Deal};

/// The p99 of the 202 that must be kept, milliseconds.
const P99: f64 = 50.0;

const WARM_UP: f64 = 1.0;
/// A rate is carried when most of so many trials are, so that one stall of the machine decides nothing.
const TRIALS: usize = 3;

/// One trial of a rate.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    pub rate: f64,
    pub carried: bool,
    /// Why not.
    pub why: String,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub cpu_us: f64,
    pub bytes_written: f64,
    pub connections: u64,
    pub rig_busy: f64,
}

/// Results of both.
#[derive(Clone, Debug, Serialize)]
pub struct Capacity {
    pub cores: usize,
    pub destinations: usize,
    pub seconds: f64,
    pub dispatcher: f64,
    pub forwarder: f64,
    pub ratio: f64,
    pub dispatcher_trials: Vec<Trial>,
    pub forwarder_trials: Vec<Trial>,
    /// The rig's own cores were the limit, so that the rate is a lower bound.
    pub rig_bound: [bool; 2],
}

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Options {
    pub seconds: f64,
    pub destinations: usize,
    pub from: f64,
    pub body: usize,
    pub seed: u64,
    pub durability: String,
}

fn plan(o: &Options, rate: f64) -> Plan {
    let mut plan =
        Plan { name: format!("{rate:.0} a second"), seed: o.seed, seconds: o.seconds, ..Plan::default() };
    plan.dispatchers.count = 1;
    plan.dispatchers.durability = o.durability.clone();
    plan.service.slots = 1_024;
    plan.service.hold = 50_000;
    plan.service.sockets = 16_384;
    plan.service.disk_mb = 2_000.0;
    plan.service.weights = "unknown".to_owned();
    for class in &mut plan.service.classes {
        (class.aim_ms, class.deadline_ms) = (1_000, 4_000);
    }
    plan.load.per_second = rate;
    plan.load.body = [o.body, o.body];
    plan.load.retries = 0;
    // Connections are opened and caches filled first.
    plan.load.warm_up = WARM_UP.min(o.seconds / 2.0);
    plan.load.skew = 0.0;
    plan.load.answer_within_ms = 2_000;
    plan.partners.destinations = o.destinations;
    plan.partners.endpoints = 1;
    plan.partners.latency_ms = 0.0;
    plan.partners.shared = o.destinations > 256;
    plan
}

fn why(p99: f64, offered: u64, taken: u64, delivered: u64, in_time: u64) -> String {
    let mut why = Vec::new();
    if p99 > P99 {
        why.push(format!("p99 of the 202 {p99:.1} ms"));
    }
    if taken < offered {
        why.push(format!("{} not taken on", offered - taken));
    }
    if delivered < taken {
        why.push(format!("{} not delivered", taken - delivered));
    }
    if in_time < delivered {
        why.push(format!("{} late", delivered - in_time));
    }
    why.join(", ")
}

async fn dispatcher(o: &Options, rate: f64, program: &Path, deal: &Deal) -> std::io::Result<Trial> {
    let plan = plan(o, rate);
    let outcome =
        play::play(&plan, program, deal, &Watch { progress: &|_, _| {}, logs: None, ends: false }).await?;
    let (c, v) = (&outcome.clients, &outcome.verdict);
    let mut why = why(outcome.taken_ms.p99, c.offered, c.taken, v.delivered, v.in_aim);
    if v.rules_broken() > 0 {
        why = format!("{why}; {} rules broken: {:?}", v.rules_broken(), v.broken.first());
    }
    Ok(Trial {
        rate,
        carried: why.is_empty(),
        why,
        p50_ms: outcome.taken_ms.p50,
        p99_ms: outcome.taken_ms.p99,
        cpu_us: outcome.costs[0].cpu_us_a_message,
        bytes_written: outcome.costs[0].bytes_written_a_message,
        connections: outcome.partner_connections,
        rig_busy: outcome.rig_busy,
    })
}

struct Forwarder(Child);

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn forwarder(o: &Options, rate: f64, deal: &Deal) -> std::io::Result<Trial> {
    let plan = plan(o, rate);
    let recorder = Recorder::new(plan.service.clone());
    recorder.audit().reserve(play::room(&plan));
    let partners = Partners::start(&plan, recorder.clone()).await?;
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("forward").stdout(Stdio::piped());
    command.args(partners.endpoints().iter().map(|e| partners.address(0, e.number).to_string()));
    let mut child = Forwarder(command.spawn()?);
    proc::hold(child.0.id(), &[deal.dispatchers[0]]);
    let mut first = String::new();
    if let Some(out) = child.0.stdout.take() {
        BufReader::new(out).read_line(&mut first)?;
    }
    let address = first.trim().parse().map_err(|_| std::io::Error::other("the forwarder did not start"))?;
    let clients = Clients::new(&plan, recorder.clone(), &[address]);
    let (before, own) = (proc::read(child.0.id()), proc::read(std::process::id()));
    let began = std::time::Instant::now();
    clients.clone().run(rate, Duration::from_secs_f64(o.seconds), o.seed).await;
    let spent = began.elapsed().as_secs_f64();
    let (after, own_after) = (proc::read(child.0.id()), proc::read(std::process::id()));
    partners.close();
    let mut all = histogram();
    let latencies =
        std::mem::take(&mut *clients.seen.latencies.lock().map_err(|_| std::io::Error::other("lock"))?);
    latencies.iter().for_each(|us| all.saturating_record(u64::from(*us).max(1)));
    let of = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
    let (offered, taken) = (of(&clients.seen.offered), of(&clients.seen.taken));
    let verdict = recorder.audit().verdict().clone();
    let ms = |q| all.value_at_quantile(q) as f64 / 1e3;
    // It keeps no order of first answer, then delivery: what is answered was delivered.
    let why = why(ms(0.99), offered, taken, verdict.delivered.min(taken), verdict.in_aim.min(taken));
    Ok(Trial {
        rate,
        carried: why.is_empty(),
        why,
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        cpu_us: (after.cpu_ns - before.cpu_ns) as f64 / 1e3 / taken.max(1) as f64,
        bytes_written: (after.written - before.written) as f64 / taken.max(1) as f64,
        connections: of(&partners.counts().connections),
        rig_busy: (own_after.cpu_ns - own.cpu_ns) as f64 / 1e9 / spent / deal.rig.len() as f64,
    })
}

/// Raises the rate until it is not carried, then halves the gap until it is about a twentieth.
async fn search<F: Future<Output = std::io::Result<Trial>>>(
    name: &str,
    from: f64,
    mut trial: impl FnMut(f64) -> F,
) -> std::io::Result<(f64, Vec<Trial>)> {
    let (mut low, mut high, mut rate) = (0.0, f64::INFINITY, from);
    let mut all = Vec::new();
    while rate < 200_000.0 {
        let (mut yes, mut no) = (0, 0);
        while yes.max(no) <= TRIALS / 2 {
            let done = trial(rate).await?;
            eprintln!(
                "{name} {rate:>7.0}/s  {}  202 p50 {:.2} p99 {:.2} ms  {:.0} us CPU  rig {:.0} %  {}",
                if done.carried { "carried" } else { "too much" },
                done.p50_ms,
                done.p99_ms,
                done.cpu_us,
                100.0 * done.rig_busy,
                done.why
            );
            if done.carried {
                yes += 1
            } else {
                no += 1
            }
            all.push(done);
        }
        if yes > no {
            low = rate
        } else {
            high = rate
        }
        if high / low < 1.06 || high < 20.0 {
            break;
        }
        rate = if high.is_infinite() {
            low * 1.7
        } else if low == 0.0 {
            high / 2.0
        } else {
            (low * high).sqrt()
        };
    }
    Ok((low, all))
}

/// Measures both in one run.
///
/// # Errors
/// Where a process or a port can't be had.
pub async fn measure(o: &Options, program: &Path, deal: &Deal) -> std::io::Result<Capacity> {
    let (forward, forwarder_trials) = search("forwarder ", o.from, |rate| forwarder(o, rate, deal)).await?;
    let (dispatch, dispatcher_trials) =
        search("dispatcher", o.from, |rate| dispatcher(o, rate, program, deal)).await?;
    let bound = |trials: &[Trial], best: f64| trials.iter().any(|t| t.rate > best && t.rig_busy > 0.9);
    Ok(Capacity {
        cores: deal.cores,
        destinations: o.destinations,
        seconds: o.seconds,
        dispatcher: dispatch,
        forwarder: forward,
        ratio: if forward > 0.0 { dispatch / forward } else { 0.0 },
        rig_bound: [bound(&dispatcher_trials, dispatch), bound(&forwarder_trials, forward)],
        dispatcher_trials,
        forwarder_trials,
    })
}

/// What a dispatcher that counts says at its end, by part.
#[derive(Debug, serde::Deserialize)]
struct Account {
    ns: u64,
    allocations: u64,
    bytes: u64,
}

/// Builds a dispatcher that counts, plays this rate, and splits the cost of a message by part.
///
/// # Errors
/// Where it does not build, does not run, or says nothing.
pub async fn parts(o: &Options, rate: f64, folder: &Path, deal: &Deal) -> Result<String, String> {
    let target = folder.join("meter");
    let mut build = Command::new("cargo");
    build.args(["build", "--quiet", "--release", "-p", "millpost-dispatcher", "--features", "meter"]);
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    let target = std::path::absolute(&target).map_err(|e| e.to_string())?;
    build.args(["--target-dir".as_ref(), target.as_os_str()]);
    if !build.status().is_ok_and(|status| status.success()) {
        return Err("the dispatcher that counts does not build".to_owned());
    }
    let log = folder.join("dispatcher-0.log");
    let _ = std::fs::remove_file(&log);
    let watch = Watch { progress: &|_, _| {}, logs: Some(folder), ends: true };
    let program = target.join("release/millpost-dispatcher");
    let done = play::play(&plan(o, rate), &program, deal, &watch).await.map_err(|e| e.to_string())?;
    let said = std::fs::read_to_string(&log).map_err(|e| format!("{}: {e}", log.display()))?;
    let line = said.lines().find_map(|l| l.strip_prefix("meter ")).ok_or("the dispatcher did not count")?;
    let accounts: std::collections::BTreeMap<String, Account> =
        serde_json::from_str(line).map_err(|e| format!("{}: {e}", log.display()))?;
    let taken = done.verdict.taken.max(1) as f64;
    let cost = &done.costs[0];
    let known: f64 = accounts.values().map(|a| a.ns as f64 / 1e3 / taken).sum();
    let mut text = format!("one message at {rate:.0} a second, by part (counting itself costs some)\n");
    let mut row = |name: &str, us: f64, allocations: Option<f64>, bytes: Option<f64>| {
        let number = |n: Option<f64>| n.map_or("-".to_owned(), |n| format!("{n:.0}"));
        text += &format!(
            "  {name:<8} {us:>7.1} us {:>6} allocations {:>8} bytes allocated\n",
            number(allocations),
            number(bytes)
        );
    };
    for (name, a) in &accounts {
        row(
            name,
            a.ns as f64 / 1e3 / taken,
            Some(a.allocations as f64 / taken),
            Some(a.bytes as f64 / taken),
        );
    }
    row("runtime", (cost.cpu_us_a_message - known).max(0.0), None, None);
    row("all", cost.cpu_us_a_message, None, None);
    Ok(text + &format!("  {:.0} bytes written to files a message\n", cost.bytes_written_a_message))
}
