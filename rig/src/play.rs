//! Plays a plan: starts dispatchers, partners, discovery and clients, has things go wrong on time, and samples.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use millpost_standins::audit::{Heard, Recorder, Verdict};
use millpost_standins::client::{Clients, Seen};
use millpost_standins::discovery::{Discovery, line};
use millpost_standins::node::{Node, Spec};
use millpost_standins::partner::Partners;
use millpost_standins::peers::{Path as Way, Relay};
use millpost_standins::plan::{Dispatchers, Fault, Plan, Target, What};
use serde::Serialize;
use tokio::time::sleep;

use crate::proc::{self, Deal, Reading};

/// A process that has not ended so long after SIGTERM is killed.
const TERM: Duration = Duration::from_millis(3_700);
/// After the last arrival all is given its time, and this much more.
const AFTER: Duration = Duration::from_millis(700);
const SAMPLE: Duration = Duration::from_millis(250);

/// One moment of a run; rates are per second over the time since the sample before.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// Seconds since the load began.
    pub at: f64,
    pub offered: f64,
    pub taken: f64,
    pub refused: f64,
    /// Tries to which nothing was answered, or no connection came up.
    pub unanswered: f64,
    pub delivered: f64,
    pub ended_otherwise: f64,
    /// Taken on and not over.
    pub held: u64,
    /// Calls that are out.
    pub out: u64,
    /// From the intended send to the 202, milliseconds.
    pub taken_p50: f64,
    pub taken_p99: f64,
    /// From the first handing in to the delivery, milliseconds.
    pub delivered_p50: f64,
    pub delivered_p99: f64,
    pub broken: u64,
    /// Share of a core, by dispatcher.
    pub cores: Vec<f64>,
    /// Megabytes resident, by dispatcher.
    pub resident: Vec<f64>,
    /// Share of its cores that the rig itself used.
    pub rig: f64,
}

/// A histogram's figures, milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

impl Spread {
    fn of(h: &Histogram<u64>) -> Self {
        let at = |q| h.value_at_quantile(q) as f64 / 1e3;
        Spread {
            count: h.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            most: h.max() as f64 / 1e3,
        }
    }
}

/// What clients saw, over the whole run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ClientCounts {
    pub offered: u64,
    pub taken: u64,
    pub refused: u64,
    pub unconnected: u64,
    pub unanswered: u64,
    pub given_up: u64,
    pub dropped_by_rig: u64,
    pub rig_lag_ms: f64,
}

/// A dispatcher's costs while the load ran.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    pub dispatcher: usize,
    pub core: Option<usize>,
    pub cpu_us_a_message: f64,
    pub bytes_written_a_message: f64,
    pub share_of_core: f64,
    pub most_resident_mb: f64,
    pub descriptors: usize,
}

/// A run's results.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub plan: String,
    pub seed: u64,
    pub seconds: f64,
    pub cores: usize,
    pub dispatchers: usize,
    pub verdict: Verdict,
    pub clients: ClientCounts,
    pub taken_ms: Spread,
    pub delivered_ms: Spread,
    pub costs: Vec<Cost>,
    pub partner_connections: u64,
    pub over_limit: u64,
    /// Calls to what was down: silent, or shut.
    pub to_what_is_down: u64,
    /// Between dispatchers, and their bytes.
    pub datagrams: (u64, u64),
    /// From the first arrival to the end, seconds.
    pub lasted: f64,
    /// How dispatchers ended after the run, where they were told to: exit codes, none for one that did not end.
    pub ends: Vec<Option<i32>>,
    /// Highest share of its own cores that the rig used in a sample, and whether it stood in its own way.
    pub rig_busy: f64,
    pub rig_bound: bool,
    pub faults: Vec<(f64, f64, String)>,
    pub samples: Vec<Sample>,
}

/// A dispatcher that can be stopped and started from several tasks.
#[derive(Clone)]
struct Slot(Arc<Mutex<Node>>);

impl Slot {
    fn node(&self) -> MutexGuard<'_, Node> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a run is watched and where its logs go.
pub struct Watch<'a> {
    pub progress: &'a (dyn Fn(&Sample, &Verdict) + Sync),
    pub logs: Option<&'a Path>,
    /// Dispatchers are told to end after the run, and it is looked how they do.
    pub ends: bool,
}

/// Messages whose verdict is open at a time, about.
pub fn room(plan: &Plan) -> usize {
    let longest = plan.service.classes.iter().map(|c| c.deadline_ms).max().unwrap_or(0) as f64 / 1e3;
    let open = plan.load.per_second * (longest + 4.0).min(plan.seconds + 1.0);
    (open as usize).min(1 << 20)
}

/// Plays a plan with this dispatcher.
///
/// # Errors
/// Where a stand-in finds no port.
pub async fn play(plan: &Plan, program: &Path, deal: &Deal, watch: &Watch<'_>) -> std::io::Result<Outcome> {
    let recorder = Recorder::new(plan.service.clone());
    recorder.audit().reserve(room(plan));
    let partners = Arc::new(Partners::start(plan, recorder.clone()).await?);
    let of = plan.dispatchers.count;
    let relay =
        if plan.dispatchers.peers && of > 1 { Some(Arc::new(Relay::seeded(of, plan.seed)?)) } else { None };
    let agents: Arc<Vec<Discovery>> =
        Arc::new((0..of).map(|node| Discovery::audited(recorder.clone(), node)).collect());
    let weight = plan.partners.per_second;
    let lines =
        |node: usize, endpoints: &[usize], status: &'static str| -> Vec<(String, String, usize, bool)> {
            let takes = status == "in_service";
            let of_one = |n: &usize| {
                let e = &partners.endpoints()[*n];
                let text = line(&e.name, partners.address(node, *n), e.dest, status, weight);
                (e.name.clone(), text, *n, takes)
            };
            endpoints.iter().map(of_one).collect()
        };
    let every: Vec<usize> = (0..partners.endpoints().len()).collect();
    let Dispatchers { durability, tier, .. } = &plan.dispatchers;
    let settings = format!("[store]\ndurability = \"{durability}\"\n[tier]\n{tier}\n");
    let mut slots = Vec::new();
    for (number, agent) in agents.iter().enumerate() {
        agent.list(lines(number, &every, "in_service"));
        let mut node = tokio::task::block_in_place(|| {
            Node::launch(&Spec {
                program,
                service: &plan.service,
                number,
                of,
                discovery: agent.server.address,
                known: agent.known(),
                store: None,
                settings: Some(&settings.replace("{node}", &number.to_string())),
                file_bytes: None,
                peers: relay.as_deref(),
                log: watch.logs.map(|folder| folder.join(format!("dispatcher-{number}.log"))),
                console: false,
            })
        });
        if plan.dispatchers.one_core {
            proc::hold(node.pid(), &[deal.dispatchers[number]]);
        }
        tokio::task::block_in_place(|| node.ready());
        slots.push(Slot(Arc::new(Mutex::new(node))));
    }
    let addresses: Vec<_> = slots.iter().map(|slot| slot.node().address).collect();
    let clients = Clients::new(plan, recorder.clone(), &addresses);
    let began = recorder.now();
    let before: Vec<Reading> = slots.iter().map(|slot| proc::read(slot.node().pid())).collect();
    let faults: Vec<_> = plan.faults.iter().map(|f| f.get_ref().clone()).enumerate().collect();
    let mut running = Vec::new();
    for (number, fault) in faults.iter().cloned() {
        let (partners, agents, slots) = (partners.clone(), agents.clone(), slots.clone());
        let relay = relay.clone();
        let (recorder, clients) = (recorder.clone(), clients.clone());
        let pin = plan.dispatchers.one_core.then(|| deal.dispatchers.clone());
        let lines_of: Vec<Vec<(String, String, usize, bool)>> = (0..of)
            .map(|node| {
                let struck: Vec<usize> = partners.struck(fault.target).iter().map(|e| e.number).collect();
                lines(node, &struck, "in_service")
            })
            .collect();
        running.push(tokio::spawn(async move {
            sleep(Duration::from_secs_f64(fault.at)).await;
            let on = On { partners, agents, slots, recorder, clients, lines: lines_of, pin, relay };
            strike(number, &fault, &on).await;
        }));
    }
    let load = tokio::spawn(clients.clone().run(
        plan.load.per_second,
        Duration::from_secs_f64(plan.seconds),
        plan.seed,
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let sampler = Sampler::new(recorder.clone(), clients.clone(), slots.clone(), began, deal.rig.len());
    let samples = sample(sampler, stop.clone(), watch);
    let drive = async {
        let _ = load.await;
        for fault in running {
            let _ = fault.await;
        }
        // The last messages' time runs out, or they end before.
        let longest = plan.service.classes.iter().map(|c| c.deadline_ms).max().unwrap_or(0);
        let until = recorder.now() + Duration::from_millis(longest) + AFTER;
        let over = |v: &Verdict| v.delivered + v.dead + v.bounced + v.told_after_delivery >= v.taken;
        while recorder.now() < until {
            sleep(Duration::from_millis(50)).await;
            recorder.settle();
            if over(recorder.audit().verdict()) {
                break;
            }
        }
        // A second answer, or a second effect, would come soon.
        sleep(AFTER).await;
        stop.store(true, Ordering::Relaxed);
    };
    let (sampler, ()) = tokio::join!(samples, drive);
    let after: Vec<Reading> = slots.iter().map(|slot| proc::read(slot.node().pid())).collect();
    let verdict = recorder.close();
    let ends = if watch.ends { tokio::task::block_in_place(|| end(&slots)) } else { Vec::new() };
    partners.close();
    let spent = (recorder.now() - began).as_secs_f64();
    let per = |n: f64| if verdict.taken > 0 { n / (verdict.taken as f64 / of as f64) } else { 0.0 };
    let costs = before.iter().zip(&after).enumerate().map(|(n, (a, b))| {
        // A process that was started again counts from its start.
        let cpu = b.cpu_ns.checked_sub(a.cpu_ns).unwrap_or(b.cpu_ns) as f64;
        let written = b.written.checked_sub(a.written).unwrap_or(b.written) as f64;
        Cost {
            dispatcher: n,
            core: plan.dispatchers.one_core.then(|| deal.dispatchers[n]),
            cpu_us_a_message: per(cpu / 1e3),
            bytes_written_a_message: per(written),
            share_of_core: cpu / 1e9 / spent,
            most_resident_mb: b.most_resident as f64 / 1e6,
            descriptors: b.descriptors,
        }
    });
    let seen = counts(&clients.seen);
    let rig_busy = sampler.samples.iter().map(|s| s.rig).fold(0.0, f64::max);
    Ok(Outcome {
        plan: plan.name.clone(),
        seed: plan.seed,
        seconds: plan.seconds,
        cores: deal.cores,
        dispatchers: of,
        clients: seen,
        taken_ms: Spread::of(&sampler.taken),
        delivered_ms: Spread::of(&sampler.delivered),
        costs: costs.collect(),
        partner_connections: partners.counts().connections.load(Ordering::Relaxed),
        over_limit: partners.counts().over_limit.load(Ordering::Relaxed),
        to_what_is_down: partners.counts().down.load(Ordering::Relaxed),
        datagrams: relay.as_ref().map_or((0, 0), |relay| {
            (relay.carried.load(Ordering::Relaxed), relay.bytes.load(Ordering::Relaxed))
        }),
        lasted: spent,
        ends,
        rig_busy,
        rig_bound: rig_busy > 0.9 || seen.dropped_by_rig > 0 || seen.rig_lag_ms > 20.0,
        faults: faults
            .iter()
            .map(|(_, f)| (f.at, f.lasts, format!("{:?} at {}", f.what, f.target)))
            .collect(),
        samples: sampler.samples,
        verdict,
    })
}

fn counts(seen: &Seen) -> ClientCounts {
    let of = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
    ClientCounts {
        offered: of(&seen.offered),
        taken: of(&seen.taken),
        refused: of(&seen.refused),
        unconnected: of(&seen.unconnected),
        unanswered: of(&seen.unanswered),
        given_up: of(&seen.given_up),
        dropped_by_rig: of(&seen.dropped),
        rig_lag_ms: of(&seen.lag_us) as f64 / 1e3,
    }
}

/// Tells all dispatchers to end; the exit codes of those that did so in time.
fn end(slots: &[Slot]) -> Vec<Option<i32>> {
    slots.iter().for_each(|slot| slot.node().terminate());
    let until = std::time::Instant::now() + TERM;
    let ended = |slot: &Slot| loop {
        if let Some(status) = slot.node().ended() {
            return status.code();
        }
        if std::time::Instant::now() > until {
            return None;
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    slots.iter().map(ended).collect()
}

/// All that a fault may strike.
struct On {
    partners: Arc<Partners>,
    agents: Arc<Vec<Discovery>>,
    slots: Vec<Slot>,
    recorder: Recorder,
    clients: Arc<Clients>,
    /// The lines of the list that it changes, by dispatcher.
    lines: Vec<Vec<(String, String, usize, bool)>>,
    /// The core of each dispatcher.
    pin: Option<Vec<usize>>,
    relay: Option<Arc<Relay>>,
}

/// Health calls of a crowd.
const CROWD: u32 = 1_000;
/// New connections go on coming for so long after a planned end was told.
const FRONT_LEAVES: Duration = Duration::from_millis(300);

async fn strike(number: usize, fault: &Fault, on: &On) {
    let On { partners, agents, slots, recorder, clients, lines, pin, relay } = on;
    let lasts = Duration::from_secs_f64(fault.lasts);
    let list = |status: &str| {
        for (agent, lines) in agents.iter().zip(lines) {
            let takes = status == "in_service";
            let changed = lines.iter().cloned();
            agent.list(changed.map(|(name, text, n, _)| {
                (name, text.replace("\"in_service\"", &format!("\"{status}\"")), n, takes)
            }));
        }
    };
    match (fault.what, fault.target) {
        (What::Drain | What::Gone, _) => {
            list(if fault.what == What::Drain { "terminating" } else { "terminated" });
            sleep(lasts).await;
            list("in_service");
        }
        (What::Mute | What::Late | What::Unreadable, _) => {
            for agent in agents.iter() {
                match fault.what {
                    What::Mute => agent.silence(),
                    What::Late => agent.delay(lasts),
                    _ => agent.spoil(true),
                }
            }
            sleep(lasts).await;
            for agent in agents.iter() {
                agent.speak();
                agent.spoil(false);
            }
        }
        (what, Target::Peers(from, to)) => {
            let Some(relay) = relay else { return };
            let path = match what {
                What::Lossy => Way { loss: fault.share, ..Way::default() },
                What::Repeated => Way { repeated: fault.share, ..Way::default() },
                What::Delayed => {
                    let most = Duration::from_millis(fault.wait_ms.max(0) as u64);
                    Way { delay: [Duration::ZERO, most], ..Way::default() }
                }
                _ => Way::CUT,
            };
            let all = || 0..slots.len();
            let is = |n: usize, named: Option<usize>| named.is_none_or(|named| named == n);
            let pairs =
                || all().flat_map(|a| all().map(move |b| (a, b))).filter(|(a, b)| is(*a, from) && is(*b, to));
            pairs().for_each(|(a, b)| relay.set(a, b, path));
            sleep(lasts).await;
            pairs().for_each(|(a, b)| relay.set(a, b, Way::default()));
        }
        (What::Pause, Target::Dispatcher(node)) => {
            slots[node].node().signal("STOP");
            sleep(lasts).await;
            slots[node].node().signal("CONT");
        }
        (What::Crowd, Target::Dispatcher(node)) => clients.crowd(node, CROWD, lasts).await,
        (What::Kill | What::Terminate | What::Lose, Target::Dispatcher(node)) => {
            let (slot, what, recorder) = (slots[node].clone(), fault.what, recorder.clone());
            let core = pin.as_ref().map(|cores| cores[node]);
            let front = clients.clone();
            if fault.what == What::Terminate {
                let front = clients.clone();
                tokio::spawn(async move {
                    sleep(FRONT_LEAVES).await;
                    front.planned(node);
                });
            }
            let restart = move || {
                let began = std::time::Instant::now();
                recorder.hear(Heard::NodeDown { node });
                let mut process = slot.node();
                if what == What::Terminate {
                    process.terminate();
                    while process.ended().is_none() && began.elapsed() < TERM {
                        std::thread::sleep(Duration::from_millis(5));
                    }
                }
                process.kill();
                if what == What::Lose {
                    process.lose_folder();
                }
                std::thread::sleep(lasts.saturating_sub(began.elapsed()));
                process.relaunch();
                if let Some(core) = core {
                    proc::hold(process.pid(), &[core]);
                }
                process.ready();
                recorder.hear(Heard::NodeReady { node });
                if what == What::Terminate {
                    front.ready(node);
                }
            };
            let _ = tokio::task::spawn_blocking(restart).await;
        }
        _ => {
            partners.begin(number, fault, recorder.now() + lasts);
            sleep(lasts).await;
            partners.end(number, fault);
        }
    }
}

struct Sampler {
    recorder: Recorder,
    clients: Arc<Clients>,
    slots: Vec<Slot>,
    began: Duration,
    rig_cores: usize,
    taken: Histogram<u64>,
    delivered: Histogram<u64>,
    samples: Vec<Sample>,
    last: (Duration, ClientCounts, Verdict),
    readings: Vec<(u32, Reading)>,
    own: Reading,
}

/// An empty histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    // Microseconds up to ten minutes, three digits: bounds that are always valid.
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds")
}

impl Sampler {
    fn new(
        recorder: Recorder,
        clients: Arc<Clients>,
        slots: Vec<Slot>,
        began: Duration,
        rig_cores: usize,
    ) -> Self {
        Sampler {
            last: (recorder.now(), ClientCounts::default(), Verdict::default()),
            readings: Vec::new(),
            own: proc::read(std::process::id()),
            recorder,
            clients,
            slots,
            began,
            rig_cores,
            taken: histogram(),
            delivered: histogram(),
            samples: Vec::new(),
        }
    }

    fn take(&mut self) -> (Sample, Verdict) {
        self.recorder.settle();
        let now = self.recorder.now();
        let seen = counts(&self.clients.seen);
        let (verdict, delivered) = {
            let mut audit = self.recorder.audit();
            (audit.verdict().clone(), audit.take_latencies())
        };
        let latencies = {
            let mut all = self.clients.seen.latencies.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *all)
        };
        let (mut taken_now, mut delivered_now) = (histogram(), histogram());
        latencies.iter().for_each(|us| taken_now.saturating_record(u64::from(*us).max(1)));
        delivered.iter().for_each(|d| delivered_now.saturating_record((d.as_micros() as u64).max(1)));
        let _ = (self.taken.add(&taken_now), self.delivered.add(&delivered_now));
        let (then, seen_then, told_then) = &self.last;
        let passed = (now - *then).as_secs_f64().max(1e-3);
        let rate = |a: u64, b: u64| b.saturating_sub(a) as f64 / passed;
        let ended = |v: &Verdict| v.dead + v.bounced;
        // A dispatcher that is being started again is not waited for.
        let read = |slot: &Slot| {
            slot.0.try_lock().map_or((0, Reading::default()), |n| (n.pid(), proc::read(n.pid())))
        };
        let readings: Vec<_> = self.slots.iter().map(read).collect();
        let cores = readings.iter().enumerate().map(|(n, (pid, r))| match self.readings.get(n) {
            Some((before, b)) if before == pid => rate(b.cpu_ns, r.cpu_ns) / 1e9,
            _ => 0.0,
        });
        let own = proc::read(std::process::id());
        let ms = |h: &Histogram<u64>, q| if h.is_empty() { 0.0 } else { h.value_at_quantile(q) as f64 / 1e3 };
        let sample = Sample {
            at: (now.saturating_sub(self.began)).as_secs_f64(),
            offered: rate(seen_then.offered, seen.offered),
            taken: rate(told_then.taken, verdict.taken),
            refused: rate(told_then.refused, verdict.refused),
            unanswered: rate(
                seen_then.unanswered + seen_then.unconnected,
                seen.unanswered + seen.unconnected,
            ),
            delivered: rate(told_then.delivered, verdict.delivered),
            ended_otherwise: rate(ended(told_then), ended(&verdict)),
            held: verdict.taken.saturating_sub(verdict.delivered + ended(&verdict)),
            out: self.recorder.audit().calls_out(),
            taken_p50: ms(&taken_now, 0.5),
            taken_p99: ms(&taken_now, 0.99),
            delivered_p50: ms(&delivered_now, 0.5),
            delivered_p99: ms(&delivered_now, 0.99),
            broken: verdict.rules_broken(),
            cores: cores.collect(),
            resident: readings.iter().map(|(_, r)| r.resident as f64 / 1e6).collect(),
            rig: rate(self.own.cpu_ns, own.cpu_ns) / 1e9 / self.rig_cores.max(1) as f64,
        };
        (self.readings, self.own) = (readings, own);
        self.last = (now, seen, verdict.clone());
        self.samples.push(sample.clone());
        (sample, verdict)
    }
}

async fn sample(mut sampler: Sampler, stop: Arc<AtomicBool>, watch: &Watch<'_>) -> Sampler {
    while !stop.load(Ordering::Relaxed) {
        sleep(SAMPLE).await;
        let (sample, verdict) = sampler.take();
        (watch.progress)(&sample, &verdict);
    }
    sampler
}
