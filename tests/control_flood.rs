//! Control host of the product that is flooded with messages.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use std::{
    collections::BTreeMap,
    net::TcpListener,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use pomelopin::{
    adapters::{
        bus::{Bus, BusSettings, InboundMessage},
        disk::{Disk, Opened},
        disk_queue::DiskQueue,
        fencing::FencingClient,
    },
    clock::{Clock, Millis, SystemClock},
    control::{
        event_loop::{Event, EventLoop, Parts},
        metrics::Metrics,
        node::{GroupPolicy, Node, NodeSettings},
    },
    ids::{ControlId, Incarnation},
    keys::host::HostKey,
    settings::{
        control::ControlSettings,
        timing::{GroupTiming, LeaseTiming},
    },
    state::model::ClusterState,
    wire::{
        control::ControlMessage,
        group::{
            Append, GroupBody, GroupMessage, GroupTerm, Hello, LogEntry, LogId, Member, Payload,
        },
    },
};
use tokio::sync::mpsc;

const KEY: &str = "shared key of the test";

/// Time without a heartbeat after which voters start an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

const FLOOD: Duration = Duration::from_secs(3);

/// Capacity of the queue from the bus to the event loop.
const INBOUND_QUEUE_MESSAGES: usize = 8192;

const HELLO_INTERVAL: Duration = Duration::from_millis(200);

/// Entries in each message of the flood, so that decoding it takes a while.
const FLOOD_ENTRIES: usize = 2_000;

fn free_addr() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

fn bus(name: &str, listen: &str) -> (Bus, mpsc::Receiver<InboundMessage>) {
    Bus::bind(BusSettings {
        listen: listen.to_owned(),
        name: name.to_owned(),
        incarnation: Incarnation(1),
        key: HostKey::new(KEY).unwrap(),
    })
    .unwrap()
}

fn member(name: &str, addr: &str) -> Member {
    Member { name: name.to_owned(), bus_addr: addr.to_owned(), ..Member::default() }
}

fn message_of(from: &str, to: Option<&str>, body: GroupBody) -> Bytes {
    let (from, to) = (ControlId::from(from), to.map(ControlId::from));
    let message = GroupMessage { from, to, term: GroupTerm(0), body };
    postcard::to_stdvec(&ControlMessage::Group(message)).unwrap().into()
}

fn settings(group: &BTreeMap<String, String>, folder: &Path) -> ControlSettings {
    ControlSettings {
        name: "c1".to_owned(),
        control_hosts: group.clone(),
        bus_listen: group["c1"].parse().unwrap(),
        http_listen: free_addr().parse().unwrap(),
        data_folder: folder.to_owned(),
        host_key: HostKey::new(KEY).unwrap(),
        token: "operator token of the test".parse().unwrap(),
        group_timing: GroupTiming::default(),
        lease_timing: LeaseTiming::default(),
    }
}

/// Starts the event loop of `c1` on a thread of its own, as the server program does.
fn start(
    settings: ControlSettings,
    bus: Bus,
    inbound: mpsc::Receiver<InboundMessage>,
) -> mpsc::Sender<Event> {
    let (events_tx, events) = mpsc::channel(16);
    let fencing = FencingClient::new(tokio::runtime::Handle::current(), &events_tx).unwrap();
    let Opened { disk, id, stored, .. } = Disk::open(&settings.data_folder, "c1").unwrap();
    let clock = SystemClock::default();
    let node_settings = NodeSettings {
        id,
        member: member("c1", &settings.control_hosts["c1"]),
        group: settings.control_hosts.clone(),
        seed: 1,
        timing: GroupTiming::default(),
        policy: GroupPolicy::default(),
    };
    let node = Node::new(node_settings, stored, clock.now());
    let (disk, confirmations) = DiskQueue::start(disk).unwrap();
    let (settings, metrics) = (Arc::new(settings), Arc::new(Metrics::new()));
    let state = ClusterState::default();
    let parts = Parts { settings, clock, node, disk, bus, fencing, state, metrics };
    let event_loop = EventLoop::new(parts);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    thread::spawn(move || runtime.block_on(event_loop.run(inbound, events, confirmations)));
    events_tx
}

/// Joins the group of `c1` as `c2`, which holds no log, until the first heartbeat arrives.
async fn join(bus: &Bus, inbound: &mut mpsc::Receiver<InboundMessage>, group: &[String; 2]) {
    let hello = |reply_requested, nonce| {
        let member = member("c2", &group[1]);
        let hello = Hello { member, initialized: false, reply_requested, nonce };
        bus.send(&group[0], &message_of("c2.1", None, GroupBody::Hello(hello)));
    };
    loop {
        let Ok(message) = tokio::time::timeout(HELLO_INTERVAL, inbound.recv()).await else {
            hello(true, 1);
            continue;
        };
        let message = postcard::from_bytes(&message.unwrap().body).unwrap();
        let ControlMessage::Group(GroupMessage { body, .. }) = message else { continue };
        match body {
            GroupBody::Hello(req) if req.reply_requested => hello(false, req.nonce),
            GroupBody::Append(_) => return,
            _ => {}
        }
    }
}

/// Longest time without a heartbeat from now until `until`.
async fn longest_silence(inbound: &mut mpsc::Receiver<InboundMessage>, until: Instant) -> Duration {
    let (mut longest, mut last) = (Duration::ZERO, Instant::now());
    loop {
        let received = tokio::time::timeout_at(until.into(), inbound.recv()).await;
        longest = longest.max(last.elapsed());
        let Ok(Some(message)) = received else { return longest };
        let message = postcard::from_bytes(&message.body).unwrap();
        if matches!(message, ControlMessage::Group(GroupMessage { body: GroupBody::Append(_), .. }))
        {
            last = Instant::now();
        }
    }
}

/// Guards against a leader that sends no heartbeats while messages arrive faster than it handles
/// them: its timer advances only while the event loop waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flooded_leader_sends_heartbeats() {
    let folder = tempfile::tempdir().unwrap();
    let group = [free_addr(), free_addr()];
    let names = ["c1", "c2"].map(str::to_owned).into_iter();
    let addresses: BTreeMap<_, _> = names.zip(group.clone()).collect();
    let (own, mut from_bus) = bus("c1", &group[0]);
    let (tx, inbound) = mpsc::channel(INBOUND_QUEUE_MESSAGES);
    let forwarded = tx.clone();
    tokio::spawn(async move {
        while let Some(message) = from_bus.recv().await {
            let _ = forwarded.send(message).await;
        }
    });
    let _events = start(settings(&addresses, folder.path()), own, inbound);
    let (other, mut heartbeats) = bus("c2", &group[1]);
    join(&other, &mut heartbeats, &group).await;

    let entry = LogEntry { term: GroupTerm(1), payload: Payload::Noop };
    let append = Append {
        previous: LogId::default(),
        entries: vec![entry; FLOOD_ENTRIES],
        commit: 0,
        sent_at: Millis(0),
    };
    let body = message_of("c2.1", Some("c3.1"), GroupBody::Append(append));
    let until = Instant::now() + FLOOD;
    thread::spawn(move || {
        while Instant::now() < until {
            let (from, body) = ("c2".to_owned(), body.clone());
            let message = InboundMessage { from, incarnation: Incarnation(1), body };
            if tx.blocking_send(message).is_err() {
                return;
            }
        }
    });
    let silence = longest_silence(&mut heartbeats, until).await;
    assert!(silence < ELECTION_TIMEOUT, "no heartbeat for {silence:?}");
}
