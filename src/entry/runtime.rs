//! Start and planned stop of an entry host.

use std::{sync::Arc, time::Duration};

use eyre::{Context, Result};
use pgwire::tokio::TlsAcceptor;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::timeout,
};

use super::{
    announcements, caller::CallerService, control::ControlLink, cx::Cx, peers::EntryPeerService,
    stop::StopStage, tls,
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

/// Announcements that wait for their handling.
const ANNOUNCEMENT_QUEUE: usize = 1024;

/// Longest wait for callers to finish their transactions in a planned stop.
const CALLER_DRAIN: Duration = Duration::from_secs(30);

/// Longest wait for the release of owned instances in a planned stop.
const OWNER_DRAIN: Duration = Duration::from_secs(10);

/// Runs an entry host until `stop` resolves and the planned stop has ended.
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
        () = cx.stop.until_removed() => {
            eyre::bail!("the control group has removed this incarnation of the host");
        }
    }
    servers.stop(&cx).await;
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
        tokio::spawn(ControlLink::new(cx.clone(), bus, inbound).run());

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

    /// Planned stop: no request is cut off.
    async fn stop(self, cx: &Arc<Cx>) {
        spdlog::info!("planned stop: not ready from now on");
        cx.stop.advance(StopStage::NotReady);
        cx.report_soon.notify_one();
        // The balancer needs time to notice before connections are refused.
        tokio::time::sleep(cx.settings.stop_delay.duration()).await;
        cx.stop.advance(StopStage::Leaving);
        self.close.send_replace(true);
        self.leave.send_replace(true);
        if timeout(CALLER_DRAIN, self.callers).await.is_err() {
            spdlog::warn!("some callers still had transactions after {CALLER_DRAIN:?}");
        }
        wait_for_release(cx).await;
        cx.stop.advance(StopStage::Stopped);
        cx.report_soon.notify_one();
        // Lets the last renewal leave before the process ends.
        tokio::time::sleep(Duration::from_millis(200)).await;
        spdlog::info!("planned stop has ended");
    }
}

/// Waits until other hosts own all instances of this host.
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
    if timeout(OWNER_DRAIN, released).await.is_err() {
        spdlog::warn!("some instances were not handed over after {OWNER_DRAIN:?}");
    }
}

async fn listen(flag: &str, addr: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("{flag}: cannot listen on {addr}"))
}
