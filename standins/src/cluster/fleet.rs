//! The system's programs as processes on a deployment: started, signalled, frozen, killed and started again. All end
//! with the fleet.

use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;

use crate::cluster::message::{exchange, request};
use crate::cluster::settings::{Class, Deployment, Role};

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Of the edge machines.
    pub proxy: PathBuf,
    /// Beside it.
    pub agent: PathBuf,
    /// Of the core machines.
    pub controller: PathBuf,
}

impl Programs {
    /// Those in this folder, such as `target/release`.
    pub fn of(folder: &Path) -> Self {
        let of = |role: Role| folder.join(role.program());
        Programs { proxy: of(Role::Proxy), agent: of(Role::Agent), controller: of(Role::Controller) }
    }

    fn of_role(&self, role: Role) -> &Path {
        match role {
            Role::Proxy => &self.proxy,
            Role::Agent => &self.agent,
            Role::Controller => &self.controller,
        }
    }
}

/// A process of a machine.
pub struct Process {
    /// The number of its machine.
    pub machine: usize,
    /// What it is.
    pub role: Role,
    /// Its output goes here, each life's after the last's.
    pub log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    frozen: bool,
}

impl Process {
    /// Its number while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// How it ended, if it ended by itself or after SIGTERM since it was started.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok().flatten()
    }

    /// It was started, and has not ended.
    pub fn runs(&mut self) -> bool {
        self.child.is_some() && self.ended().is_none()
    }

    fn signal(&mut self, signal: Signal) {
        // Not reaped as long as the child is held, so the number is its own.
        let running = self.runs();
        let pid = self.child.as_ref().and_then(|c| i32::try_from(c.id()).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid.filter(|_| running) {
            let _ = kill_process(pid, signal);
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.frozen = false;
    }

    /// SIGTERM.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// SIGHUP: its settings file has changed.
    pub fn hang_up(&mut self) {
        self.signal(Signal::HUP);
    }

    /// SIGSTOP.
    pub fn freeze(&mut self) {
        self.frozen = true;
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn thaw(&mut self) {
        self.frozen = false;
        self.signal(Signal::CONT);
    }

    /// Whether it was frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// What all its lives have put out.
    pub fn said(&self) -> String {
        std::fs::read(&self.log).map(|b| String::from_utf8_lossy(&b).into_owned()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let said = self.said();
            let last: Vec<&str> = said.lines().rev().take(20).collect();
            if !last.is_empty() {
                let last: Vec<&str> = last.into_iter().rev().collect();
                eprintln!("-- {}:\n{}", self.log.display(), last.join("\n"));
            }
        }
        self.kill();
    }
}

/// The processes of a deployment.
pub struct Fleet {
    /// All of them, core machines' first. Ended before the deployment's folder goes.
    pub processes: Vec<Process>,
    /// Their machines.
    pub deployment: Deployment,
    programs: Programs,
    environment: Vec<(String, String)>,
}

impl Fleet {
    /// Starts all of them for the first time, without waiting.
    ///
    /// # Errors
    /// Where something can't be written or started.
    pub fn start(deployment: Deployment, programs: &Programs) -> io::Result<Self> {
        Self::start_with(deployment, programs, &[])
    }

    /// The same with further variables, such as `RUST_LOG`.
    ///
    /// # Errors
    /// As [`Fleet::start`].
    pub fn start_with(
        deployment: Deployment,
        programs: &Programs,
        variables: &[(&str, &str)],
    ) -> io::Result<Self> {
        let environment = variables.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
        let programs = programs.clone();
        let mut fleet = Fleet { processes: Vec::new(), deployment, programs, environment };
        for machine in 0..fleet.deployment.machines.len() {
            fleet.place(machine);
        }
        for process in 0..fleet.processes.len() {
            fleet.launch(process, true)?;
        }
        Ok(fleet)
    }

    fn place(&mut self, machine: usize) {
        let m = &self.deployment.machines[machine];
        for role in m.class.roles() {
            let log = self.deployment.folder().join(format!("{}-{}.log", m.name, role.name()));
            let program = self.programs.of_role(*role).to_owned();
            self.processes.push(Process { machine, role: *role, log, program, child: None, frozen: false });
        }
    }

    fn launch(&mut self, process: usize, bootstrap: bool) -> io::Result<()> {
        let Process { machine, role, .. } = self.processes[process];
        let file = self.deployment.write(machine, role, bootstrap)?;
        self.launch_with(process, file)
    }

    fn launch_with(&mut self, process: usize, file: PathBuf) -> io::Result<()> {
        let process = &mut self.processes[process];
        let log = OpenOptions::new().create(true).append(true).open(&process.log)?;
        let mut command = Command::new(&process.program);
        command.env("DEWJUNCTION_CONFIG", file).envs(self.environment.iter().map(|(n, v)| (n, v)));
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        process.kill();
        process.child = Some(command.spawn()?);
        Ok(())
    }

    /// The place of a process among all: the one of this role on the machine of this number.
    ///
    /// # Panics
    /// Where the machine has none.
    pub fn at(&self, machine: usize, role: Role) -> usize {
        let found = self.processes.iter().position(|p| (p.machine, p.role) == (machine, role));
        found.expect("a process of this role there")
    }

    /// The same, counted among the machines of its class.
    ///
    /// # Panics
    /// Where there are fewer.
    pub fn nth(&mut self, role: Role, n: usize) -> &mut Process {
        let class = if role == Role::Controller { Class::Core } else { Class::Edge };
        let at = self.at(self.deployment.of(class)[n], role);
        &mut self.processes[at]
    }

    /// All processes of a machine.
    pub fn on(&mut self, machine: usize) -> impl Iterator<Item = &mut Process> {
        self.processes.iter_mut().filter(move |p| p.machine == machine)
    }

    /// Starts a process again, not as for the first time, with the settings of now. What still ran is killed.
    ///
    /// # Errors
    /// Where that fails.
    pub fn restart(&mut self, machine: usize, role: Role) -> io::Result<()> {
        self.launch(self.at(machine, role), false)
    }

    /// The same with the settings file as it was written last.
    ///
    /// # Errors
    /// Where that fails.
    pub fn restart_with_old_settings(&mut self, machine: usize, role: Role) -> io::Result<()> {
        self.launch_with(self.at(machine, role), self.deployment.file(machine, role))
    }

    /// The same for all processes of a machine.
    ///
    /// # Errors
    /// Where that fails.
    pub fn restart_machine(&mut self, machine: usize) -> io::Result<()> {
        let roles = self.deployment.machines[machine].class.roles();
        roles.iter().try_for_each(|role| self.restart(machine, *role))
    }

    /// Kills what runs on a machine; its disk is lost.
    ///
    /// # Errors
    /// Where something can't be removed.
    pub fn wipe(&mut self, machine: usize) -> io::Result<()> {
        self.on(machine).for_each(Process::kill);
        self.deployment.wipe(machine)
    }

    /// A machine is removed for good.
    pub fn remove(&mut self, machine: usize) {
        self.on(machine).for_each(Process::kill);
        self.deployment.machines[machine].removed = true;
    }

    /// A new machine with an empty disk joins; its number.
    ///
    /// # Errors
    /// Where it can't be started.
    pub fn add(&mut self, class: Class, zone: &str) -> io::Result<usize> {
        let machine = self.deployment.add(class, zone);
        self.place(machine);
        self.restart_machine(machine)?;
        Ok(machine)
    }

    /// The processes that ended and were not killed, with how.
    pub fn ended(&mut self) -> Vec<(String, ExitStatus)> {
        let names: Vec<String> = self.deployment.machines.iter().map(|m| m.name.clone()).collect();
        let ended = self.processes.iter_mut().filter_map(|p| {
            let status = p.ended()?;
            Some((format!("{} on {}", p.role.name(), names[p.machine]), status))
        });
        ended.collect()
    }

    /// Waits until every edge machine that runs calls itself ready; whether it does in time.
    pub async fn ready(&mut self, within: Duration) -> bool {
        let began = Instant::now();
        let bytes = request("GET", "x", "/readiness", &[("Connection", "close")], b"", false);
        loop {
            let mut all = true;
            for machine in self.deployment.of(Class::Edge) {
                let stall = self.at(machine, Role::Proxy);
                if self.processes[stall].runs() && !self.processes[stall].frozen {
                    let address = self.deployment.machines[machine].readiness();
                    let answer = exchange(address, &bytes, Duration::from_millis(500)).await;
                    all &= answer.is_ok_and(|a| a.status() == 200);
                }
            }
            if all || began.elapsed() >= within {
                return all;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}
