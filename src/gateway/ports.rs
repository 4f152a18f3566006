//! What an adapter of a wire protocol provides to the gateway.

use std::future::Future;

use eyre::Result;

use crate::{
    fleet::{config::FleetConfig, failover::TargetStatus, messages::Announcement},
    gateway::statement::{Answer, PreparedStatement, Request, StatementError},
    ids::{Mark, Workspace},
};

/// First message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartupMessage {
    pub database: String,
    pub key: Option<String>,
}

/// Later message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    Request(Request),
    /// Caller ends its session.
    End,
}

/// Connection of a caller.
pub trait Caller {
    /// First message; `None` if the caller leaves.
    fn start(&mut self) -> impl Future<Output = Result<Option<StartupMessage>>>;

    /// Accepts the session.
    fn accept(&mut self) -> impl Future<Output = Result<()>>;

    /// Refuses the session.
    fn refuse(&mut self, error: &StatementError) -> impl Future<Output = Result<()>>;

    /// Next message; the end of the stream counts as [`CallerMessage::End`].
    fn next(&mut self) -> impl Future<Output = Result<CallerMessage>>;

    /// Sends an answer.
    fn answer(&mut self, answer: &Answer) -> impl Future<Output = Result<()>>;
}

/// Message to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetRequest<'a> {
    /// Caller's statement, if `after` is given only at a log that holds it.
    Forward {
        request: &'a Request,
        after: Option<Mark>,
    },
    /// Execution of a prepared statement under the name that the connection gave it.
    Execute {
        request: &'a Request,
        name: u32,
        arguments: &'a str,
        after: Option<Mark>,
    },
    Begin {
        read_only: bool,
        after: Option<Mark>,
    },
    Rollback,
    Reset,
    Set {
        name: &'a str,
        value: &'a str,
    },
    Prepare {
        name: u32,
        statement: &'a PreparedStatement,
    },
    Status,
}

/// Why a connection failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetFailure {
    /// Target refused the connection; nothing ran.
    Refused(StatementError),
    /// Connection could not be made or broke.
    Broken(String),
}

/// Connection to a target.
pub trait TargetConnection: 'static {
    /// Sends requests together.
    fn send(
        &mut self,
        requests: &[TargetRequest<'_>],
    ) -> impl Future<Output = Result<(), TargetFailure>>;

    /// Answer to the oldest unanswered request.
    fn receive(&mut self) -> impl Future<Output = Result<Answer, TargetFailure>>;

    /// Status in an answer to [`TargetRequest::Status`].
    fn status(answer: &Answer) -> Option<TargetStatus>;
}

/// Adapter of the targets' protocol and of the operators' documents.
pub trait Targets: Clone + 'static {
    type Connection: TargetConnection;

    /// Opens a connection for a workspace and returns the target's log position.
    fn open(
        &self,
        target: &Announcement,
        workspace: Option<&Workspace>,
    ) -> impl Future<Output = Result<(Self::Connection, Option<Mark>), TargetFailure>>;

    /// Reads an operator's document.
    fn decode_config(&self, document: &[u8]) -> Result<FleetConfig>;
}
