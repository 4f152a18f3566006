//! The cases: what each disrupts, and when.

use std::{path::Path, sync::atomic::Ordering, time::Duration};

use crate::{
    KEY, PRIMARY_DATABASE, PROMOTE_MS, Platform, Run, SECOND_KEY,
    client::{Session, new_id},
    instance::WORK_MS,
};

/// `configApplyMs`.
const CONFIG_APPLY_MS: u64 = 3_000;

/// Runs a case; returns whether its rule was broken, or `None` if the case could not run.
pub fn run(case: &str, folder: &Path) -> Option<bool> {
    match case {
        "lost-commits" => lost_commits(folder),
        "drain" => drain(folder),
        "forgotten-commits" => forgotten_commits(folder),
        "smuggled" => smuggled(folder),
        "stale" => stale(folder),
        "withdrawn-key" => withdrawn_key(folder),
        _ => None,
    }
}

/// Twice, 35 s apart, a replica receives nothing for a while and the primary crashes
/// meanwhile, and the other replica is cut off from control. Each time all come back with
/// their logs.
fn lost_commits(folder: &Path) -> Option<bool> {
    let run = Run::start(folder, 3, 3)?;
    run.start_writers(2, Duration::from_millis(40));
    run.sleep(3_000);
    let world = &run.shared.world;
    for round in 1..=2 {
        let (primary, near, far) = {
            let state = world.lock();
            let primary = state.primary;
            let replicas: Vec<usize> = (0..3).filter(|index| *index != primary).collect();
            (primary, replicas[0], replicas[1])
        };
        run.say(&format!("round {round}"));
        if run.trouble {
            run.say("a replica receives nothing; the other one is cut off from control");
            world.change(|state| {
                state.instances[far].deaf = true;
                state.instances[near].cut_from_control = true;
            });
        }
        run.sleep(500);
        if run.trouble {
            run.say("the primary crashes");
            world.change(|state| state.crash(primary));
        }
        run.sleep(3_000);
        if run.trouble {
            run.say("the primary is back with its log");
            world.change(|state| state.restart(primary));
        }
        run.sleep(1_500);
        if run.trouble {
            run.say("the cut has healed, and the replica receives again");
            world.change(|state| {
                state.instances[near].cut_from_control = false;
                state.instances[far].deaf = false;
            });
        }
        run.sleep(if round == 1 { 30_000 } else { 4_000 });
    }
    run.finish("LOST", &["promotion", "primary change", "no target holds"])
}

/// The primary is to be replaced while the platform answers nothing for 10 s. It serves for
/// `drainMs` and a second, deregisters and exits.
fn drain(folder: &Path) -> Option<bool> {
    WORK_MS.store(25, Ordering::Relaxed);
    let run = Run::start(folder, 3, 3)?;
    run.start_writers(3, Duration::from_millis(20));
    run.sleep(3_000);
    let world = &run.shared.world;
    let primary = world.lock().primary;
    if run.trouble {
        run.say("the platform is down");
        run.set_platform(Platform::Down);
    }
    run.say("the primary leaves");
    world.change(|state| state.instances[primary].draining = true);
    run.sleep(8_000);
    run.leave(primary);
    run.sleep(2_000);
    run.say("the platform is up");
    run.set_platform(Platform::Up);
    run.sleep(4_000);
    run.finish("DRAIN", &["promotion", "primary change"])
}

/// A key is taken away while a client that holds it has begun a transaction and rests.
fn withdrawn_key(folder: &Path) -> Option<bool> {
    let mut run = Run::start(folder, 3, 3)?;
    run.start_writers(1, Duration::from_millis(100));
    run.sleep(2_000);
    let addr = run.fleet.front_addrs()[0];
    let mut session = Session::open(addr, PRIMARY_DATABASE, SECOND_KEY).ok()?;
    let begin = run.ask(&mut session, "BEGIN")?;
    begin.is_done().then_some(())?;
    let keys: &[&str] = if run.trouble { &[KEY] } else { &[KEY, SECOND_KEY] };
    run.configure_keys(2, keys)?;
    let acknowledged_at = run.shared.record.now_ms();
    run.sleep(CONFIG_APPLY_MS + 3_000);
    let other = Session::open(addr, PRIMARY_DATABASE, SECOND_KEY);
    run.say(&format!("a new session with the key: {:?}", other.map(|_| "READY").map_err(|it| it)));
    let sent_at = run.shared.record.now_ms();
    let mut ran = Vec::new();
    for text in ["READ warm", "WRITE late data", "COMMIT"] {
        let answer = run.ask(&mut session, text)?;
        if answer.is_done() {
            ran.push(text);
        }
    }
    if run.trouble && !ran.is_empty() {
        let text = format!(
            "CONFIG: {ran:?} run with a dropped key, sent {} ms after the ack, bound {CONFIG_APPLY_MS} ms",
            sent_at - acknowledged_at
        );
        run.shared.world.lock().broken.push(text);
    }
    run.finish("CONFIG", &["configuration applied", "transaction"])
}

/// A client sends one request whose data holds a line feed and the text of another request.
fn smuggled(folder: &Path) -> Option<bool> {
    let run = Run::start(folder, 3, 3)?;
    run.start_writers(1, Duration::from_millis(100));
    run.sleep(2_000);
    for (number, addr) in run.fleet.front_addrs().into_iter().enumerate() {
        let (id, inner) = (new_id(), format!("feed{number:012x}"));
        let between = if run.trouble { "\n" } else { " " };
        let text = format!("WRITE a1 xkqp{between}QUERY {inner} WRITE b2 wnzd");
        run.shared.sent(&id);
        run.say(&format!("client sends {id} as one request: {text:?}"));
        let mut session = Session::open(addr, PRIMARY_DATABASE, KEY).ok()?;
        session.send(&format!("QUERY {id} {text}\r\n"))?;
        for _ in 0..2 {
            run.say(&format!("client gets {:?}", session.receive()));
        }
        run.sleep(500);
    }
    let state = run.shared.world.lock();
    let log = &state.instances[state.primary].log;
    for entry in log.iter().filter(|entry| entry.id.starts_with("feed") || entry.item == "a1") {
        run.say(&format!("log holds {} {} {:?}", entry.id, entry.item, entry.data));
    }
    drop(state);
    run.finish("UNASKED", &["request failed"])
}

/// The primary crashes and is back with its log after a second, before another instance takes
/// over. The path between it and the entry host of its zone loses packets meanwhile.
/// Once in 3 s, until the rule breaks.
fn stale(folder: &Path) -> Option<bool> {
    PROMOTE_MS.store(1_000, Ordering::Relaxed);
    let run = Run::start(folder, 3, 5)?;
    let fronts = run.fleet.front_addrs();
    run.start_readers_at(&fronts[..3], 2, Duration::from_millis(15));
    run.start_writers_at(&fronts[3..], 2, Duration::from_millis(20));
    run.sleep(2_000);
    let world = &run.shared.world;
    for round in 1..=33 {
        let primary = world.lock().primary;
        if run.trouble {
            run.say(&format!("round {round}: packets are lost; the primary crashes"));
            world.change(|state| {
                state.instances[primary].lossy_entry = Some(primary);
                state.crash(primary);
            });
        }
        run.sleep(1_000);
        if run.trouble {
            run.say("the primary is back with its log");
            world.change(|state| state.restart(primary));
        }
        run.sleep(1_200);
        if run.trouble {
            run.say("no packets are lost");
            world.change(|state| state.instances.iter_mut().for_each(|it| it.lossy_entry = None));
        }
        run.sleep(800);
        if !world.lock().broken.is_empty() {
            break;
        }
    }
    run.finish("STALE", &["primary change", "promotion", "fleet view applied"])
}

/// A replica receives nothing for a while and the primary crashes meanwhile; the other replica
/// is cut off from control. Shortly before the crash the entry hosts are killed and start again.
fn forgotten_commits(folder: &Path) -> Option<bool> {
    let mut run = Run::start(folder, 3, 3)?;
    run.start_writers(2, Duration::from_millis(40));
    run.sleep(3_000);
    let shared = run.shared.clone();
    let world = &shared.world;
    let (primary, near, far) = {
        let state = world.lock();
        let primary = state.primary;
        let replicas: Vec<usize> = (0..3).filter(|index| *index != primary).collect();
        (primary, replicas[0], replicas[1])
    };
    if run.trouble {
        run.say("a replica receives nothing; the other one is cut off from control");
        world.change(|state| {
            state.instances[far].deaf = true;
            state.instances[near].cut_from_control = true;
        });
    }
    run.sleep(500);
    if run.trouble {
        run.say("the entry hosts are killed");
        run.fleet.kill_entries();
    }
    run.sleep(200);
    if run.trouble {
        run.say("the primary crashes");
        world.change(|state| state.crash(primary));
    }
    run.sleep(300);
    if run.trouble {
        run.say("the entry hosts start again");
        run.fleet.start_entries().ok()?;
    }
    run.sleep(3_500);
    if run.trouble {
        run.say("the primary is back with its log; the cut has healed, the replica receives again");
        world.change(|state| {
            state.restart(primary);
            state.instances[near].cut_from_control = false;
            state.instances[far].deaf = false;
        });
    }
    run.sleep(5_000);
    run.finish("LOST", &["promotion", "primary change", "no target holds"])
}
