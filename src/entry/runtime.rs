//! Startup and graceful shutdown of an entry host.

use std::{sync::Arc, time::Duration};

use eyre::{Context, Result};
use pgwire::tokio::TlsAcceptor;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::timeout,
};

use super::{
    announcements, caller::CallerService, control::ControlClient, cx::Cx, peers::EntryPeerService,
    shutdown::ShutdownStage, tls,
};
use crate::{
    adapters::{
        bus::{Bus, BusSettings},
        caller::{self, CallerListener},
        peer,
    },
    ids::Incarnation,
    owner::Owner,
    settings::{entry::EntrySettings, owner::OwnerSettings},
};

/// Capacity of the queue of received announcements.
const ANNOUNCEMENT_QUEUE: usize = 1024;

/// Time for callers to finish their transactions during a graceful shutdown.
const CALLER_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for other hosts to take over owned instances during a graceful shutdown.
const OWNER_RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs an entry host until `stop` resolves, then shuts it down gracefully.
///
/// Fails at once if the control group has removed this incarnation of the host.
pub async fn run(
    settings: EntrySettings,
    incarnation: Incarnation,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let owner_settings =
        OwnerSettings { password: settings.target_password.clone(), ..OwnerSettings::default() };
    let owner = Owner::new(owner_settings, settings.host.clone(), incarnation);
    let cx = Arc::new(Cx::new(settings, incarnation, owner));
    let servers = Servers::start(&cx).await?;
    spdlog::info!(
        "entry host {} is listening for callers on {}",
        cx.settings.host,
        cx.settings.caller_listen
    );
    tokio::select! {
        () = stop => {}
        () = cx.shutdown.wait_until_removed() => {
            eyre::bail!("the control group has removed this incarnation of the host");
        }
    }
    servers.shut_down(&cx).await;
    Ok(())
}

struct Servers {
    callers: tokio::task::JoinHandle<Result<()>>,
    leave: watch::Sender<bool>,
    close: watch::Sender<bool>,
}

impl Servers {
    async fn start(cx: &Arc<Cx>) -> Result<Self> {
        let settings = &cx.settings;
        let bus = BusSettings {
            listen: settings.bus_listen.to_string(),
            name: settings.host.to_string(),
            incarnation: cx.incarnation,
            key: settings.host_key.clone(),
        };
        let (bus, inbound) = Bus::bind(bus)?;
        tokio::spawn(ControlClient::new(cx.clone(), bus, inbound).run());

        let peers = listen("--peer-listen", settings.peer_listen).await?;
        let service = Arc::new(EntryPeerService { cx: cx.clone() });
        let (host, key) = (settings.host.clone(), settings.host_key.clone());
        tokio::spawn(peer::server::serve(peers, host, key, service));

        let (tx, rx) = mpsc::channel(ANNOUNCEMENT_QUEUE);
        tokio::spawn(announcements::run(cx.clone(), rx));
        let http = listen("--http-listen", settings.http_listen).await?;
        let router = super::http::entry_router(cx, tx);
        tokio::spawn(async move { axum::serve(http, router).await });
        tokio::spawn(cx.clone().serve_queues());

        let tls = settings.tls.as_ref().map(tls::acceptor).transpose()?;
        Self::listen_for_callers(cx, tls).await
    }

    async fn listen_for_callers(cx: &Arc<Cx>, tls: Option<TlsAcceptor>) -> Result<Self> {
        let listener = listen("--caller-listen", cx.settings.caller_listen).await?;
        let (leave, leave_rx) = watch::channel(false);
        let (close, close_rx) = watch::channel(false);
        let handler = Arc::new(CallerService { cx: cx.clone() });
        let server = CallerListener {
            listener,
            tls,
            handler,
            disconnect_idle: leave_rx,
            stop_accepting: close_rx,
        };
        Ok(Self { callers: tokio::spawn(caller::serve(server)), leave, close })
    }

    /// Shuts down gracefully, without interrupting a running request.
    async fn shut_down(self, cx: &Arc<Cx>) {
        spdlog::info!("graceful shutdown started; /ready now answers 503");
        cx.shutdown.advance(ShutdownStage::NotReady);
        cx.renew_now.notify_one();
        // Load balancers need time to see the failing readiness check before the
        // host refuses connections.
        tokio::time::sleep(cx.settings.stop_delay.duration()).await;
        cx.shutdown.advance(ShutdownStage::Draining);
        self.close.send_replace(true);
        self.leave.send_replace(true);
        if timeout(CALLER_DRAIN_TIMEOUT, self.callers).await.is_err() {
            spdlog::warn!(
                "some callers did not finish their transactions within {CALLER_DRAIN_TIMEOUT:?}"
            );
        }
        wait_for_release(cx).await;
        cx.shutdown.advance(ShutdownStage::Stopped);
        cx.renew_now.notify_one();
        // Leaves time for the last renewal to be sent before the process exits.
        tokio::time::sleep(Duration::from_millis(200)).await;
        spdlog::info!("graceful shutdown finished");
    }
}

/// Waits until other hosts have taken over all instances of this host, or until no
/// other host is left to take them over.
async fn wait_for_release(cx: &Arc<Cx>) {
    let released = async {
        loop {
            let state = cx.view.load();
            let held = state.view.instances.values().any(|instance| {
                let here = |assignment: &crate::state::model::Assignment| {
                    assignment.host == cx.settings.host && assignment.incarnation == cx.incarnation
                };
                instance.owner.as_ref().is_some_and(here)
                    || instance.previous.as_ref().is_some_and(here)
            });
            let other_takes_over =
                state.view.hosts.values().any(|host| host.id != cx.settings.host && !host.leaving);
            if !held || !other_takes_over {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if timeout(OWNER_RELEASE_TIMEOUT, released).await.is_err() {
        spdlog::warn!(
            "other hosts did not take over all instances within {OWNER_RELEASE_TIMEOUT:?}"
        );
    }
}

async fn listen(flag: &str, addr: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("{flag}: cannot listen on {addr}"))
}
