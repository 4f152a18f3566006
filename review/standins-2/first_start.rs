//! One control machine is lost for good at the first start of the system, and an empty one takes
//! its place. Reports whether a configuration is accepted and a request served afterwards.

mod sim;

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use sim::{CONTROL_PORT, Client, Host, Lab, Service, Sizes, ms};

const KEY: &str = "u6wsjnbanfqasnmgkcuy";
const DATABASE: &str = "lepu270";
const SERVICE: &str = "huvo11a";

/// Time between the start of the first machine and that of the others; at most 300 ms.
const START_SPREAD: Duration = ms(300);

/// Time from the start of the first machine to its loss.
const LOST_AFTER: Duration = ms(500);

/// Time until the empty machine comes, as in the site file (`replace_core`, x).
const REPLACED_AFTER: Duration = ms(2_000);

/// Time for which the operator sends the configuration again.
const OPERATOR_PATIENCE: Duration = ms(45_000);

fn main() {
    let mut args = std::env::args().skip(1);
    let root = args.next().expect("usage: first_start ROOT RECORD");
    let record = args.next().expect("usage: first_start ROOT RECORD");
    let lab = Lab::new(Path::new(&root), Path::new(&record));
    sim::watch_time(&lab);
    let held = run(&lab);
    sim::finish(&lab, i32::from(!held))
}

fn run(lab: &Arc<Lab>) -> bool {
    let controls: Vec<String> = (1..=5).map(|n| lab.ip(n)).collect();
    let seeds: Vec<String> = controls[..3].to_vec();
    let replacement = lab.ip(6);
    let mut all = controls.clone();
    if lab.trouble {
        all[0] = replacement.clone();
    }
    let service = Service::new(lab, SERVICE, Sizes::default(), &all);
    sim::serve_platform(lab, vec![service.clone()]);
    let mut hosts = Vec::new();
    for (index, ip) in controls.iter().enumerate() {
        let zone = format!("z{}", index % 3 + 1);
        hosts.push(Host::new(lab, &format!("core-{}", index + 1), ip, &zone, true, &seeds));
    }
    for (index, zone) in ["z1", "z2", "z3"].iter().enumerate() {
        let ip = lab.ip(11 + index as u8);
        hosts.push(Host::new(lab, &format!("front-{}", index + 1), &ip, zone, false, &seeds));
    }
    hosts[0].start(lab);
    let started = Instant::now();
    thread::sleep(START_SPREAD);
    hosts[1..].iter_mut().for_each(|host| host.start(lab));
    thread::sleep(LOST_AFTER.saturating_sub(started.elapsed()));
    let mut successor = Host::new(lab, "core-6", &replacement, "z1", true, &seeds);
    // Only the machines of the first start get `bootstrap=true`.
    successor.first_start = false;
    if lab.trouble {
        lab.record.say("core-1 is gone for good");
        hosts[0].kill(lab);
        thread::sleep(REPLACED_AFTER);
        successor.start(lab);
    }
    for (number, zone) in (1..=3).zip(["z1", "z2", "z3"]) {
        service.start(&format!("i-{number}"), zone, &lab.ip(100 + number), number == 1);
    }
    thread::sleep(ms(10_000).saturating_sub(started.elapsed()));

    let nodes: Vec<String> = all.iter().map(|ip| format!("{ip}:{CONTROL_PORT}")).collect();
    let is_accepted = sim::apply_config(lab, &nodes, &config(), OPERATOR_PATIENCE);
    lab.record.say(&format!("configuration accepted: {is_accepted}"));
    let until = Instant::now() + ms(10_000);
    let mut is_served = false;
    while !is_served && Instant::now() < until {
        let id = lab.id();
        let result = Client::start(&hosts[5].ip, DATABASE, KEY)
            .and_then(|mut client| client.query(&id, &format!("WRITE {id} data"), ms(1_500)))
            .and_then(|reply| reply.result);
        lab.record.line(&format!("client: WRITE {id} -> {result:?}"));
        is_served = result.is_ok();
        thread::sleep(ms(250));
    }
    lab.record.say(&format!("a request was served: {is_served}"));
    let ended = hosts.iter_mut().skip(1).find_map(Host::ended);
    lab.record.say(&format!("processes that ended by themselves: {ended:?}"));
    // Fault: no request is served.
    is_served
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{DATABASE}\",\"pathPrefix\":\"/\",\
         \"type\":\"primary\",\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":2,\"allowAnonymous\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthCheckPath\":\"/health\",\"maxConnections\":16,\
         \"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000,\"txIdleMs\":3000}},\
         \"tenants\":[{{\"name\":\"nypu920\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
         \"ratePerS\":142,\"burstLimit\":142}}]}}"
    )
}
