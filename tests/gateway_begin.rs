//! Begin of a transaction that carries its first statement.

use std::{cell::RefCell, rc::Rc};

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
        cancellation::Cancellation,
        cx::{Cx, GatewaySettings},
        executor::execute_with_next,
        job::{Execution, Job, JobKind},
        ports::{TargetConnection, TargetFailure, TargetRequest, Targets},
        statement::{Answer, ErrorCode, Request, Statement, TransactionState},
        urgency::Urgency,
    },
    ids::{Mark, Workspace},
};

/// Target that records the kinds of the requests sent to it.
#[derive(Clone, Default)]
struct RecordingTarget {
    log: Rc<RefCell<Vec<&'static str>>>,
    refuses_begin: bool,
}

struct RecordingConnection {
    target: RecordingTarget,
    is_begin: bool,
}

impl TargetConnection for RecordingConnection {
    async fn send(&mut self, requests: &[TargetRequest<'_>]) -> Result<(), TargetFailure> {
        assert_eq!(requests.len(), 1, "BEGIN is answered before the statement is sent");
        self.is_begin = matches!(requests[0], TargetRequest::Begin { .. });
        self.target.log.borrow_mut().push(if self.is_begin { "begin" } else { "statement" });
        Ok(())
    }

    async fn receive(&mut self) -> Result<Answer, TargetFailure> {
        if self.is_begin && self.target.refuses_begin {
            return Ok(Answer::error(ErrorCode::ReadOnly, "replica", TransactionState::Idle));
        }
        Ok(Answer::local(TransactionState::Open))
    }

    fn status(_: &Answer) -> Option<TargetStatus> {
        None
    }
}

impl Targets for RecordingTarget {
    type Connection = RecordingConnection;

    async fn open(
        &self,
        _: &Announcement,
        _: Option<&Workspace>,
    ) -> Result<(RecordingConnection, Option<Mark>), TargetFailure> {
        Ok((RecordingConnection { target: self.clone(), is_begin: false }, None))
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(FleetConfig::default())
    }
}

/// Executes a begin that carries a write; returns the requests that the target got as well.
async fn begin_with_write(target: RecordingTarget) -> (Execution, Vec<&'static str>) {
    let log = target.log.clone();
    let cx = Cx::new(GatewaySettings::default(), target);
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
    let request = Request { id: "1".into(), text: "WRITE a b".into(), statement: Statement::Write };
    let write = JobKind::Statement { request, prepared: None, after: None, in_transaction: true };
    let job = Job {
        target: "t".into(),
        workspace: None,
        variables: IndexMap::new(),
        priority: 0,
        max_wait: Millis(100),
        timeout: Millis(500),
        kind: JobKind::Begin { read_only: false, after: None },
        urgency: Some(Urgency { latency_left: Millis(100), time_left: Millis(500) }),
        then: Some(Box::new(write)),
    };
    let execution = execute_with_next(&cx, &mut None, &job, &Cancellation::default()).await;
    let sent = log.borrow().clone();
    (execution, sent)
}

/// Guards against a further round trip between hosts for each transaction.
#[tokio::test]
async fn statement_follows_the_begin_that_carries_it() {
    let (execution, sent) = begin_with_write(RecordingTarget::default()).await;
    assert!(execution.result.is_ok_and(|answer| answer.state == TransactionState::Open));
    assert!(matches!(execution.then, Some(Ok(answer)) if answer.result.is_ok()));
    assert_eq!(sent, ["begin", "statement"]);
}

/// Guards against a statement that runs outside of a transaction because the target refused the
/// begin that carried it.
#[tokio::test]
async fn statement_is_not_sent_after_a_refused_begin() {
    let target = RecordingTarget { refuses_begin: true, ..RecordingTarget::default() };
    let (execution, sent) = begin_with_write(target).await;
    assert_eq!(execution.result.unwrap().code(), Some(ErrorCode::ReadOnly));
    assert_eq!(execution.then, None);
    assert_eq!(sent, ["begin"]);
}
