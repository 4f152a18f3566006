//! Caller, target and configuration for tests of an entry host.

#![allow(dead_code)]

use std::{cell::RefCell, rc::Rc, sync::Arc};

use eyre::Result;
use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        allocation::Fraction,
        config::{Consistency, FleetConfig, FleetRoute, FleetWorkspace},
        failover::TargetStatus,
        messages::{Allocation, AllocationRevision, Announcement, LimitUpdate, TargetRole},
    },
    gateway::{
        cx::Cx,
        ports::{
            Caller, CallerMessage, StartupMessage, TargetConnection, TargetFailure, TargetRequest,
            Targets,
        },
        statement::{Answer, Request, Statement, StatementError},
    },
    ids::{Mark, Workspace},
};

/// Caller that sends reads one after the other.
pub struct ReadCaller {
    reads: usize,
    answers: Rc<RefCell<Vec<Answer>>>,
}

impl ReadCaller {
    pub fn new(reads: usize) -> Self {
        Self { reads, answers: Rc::default() }
    }

    /// Answers that the caller has received.
    pub fn answers(&self) -> Rc<RefCell<Vec<Answer>>> {
        self.answers.clone()
    }
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

    async fn answer(&mut self, answer: &Answer) -> Result<()> {
        self.answers.borrow_mut().push(answer.clone());
        Ok(())
    }
}

/// Targets that no host reaches; holds the configuration that every document stands for.
#[derive(Clone)]
pub struct UnreachableTargets(pub FleetConfig);

pub struct NoConnection;

impl TargetConnection for NoConnection {
    async fn send(&mut self, _: &[TargetRequest<'_>]) -> Result<(), TargetFailure> {
        Ok(())
    }

    async fn receive(&mut self) -> Result<Answer, TargetFailure> {
        Err(TargetFailure::Broken("closed".to_owned()))
    }

    fn status(_: &Answer) -> Option<TargetStatus> {
        None
    }
}

impl Targets for UnreachableTargets {
    type Connection = NoConnection;

    async fn open(
        &self,
        _: &Announcement,
        _: Option<&Workspace>,
    ) -> Result<(NoConnection, Option<Mark>), TargetFailure> {
        Err(TargetFailure::Broken("unreachable".to_owned()))
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(self.0.clone())
    }
}

/// Target of the service.
pub fn target(id: &str, role: TargetRole) -> Announcement {
    Announcement {
        id: id.into(),
        service: "ledger".into(),
        addr: format!("{id}:1"),
        domain: "local".into(),
        draining: false,
        role,
        slots: 2,
        started_at_ms: 1,
        sequence: 1,
        warmup_remaining: Millis(0),
    }
}

/// Configuration with one route to the newest data and one workspace.
pub fn config(timeout_ms: u64, limit: FleetWorkspace) -> FleetConfig {
    let route = FleetRoute {
        service: "ledger".into(),
        consistency: Consistency::Primary,
        statement_timeout: Millis(timeout_ms),
        target_latency: Millis(200),
        priority: 0,
        allow_anonymous: false,
    };
    FleetConfig {
        version: 1,
        routes: IndexMap::from([(Arc::from("db"), Arc::new(route))]),
        workspaces: IndexMap::from([("w".into(), limit)]),
        api_keys: IndexMap::from([(Arc::from("key"), "w".into())]),
        ..FleetConfig::default()
    }
}

/// Puts `config` in force at a host that has all of its workspace's limit, with `tokens` in
/// its bucket.
pub fn configure<T: Targets>(cx: &Cx<T>, config: FleetConfig, tokens: u32) {
    let allocation = Allocation { workspace: "w".into(), fraction: Fraction::WHOLE, tokens };
    let update = LimitUpdate {
        revision: AllocationRevision { term: 1, number: 1 },
        allocations: Some(vec![allocation]),
    };
    cx.rate_limiter.borrow_mut().set_workspaces(cx.now(), &config.workspaces);
    cx.rate_limiter.borrow_mut().apply(cx.now(), cx.now(), update);
    cx.topology.borrow_mut().set_config(config);
    cx.lease.borrow_mut().renew_config(cx.now());
}
