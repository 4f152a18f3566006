//! Control leader that is flooded with reports.

mod fleet_fixture;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::{Duration, Instant},
};

use fleet_fixture::{ControlHost, free_addrs, start_control, wait_for_leader};
use pomelopin::{
    clock::Millis,
    fleet::{
        control::ControlRequest,
        link::{decode, encode},
        messages::{Announcement, Frame, HostReport, TargetRole, ViewRevision},
    },
    ids::{ControlId, Incarnation},
    wire::group::{GroupBody, GroupMessage, GroupTerm, Hello, Member},
};
use tokio::{task::LocalSet, time::sleep};

/// Time without a heartbeat after which voters start an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

const FLOOD: Duration = Duration::from_secs(3);

const CONNECTIONS: usize = 20;

/// Known targets, and targets in each report. The leader compares each of the latter with all of
/// the former, which takes as long as a usual report on a small part of a processor.
const KNOWN_TARGETS: usize = 400;
const REPORTED_TARGETS: usize = 200;

fn target(id: String, addr: String, started_at_ms: u64) -> Announcement {
    Announcement {
        id: id.as_str().into(),
        service: "ledger".into(),
        addr,
        domain: "a".into(),
        draining: false,
        role: TargetRole::Replica,
        slots: 2,
        started_at_ms,
        sequence: 1,
        warmup_remaining: Millis(0),
    }
}

async fn announce_targets(host: &ControlHost) {
    for number in 0..KNOWN_TARGETS {
        let announcement = target(format!("t{number}"), format!("t{number}:1"), 2);
        host.handle.call(ControlRequest::Announce(Box::new(announcement))).await;
    }
}

/// Report of the host `name` with targets whose address belongs to a newer one by now.
fn outdated_report(name: &str) -> Frame {
    let addr = format!("t{}:1", KNOWN_TARGETS - 1);
    let outdated = (0..REPORTED_TARGETS).map(|it| target(format!("x{it}"), addr.clone(), 1));
    Frame::Report(HostReport {
        host: name.into(),
        incarnation: Incarnation(1),
        sent_at: Millis(1),
        config_version: 0,
        view_revision: ViewRevision::default(),
        bus_addr: "127.0.0.1:2".to_owned(),
        domain: "a".into(),
        leaving: false,
        usage: Vec::new(),
        targets: Vec::new(),
        acknowledged: Vec::new(),
        known_targets: outdated.collect(),
        limits: None,
        load: None,
    })
}

fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(&(bytes.len() as u32).to_be_bytes())?;
    stream.write_all(bytes)
}

fn read_frame(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut len = [0; 4];
    stream.read_exact(&mut len)?;
    let mut bytes = vec![0; u32::from_be_bytes(len) as usize];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Sends reports as fast as the leader takes them.
fn flood(addr: &str, name: &str) {
    let bytes = encode(&outdated_report(name));
    let mut stream = TcpStream::connect(addr).expect("leader");
    stream.set_write_timeout(Some(Duration::from_millis(100))).expect("a timeout");
    let began = Instant::now();
    while began.elapsed() < FLOOD && write_frame(&mut stream, &bytes).is_ok() {}
    thread::sleep(FLOOD.saturating_sub(began.elapsed()));
}

/// Asks the leader for its log, as a host does that joins.
fn join(leader: &str, own: SocketAddr) -> TcpStream {
    let name = own.to_string();
    let member = Member { name: name.clone(), bus_addr: name.clone(), ..Member::default() };
    let hello = Hello { member, initialized: false, reply_requested: true, nonce: 1 };
    let from = ControlId::from(format!("{name}.1"));
    let body = GroupBody::Hello(hello);
    let message = GroupMessage { from, to: None, term: GroupTerm(0), body };
    let mut stream = TcpStream::connect(leader).expect("leader");
    write_frame(&mut stream, &encode(&Frame::Group(message))).expect("an open connection");
    stream
}

/// Reports when each heartbeat of the leader arrives on a connection to `listener`.
fn collect_heartbeats(listener: &TcpListener, arrivals: &Sender<Instant>) {
    for stream in listener.incoming() {
        let mut stream = stream.expect("a connection");
        let arrivals = arrivals.clone();
        thread::spawn(move || {
            while let Ok(bytes) = read_frame(&mut stream) {
                let frame = decode(&bytes);
                let is_heartbeat = matches!(
                    frame,
                    Ok(Frame::Group(GroupMessage { body: GroupBody::Append(_), .. }))
                );
                if is_heartbeat && arrivals.send(Instant::now()).is_err() {
                    return;
                }
            }
        });
    }
}

/// Longest time without a heartbeat between `began` and `ended`.
fn longest_silence(arrivals: &Receiver<Instant>, began: Instant, ended: Instant) -> Duration {
    let mut longest = Duration::ZERO;
    let mut last = began;
    let in_time = arrivals.try_iter().filter(|at| *at > began && *at < ended);
    for at in in_time.collect::<Vec<_>>().into_iter().chain([ended]) {
        longest = longest.max(at - last);
        last = at;
    }
    longest
}

/// Guards against a leader that sends no heartbeats while it handles a full queue of reports, as
/// after all entry hosts have reconnected: the voters elect another one, to which all return.
#[tokio::test]
async fn flooded_leader_sends_heartbeats() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let folder = tempfile::tempdir().expect("temporary folder");
            let addrs = free_addrs(1);
            let hosts = [start_control(folder.path(), addrs[0], &addrs)];
            wait_for_leader(&hosts).await;
            announce_targets(&hosts[0]).await;
            let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
            let own = listener.local_addr().expect("bound");
            let (tx, arrivals) = channel();
            thread::spawn(move || collect_heartbeats(&listener, &tx));
            let _joining = join(&hosts[0].addr, own);
            sleep(ELECTION_TIMEOUT).await;
            let began = Instant::now();
            assert!(arrivals.try_iter().count() > 0, "no heartbeat before the flood");
            for number in 0..CONNECTIONS {
                let addr = hosts[0].addr.clone();
                thread::spawn(move || flood(&addr, &format!("h{number}")));
            }
            sleep(FLOOD).await;
            let silence = longest_silence(&arrivals, began, began + FLOOD);
            assert!(silence < ELECTION_TIMEOUT, "no heartbeat for {silence:?}");
        })
        .await;
}
