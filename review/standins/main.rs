//! Stand-ins for the cases of the review: clients, databases, the operator and the platform,
//! around the project's own processes. Uses the standard library only.
//!
//! `standins CASE FOLDER` runs a case, writes `FOLDER/record.txt` and exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod cases;
mod client;
mod fleet;
mod http;
mod instance;
mod record;
mod world;

use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use fleet::{Addrs, Fleet};
use record::Record;
use world::World;

pub const SERVICE: &str = "ledger7q";
pub const PRIMARY_DATABASE: &str = "lepu270";
pub const BOUNDED_DATABASE: &str = "xapu221";
pub const OWN_DATABASE: &str = "fiti832";
pub const TENANT: &str = "nypu920";
pub const KEY: &str = "u6wsjnbanfqasnmgkcuy";
pub const SECOND_KEY: &str = "j8pjbvk9m68k7b2ex5wa";

/// Time in ms that the platform takes for a promotion.
pub static PROMOTE_MS: AtomicU64 = AtomicU64::new(600);

/// `drainMs`.
const DRAIN_MS: u64 = 7_000;

/// How the platform answers calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Platform {
    Up,
    /// Answers nothing and carries out nothing.
    Down,
}

/// What the threads of a run share.
pub struct Shared {
    pub world: World,
    pub record: Record,
    pub control_addrs: Vec<SocketAddr>,
    pub platform: Mutex<Platform>,
    /// Process ids of the entry hosts.
    pub entry_pids: Mutex<Vec<u32>>,
    stopping: AtomicBool,
    /// Ids that clients sent.
    sent: Mutex<HashMap<String, Instant>>,
    /// When the check-in `draining` of an instance was acknowledged, in ms.
    draining_since: Mutex<[Option<u64>; world::INSTANCES]>,
}

impl Shared {
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Records the id of a request that a client is about to send.
    pub fn sent(&self, id: &str) {
        if let Ok(mut sent) = self.sent.lock() {
            sent.insert(id.to_owned(), Instant::now());
        }
    }

    pub fn drain_acknowledged(&self, index: usize) {
        if let Ok(mut since) = self.draining_since.lock() {
            since[index].get_or_insert(self.record.now_ms());
        }
    }

    /// Checks a read on the `primary` route that runs at an instance.
    pub fn check_read(&self, index: usize, id: &str) {
        let sent_at = self.sent.lock().ok().and_then(|sent| sent.get(id).copied());
        let Some(sent_at) = sent_at else { return };
        let mut state = self.world.lock();
        let missing = state.missing(index, sent_at);
        if missing.is_empty() {
            return;
        }
        let text = format!(
            "STALE: READ {id} runs on {} ({}), which lacks {} writes acknowledged before the read was sent, as {}",
            state.instances[index].id,
            state.status(index),
            missing.len(),
            missing[0]
        );
        self.record.add(&text);
        state.broken.push(text);
    }

    /// Checks a request that arrives at an instance. Single statements and the first of a
    /// transaction count for DRAIN.
    pub fn arrived(&self, index: usize, id: &str, word: &str, in_transaction: bool) {
        let now = self.record.now_ms();
        let since = self.draining_since.lock().ok().and_then(|it| it[index]);
        if let Some(since) = since
            && !in_transaction
            && word != "COMMIT"
            && now > since + DRAIN_MS
        {
            let text = format!(
                "DRAIN: {word} {id} reaches the draining instance {} ms after the ack, bound {DRAIN_MS} ms",
                now - since
            );
            self.record.add(&text);
            self.world.lock().broken.push(text);
        }
        let is_sent = id == "-" || self.sent.lock().is_ok_and(|sent| sent.contains_key(id));
        if !is_sent {
            let text = format!("UNASKED: an instance gets {word} {id}, which no client sent");
            self.record.add(&text);
            self.world.lock().broken.push(text);
        }
    }
}

/// Running case.
pub struct Run {
    pub shared: Arc<Shared>,
    pub fleet: Fleet,
    pub trouble: bool,
}

impl Run {
    /// Starts the stand-ins and the processes and waits until every entry host serves a write.
    pub fn start(folder: &Path, controls: u8, entries: u8) -> Option<Self> {
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let addrs = Addrs::pick()?;
        let temporary =
            std::env::temp_dir().join(format!("pomelopin-review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).ok()?;
        let mut fleet = Fleet::new(temporary, &addrs, controls, entries)?;
        let instances: Vec<SocketAddr> =
            (0..world::INSTANCES).map(|index| addrs.addr(11 + index as u8, 8080)).collect();
        let shared = Arc::new(Shared {
            world: World::new(&instances),
            record: Record::create(&folder.join("record.txt")).ok()?,
            control_addrs: fleet.control_addrs(),
            platform: Mutex::new(Platform::Up),
            entry_pids: Mutex::default(),
            stopping: AtomicBool::new(false),
            sent: Mutex::default(),
            draining_since: Mutex::default(),
        });
        shared.record.say(&format!("trouble: {trouble}"));
        start_platform(&shared, addrs.addr(19, 8466))?;
        fleet.start_all().ok()?;
        if let Ok(mut pids) = shared.entry_pids.lock() {
            *pids = fleet.entry_pids();
        }
        for index in 0..world::INSTANCES {
            instance::start(&shared, index);
        }
        let mut run = Self { shared, fleet, trouble };
        run.configure(1)?;
        run.wait_until_serving(Duration::from_secs(20))?;
        Some(run)
    }

    /// Sends a version of the config until it is acknowledged.
    pub fn configure(&mut self, version: u64) -> Option<()> {
        self.configure_keys(version, &[KEY, SECOND_KEY])
    }

    /// Sends a version of the config in which the tenant has `keys` until it is acknowledged.
    pub fn configure_keys(&mut self, version: u64, keys: &[&str]) -> Option<()> {
        let started = Instant::now();
        let body = config(version, keys);
        while started.elapsed() < Duration::from_secs(15) {
            let answer = http::call_any(&self.shared.control_addrs, "PUT", "/api/config", &body);
            if answer.is_some_and(|it| it.status == 200) {
                self.say(&format!("config {version} with the keys {keys:?} is acknowledged"));
                return Some(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Sends a request of a client and records its answer.
    pub fn ask(&self, session: &mut client::Session, text: &str) -> Option<client::Answer> {
        let id = client::new_id();
        self.shared.sent(&id);
        self.say(&format!("client sends {id} {text}"));
        let answer = session.query(&id, text);
        self.say(&format!("client gets {answer:?}"));
        answer
    }

    pub fn set_platform(&self, platform: Platform) {
        if let Ok(mut current) = self.shared.platform.lock() {
            *current = platform;
        }
    }

    /// Deregisters an instance, which exits.
    pub fn leave(&self, index: usize) {
        let id = self.shared.world.lock().instances[index].id.clone();
        let path = format!("/api/instances/{id}");
        let answer = http::call_any(&self.shared.control_addrs, "DELETE", &path, "");
        let status = answer.map(|it| it.status);
        self.say(&format!("{id} deregisters, answer {status:?}, and exits"));
        self.shared.world.change(|state| {
            state.crash(index);
            state.instances[index].gone = true;
        });
    }

    fn wait_until_serving(&mut self, limit: Duration) -> Option<()> {
        let started = Instant::now();
        for addr in self.fleet.front_addrs() {
            loop {
                if started.elapsed() > limit {
                    return None;
                }
                let id = client::new_id();
                self.shared.sent(&id);
                let session = client::Session::open(addr, PRIMARY_DATABASE, KEY);
                let answer = session.ok().and_then(|mut it| it.query(&id, "WRITE warm up"));
                if answer.is_some_and(|it| it.is_done()) {
                    break;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.shared.record.say("every entry host serves");
        Some(())
    }

    /// Starts clients that write single statements, `count` at each entry host.
    pub fn start_writers(&self, count: usize, pause: Duration) {
        self.start_writers_at(&self.fleet.front_addrs(), count, pause);
    }

    /// Starts clients that write single statements, `count` at each of `addrs`.
    pub fn start_writers_at(&self, addrs: &[SocketAddr], count: usize, pause: Duration) {
        for addr in addrs.iter().copied() {
            for _ in 0..count {
                let shared = self.shared.clone();
                thread::spawn(move || {
                    client::write_until_stopped(&shared, addr, PRIMARY_DATABASE, pause);
                });
            }
        }
    }

    /// Starts clients that read on the `primary` route, `count` at each of `addrs`.
    pub fn start_readers_at(&self, addrs: &[SocketAddr], count: usize, pause: Duration) {
        for addr in addrs.iter().copied() {
            for _ in 0..count {
                let shared = self.shared.clone();
                thread::spawn(move || client::read_until_stopped(&shared, addr, pause));
            }
        }
    }

    pub fn sleep(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    pub fn say(&self, text: &str) {
        self.shared.record.say(text);
    }

    /// Result of the run: whether a rule whose name is `rule` was broken.
    pub fn finish(self, rule: &str, log_words: &[&str]) -> Option<bool> {
        self.shared.stop();
        thread::sleep(Duration::from_millis(300));
        self.fleet.quote_logs(&self.shared.record, log_words);
        let state = self.shared.world.lock();
        let (acknowledged, promised) = (state.acknowledged.len(), state.promised.len());
        let unclear = state.unclear.len();
        let broken: Vec<String> =
            state.broken.iter().filter(|it| it.starts_with(rule)).cloned().collect();
        drop(state);
        self.say(&format!("writes acknowledged {acknowledged}, refused with a promise {promised}"));
        self.say(&format!("writes without a clear answer {unclear}"));
        self.say(&format!("{rule}: {} breaks", broken.len()));
        for text in broken.iter().take(5) {
            self.say(text);
        }
        self.shared.record.flush();
        (acknowledged >= 20).then_some(!broken.is_empty())
    }
}

/// Complete config.
pub fn config(version: u64, keys: &[&str]) -> String {
    let keys = keys.join("\",\"");
    let route = |name: &str, host: &str, kind: &str, extra: &str| {
        format!(
            r#"{{"name":"{name}","host":"{host}","pathPrefix":"/","type":"{kind}","timeoutMs":800,"targetLatencyMs":200,"priority":1,"service":"{SERVICE}","maxAttempts":2,{extra}"allowAnonymous":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{},{}],"services":[{{"name":"{SERVICE}","healthCheckPath":"/health","maxConnections":28,"protocol":"h1","tls":false,"syncReplicas":1}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}},"tenants":[{{"name":"{TENANT}","apiKeys":["{keys}"],"priority":1,"ratePerS":1000,"burstLimit":1000}}]}}"#,
        route("r-1", PRIMARY_DATABASE, "primary", ""),
        route("r-2", BOUNDED_DATABASE, "bounded_staleness", r#""maxStalenessMs":1500,"#),
        route("r-3", OWN_DATABASE, "read_your_writes", r#""maxStalenessMs":2500,"#),
    )
}

/// Serves the calls of the singleton duty.
fn start_platform(shared: &Arc<Shared>, addr: SocketAddr) -> Option<()> {
    let listener = TcpListener::bind(addr).ok()?;
    let shared = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || {
                let Some(request) = http::receive(&stream) else { return };
                promote(&shared, &stream, &request);
            });
        }
    });
    Some(())
}

fn promote(shared: &Shared, stream: &std::net::TcpStream, request: &http::Request) {
    let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
    let holder = header("x-pomelopin-lease-holder");
    let token: u64 = header("x-pomelopin-fencing-token").parse().unwrap_or_default();
    let id = request.body.split("\"id\":\"").nth(1).and_then(|it| it.split('"').next());
    let id = id.unwrap_or_default().to_owned();
    let text =
        format!("platform: {} {} {id} from {holder} under {token}", request.method, request.path);
    shared.record.say(&text);
    if shared.platform.lock().is_ok_and(|it| *it == Platform::Down) {
        thread::sleep(Duration::from_secs(20));
        return;
    }
    let index = {
        let mut state = shared.world.lock();
        let index = state.instances.iter().position(|it| it.id == id && it.up && !it.gone);
        let Some(index) = index.filter(|_| token >= state.fence) else {
            http::respond(stream, 409);
            return;
        };
        state.fence = token;
        state.candidate = index;
        index
    };
    http::respond(stream, 200);
    thread::sleep(Duration::from_millis(PROMOTE_MS.load(Ordering::Relaxed)));
    shared.world.change(|state| {
        if state.instances[index].up {
            state.promote(index, &shared.record);
        }
    });
    // The caller closes the connection.
    thread::sleep(Duration::from_secs(2));
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("standins CASE FOLDER");
        return ExitCode::from(2);
    };
    match cases::run(case, &PathBuf::from(folder)) {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => {
            eprintln!("the case could not run");
            ExitCode::from(2)
        }
    }
}
