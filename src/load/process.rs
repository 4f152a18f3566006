//! Memory and CPU usage of a process.

use serde::{Deserialize, Serialize};

/// Unit of the times in `/proc/PID/stat`; fixed by the kernel's interface to user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Number of fields in `/proc/PID/stat` between the command and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// User and system CPU time since the process started, in seconds.
    pub cpu_s: f64,
}

/// Usage of the process `pid`; `None` if `/proc` cannot be read.
pub fn usage(pid: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kib = resident.split_whitespace().next()?.parse().ok()?;
    // The command is in parentheses and may itself contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut ticks = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user: f64 = ticks.next()?.parse().ok()?;
    let system: f64 = ticks.next()?.parse().ok()?;
    Some(Usage { resident_kib, cpu_s: (user + system) / TICKS_PER_SECOND })
}
