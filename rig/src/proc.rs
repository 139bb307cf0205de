//! What the system says of a process: the time it had on a core, what it wrote, what it holds. And which cores it
//! may use.

use std::path::{Path, PathBuf};
use std::process::Command;

use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::unistd::Pid;

/// A reading of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// Time on a core, all threads, nanoseconds.
    pub cpu_ns: u64,
    /// Bytes written to files and sockets.
    pub written: u64,
    /// Bytes resident, and most of them so far.
    pub resident: u64,
    pub most_resident: u64,
    /// Descriptors open.
    pub descriptors: usize,
}

/// Reads a process's figures; what can't be read is 0.
pub fn read(pid: u32) -> Reading {
    let folder = PathBuf::from(format!("/proc/{pid}"));
    let text = |name: &str| std::fs::read_to_string(folder.join(name)).unwrap_or_default();
    let field = |text: &str, name: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0)
    };
    let status = text("status");
    Reading {
        cpu_ns: cpu_ns(&folder),
        written: field(&text("io"), "wchar:"),
        resident: field(&status, "VmRSS:") * 1024,
        most_resident: field(&status, "VmHWM:") * 1024,
        descriptors: std::fs::read_dir(folder.join("fd")).map_or(0, Iterator::count),
    }
}

fn cpu_ns(folder: &Path) -> u64 {
    let tasks = std::fs::read_dir(folder.join("task")).into_iter().flatten().flatten();
    let of = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    tasks.filter_map(of).sum()
}

/// The cores that this process may use.
pub fn cores() -> Vec<usize> {
    let set = sched_getaffinity(Pid::from_raw(0)).unwrap_or_else(|_| CpuSet::new());
    let cores: Vec<usize> = (0..CpuSet::count()).filter(|c| set.is_set(*c).unwrap_or(false)).collect();
    if cores.is_empty() { vec![0] } else { cores }
}

/// How the cores are dealt out: one for each dispatcher as far as they go, the rest for the rig.
#[derive(Clone, Debug)]
pub struct Deal {
    /// How many there are.
    pub cores: usize,
    pub dispatchers: Vec<usize>,
    pub rig: Vec<usize>,
}

/// Deals these cores to so many dispatchers. The rig has at least one; with one core all share it.
pub fn deal(cores: &[usize], dispatchers: usize) -> Deal {
    let own = dispatchers.min(cores.len().saturating_sub(1)).max(1);
    let rig = if cores.len() > own { cores[own..].to_vec() } else { cores.to_vec() };
    Deal { cores: cores.len(), dispatchers: (0..dispatchers).map(|n| cores[n % own]).collect(), rig }
}

/// Holds a process (0: the calling thread, and what it starts) to these cores. Whether that worked.
pub fn hold(pid: u32, cores: &[usize]) -> bool {
    let mut set = CpuSet::new();
    let named = cores.iter().all(|core| set.set(*core).is_ok());
    named && sched_setaffinity(Pid::from_raw(pid as i32), &set).is_ok()
}

/// Lets this process, and those that it starts, open as many descriptors as the system allows.
pub fn raise_descriptors() {
    if let Ok((_, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}

/// The dispatcher's program, built if need be: it lies beside this one.
pub fn dispatcher() -> Result<PathBuf, String> {
    let me = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = me.parent().ok_or("this program lies nowhere")?;
    // Tests lie one folder deeper.
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    let program = folder.join("millpost-dispatcher");
    let mut build = Command::new("cargo");
    build.args(["build", "--quiet", "-p", "millpost-dispatcher", "--bin", "millpost-dispatcher"]);
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    if folder.ends_with("release") {
        build.arg("--release");
    }
    match build.status() {
        Ok(status) if status.success() => Ok(program),
        // Where there are no sources (or no cargo), the program may still be there.
        _ if program.exists() => Ok(program),
        Ok(status) => Err(format!("the dispatcher does not build: {status}")),
        Err(e) => Err(format!("no {}, and cargo can't be run: {e}", program.display())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cores_are_dealt_out_however_few_there_are() {
        let told = |cores: &[usize], n| {
            let deal = deal(cores, n);
            (deal.dispatchers, deal.rig)
        };
        assert_eq!(told(&[0, 1, 2, 3], 2), (vec![0, 1], vec![2, 3]));
        assert_eq!(told(&[4, 5], 2), (vec![4, 4], vec![5]));
        assert_eq!(told(&[7], 2), (vec![7, 7], vec![7]));
        assert_eq!(told(&[0, 1, 2, 3], 5), (vec![0, 1, 2, 0, 1], vec![3]));
    }

    #[test]
    fn this_process_can_be_read() {
        let reading = read(std::process::id());
        assert!(reading.cpu_ns > 0 && reading.resident > 0 && reading.descriptors > 2, "{reading:?}");
    }
}
