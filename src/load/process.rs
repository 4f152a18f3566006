//! Memory and processor time of a process.

use serde::{Deserialize, Serialize};

/// Clock ticks per second in `/proc/PID/stat`; fixed in the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields of `/proc/PID/stat` after the command, up to the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Use of resources by a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Processor time since the start of the process in seconds.
    pub cpu_s: f64,
}

/// Usage of the process `pid`, if the system reports it.
pub fn usage(pid: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kib = resident.split_whitespace().next()?.parse().ok()?;
    // The command in parentheses may hold spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut ticks = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user: f64 = ticks.next()?.parse().ok()?;
    let system: f64 = ticks.next()?.parse().ok()?;
    Some(Usage { resident_kib, cpu_s: (user + system) / TICKS_PER_SECOND })
}
