//! Runs the load tool directly against a test target, without a proxy.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use pomelopin::{
    clock::Millis,
    ids::{Service, Workspace},
    load::{faults::Fault, limits::Limit, run::check},
    settings::{load::LoadSettings, target::TargetSettings},
    target::run::{Listeners, Running, start},
};
use tokio_postgres::{Client, Config, NoTls};

/// Duration of the load.
const DURATION: Millis = Millis(1_000);

async fn start_target() -> Running {
    let settings = TargetSettings { primary: true, ..TargetSettings::default() };
    let listeners = Listeners::bind(&settings).await.unwrap();
    start(settings, listeners).await.unwrap()
}

/// Settings whose workspace is the target's own user, because there is no proxy to map keys.
fn load_settings(running: &Running) -> LoadSettings {
    let workspace = Workspace::from("pomelopin");
    LoadSettings {
        entries: vec![running.sql_addr],
        services: vec![Service::from("returns")],
        keys: BTreeMap::from([(workspace, "pomelopin".to_owned())]),
        rate: 160.0,
        read_share: 0.5,
        roam: 0.1,
        duration: DURATION,
        run_id: Some("run".to_owned()),
        ..LoadSettings::default()
    }
}

async fn connect(running: &Running) -> Client {
    let mut config = Config::new();
    let port = running.sql_addr.port();
    config.host("127.0.0.1").port(port).user("pomelopin").password("pomelopin");
    let (client, connection) = config.connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

/// Guards against false violations reported for a correct target, including during a fault.
#[tokio::test]
async fn a_correct_instance_has_no_violations() {
    let running = start_target().await;
    let freeze = format!("at=300ms,action=freeze,ms=200,target=http://{}", running.http_addr);
    let fault: Fault = freeze.parse().unwrap();
    let report =
        check(LoadSettings { faults: vec![fault], ..load_settings(&running) }).await.unwrap();
    assert_eq!(report.violations(0.0), [], "{}", report.table());
    assert_eq!((report.requests, report.succeeded), (160, 160));
    assert!((200..900).contains(&report.failover_gap_ms), "gap {} ms", report.failover_gap_ms);
    assert!(report.reads.max_us >= 150_000, "latency is measured from the scheduled start");
}

/// Guards against violations that go unreported: rows deleted and changed behind the tool's back.
#[tokio::test]
async fn injected_violations_are_reported() {
    let running = start_target().await;
    let limits = BTreeMap::from([(Workspace::from("pomelopin"), Limit { rate: 50, burst: 10 })]);
    let settings = LoadSettings { limits, ..load_settings(&running) };
    let client = connect(&running).await;
    let tamper = async {
        let count = "SELECT count(*) FROM bookings";
        while client.query_one(count, &[]).await.unwrap().get::<_, i64>(0) < 20 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        client.batch_execute("DELETE FROM bookings").await.unwrap();
        client.batch_execute("UPDATE credits SET amount = amount + 100").await.unwrap();
    };
    let (report, ()) = tokio::join!(check(settings), tamper);
    let report = report.unwrap();
    assert!(report.lost >= 20, "{}", report.table());
    assert!(report.stale_reads > 0, "{}", report.table());
    assert_eq!(report.doubled, 400, "100 for each of 4 callers");
    assert!(report.over_rate > 50, "160 statements in 1 s, where 60 are allowed");
    assert_eq!(report.mixed, 0);
}
