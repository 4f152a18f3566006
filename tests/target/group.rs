//! In-process replication groups and clients for them.

use std::{future::Future, time::Duration};

use pomelopin::{
    ids::{InstanceId, Mark, Service},
    settings::target::{Peer, TargetSettings},
    target::{
        faults::{AllHosts, Partition},
        run::{Listeners, Running, start},
    },
};
use tokio::time::{Instant, sleep};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, error::SqlState};

/// Longest wait for a condition or message.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Replication group that runs in the test process; instance 0 starts as primary.
pub struct Group {
    pub instances: Vec<Running>,
}

impl Group {
    pub async fn start(size: usize, settings: TargetSettings) -> Group {
        let mut bound = Vec::new();
        for _ in 0..size {
            bound.push(Listeners::bind(&settings).await.unwrap());
        }
        let peers: Vec<Peer> = bound
            .iter()
            .enumerate()
            .map(|(index, listeners)| Peer {
                name: name(index),
                http: listeners.http.local_addr().unwrap(),
            })
            .collect();
        let mut instances = Vec::new();
        // The primary starts last, because it asks its peers for their terms.
        for (index, listeners) in bound.into_iter().enumerate().rev() {
            let mut peers = peers.clone();
            peers.remove(index);
            let settings = TargetSettings {
                name: name(index),
                service: Service::from("returns"),
                peers,
                primary: index == 0,
                ..settings.clone()
            };
            instances.push(start(settings, listeners).await.unwrap());
        }
        instances.reverse();
        Group { instances }
    }

    pub async fn client(&self, index: usize) -> Client {
        connect(&self.instances[index], "pomelopin", "pomelopin").await.unwrap()
    }

    pub fn isolate(&self, index: usize) {
        self.instances[index].instance.faults.partition(Partition::All(AllHosts::All));
    }

    /// Blocks replication to and from an instance; its SQL port stays reachable.
    pub fn cut_replication(&self, index: usize) {
        let peers = self.instances[index].instance.settings.peers.iter();
        let names = peers.map(|peer| peer.name.to_string()).collect();
        self.instances[index].instance.faults.partition(Partition::From(names));
    }

    pub fn applied(&self, index: usize) -> Mark {
        let instance = &self.instances[index].instance;
        let now = instance.now();
        instance.with(|state| {
            state.apply_due(now);
            state.applied()
        })
    }

    pub async fn wait_applied(&self, index: usize, mark: Mark) {
        wait_for(|| async { self.applied(index).has_reached(mark) }).await;
    }
}

pub fn name(index: usize) -> InstanceId {
    InstanceId::from(format!("returns-{index}"))
}

pub async fn wait_for<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "condition not met within {WAIT_TIMEOUT:?}");
        sleep(Duration::from_millis(5)).await;
    }
}

pub async fn connect(
    running: &Running,
    user: &str,
    password: &str,
) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config.host("127.0.0.1").port(running.sql_addr.port()).user(user).password(password);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

pub fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("no SQLSTATE", SqlState::code)
}

pub async fn single() -> Group {
    Group::start(1, TargetSettings::default()).await
}

/// First row of a simple query, as text.
pub async fn simple_row(client: &Client, sql: &str) -> Vec<Option<String>> {
    let messages = client.simple_query(sql).await.unwrap();
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.expect("the query returns a row");
    (0..row.len()).map(|index| row.get(index).map(str::to_owned)).collect()
}

pub async fn amount(client: &Client, id: &str) -> Option<i64> {
    let rows = client.query("SELECT amount FROM credits WHERE id = $1", &[&id]).await.unwrap();
    rows.first().map(|row| row.get(0))
}

pub async fn wait_commit(client: &Client, timeout_ms: i64) -> (Mark, bool) {
    let row = client.query_one("SELECT pomelopin_wait_commit($1)", &[&timeout_ms]).await.unwrap();
    let number = |index: usize| u64::try_from(row.get::<_, i64>(index)).unwrap();
    (Mark::new(number(0), number(1)), row.get(2))
}
