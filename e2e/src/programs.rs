//! Where the system's programs are: built with the profile of whoever asks, beside it.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use millpost_standins::cluster::fleet::Programs;

/// The system's programs. Cargo is asked once in each process, and by one process at a time; it builds what is older
/// than its sources.
///
/// # Errors
/// Where they can't be built and are not there, with the reason.
pub fn programs() -> Result<Programs, String> {
    static FOUND: OnceLock<Result<Programs, String>> = OnceLock::new();
    FOUND.get_or_init(build).clone()
}

fn build() -> Result<Programs, String> {
    let folder = folder()?;
    let programs = Programs::of(&folder);
    // Held until the build is over.
    let lock = File::create(folder.join("fair.lock")).map_err(|e| format!("{}: {e}", folder.display()))?;
    lock.lock().map_err(|e| format!("the lock in {}: {e}", folder.display()))?;
    let target = folder.parent().ok_or("no folder of builds")?;
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        Some("debug") | None => "dev",
        Some(name) => name,
    };
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--quiet", "--profile", profile, "--target-dir"]).arg(target);
    build.args(["-p", "millpost-proxy", "-p", "millpost-agent", "-p", "millpost-controller"]);
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    match build.status() {
        Ok(status) if status.success() => Ok(programs),
        Ok(status) => Err(format!("the programs do not build: {status}")),
        // Where there is no cargo the programs may still be there.
        Err(_) if [&programs.proxy, &programs.agent, &programs.controller].iter().all(|p| p.exists()) => {
            Ok(programs)
        }
        Err(e) => Err(format!("no programs in {}, and cargo can't be run: {e}", folder.display())),
    }
}

/// The folder that builds of this profile lie in: tests and examples lie one deeper.
fn folder() -> Result<PathBuf, String> {
    let me = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = me.parent().ok_or("this program lies nowhere")?;
    let deeper = folder.ends_with("deps") || folder.ends_with("examples");
    let folder = if deeper { folder.parent() } else { Some(folder) };
    folder.map(Path::to_owned).ok_or_else(|| "this program lies nowhere".to_owned())
}
