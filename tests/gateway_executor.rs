//! Execution of jobs on a host's own connections to a target.

use std::{cell::Cell, rc::Rc};

use eyre::Result;
use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        config::FleetConfig,
        failover::TargetStatus,
        messages::{Announcement, FleetView, TargetRole, ViewRevision},
    },
    gateway::{
        cx::{Cx, GatewaySettings},
        executor::execute,
        job::{Job, JobError, JobKind},
        ports::{TargetConnection, TargetFailure, TargetRequest, Targets},
        statement::{Answer, Request, Statement, TransactionState},
    },
    ids::{Mark, Workspace},
};

/// Targets that count the requests sent to them.
#[derive(Clone, Default)]
struct CountingTargets(Rc<Cell<usize>>);

struct CountingConnection(Rc<Cell<usize>>);

impl TargetConnection for CountingConnection {
    async fn send(&mut self, requests: &[TargetRequest<'_>]) -> Result<(), TargetFailure> {
        self.0.set(self.0.get() + requests.len());
        Ok(())
    }

    async fn receive(&mut self) -> Result<Answer, TargetFailure> {
        Ok(Answer::local(TransactionState::Idle))
    }

    fn status(_: &Answer) -> Option<TargetStatus> {
        None
    }
}

impl Targets for CountingTargets {
    type Connection = CountingConnection;

    async fn open(
        &self,
        _: &Announcement,
        _: Option<&Workspace>,
    ) -> Result<(CountingConnection, Option<Mark>), TargetFailure> {
        Ok((CountingConnection(self.0.clone()), None))
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(FleetConfig::default())
    }
}

fn cx(targets: CountingTargets) -> Cx<CountingTargets> {
    let cx = Cx::new(GatewaySettings::default(), targets);
    cx.topology.borrow_mut().set_view(FleetView {
        revision: ViewRevision { term: 1, number: 1 },
        targets: vec![Announcement {
            id: "t".into(),
            service: "ledger".into(),
            addr: "t:1".to_owned(),
            domain: "a".into(),
            draining: false,
            role: TargetRole::Primary,
            slots: 2,
            started_at_ms: 1,
            sequence: 1,
            warmup_remaining: Millis(0),
        }],
        ..FleetView::default()
    });
    cx
}

fn write_job(in_transaction: bool) -> Job {
    let request = Request { id: "1".into(), text: "WRITE a b".into(), statement: Statement::Write };
    Job {
        target: "t".into(),
        workspace: None,
        variables: IndexMap::new(),
        priority: 0,
        max_wait: Millis(100),
        timeout: Millis(500),
        kind: JobKind::Statement { request, prepared: None, after: None, in_transaction },
        urgency: None,
        then: None,
    }
}

/// Guards against a statement of a transaction that runs outside of it. When the
/// connection between two entry hosts is lost, the transaction is rolled back with it, and
/// its next statement finds no held connection (kcrc-pool, slow-hosts.toml,
/// seed 64719032574).
#[tokio::test]
async fn statement_of_a_lost_transaction_does_not_run() {
    let targets = CountingTargets::default();
    let cx = cx(targets.clone());
    let result = execute(&cx, &mut None, &write_job(true)).await;
    assert_eq!(result, Err(JobError::Lost));
    assert_eq!(targets.0.get(), 0);
    assert!(execute(&cx, &mut None, &write_job(false)).await.is_ok());
    assert_eq!(targets.0.get(), 1);
}
