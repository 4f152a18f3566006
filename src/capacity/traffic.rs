//! Benchmarks of lease renewals, limiter grants, home sets and placement.

use super::{
    fleet::{self, FleetSize},
    series::{Series, mean_us},
    state::HOST_COUNTS,
};
use crate::{
    clock::Millis,
    ids::{Revision, SessionId},
    keys::host::HostKey,
    limits::limiter::{Limiter, limiter_owner},
    ownership::rendezvous,
    session::{
        history::HostHistory,
        home_set::{HomeSetHistory, SessionItem},
    },
    settings::{limits::LimitSettings, session::SessionSettings},
    state::model::WorkspaceSpec,
    wire::{
        control::{ControlMessage, RenewRequest, RenewResponse, Update},
        peer::GrantRequest,
    },
};

/// Bytes that the bus adds to each message: host name, incarnation, sequence number and
/// MAC.
const ENVELOPE_BYTES: f64 = 64.0;

fn renew_request(number: usize) -> ControlMessage {
    ControlMessage::RenewRequest(RenewRequest {
        host: fleet::host(number),
        sent_at: Millis(86_400_000),
        revision: Revision(50_000),
        stopped: false,
        announced: Vec::new(),
        observations: Vec::new(),
        releases: Vec::new(),
    })
}

/// Bytes sent, and processing time at the leader, for one lease renewal of every host.
pub fn renewals() -> [Series; 2] {
    let mut bytes = Series::new("Renewals of one interval (both directions)", "hosts", "bytes");
    let mut time = Series::new("Check and decode of the renewals of one interval", "hosts", "us");
    let key = HostKey::new("a key for the benchmark only");
    let Ok(key) = key else { return [bytes, time] };
    let response = ControlMessage::RenewResponse(RenewResponse::Lease {
        echo: Millis(86_400_000),
        lease: Millis(2_000),
        update: Update::None,
    });
    let response = postcard::to_stdvec(&response).unwrap_or_default();
    for hosts in HOST_COUNTS {
        let messages: Vec<Vec<u8>> = (0..hosts)
            .map(|number| postcard::to_stdvec(&renew_request(number)).unwrap_or_default())
            .collect();
        let sent: usize = messages.iter().map(|message| message.len() + response.len()).sum();
        bytes.push(hosts, sent as f64 + 2.0 * ENVELOPE_BYTES * hosts as f64);
        let us = mean_us(|| {
            for message in &messages {
                let mac = key.sign(message);
                std::hint::black_box(postcard::from_bytes::<ControlMessage>(message).is_ok());
                std::hint::black_box((mac, key.sign(&response)));
            }
        });
        time.push(hosts, us);
    }
    [bytes, time]
}

/// Time in which the limiter owner of a workspace grants one token request, by hosts.
pub fn limiter() -> [Series; 1] {
    let mut time = Series::new("Answer to one request for tokens", "hosts", "us");
    for hosts in HOST_COUNTS {
        let state = fleet::cluster_state(FleetSize { services: 1, ..FleetSize::for_hosts(hosts) });
        let mut history = HostHistory::default();
        history.record(Millis(0), &state.view.hosts, false);
        let workspace = fleet::workspace(0);
        let Some(owner) = history.current().and_then(|list| limiter_owner(&workspace, list)) else {
            continue;
        };
        let mut limiter = Limiter::new(owner.id.clone(), LimitSettings::default());
        let spec = WorkspaceSpec { rate: 1_000_000, burst: 1_000_000, ..WorkspaceSpec::default() };
        let host = fleet::host_id(1);
        let request = GrantRequest { workspace, host, waiting: 1, expected: 10 };
        let mut now = Millis(10_000);
        let us = mean_us(|| {
            now += Millis(1);
            limiter.grant(now, &request, &spec, &history)
        });
        time.push(hosts, us);
    }
    [time]
}

/// Time to look up the home set of one session, by hosts.
pub fn home_sets() -> [Series; 1] {
    let mut time = Series::new("Home hosts of one session", "hosts", "us");
    let item = SessionItem::new(&fleet::workspace(0), &SessionId::from("session"));
    for hosts in HOST_COUNTS {
        let state = fleet::cluster_state(FleetSize { services: 1, ..FleetSize::for_hosts(hosts) });
        let mut history = HomeSetHistory::new(fleet::host_id(0), SessionSettings::default());
        history.record(Millis(0), &state.view.hosts, false);
        time.push(hosts, mean_us(|| history.home_set(&item)));
    }
    [time]
}

/// Time to choose the owner of one item by rendezvous hashing, by hosts.
pub fn placement() -> [Series; 1] {
    let mut time = Series::new("Rendezvous choice of one owner", "hosts", "us");
    for hosts in HOST_COUNTS {
        let state = fleet::cluster_state(FleetSize { services: 1, ..FleetSize::for_hosts(hosts) });
        let domain = fleet::failure_domain(0);
        let us = mean_us(|| {
            rendezvous::owner("workspace-00001", state.view.hosts.values(), Some(&domain))
                .map(|host| host.id.clone())
        });
        time.push(hosts, us);
    }
    [time]
}
