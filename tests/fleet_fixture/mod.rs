//! Control hosts of a fleet in this process, and the report of an entry host.

#![allow(dead_code)]

use std::{net::SocketAddr, path::Path};

use eyre::Result;
use futures::SinkExt;
use pomelopin::{
    clock::Millis,
    fleet::{
        config::FleetConfig,
        control::{ControlRequest, ControlResponse},
        failover::{TargetCommand, TargetStatus},
        link::{FrameWriter, encode},
        messages::{Announcement, Frame, HostReport, LimitReport, ViewRevision},
        runtime::{
            ControlHandle, FleetControlSettings, Ports, PromotionOutcome, PromotionRequest, start,
        },
    },
    ids::Incarnation,
    settings::timing::GroupTiming,
};
use tokio::{
    task::JoinHandle,
    time::{Duration, sleep},
};

/// Time after the acknowledgement of a configuration from which no host acts on an older one.
const MAX_CONFIG_DELAY: Millis = Millis(5_000);

/// Time after the acknowledgement of an evacuation from which no host uses the domain.
const MAX_EVACUATION_DELAY: Millis = Millis(5_000);

#[derive(Clone)]
struct StubPorts;

impl Ports for StubPorts {
    async fn send_command(&self, _: &Announcement, _: TargetCommand) -> Option<TargetStatus> {
        None
    }

    async fn promote(&self, _: &PromotionRequest) -> PromotionOutcome {
        std::future::pending().await
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(FleetConfig::default())
    }
}

/// Running control host.
pub struct ControlHost {
    pub handle: ControlHandle,
    pub addr: String,
    pub task: JoinHandle<()>,
}

/// Free addresses on loopback.
pub fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let listener = || std::net::TcpListener::bind("127.0.0.1:0").expect("free port");
    let listeners: Vec<_> = std::iter::repeat_with(listener).take(count).collect();
    listeners.iter().map(|it| it.local_addr().expect("bound")).collect()
}

/// Starts the control host at `addr` of the group at `group`.
pub fn start_control(folder: &Path, addr: SocketAddr, group: &[SocketAddr]) -> ControlHost {
    let settings = FleetControlSettings {
        bus_addr: addr,
        listen_addr: addr,
        http_addr: "127.0.0.1:1".to_owned(),
        seeds: group.iter().map(SocketAddr::to_string).collect(),
        may_bootstrap: true,
        data_folder: folder.join(addr.port().to_string()),
        tolerated_losses: 1,
        replacement_time: Millis(4_000),
        timing: GroupTiming::default(),
        lease_holder: "c1".to_owned(),
        announce_interval: Millis(1_200),
        promotions_are_fenced: true,
        max_config_delay: MAX_CONFIG_DELAY,
        max_evacuation_delay: MAX_EVACUATION_DELAY,
    };
    let (handle, run) = start(&settings, StubPorts).expect("control host");
    let task = tokio::task::spawn_local(async move { run.await.expect("running control host") });
    ControlHost { handle, addr: addr.to_string(), task }
}

/// Waits until one of the control hosts is a leader with a confirmed majority; returns it.
pub async fn wait_for_leader(hosts: &[ControlHost]) -> usize {
    loop {
        for (index, host) in hosts.iter().enumerate() {
            let response = host.handle.call(ControlRequest::ReadConfig).await;
            if matches!(response, ControlResponse::Config(_)) {
                return index;
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Sends the report of the entry host `h1` with the version `config_version`.
pub async fn send_report(writer: &mut FrameWriter, sent_at: Millis, config_version: u64) {
    send_report_with_view(writer, sent_at, config_version, ViewRevision::default()).await;
}

/// Sends the report of the entry host `h1` with the view `view_revision`.
pub async fn send_report_with_view(
    writer: &mut FrameWriter,
    sent_at: Millis,
    config_version: u64,
    view_revision: ViewRevision,
) {
    let report = HostReport {
        host: "h1".into(),
        incarnation: Incarnation(1),
        sent_at,
        config_version,
        view_revision,
        bus_addr: "127.0.0.1:2".to_owned(),
        domain: "a".into(),
        leaving: false,
        usage: Vec::new(),
        targets: Vec::new(),
        acknowledged: Vec::new(),
        known_targets: Vec::new(),
        limits: Some(LimitReport::default()),
        load: None,
    };
    writer.send(encode(&Frame::Report(report))).await.expect("open connection");
}
