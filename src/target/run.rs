//! Start of an instance: listeners and background tasks.

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

/// Time that a peer has to answer at the start of a primary.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Running instance; its tasks end when it is dropped.
#[derive(Debug)]
pub struct Running {
    pub instance: Arc<Instance>,
    pub sql_addr: SocketAddr,
    pub http_addr: SocketAddr,
    tasks: JoinSet<()>,
}

impl Running {
    /// Waits until a task ends, which only a defect causes.
    pub async fn wait(&mut self) {
        self.tasks.join_next().await;
    }
}

/// Listeners of an instance before its start.
#[derive(Debug)]
pub struct Listeners {
    pub sql: TcpListener,
    pub http: TcpListener,
}

impl Listeners {
    /// Binds the addresses of `settings`.
    pub async fn bind(settings: &TargetSettings) -> Result<Self> {
        let bind = async |addr: SocketAddr| {
            TcpListener::bind(addr).await.wrap_err_with(|| format!("cannot listen on {addr}"))
        };
        Ok(Self { sql: bind(settings.sql_listen).await?, http: bind(settings.http_listen).await? })
    }
}

/// Starts an instance on bound listeners.
pub async fn start(settings: TargetSettings, listeners: Listeners) -> Result<Running> {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = Incarnation(since_1970.as_millis() as u64);
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
            spdlog::error!("HTTP listener: {error}");
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

/// Whether a peer has accepted a term.
///
/// A restarted primary has lost its memory and must not claim its old term with
/// an empty log.
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
