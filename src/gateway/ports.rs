//! Traits that an adapter of a wire protocol implements for the gateway.

use std::future::Future;

use eyre::Result;

use crate::{
    adapters::byte_budget::ByteHolder,
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
    /// End of the session.
    End,
}

/// Connection of a caller.
pub trait Caller {
    /// Receives the first message; `None` if the caller disconnects.
    fn start(&mut self) -> impl Future<Output = Result<Option<StartupMessage>>>;

    /// Accepts the session.
    fn accept(&mut self) -> impl Future<Output = Result<()>>;

    /// Refuses the session.
    fn refuse(&mut self, error: &StatementError) -> impl Future<Output = Result<()>>;

    /// Receives the next message; the end of the stream is [`CallerMessage::End`].
    fn next(&mut self) -> impl Future<Output = Result<CallerMessage>>;

    fn answer(&mut self, answer: &Answer) -> impl Future<Output = Result<()>>;

    /// Bytes that the process holds for the caller; `None` if they are not counted.
    fn bytes(&self) -> Option<&ByteHolder> {
        None
    }
}

/// Message to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetRequest<'a> {
    /// Caller's statement, to be run only if the target's log has reached `after`.
    Forward {
        request: &'a Request,
        after: Option<Mark>,
    },
    /// Execution of the statement that was prepared as `name` on this connection.
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
    /// Connection could not be established or was lost.
    Broken(String),
}

/// Connection to a target.
pub trait TargetConnection: 'static {
    /// Sends requests in one batch.
    fn send(
        &mut self,
        requests: &[TargetRequest<'_>],
    ) -> impl Future<Output = Result<(), TargetFailure>>;

    /// Receives the answer to the oldest outstanding request.
    fn receive(&mut self) -> impl Future<Output = Result<Answer, TargetFailure>>;

    /// Decodes the answer to [`TargetRequest::Status`].
    fn status(answer: &Answer) -> Option<TargetStatus>;
}

/// Connector to targets and decoder of operators' configuration documents.
pub trait Targets: Clone + 'static {
    type Connection: TargetConnection;

    /// Opens a connection for a workspace; also returns the target's log position.
    fn open(
        &self,
        target: &Announcement,
        workspace: Option<&Workspace>,
    ) -> impl Future<Output = Result<(Self::Connection, Option<Mark>), TargetFailure>>;

    /// Decodes an operator's configuration document.
    fn decode_config(&self, document: &[u8]) -> Result<FleetConfig>;
}
