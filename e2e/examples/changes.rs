//! Measures what changes of a long configuration cost: `changes ROUTES CHANGES`. Puts a configuration whose names do not
//! compress and then changes one route of it again and again, with three controllers on the disk below the temporary
//! folder. Prints times of acknowledgements, what each controller's disk holds, and the time until it is read back after
//! a kill of all controllers.

use std::path::Path;
use std::time::{Duration, Instant};

use millpost_e2e::{TIMEOUT, TestCluster, library};
use millpost_standins::cluster::fleet::Process;
use millpost_standins::cluster::message::{exchange, request};
use millpost_standins::cluster::settings::{Bounds, Class, Configuration, Function, Kind, Role, Route};

/// Changes over which times are summed up.
const GROUP: usize = 100;
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A name of 30 characters, of which 24 are random.
fn name(random: &mut u64) -> String {
    let letter = |_| {
        *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        char::from(b"abcdefghijklmnopqrstuvwxyz012345"[(*random >> 59) as usize])
    };
    format!("title-{}", (0..24).map(letter).collect::<String>())
}

fn configuration(routes: usize) -> Configuration {
    let (mut all, mut random) = (library(1), 7);
    for _ in 0..routes {
        let name = name(&mut random);
        all.routes.push(Route::new(&name, &name, Kind::Idempotent));
        all.services.push(Function::new(&name, 1, 300));
    }
    all
}

/// Puts a configuration at any controller until it is acknowledged, and returns how long that took.
async fn put(cluster: &TestCluster, configuration: &Configuration) -> Duration {
    let text = configuration.text();
    let began = Instant::now();
    loop {
        let mut answers = Vec::new();
        for control in cluster.fleet.deployment.controls() {
            let fields = [("Connection", "close")];
            let bytes = request("POST", "x", "/Config.Replace", &fields, text.as_bytes(), false);
            match exchange(control, &bytes, TIMEOUT).await {
                Ok(answer) if answer.status() == 200 => return began.elapsed(),
                Ok(answer) => {
                    answers.push(format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body)))
                }
                Err(e) => answers.push(e.to_string()),
            }
        }
        let revision = configuration.revision;
        assert!(began.elapsed() < TIMEOUT, "revision {revision} is not acknowledged: {answers:?}");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the number of bytes and of files below a folder.
fn usage(folder: &Path) -> (u64, usize) {
    let Ok(entries) = std::fs::read_dir(folder) else { return (0, 0) };
    let of = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => usage(&entry.path()),
        Ok(metadata) => (metadata.len(), 1),
        Err(_) => (0, 0),
    };
    entries.flatten().map(of).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

fn print_disks(cluster: &TestCluster) {
    for machine in cluster.fleet.deployment.of(Class::Core) {
        let (bytes, files) = usage(&cluster.fleet.deployment.data_dir(machine));
        println!("  disk of core machine {machine}: {:.1} MB in {files} files", bytes as f64 / 1e6);
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let [routes, changes] = arguments[..] else { return eprintln!("usage: changes ROUTES CHANGES") };
    let mut cluster = TestCluster::open(Bounds::default()).await;
    cluster.put(&library(1)).await;
    let mut configuration = configuration(routes);
    println!("{routes} routes, {:.2} MB as sent", configuration.text().len() as f64 / 1e6);
    let mut times = Vec::new();
    for n in 0..changes {
        configuration.revision += 1;
        configuration.routes[3 + n * 7_919 % routes].deadline_ms = 4_000 + n as u64;
        times.push(put(&cluster, &configuration).await);
        if (n + 1) % GROUP == 0 {
            let group = &mut times[n + 1 - GROUP..].to_vec();
            group.sort();
            println!(
                "changes up to {}: median {:.0?}, longest {:.0?}",
                n + 1,
                group[GROUP / 2],
                group[GROUP - 1]
            );
        }
    }
    print_disks(&cluster);
    let core = cluster.fleet.deployment.of(Class::Core);
    core.iter().for_each(|machine| cluster.fleet.on(*machine).for_each(Process::kill));
    let began = Instant::now();
    for machine in core {
        cluster.fleet.restart(machine, Role::Controller).expect("started");
    }
    while cluster.operator.read(TIMEOUT).await.is_none_or(|read| read.revision < configuration.revision) {
        assert!(began.elapsed() < TIMEOUT, "it is not read back");
    }
    println!("read back {:.0?} after a kill of all controllers", began.elapsed());
    cluster.close().await;
}
