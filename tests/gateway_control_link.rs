//! Search of an entry host for the control leader.

mod gateway_fixture;

use std::{cell::RefCell, rc::Rc, time::Duration};

use futures::{SinkExt, StreamExt};
use gateway_fixture::UnreachableTargets;
use pomelopin::{
    clock::Millis,
    fleet::{
        config::FleetConfig,
        link::{decode, encode, split_framed},
        messages::{Frame, HostUpdate, LimitUpdate},
    },
    gateway::{
        control_link::{self, ControlHosts},
        cx::{Cx, GatewaySettings},
    },
    ids::Incarnation,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::LocalSet,
    time::sleep,
};

/// Answers the first report on a connection after `delay`.
async fn answer_late(stream: TcpStream, delay: Duration) {
    let (mut reader, mut writer) = split_framed(stream);
    let Some(Ok(bytes)) = reader.next().await else { return };
    let Ok(Frame::Report(report)) = decode(&bytes) else { panic!("no report") };
    sleep(delay).await;
    let update = HostUpdate {
        echo: report.sent_at,
        lease: Millis(1_500),
        limits: Some(LimitUpdate::default()),
        ..HostUpdate::default()
    };
    // The host may have given the connection up.
    let _ = writer.send(encode(&Frame::Update(update))).await;
    while reader.next().await.is_some() {}
}

/// Guards against a host that gives up each connection to a leader which answers late, because
/// all hosts return to it at once (18 s without contact on kcrc-pool-large): the more often it
/// gives up, the longer it must wait.
#[tokio::test]
async fn host_gets_an_answer_from_a_leader_that_works_on_many_reports() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
            let addr = listener.local_addr().expect("bound").to_string();
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let delay = Duration::from_millis(1_300);
                    tokio::task::spawn_local(answer_late(stream, delay));
                }
            });
            let cx = Rc::new(Cx::new(
                GatewaySettings::default(),
                UnreachableTargets(FleetConfig::default()),
            ));
            let control_hosts = Rc::new(RefCell::new(ControlHosts::new(vec![addr])));
            tokio::task::spawn_local(control_link::run(cx.clone(), control_hosts, Incarnation(1)));
            sleep(Duration::from_secs(4)).await;
            assert!(cx.lease.borrow().contact_at() > Millis(0), "the host has no answer yet");
        })
        .await;
}
