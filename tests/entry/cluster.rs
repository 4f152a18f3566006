//! Test cluster: one control host, two entry hosts and a replication group of three
//! simulated targets, with clients.

use std::{net::SocketAddr, time::Duration};

use pomelopin::{
    clock::Millis,
    ids::{FailureDomain, InstanceId, Service},
    settings::target::{Peer, TargetSettings},
    target::{
        faults::Partition,
        run::{Listeners, Running, start},
    },
    wire::operator::{ApplyRequest, ApplyResponse, StatusResponse},
};
use tokio::time::{Instant, sleep};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, error::SqlState};

use crate::{
    config_file::ConfigFile,
    host::{ANNOUNCEMENT_KEY, ControlHost, EntryHost, TOKEN},
};

/// Longest wait for an expected state of the cluster.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for the response to a statement.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause between two checks for an expected state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Failure domains of the simulated targets; the entry hosts are in the first two.
const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// Running hosts and simulated targets; all of them end when it is dropped.
pub struct Cluster {
    pub entries: Vec<EntryHost>,
    pub targets: Vec<Running>,
    pub control: ControlHost,
    pub config_file: ConfigFile,
}

/// Settings of a cluster before its start.
#[derive(Default)]
pub struct ClusterBuilder {
    lag: u64,
}

impl ClusterBuilder {
    /// Sets the replication lag of the simulated targets in milliseconds.
    pub fn lag(mut self, ms: u64) -> Self {
        self.lag = ms;
        self
    }

    /// Starts the cluster and waits until both entry hosts serve writes.
    pub async fn start(self) -> Cluster {
        let control = ControlHost::start();
        let start_entry = |index: usize| {
            let (name, domain) = (format!("entry-{index}"), DOMAINS[index]);
            EntryHost::start(&name, domain, &control, None)
        };
        let entries = vec![start_entry(0), start_entry(1)];
        let targets = start_targets(&entries, self.lag).await;
        let mut cluster = Cluster { entries, targets, control, config_file: ConfigFile::default() };
        cluster.apply_config_file().await;
        for entry in 0..cluster.entries.len() {
            cluster.wait_until_serving(entry).await;
        }
        cluster
    }
}

async fn start_targets(entries: &[EntryHost], lag: u64) -> Vec<Running> {
    let base = TargetSettings {
        service: Service::from("returns"),
        slots: 4,
        lag: Millis(lag),
        announce_to: entries.iter().map(|entry| entry.http).collect(),
        announce_interval: Millis(100),
        announcement_key: ANNOUNCEMENT_KEY.as_bytes().to_vec(),
        ..TargetSettings::default()
    };
    let mut bound = Vec::new();
    for _ in DOMAINS {
        bound.push(Listeners::bind(&base).await.unwrap());
    }
    let name = |index: usize| InstanceId::from(format!("returns-{index}"));
    let http = |listeners: &Listeners| listeners.http.local_addr().unwrap();
    let peers: Vec<Peer> = bound
        .iter()
        .enumerate()
        .map(|(index, listeners)| Peer { name: name(index), http: http(listeners) })
        .collect();
    let mut targets = Vec::new();
    // The primary starts last, because it requests the term of its peers at startup.
    for (index, listeners) in bound.into_iter().enumerate().rev() {
        let mut peers = peers.clone();
        peers.remove(index);
        let settings = TargetSettings {
            name: name(index),
            failure_domain: FailureDomain::from(DOMAINS[index]),
            peers,
            primary: index == 0,
            ..base.clone()
        };
        targets.push(start(settings, listeners).await.unwrap());
    }
    targets.reverse();
    targets
}

impl Cluster {
    pub fn builder() -> ClusterBuilder {
        ClusterBuilder::default()
    }

    pub async fn start() -> Self {
        Self::builder().start().await
    }

    /// Applies a changed file and waits until every live host has applied it.
    pub async fn apply(&mut self, change: impl FnOnce(&mut ConfigFile)) {
        self.config_file.version += 1;
        change(&mut self.config_file);
        self.apply_config_file().await;
    }

    async fn apply_config_file(&mut self) {
        let version = self.config_file.version;
        let request = ApplyRequest {
            id: format!("apply-{version}").into(),
            operator: "tester".to_owned(),
            expected_version: version - 1,
            file: self.config_file.text(),
            wait_ms: 1_000,
        };
        let url = format!("http://{}/v1/apply", self.control.http);
        wait_until("all hosts have applied the configuration file", async || {
            let post = reqwest::Client::new().post(&url).bearer_auth(TOKEN).json(&request);
            let Ok(response) = post.send().await else { return false };
            let status = response.status().as_u16();
            let text = response.text().await.unwrap();
            assert!(
                ![401, 409, 422].contains(&status),
                "apply failed with status {status}: {text}"
            );
            status == 200
                && serde_json::from_str::<ApplyResponse>(&text).unwrap().pending_hosts.is_empty()
        })
        .await;
    }

    /// Waits until an entry host serves writes.
    async fn wait_until_serving(&self, entry: usize) {
        wait_until("the entry host serves writes", async || {
            let Ok(client) = self.try_connect(entry, "alpha", &self.config_file.key("alpha")).await
            else {
                return false;
            };
            let update = "UPDATE bookings SET value = 'x' WHERE id = 'none'";
            client.simple_query(update).await.is_ok()
        })
        .await;
    }

    /// Sends a GET request to the operator API and returns the response body.
    pub async fn operator_get(&self, path: &str) -> String {
        let url = format!("http://{}{path}", self.control.http);
        let get = reqwest::Client::new().get(url).bearer_auth(TOKEN);
        get.send().await.unwrap().text().await.unwrap()
    }

    pub async fn status(&self) -> StatusResponse {
        serde_json::from_str(&self.operator_get("/v1/status").await).unwrap()
    }

    /// Client configuration for an entry host.
    pub fn client_config(&self, entry: usize, user: &str) -> Config {
        client_config(self.entries[entry].caller, user)
    }

    pub async fn try_connect(
        &self,
        entry: usize,
        user: &str,
        password: &str,
    ) -> Result<Client, tokio_postgres::Error> {
        connect(self.client_config(entry, user).password(password)).await
    }

    /// Connects a caller with the key of `workspace`.
    pub async fn connect(&self, entry: usize, workspace: &str) -> Client {
        self.try_connect(entry, workspace, &self.config_file.key(workspace)).await.unwrap()
    }

    /// Connects a caller and sets the name of its session.
    pub async fn connect_session(&self, entry: usize, workspace: &str, session: &str) -> Client {
        let client = self.connect(entry, workspace).await;
        run(&client, &format!("SET pomelopin.session = '{session}'")).await.unwrap();
        client
    }

    /// Cuts the replication of a simulated target in both directions. Entry hosts can
    /// still reach it.
    pub fn cut_replication(&self, index: usize) {
        let peers = &self.targets[index].instance.settings.peers;
        let names = peers.iter().map(|peer| peer.name.to_string()).collect();
        self.targets[index].instance.faults.partition(Partition::From(names));
    }
}

/// Client configuration for the listener at `addr`.
pub fn client_config(addr: SocketAddr, user: &str) -> Config {
    let mut config = Config::new();
    config.host("127.0.0.1").port(addr.port()).user(user).dbname("returns");
    config.connect_timeout(Duration::from_secs(5));
    config
}

/// Opens a connection and runs it in a task.
pub async fn connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// SQLSTATE of an error, or its text if it has none, as after a closed connection.
pub fn code(error: &tokio_postgres::Error) -> String {
    error.code().map_or_else(|| format!("no SQLSTATE: {error}"), |code| code.code().to_owned())
}

/// Runs `sql`; returns the first column of all rows, or the SQLSTATE of the error.
pub async fn run(client: &Client, sql: &str) -> Result<Vec<String>, String> {
    let answer = tokio::time::timeout(RESPONSE_TIMEOUT, client.simple_query(sql)).await;
    let messages = answer.unwrap_or_else(|_| panic!("no response to `{sql}`"));
    let messages = messages.map_err(|error| code(&error))?;
    let value = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or("NULL").to_owned()),
        _ => None,
    };
    Ok(messages.iter().filter_map(value).collect())
}

/// Runs `sql`, which must fail, and returns the SQLSTATE.
pub async fn expect_error(client: &Client, sql: &str) -> String {
    match run(client, sql).await {
        Ok(rows) => panic!("`{sql}` succeeded with {rows:?}"),
        Err(code) => code,
    }
}

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + STATE_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "not reached in {STATE_TIMEOUT:?}: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// SQLSTATE for a key that is no longer valid.
pub const KEY_WITHDRAWN: &str = "28000";

/// SQLSTATE for a wrong key.
pub const WRONG_KEY: SqlState = SqlState::INVALID_PASSWORD;
