//! The project's own processes, started with the commands of the deploy file.

use std::{
    collections::HashMap,
    fs,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use crate::record::Record;

const CONTROL_PORT: u16 = 8462;
const FRONT_PORT: u16 = 8465;
const READY_PORT: u16 = 8460;
const FIRST_INTERNAL_PORT: u16 = 7560;

/// Process of a role on a machine.
struct Process {
    name: String,
    role: String,
    ip: IpAddr,
    zone: String,
    child: Option<Child>,
    /// Whether it was started before.
    started: bool,
}

/// Loopback addresses of a run.
#[derive(Clone)]
pub struct Addrs {
    subnet: (u8, u8),
}

impl Addrs {
    /// Picks a subnet in which the ports are free.
    pub fn pick() -> Option<Self> {
        let seed = std::process::id();
        (0..200_u32).find_map(|attempt| {
            let number = seed.wrapping_mul(31).wrapping_add(attempt * 7);
            let subnet = (60 + (number % 150) as u8, 1 + (number / 150 % 250) as u8);
            let addrs = Self { subnet };
            let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, FIRST_INTERNAL_PORT, 8466, 9464];
            let is_free = (1..20).all(|host| {
                ports.iter().all(|port| TcpListener::bind(addrs.addr(host, *port)).is_ok())
            });
            is_free.then_some(addrs)
        })
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::from([127, self.subnet.0, self.subnet.1, host])
    }

    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

/// All processes of a run; dropping it ends them.
pub struct Fleet {
    folder: PathBuf,
    commands: HashMap<String, Vec<String>>,
    processes: Vec<Process>,
    controls: usize,
    platform: SocketAddr,
}

/// Reads the `run` commands of the roles from the deploy file.
fn commands(deploy: &Path) -> Option<HashMap<String, Vec<String>>> {
    let text = fs::read_to_string(deploy).ok()?;
    let mut commands = HashMap::new();
    let mut role = String::new();
    for line in text.lines().map(str::trim) {
        if let Some(name) = line.strip_prefix("[roles.").and_then(|it| it.strip_suffix(']')) {
            role = name.to_owned();
        } else if let Some(value) = line.strip_prefix("run = ") {
            let words = value.trim_matches('"').split(' ').map(str::to_owned).collect();
            commands.insert(role.clone(), words);
        }
    }
    Some(commands)
}

impl Fleet {
    /// Describes `controls` control hosts and `entries` entry hosts.
    pub fn new(folder: PathBuf, addrs: &Addrs, controls: u8, entries: u8) -> Option<Self> {
        let commands = commands(Path::new("deploy/system.toml"))?;
        let process = |number: u8, role: &str, host: u8| Process {
            name: format!("{}-z{number}-1", if role == "control" { "core" } else { "front" }),
            role: role.to_owned(),
            ip: addrs.ip(host),
            zone: format!("z{number}"),
            child: None,
            started: false,
        };
        let mut processes: Vec<Process> =
            (1..=controls).map(|number| process(number, "control", number)).collect();
        processes.extend((1..=entries).map(|number| process(number, "entry", number + 5)));
        let platform = addrs.addr(19, 8466);
        Some(Self { folder, commands, processes, controls: usize::from(controls), platform })
    }

    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        let controls = self.processes[..self.controls].iter();
        controls.map(|it| SocketAddr::new(it.ip, CONTROL_PORT)).collect()
    }

    pub fn front_addrs(&self) -> Vec<SocketAddr> {
        let entries = self.processes[self.controls..].iter();
        entries.map(|it| SocketAddr::new(it.ip, FRONT_PORT)).collect()
    }

    /// Starts all processes.
    pub fn start_all(&mut self) -> std::io::Result<()> {
        (0..self.processes.len()).try_for_each(|index| self.start(index))
    }

    /// Starts the process `index`: control hosts come first.
    pub fn start(&mut self, index: usize) -> std::io::Result<()> {
        let seeds: Vec<String> =
            self.control_addrs().iter().take(3).map(ToString::to_string).collect();
        let process = &mut self.processes[index];
        let (name, ip, zone) = (&process.name, process.ip, &process.zone);
        let is_control = process.role == "control";
        let data = self.folder.join(format!("data-{name}"));
        let (class, serves, disk) = if is_control {
            ("core", "control_plane", format!("dataDir={}\n", data.display()))
        } else {
            ("front", "front", String::new())
        };
        let listen = if is_control {
            format!("listenAddrs.control={ip}:{CONTROL_PORT}\n")
        } else {
            format!("listenAddrs.front={ip}:{FRONT_PORT}\nlistenAddrs.ready={ip}:{READY_PORT}\n")
        };
        let settings = format!(
            "nodeName={name}\nrole={}\nmachineClass={class}\nserves={serves}\nip={ip}\nzone={zone}\nregion=r1\n\
             zones.z1=r1\nzones.z2=r1\nzones.z3=r1\nzones.z4=r1\nzones.z5=r1\n{listen}internalPortRange={FIRST_INTERNAL_PORT},7575\n\
             seeds={}\nbootstrap={}\ncountsAsLoss={is_control}\n{disk}limits.cpuShare=0.25\nlimits.cpuCores=1\n\
             limits.memoryMb=260\nlimits.maxFds=4300\nlimits.linkMbps=1000.0\nlimits.diskMb={}\n\
             discovery=registry\nentry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota\nfaultTolerance.machines=1\n\
             faultTolerance.zones=0\nfaultTolerance.regions=0\nbounds.seedLagS=3\nbounds.addrReuseS=2\n\
             bounds.stabilityWindowMs=4000\nbounds.ackMs=5000\nbounds.catchUpS=4\nbounds.drainMs=7000\n\
             bounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\n\
             bounds.maxStretchMs=12000\nbounds.strictRevocation=false\nbounds.revokeMs=5000\n\
             bounds.quotaWindowS=5\nbounds.quotaOverage=0.1\nbounds.quotaSlack=20\nbounds.recoveryS=12\n\
             bounds.fencingRequired=true\nbounds.thawSlackMs=300\nconfig_mode=highest\n\
             cloudApi.address={}\ncloudApi.ratePerS=50.0\ncloudApi.duties=promotion\ncloudApi.dutyPerS=50.0\n",
            process.role,
            seeds.join(","),
            !process.started,
            if is_control { 128 } else { 0 },
            self.platform,
        );
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let command = &self.commands[&process.role];
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env("POMELOPIN_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        process.child = Some(child);
        process.started = true;
        Ok(())
    }

    /// Process ids of the entry hosts.
    pub fn entry_pids(&self) -> Vec<u32> {
        let entries = self.processes[self.controls..].iter();
        entries.map(|it| it.child.as_ref().map_or(0, Child::id)).collect()
    }

    /// Kills the entry hosts at once.
    pub fn kill_entries(&mut self) {
        for process in &mut self.processes[self.controls..] {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
            }
        }
        for process in &mut self.processes[self.controls..] {
            if let Some(mut child) = process.child.take() {
                let _ = child.wait();
            }
        }
    }

    /// Starts the entry hosts again.
    pub fn start_entries(&mut self) -> std::io::Result<()> {
        (self.controls..self.processes.len()).try_for_each(|index| self.start(index))
    }

    /// Adds the lines of the processes' logs that hold one of `words` to the record.
    pub fn quote_logs(&self, record: &Record, words: &[&str]) {
        for process in &self.processes {
            let path = self.folder.join(format!("{}.log", process.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            for line in text.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
                record.add(&format!("log of {}: {line}", process.name));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs stay in {}", self.folder.display());
        }
    }
}
