//! Rate limits at one entry host: what counts as one operation of a workspace.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
};

use eyre::Result;
use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        allocation::Fraction,
        config::{Consistency, FleetConfig, FleetRoute, FleetWorkspace},
        failover::TargetStatus,
        messages::{
            Allocation, AllocationRevision, Announcement, FleetView, LimitUpdate, Primary,
            TargetRole, ViewRevision,
        },
    },
    gateway::{
        cx::{Cx, GatewaySettings},
        ports::{
            Caller, CallerMessage, StartupMessage, TargetConnection, TargetFailure, TargetRequest,
            Targets,
        },
        runtime::serve,
        statement::{Answer, Request, Statement, StatementError, TransactionState},
    },
    ids::{Mark, Workspace},
};

/// What a target does with a forwarded statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    Answer,
    /// Runs the statement; the answer is lost.
    LoseAnswer,
    /// Refuses the connection, so that the statement does not run.
    Refuse,
}

/// Targets that count the statements they run.
#[derive(Clone)]
struct ScriptedTargets {
    runs: Rc<Cell<usize>>,
    /// Behavior at each connection; the last one applies to all later connections.
    script: Rc<RefCell<VecDeque<Behavior>>>,
}

struct ScriptedConnection {
    runs: Rc<Cell<usize>>,
    behavior: Behavior,
}

impl TargetConnection for ScriptedConnection {
    async fn send(&mut self, requests: &[TargetRequest<'_>]) -> Result<(), TargetFailure> {
        let is_run = |it: &&TargetRequest| matches!(it, TargetRequest::Forward { .. });
        self.runs.set(self.runs.get() + requests.iter().filter(is_run).count());
        Ok(())
    }

    async fn receive(&mut self) -> Result<Answer, TargetFailure> {
        match self.behavior {
            Behavior::LoseAnswer => Err(TargetFailure::Broken("reset".to_owned())),
            _ => Ok(Answer::local(TransactionState::Idle)),
        }
    }

    fn status(_: &Answer) -> Option<TargetStatus> {
        None
    }
}

impl Targets for ScriptedTargets {
    type Connection = ScriptedConnection;

    async fn open(
        &self,
        _: &Announcement,
        _: Option<&Workspace>,
    ) -> Result<(ScriptedConnection, Option<Mark>), TargetFailure> {
        let mut script = self.script.borrow_mut();
        let behavior = if script.len() > 1 { script.pop_front() } else { script.front().copied() };
        match behavior {
            Some(Behavior::Refuse) | None => Err(TargetFailure::Broken("refused".to_owned())),
            Some(behavior) => {
                let runs = self.runs.clone();
                Ok((ScriptedConnection { runs, behavior }, None))
            }
        }
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(FleetConfig::default())
    }
}

/// Caller that sends `reads` one after the other.
struct ReadCaller {
    reads: usize,
}

impl Caller for ReadCaller {
    async fn start(&mut self) -> Result<Option<StartupMessage>> {
        Ok(Some(StartupMessage { database: "db".to_owned(), key: Some("key".to_owned()) }))
    }

    async fn accept(&mut self) -> Result<()> {
        Ok(())
    }

    async fn refuse(&mut self, error: &StatementError) -> Result<()> {
        panic!("session refused: {error}");
    }

    async fn next(&mut self) -> Result<CallerMessage> {
        if self.reads == 0 {
            return Ok(CallerMessage::End);
        }
        self.reads -= 1;
        let (id, text) = (self.reads.to_string(), "READ a".to_owned());
        Ok(CallerMessage::Request(Request { id, text, statement: Statement::Read }))
    }

    async fn answer(&mut self, _: &Answer) -> Result<()> {
        Ok(())
    }
}

fn target(id: &str) -> Announcement {
    Announcement {
        id: id.into(),
        service: "ledger".into(),
        addr: format!("{id}:1"),
        domain: "local".into(),
        draining: false,
        role: TargetRole::Primary,
        slots: 2,
        started_at_ms: 1,
        sequence: 1,
        warmup_remaining: Millis(0),
    }
}

/// Host with a workspace that may run `burst` operations and no more.
fn cx(burst: u32, script: &[Behavior]) -> Rc<Cx<ScriptedTargets>> {
    let targets = ScriptedTargets {
        runs: Rc::default(),
        script: Rc::new(RefCell::new(script.iter().copied().collect())),
    };
    let cx = Cx::new(GatewaySettings::default(), targets);
    let route = FleetRoute {
        service: "ledger".into(),
        consistency: Consistency::Primary,
        statement_timeout: Millis(400),
        target_latency: Millis(200),
        priority: 0,
        allow_anonymous: false,
    };
    let config = FleetConfig {
        version: 1,
        routes: IndexMap::from([(Arc::from("db"), Arc::new(route))]),
        workspaces: IndexMap::from([("w".into(), FleetWorkspace { rate: 0, burst })]),
        api_keys: IndexMap::from([(Arc::from("key"), "w".into())]),
        ..FleetConfig::default()
    };
    let allocation = Allocation { workspace: "w".into(), fraction: Fraction::WHOLE, tokens: burst };
    let update = LimitUpdate {
        revision: AllocationRevision { term: 1, number: 1 },
        allocations: Some(vec![allocation]),
    };
    cx.rate_limiter.borrow_mut().set_workspaces(cx.now(), &config.workspaces);
    cx.rate_limiter.borrow_mut().apply(cx.now(), cx.now(), update);
    cx.topology.borrow_mut().set_config(config);
    cx.topology.borrow_mut().set_view(FleetView {
        revision: ViewRevision { term: 1, number: 1 },
        targets: vec![target("p")],
        primaries: vec![Primary {
            service: "ledger".into(),
            id: Some("p".into()),
            changing: false,
        }],
        ..FleetView::default()
    });
    cx.lease.borrow_mut().extend(cx.now(), Millis(60_000));
    Rc::new(cx)
}

/// Runs of a caller that sends `reads`.
async fn runs(cx: Rc<Cx<ScriptedTargets>>, reads: usize) -> usize {
    let runs = cx.targets.runs.clone();
    serve(cx, ReadCaller { reads }).await;
    runs.get()
}

/// Guards against a read whose answer is lost and that runs again and again for one token.
#[tokio::test]
async fn read_that_is_tried_again_counts_again() {
    let runs = runs(cx(2, &[Behavior::LoseAnswer]), 4).await;
    assert_eq!(runs, 2);
}

/// Guards against a token that is returned although the operation may have run: its first
/// attempt is lost, the next one is refused.
#[tokio::test]
async fn operation_that_may_have_run_is_not_refunded() {
    let script = [
        Behavior::LoseAnswer,
        Behavior::Refuse,
        Behavior::LoseAnswer,
        Behavior::Refuse,
        Behavior::LoseAnswer,
        Behavior::Refuse,
    ];
    let runs = runs(cx(1, &script), 4).await;
    assert_eq!(runs, 1);
}

/// Guards against a rate that is used up by operations that no target has run.
#[tokio::test]
async fn operation_that_no_target_ran_is_refunded() {
    let cx = cx(1, &[Behavior::Refuse, Behavior::Answer]);
    assert_eq!(runs(cx, 3).await, 1);
}
