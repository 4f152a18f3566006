//! Startup of an instance: listeners and background tasks.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eyre::{Result, WrapErr};
use tokio::{net::TcpListener, task::JoinSet};

use super::{
    announcer::{self, Addresses},
    http::{self, Status},
    instance::Instance,
    replication, server,
};
use crate::{ids::Incarnation, settings::target::TargetSettings};

/// Timeout of the status request to each peer when a primary starts.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Running instance; dropping it aborts its tasks.
#[derive(Debug)]
pub struct Running {
    pub instance: Arc<Instance>,
    pub sql_addr: SocketAddr,
    pub http_addr: SocketAddr,
    tasks: JoinSet<()>,
}

impl Running {
    /// Waits until a task ends; tasks run indefinitely, so that indicates a bug.
    pub async fn wait(&mut self) {
        self.tasks.join_next().await;
    }
}

/// Bound listeners of an instance that has not started yet.
#[derive(Debug)]
pub struct Listeners {
    pub sql: TcpListener,
    pub http: TcpListener,
}

impl Listeners {
    /// Binds the SQL and HTTP addresses from `settings`.
    pub async fn bind(settings: &TargetSettings) -> Result<Self> {
        let bind = async |addr: SocketAddr| {
            TcpListener::bind(addr).await.wrap_err_with(|| format!("cannot listen on {addr}"))
        };
        Ok(Self { sql: bind(settings.sql_listen).await?, http: bind(settings.http_listen).await? })
    }
}

/// Starts an instance on already bound listeners.
pub async fn start(settings: TargetSettings, listeners: Listeners) -> Result<Running> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = Incarnation(since_epoch.as_millis() as u64);
    let bootstrap = settings.primary && !group_has_term(&settings).await;
    let instance = Instance::new(settings, incarnation);
    if bootstrap {
        instance.bootstrap();
    }
    let sql_addr = listeners.sql.local_addr()?;
    let http_addr = listeners.http.local_addr()?;
    let addresses = Addresses { sql: sql_addr.to_string(), http: http_addr.to_string() };
    let router = http::router(instance.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn(server::serve(instance.clone(), listeners.sql));
    tasks.spawn(async move {
        if let Err(error) = axum::serve(listeners.http, router).await {
            spdlog::error!("HTTP server failed: {error}");
        }
    });
    tasks.spawn(replication::apply(instance.clone()));
    for peer in instance.settings.peers.clone() {
        tasks.spawn(replication::pull(instance.clone(), peer));
    }
    if !instance.settings.announce_to.is_empty() {
        tasks.spawn(announcer::announce(instance.clone(), addresses));
    }
    Ok(Running { instance, sql_addr, http_addr, tasks })
}

/// Whether any reachable peer has accepted a term.
///
/// Data is kept in memory only, so a restarted primary has an empty log and must
/// not claim its old term again.
async fn group_has_term(settings: &TargetSettings) -> bool {
    let client = reqwest::Client::new();
    for peer in &settings.peers {
        let request = client.get(format!("http://{}/status", peer.http)).timeout(PEER_TIMEOUT);
        let Ok(response) = request.send().await else { continue };
        if response.json::<Status>().await.is_ok_and(|status| status.term.0 > 0) {
            return true;
        }
    }
    false
}
