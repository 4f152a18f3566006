//! Owner of one instance at the fake backend, and shorthands for requests.

use std::time::Duration;

use pomelopin::{
    ids::{Epoch, Incarnation, InstanceId, RequestKey, Revision, Service, Term},
    owner::Owner,
    settings::owner::OwnerSettings,
    state::model::{Assignment, ClusterView, Group, Instance, InstanceSpec},
    wire::peer::{
        Execute, Mode, Outcome, ReadBound, RequestRecord, Rows, Statement, TransactionId,
    },
};
use tokio::time::{sleep, timeout};

use super::FakeBackend;

pub const INSERT: &str = "INSERT INTO jobs VALUES (1)";

/// Owner with one instance, which is served by the fake backend.
pub struct Fixture {
    pub owner: Owner,
    pub backend: FakeBackend,
    pub view: ClusterView,
}

impl Fixture {
    pub async fn start() -> Self {
        Self::with_settings(OwnerSettings::default()).await
    }

    pub async fn with_settings(settings: OwnerSettings) -> Self {
        Self::with_backend(FakeBackend::start().await, settings).await
    }

    pub async fn with_backend(backend: FakeBackend, settings: OwnerSettings) -> Self {
        let fixture = Self {
            owner: Owner::new(settings, "e1".into(), Incarnation(7)),
            view: view(&backend.addr),
            backend,
        };
        fixture.owner.update_view(&fixture.view);
        fixture.owner.lease_renewed();
        fixture
    }

    pub async fn run(&self, mode: Mode, sql: &str) -> Outcome {
        self.owner.execute(request(mode, sql)).await
    }

    /// Inserts a job under a request key.
    pub async fn write(&self, key: &str, digest: &str) -> Outcome {
        self.run(Mode::Write { term: Term(1), record: Some(record(key, digest)) }, INSERT).await
    }

    /// Instance in the view; changes take effect with [`Fixture::apply_view`].
    pub fn instance(&mut self) -> &mut Instance {
        &mut self.view.instances[0]
    }

    pub fn apply_view(&self) {
        self.owner.update_view(&self.view);
    }

    pub fn open_connections(&self) -> usize {
        self.backend.state.lock().open
    }
}

fn view(addr: &str) -> ClusterView {
    let spec = InstanceSpec {
        id: "a1".into(),
        service: "a".into(),
        failure_domain: "d1".into(),
        incarnation: Incarnation(1),
        sql_addr: addr.to_owned(),
        http_addr: String::new(),
        slots: 2,
        connections: 8,
        leaving: false,
    };
    let owner = Assignment {
        host: "e1".into(),
        incarnation: Incarnation(7),
        epoch: Epoch(3),
        connections: 8,
    };
    let instance = Instance { spec, owner: Some(owner), previous: None };
    let group = Group { term: Term(1), primary: Some("a1".into()), promotion: None };
    ClusterView {
        revision: Revision(1),
        instances: [(InstanceId::from("a1"), instance)].into_iter().collect(),
        groups: [(Service::from("a"), group)].into_iter().collect(),
        ..ClusterView::default()
    }
}

pub fn request(mode: Mode, sql: &str) -> Execute {
    Execute {
        instance: "a1".into(),
        epoch: Epoch(3),
        workspace: Some("w".into()),
        weight: 10,
        statement: Statement { sql: sql.to_owned(), bind: None },
        mode,
        deadline_ms: 1_000,
    }
}

pub fn record(key: &str, digest: &str) -> RequestRecord {
    RequestRecord { key: RequestKey::from(key), digest: digest.to_owned() }
}

pub fn transaction(number: u64) -> TransactionId {
    TransactionId { host: "e2".into(), incarnation: Incarnation(1), number }
}

pub fn begin(number: u64) -> Mode {
    Mode::Begin { transaction: transaction(number), term: Term(1) }
}

pub fn in_transaction(number: u64) -> Mode {
    Mode::InTransaction { transaction: transaction(number) }
}

pub fn commit(number: u64) -> Mode {
    Mode::Commit { transaction: transaction(number), record: None }
}

pub fn primary_read() -> Mode {
    Mode::Read(ReadBound { term: Term(1), ..ReadBound::default() })
}

pub fn expect_done(outcome: Outcome) -> Rows {
    match outcome {
        Outcome::Done(rows) => rows,
        other => panic!("{other:?}"),
    }
}

/// Command tag, refusal or error code of an outcome, for comparisons.
pub fn outcome_label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Done(rows) => rows.tag.clone(),
        Outcome::Refused(refusal) => format!("{refusal:?}"),
        Outcome::Failed(failure) => failure.code.clone(),
        Outcome::Unknown { .. } => "unknown".to_owned(),
    }
}

/// Waits until a condition holds, at most 5 s.
pub async fn eventually(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(5), wait).await.expect("condition holds within 5 s");
}
