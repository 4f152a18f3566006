//! Connections of a control host that stay silent.

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::{free_addrs, start_control};
use tokio::{net::TcpListener, task::LocalSet, time::timeout};

/// Time in which connections are counted; a silent one is given up after 700 ms.
const OBSERVED: Duration = Duration::from_secs(4);

/// Guards against a connection to a seed that stays open although it has delivered nothing since
/// a partition: only connections to voters were reopened, and a host that joins has none.
#[tokio::test]
async fn silent_connection_to_a_seed_is_reopened() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let folder = tempfile::tempdir().expect("temporary folder");
            let addrs = free_addrs(1);
            let seed = TcpListener::bind("127.0.0.1:0").await.expect("free port");
            let seed_addr = seed.local_addr().expect("bound");
            let _host = start_control(folder.path(), addrs[0], &[addrs[0], seed_addr]);
            let mut silent = Vec::new();
            let _ = timeout(OBSERVED, async {
                loop {
                    silent.push(seed.accept().await.expect("connection"));
                }
            })
            .await;
            assert!(silent.len() >= 3, "{} connections", silent.len());
        })
        .await;
}

/// Guards against a host that is outside the group and asks only the seeds of its start, although
/// the settings name others now.
#[tokio::test]
async fn new_seed_of_a_running_host_is_asked() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let folder = tempfile::tempdir().expect("temporary folder");
            let addrs = free_addrs(2);
            let host = start_control(folder.path(), addrs[0], &addrs);
            let seed = TcpListener::bind("127.0.0.1:0").await.expect("free port");
            let seed_addr = seed.local_addr().expect("bound").to_string();
            host.handle.set_seeds(vec![seed_addr]).await;
            let connection = timeout(OBSERVED, seed.accept()).await;
            assert!(connection.is_ok(), "the new seed is not asked");
        })
        .await;
}
