//! PostgreSQL message flow of one connection after the startup phase.

use std::sync::Arc;

use bytes::BytesMut;
use pgwire::{
    error::PgWireError,
    messages::{
        Message, PgWireFrontendMessage as Frontend,
        data::ParameterDescription,
        extendedquery::{
            Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
            TARGET_TYPE_BYTE_STATEMENT,
        },
        response::EmptyQueryResponse,
    },
};
use tokio::sync::Notify;

use super::{
    error::SqlError,
    execute::{Answer, command_tag},
    plan::Prepared,
    session::{Session, Status},
    statements::{PlanCache, Portal, PreparedStatement, Statements},
    value::Value,
    wire::{self, Formats},
};

/// Severity of errors that leave the connection open.
const ERROR: &str = "ERROR";

/// What the connection does after handling a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Reads the next message; responses stay buffered.
    Continue,
    /// Sends the buffered responses.
    Flush,
    /// Closes the connection.
    Close,
}

/// Protocol state of one connection.
#[derive(Debug)]
pub struct Protocol {
    session: Session,
    statements: Statements,
    plans: PlanCache,
    cancel: Arc<Notify>,
    /// After an error in the extended query protocol, messages are discarded until Sync.
    skipping: bool,
}

/// Error that aborts a statement (`Sql`) or closes the connection (`Wire`).
enum Failure {
    Sql(SqlError),
    Wire(PgWireError),
}

impl From<SqlError> for Failure {
    fn from(error: SqlError) -> Self {
        Failure::Sql(error)
    }
}

impl From<PgWireError> for Failure {
    fn from(error: PgWireError) -> Self {
        Failure::Wire(error)
    }
}

impl Protocol {
    /// Protocol handler for `session`; notifying `cancel` cancels the running statement.
    pub fn new(session: Session, cancel: Arc<Notify>) -> Self {
        Self {
            session,
            statements: Statements::default(),
            plans: PlanCache::default(),
            cancel,
            skipping: false,
        }
    }

    /// Handles one message and appends the responses to `out`.
    pub async fn handle(
        &mut self,
        message: Frontend,
        out: &mut BytesMut,
    ) -> Result<Action, PgWireError> {
        match message {
            Frontend::Terminate(_) => return Ok(Action::Close),
            Frontend::Query(query) => {
                self.simple_query(&query.query, out).await?;
                wire::ready_for_query(self.session.status(), out)?;
                return Ok(Action::Flush);
            }
            Frontend::Sync(_) => {
                self.skipping = false;
                if self.session.status() == Status::Idle {
                    self.statements.close_portals();
                }
                wire::ready_for_query(self.session.status(), out)?;
                return Ok(Action::Flush);
            }
            Frontend::Flush(_) => return Ok(Action::Flush),
            _ if self.skipping => return Ok(Action::Continue),
            message => {
                if let Err(failure) = self.extended_query(message, out).await {
                    self.skipping = true;
                    self.report_failure(failure, out)?;
                }
            }
        }
        Ok(Action::Continue)
    }

    fn report_failure(&mut self, failure: Failure, out: &mut BytesMut) -> Result<(), PgWireError> {
        match failure {
            Failure::Wire(error) => Err(error),
            Failure::Sql(error) => {
                self.session.fail();
                wire::error_response(ERROR, &error, out)
            }
        }
    }

    async fn simple_query(&mut self, sql: &str, out: &mut BytesMut) -> Result<(), PgWireError> {
        match self.run_simple_query(sql, out).await {
            Ok(()) => Ok(()),
            Err(failure) => self.report_failure(failure, out),
        }
    }

    async fn run_simple_query(&mut self, sql: &str, out: &mut BytesMut) -> Result<(), Failure> {
        let plans = self.plans.plan(sql)?;
        if plans.is_empty() {
            EmptyQueryResponse::new().encode(out)?;
        }
        for prepared in plans.iter() {
            if plans.len() > 1 {
                self.session.begin_implicit();
            }
            if !prepared.parameters.is_empty() {
                return Err(SqlError::new("42P02", "there is no parameter $1").into());
            }
            let answer = self.run_statement(prepared, &[]).await?;
            let formats = Formats::default();
            if matches!(answer, Answer::Rows(_)) {
                wire::row_description(&prepared.plan.fields(), &formats, out)?;
            }
            encode_answer(answer, &formats, out)?;
        }
        self.session.end_implicit()?;
        Ok(())
    }

    async fn run_statement(
        &mut self,
        prepared: &Prepared,
        values: &[Value],
    ) -> Result<Answer, SqlError> {
        let cancelled = self.cancel.notified();
        let mut cancelled = std::pin::pin!(cancelled);
        cancelled.as_mut().enable();
        tokio::select! {
            biased;
            answer = self.session.run(&prepared.plan, values) => answer,
            () = cancelled => Err(SqlError::new("57014", "the statement was cancelled")),
        }
    }

    async fn extended_query(
        &mut self,
        message: Frontend,
        out: &mut BytesMut,
    ) -> Result<(), Failure> {
        match message {
            Frontend::Parse(parse) => self.parse(parse, out),
            Frontend::Bind(bind) => self.bind(bind, out),
            Frontend::Describe(describe) => self.describe(&describe, out),
            Frontend::Execute(execute) => self.execute(&execute, out).await,
            Frontend::Close(close) => self.close(&close, out),
            other => Err(SqlError::protocol(format!("unexpected message {other:?}")).into()),
        }
    }

    fn parse(&mut self, parse: Parse, out: &mut BytesMut) -> Result<(), Failure> {
        let plans = self.plans.plan(&parse.query)?;
        let statement = PreparedStatement::new(plans, &parse.type_oids)?;
        self.statements.put_statement(parse.name, statement);
        Ok(ParseComplete::new().encode(out)?)
    }

    fn bind(&mut self, bind: Bind, out: &mut BytesMut) -> Result<(), Failure> {
        let statement = self.statements.statement(bind.statement_name.as_deref())?;
        let parameters = statement.parameters(&bind.parameter_format_codes, &bind.parameters)?;
        let formats = Formats(bind.result_column_format_codes);
        if !formats.are_valid() {
            return Err(SqlError::protocol("unknown format of a result column").into());
        }
        self.statements.put_portal(bind.portal_name, Portal { statement, parameters, formats });
        Ok(BindComplete::new().encode(out)?)
    }

    fn describe(&self, describe: &Describe, out: &mut BytesMut) -> Result<(), Failure> {
        let name = describe.name.as_deref();
        if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let statement = self.statements.statement(name)?;
            ParameterDescription::new(statement.oids.clone()).encode(out)?;
            let fields = statement.prepared().map(|prepared| prepared.plan.fields());
            return Ok(wire::describe(&fields.unwrap_or_default(), &Formats::default(), out)?);
        }
        let portal = self.statements.portal(name)?;
        let fields = portal.statement.prepared().map(|prepared| prepared.plan.fields());
        Ok(wire::describe(&fields.unwrap_or_default(), &portal.formats, out)?)
    }

    async fn execute(&mut self, execute: &Execute, out: &mut BytesMut) -> Result<(), Failure> {
        let portal = self.statements.portal(execute.name.as_deref())?;
        let Some(prepared) = portal.statement.prepared() else {
            return Ok(EmptyQueryResponse::new().encode(out)?);
        };
        let answer = self.run_statement(prepared, &portal.parameters).await?;
        Ok(encode_answer(answer, &portal.formats, out)?)
    }

    fn close(&mut self, close: &Close, out: &mut BytesMut) -> Result<(), Failure> {
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.close_statement(close.name.as_deref());
        } else {
            self.statements.close_portal(close.name.as_deref());
        }
        Ok(CloseComplete::new().encode(out)?)
    }
}

fn encode_answer(answer: Answer, formats: &Formats, out: &mut BytesMut) -> Result<(), PgWireError> {
    match answer {
        Answer::Tag(text) => wire::command_complete(text, out),
        Answer::Rows(rows) => {
            for row in &rows {
                wire::data_row(row, formats, out);
            }
            wire::command_complete(command_tag("SELECT", rows.len()), out)
        }
    }
}
