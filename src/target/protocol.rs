//! PostgreSQL messages of one connection after its start.

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

/// Severity of errors that keep the connection open.
const ERROR: &str = "ERROR";

/// What the connection does after a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Reads more messages before it sends the answers.
    Continue,
    /// Sends the answers.
    Flush,
    /// Ends.
    Close,
}

/// Protocol state of one connection.
#[derive(Debug)]
pub struct Protocol {
    session: Session,
    statements: Statements,
    plans: PlanCache,
    cancel: Arc<Notify>,
    /// Messages are skipped until Sync after an error of the extended protocol.
    skipping: bool,
}

/// Error that ends a statement, or the connection.
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
    /// Protocol over `session`; `cancel` stops the running statement.
    pub fn new(session: Session, cancel: Arc<Notify>) -> Self {
        Self {
            session,
            statements: Statements::default(),
            plans: PlanCache::default(),
            cancel,
            skipping: false,
        }
    }

    /// Handles one message and appends the answers to `out`.
    pub async fn handle(
        &mut self,
        message: Frontend,
        out: &mut BytesMut,
    ) -> Result<Next, PgWireError> {
        match message {
            Frontend::Terminate(_) => return Ok(Next::Close),
            Frontend::Query(query) => {
                self.simple(&query.query, out).await?;
                wire::ready(self.session.status(), out)?;
                return Ok(Next::Flush);
            }
            Frontend::Sync(_) => {
                self.skipping = false;
                if self.session.status() == Status::Idle {
                    self.statements.close_portals();
                }
                wire::ready(self.session.status(), out)?;
                return Ok(Next::Flush);
            }
            Frontend::Flush(_) => return Ok(Next::Flush),
            _ if self.skipping => return Ok(Next::Continue),
            message => {
                if let Err(failure) = self.extended(message, out).await {
                    self.skipping = true;
                    self.report(failure, out)?;
                }
            }
        }
        Ok(Next::Continue)
    }

    fn report(&mut self, failure: Failure, out: &mut BytesMut) -> Result<(), PgWireError> {
        match failure {
            Failure::Wire(error) => Err(error),
            Failure::Sql(error) => {
                self.session.fail();
                wire::error(ERROR, &error, out)
            }
        }
    }

    async fn simple(&mut self, sql: &str, out: &mut BytesMut) -> Result<(), PgWireError> {
        match self.simple_statements(sql, out).await {
            Ok(()) => Ok(()),
            Err(failure) => self.report(failure, out),
        }
    }

    async fn simple_statements(&mut self, sql: &str, out: &mut BytesMut) -> Result<(), Failure> {
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
            let answer = self.run(prepared, &[]).await?;
            let formats = Formats::default();
            if matches!(answer, Answer::Rows(_)) {
                wire::row_description(&prepared.plan.fields(), &formats, out)?;
            }
            send(answer, &formats, out)?;
        }
        self.session.end_implicit()?;
        Ok(())
    }

    async fn run(&mut self, prepared: &Prepared, values: &[Value]) -> Result<Answer, SqlError> {
        let cancelled = self.cancel.notified();
        let mut cancelled = std::pin::pin!(cancelled);
        cancelled.as_mut().enable();
        tokio::select! {
            biased;
            answer = self.session.run(&prepared.plan, values) => answer,
            () = cancelled => Err(SqlError::new("57014", "the statement was cancelled")),
        }
    }

    async fn extended(&mut self, message: Frontend, out: &mut BytesMut) -> Result<(), Failure> {
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
        let answer = self.run(prepared, &portal.parameters).await?;
        Ok(send(answer, &portal.formats, out)?)
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

fn send(answer: Answer, formats: &Formats, out: &mut BytesMut) -> Result<(), PgWireError> {
    match answer {
        Answer::Tag(text) => wire::complete(text, out),
        Answer::Rows(rows) => {
            for row in &rows {
                wire::data_row(row, formats, out);
            }
            wire::complete(command_tag("SELECT", rows.len()), out)
        }
    }
}
