//! Some sessions of a tenant send `BEGIN` and then remain idle. Reports whether its other sessions
//! are served, which ask for less than the tenant's limit.

mod sim;

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use sim::{CONTROL_PORT, Client, Host, Lab, READY_PORT, Service, Sizes, http, ms, spawn};

const KEY: &str = "u6wsjnbanfqasnmgkcuy";
const DATABASE: &str = "fiti832ti23";
const SERVICE: &str = "huvo11a";

/// Limit of the tenant.
const RATE_PER_S: u64 = 20;
const BURST: u64 = 20;

/// Sessions at each entry host that remain idle after `BEGIN`.
const RESTING_PER_HOST: usize = 15;

/// Pause of the session at each entry host that sends reads: 7 hosts ask for 14 reads a second.
const READ_INTERVAL: Duration = ms(500);

/// Time over which the answers are counted, and time before that.
const COUNTED: Duration = ms(30_000);

fn main() {
    let mut args = std::env::args().skip(1);
    let root = args.next().expect("usage: resting_begins ROOT RECORD");
    let record = args.next().expect("usage: resting_begins ROOT RECORD");
    let lab = Lab::new(Path::new(&root), Path::new(&record));
    sim::watch_time(&lab);
    let held = run(&lab);
    sim::finish(&lab, i32::from(!held))
}

fn run(lab: &Arc<Lab>) -> bool {
    let controls: Vec<String> = (1..=3).map(|n| lab.ip(n)).collect();
    let service = Service::new(lab, SERVICE, Sizes::default(), &controls);
    sim::serve_platform(lab, vec![service.clone()]);
    let mut hosts = Vec::new();
    for (index, ip) in controls.iter().enumerate() {
        let zone = format!("z{}", index + 1);
        hosts.push(Host::new(lab, &format!("core-{}", index + 1), ip, &zone, true, &controls));
    }
    for (index, zone) in ["z1", "z2", "z3", "z1", "z2", "z3", "z1"].iter().enumerate() {
        let ip = lab.ip(11 + index as u8);
        hosts.push(Host::new(lab, &format!("front-{}", index + 1), &ip, zone, false, &controls));
    }
    hosts.iter_mut().for_each(|host| host.start(lab));
    let nodes: Vec<String> = controls.iter().map(|ip| format!("{ip}:{CONTROL_PORT}")).collect();
    if !sim::apply_config(lab, &nodes, &config(), ms(20_000)) {
        sim::cannot_run(lab, "the configuration was not accepted");
    }
    for (number, zone) in (1..=3).zip(["z1", "z2", "z3"]) {
        service.start(&format!("i-{number}"), zone, &lab.ip(100 + number), number == 1);
    }
    let fronts: Vec<String> = hosts[3..].iter().map(|host| host.ip.clone()).collect();
    wait_until_ready(lab, &fronts);

    let phase = Arc::new(AtomicUsize::new(0));
    let counts = Arc::new([(); 3].map(|()| (AtomicUsize::new(0), AtomicUsize::new(0))));
    for ip in &fronts {
        let (lab, ip, phase, counts) = (lab.clone(), ip.clone(), phase.clone(), counts.clone());
        spawn(move || read_at_intervals(&lab, &ip, &phase, &counts));
    }
    thread::sleep(ms(10_000));
    phase.store(1, Ordering::Relaxed);
    let begun = Arc::new(AtomicUsize::new(0));
    for number in 0..RESTING_PER_HOST * fronts.len() {
        let (lab, ip) = (lab.clone(), fronts[number % fronts.len()].clone());
        let begun = begun.clone();
        spawn(move || rest(&lab, &ip, &begun));
    }
    thread::sleep(ms(8_000));
    lab.record.say(&format!(
        "{} sessions have sent BEGIN{}",
        begun.load(Ordering::Relaxed),
        if lab.trouble { " and remain idle" } else { ", read and committed" }
    ));
    phase.store(2, Ordering::Relaxed);
    thread::sleep(COUNTED);
    phase.store(3, Ordering::Relaxed);
    let count = |index: usize| {
        let (served, all): &(AtomicUsize, AtomicUsize) = &counts[index];
        (served.load(Ordering::Relaxed), all.load(Ordering::Relaxed))
    };
    let ((before, before_all), (after, after_all)) = (count(0), count(2));
    lab.record.say(&format!("reads of the other sessions served before: {before} of {before_all}"));
    lab.record.say(&format!("reads of the other sessions served then: {after} of {after_all}"));
    if before * 4 < before_all || before_all == 0 || after_all == 0 {
        sim::cannot_run(lab, "the tenant was not served before");
    }
    // Gate: refused and failed requests are at most 60 % of those owed.
    (after_all - after) * 100 <= after_all * 60
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{DATABASE}\",\"pathPrefix\":\"/\",\
         \"type\":\"read_your_writes\",\"timeoutMs\":800,\"targetLatencyMs\":250,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":2,\"maxStalenessMs\":2500,\
         \"allowAnonymous\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthCheckPath\":\"/health\",\"maxConnections\":16,\
         \"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000,\"txIdleMs\":3000}},\
         \"tenants\":[{{\"name\":\"nypu920\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
         \"ratePerS\":{RATE_PER_S},\"burstLimit\":{BURST}}}]}}"
    )
}

fn wait_until_ready(lab: &Lab, fronts: &[String]) {
    let until = Instant::now() + ms(20_000);
    for ip in fronts {
        let addr = format!("{ip}:{READY_PORT}");
        while !matches!(http(&addr, "GET", "/api/readiness", "", ms(1_000)), Some((200, _, _))) {
            if Instant::now() > until {
                sim::cannot_run(lab, "an entry host is not ready");
            }
            thread::sleep(ms(200));
        }
    }
}

/// Sends a read at each interval and counts the answers by phase.
fn read_at_intervals(
    lab: &Lab,
    ip: &str,
    phase: &AtomicUsize,
    counts: &[(AtomicUsize, AtomicUsize); 3],
) {
    let mut client = None;
    while !lab.stopped() {
        let now = phase.load(Ordering::Relaxed);
        let id = lab.id();
        let result = (|| -> Result<(), String> {
            let session = match client.take() {
                Some(session) => session,
                None => Client::start(ip, DATABASE, KEY)?,
            };
            let session: &mut Client = client.insert(session);
            session.query(&id, "READ 1a4", ms(1_500))?.result.map(|_| ())
        })();
        lab.record.line(&format!("client at {ip}: READ {id} -> {result:?}"));
        if result.is_err() {
            client = None;
        }
        if let Some((served, all)) = counts.get(now) {
            all.fetch_add(1, Ordering::Relaxed);
            served.fetch_add(usize::from(result.is_ok()), Ordering::Relaxed);
        }
        thread::sleep(READ_INTERVAL);
    }
}

/// Session that begins a transaction, tries again while it is refused, and remains idle. Without
/// the trouble it reads and commits at once.
fn rest(lab: &Lab, ip: &str, begun: &AtomicUsize) {
    let Ok(mut client) = Client::start(ip, DATABASE, KEY) else { return };
    while !lab.stopped() {
        let id = lab.id();
        let Ok(reply) = client.query(&id, "BEGIN", ms(1_500)) else { return };
        lab.record.line(&format!("client at {ip}: BEGIN {id} -> {:?}", reply.result));
        if reply.result.is_err() {
            thread::sleep(ms(500));
            continue;
        }
        begun.fetch_add(1, Ordering::Relaxed);
        if !lab.trouble {
            let _ = client.query(&id, "READ 1a4", ms(1_500));
            let _ = client.query(&id, "COMMIT", ms(1_500));
        }
        break;
    }
    while !lab.stopped() {
        thread::sleep(ms(200));
    }
    client.bye();
}
