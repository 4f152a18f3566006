//! The cases: what each disrupts, and when.

use std::{path::Path, time::Duration};

use crate::{Platform, Run};

/// Runs a case; returns whether its rule was broken, or `None` if the case could not run.
pub fn run(case: &str, folder: &Path) -> Option<bool> {
    match case {
        "lost-commits" => lost_commits(folder),
        "drain" => drain(folder),
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

/// The primary is to be replaced while the platform answers nothing for 10 s.
fn drain(folder: &Path) -> Option<bool> {
    let run = Run::start(folder, 3, 3)?;
    run.start_writers(1, Duration::from_millis(100));
    run.sleep(3_000);
    let world = &run.shared.world;
    let primary = world.lock().primary;
    if run.trouble {
        run.say("the platform is down");
        if let Ok(mut platform) = run.shared.platform.lock() {
            *platform = Platform::Down;
        }
    }
    run.say("the primary leaves");
    world.change(|state| state.instances[primary].draining = true);
    run.sleep(10_000);
    run.say("the platform is up");
    if let Ok(mut platform) = run.shared.platform.lock() {
        *platform = Platform::Up;
    }
    run.sleep(4_000);
    run.finish("DRAIN", &["promotion", "primary change"])
}
