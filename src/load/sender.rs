//! Statement execution for a caller: connections, idempotency keys and retries.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};
use tokio_postgres::{
    Client, Row,
    types::{ToSql, Type},
};

use super::{
    caller::Context,
    connection::{
        ADMIN_SHUTDOWN, ErrorKind, QueryError, RATE_LIMITED, UNIQUE_VIOLATION, connect, quote,
        with_timeout,
    },
    samples::{Outcome, Record},
};

/// Attempts for a read, or for a write that was certainly not executed.
const MAX_ATTEMPTS: u32 = 3;

/// Limit for retrying a write of unknown outcome, counted from its first attempt.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before a write of unknown outcome is retried.
pub const RESOLVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Typed parameter of a statement.
pub type Parameter<'a> = (&'a (dyn ToSql + Sync), Type);

/// Executes the statements of one caller.
#[derive(Debug)]
pub struct Sender {
    cx: Arc<Context>,
    workspace: usize,
    /// Value of the variable `pomelopin.session`.
    session: String,
    start: Instant,
    /// Index of the current entry host.
    entry: usize,
    /// Open connections by index of the service.
    clients: BTreeMap<usize, Arc<Client>>,
    pub record: Record,
}

impl Sender {
    /// Creates a sender that connects to the entry with index `entry` first.
    pub fn new(cx: Arc<Context>, workspace: usize, session: String, entry: usize) -> Self {
        Self {
            cx,
            workspace,
            session,
            start: Instant::now(),
            entry,
            clients: BTreeMap::new(),
            record: Record::default(),
        }
    }

    /// Sets the time origin of the measured run and discards earlier records.
    pub fn start_measurement(&mut self, start: Instant) {
        self.start = start;
        self.record = Record::default();
    }

    /// Microseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Closes the connections and uses another entry from now on.
    pub fn switch_entry(&mut self, entry: usize) {
        self.clients.clear();
        self.entry = entry;
    }

    pub fn disconnect(&mut self) {
        self.clients.clear();
    }

    /// Runs a read, with retries if it got no answer; returns its last send time and result.
    pub async fn query(
        &mut self,
        service: usize,
        sql: &str,
        id: &str,
    ) -> (u64, Result<Vec<Row>, QueryError>) {
        let mut attempt = 1;
        loop {
            let mut sent = self.now();
            let result = match self.client(service).await {
                Err(error) => Err(error),
                Ok(client) => {
                    sent = self.now();
                    self.record.attempts.push((self.workspace, sent));
                    with_timeout(client.query_typed(sql, &[(&id, Type::TEXT)])).await
                }
            };
            let Err(error) = result else { return (sent, result) };
            let retry = self.record_error(service, &error) || error.kind == ErrorKind::Unknown;
            if !retry || attempt == MAX_ATTEMPTS {
                return (sent, Err(error));
            }
            attempt += 1;
        }
    }

    /// Runs a write under an idempotency key, with retries until its outcome is known or the
    /// time limit is reached.
    pub async fn write(
        &mut self,
        service: usize,
        sql: &str,
        parameters: &[Parameter<'_>],
        key: &str,
    ) -> WriteResult {
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        let mut may_have_run = false;
        let mut attempt = 1;
        loop {
            let mut sent = self.now();
            let result = self.attempt_write(service, sql, parameters, key, &mut sent).await;
            let error = match result {
                Ok(1) => return WriteResult { sent, outcome: WriteOutcome::Done },
                Ok(count) => QueryError { kind: ErrorKind::Failed, code: format!("{count} rows") },
                Err(error) => error,
            };
            let retry_elsewhere = self.record_error(service, &error);
            if error.code == UNIQUE_VIOLATION {
                return WriteResult { sent, outcome: WriteOutcome::Duplicate };
            }
            may_have_run |= error.kind == ErrorKind::Unknown;
            if may_have_run {
                if Instant::now() > deadline {
                    return WriteResult { sent, outcome: WriteOutcome::Unknown };
                }
                sleep(RESOLVE_RETRY_DELAY).await;
            } else if !retry_elsewhere || attempt == MAX_ATTEMPTS {
                return WriteResult { sent, outcome: WriteOutcome::from_error(&error) };
            }
            attempt += 1;
        }
    }

    async fn attempt_write(
        &mut self,
        service: usize,
        sql: &str,
        parameters: &[Parameter<'_>],
        key: &str,
        sent: &mut u64,
    ) -> Result<u64, QueryError> {
        let client = self.client(service).await?;
        let set = format!("SET pomelopin.request_key = {}", quote(key));
        // If this fails, the write was not sent and so not executed.
        with_timeout(client.batch_execute(&set))
            .await
            .map_err(|error| QueryError::not_sent(error.code))?;
        *sent = self.now();
        self.record.attempts.push((self.workspace, *sent));
        with_timeout(client.execute_typed(sql, parameters)).await
    }

    /// Counts the error and moves to the next entry if the connection is unusable.
    ///
    /// Returns whether to retry there: the connection was closed or the host is shutting down.
    fn record_error(&mut self, service: usize, error: &QueryError) -> bool {
        self.record.count_error(&error.code);
        let closed = self.clients.get(&service).is_none_or(|client| client.is_closed());
        if !closed && !error.ends_connection() {
            return false;
        }
        self.clients.clear();
        self.entry = (self.entry + 1) % self.cx.settings.entries.len();
        error.code != RATE_LIMITED && (closed || error.code == ADMIN_SHUTDOWN)
    }

    /// Returns a connection to the service, with the session variable set.
    async fn client(&mut self, service: usize) -> Result<Arc<Client>, QueryError> {
        if let Some(client) = self.clients.get(&service).filter(|client| !client.is_closed()) {
            return Ok(client.clone());
        }
        let settings = &self.cx.settings;
        let (workspace, key) = &self.cx.workspaces[self.workspace];
        let entry = settings.entries[self.entry];
        let client = connect(entry, &settings.services[service], workspace, key).await?;
        let set = format!("SET pomelopin.session = {}", quote(&self.session));
        with_timeout(client.batch_execute(&set))
            .await
            .map_err(|error| QueryError::not_sent(error.code))?;
        let client = Arc::new(client);
        self.clients.insert(service, client.clone());
        Ok(client)
    }
}

/// Outcome of a write and the send time of its last attempt.
#[derive(Debug, Clone, Copy)]
pub struct WriteResult {
    pub sent: u64,
    pub outcome: WriteOutcome,
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    Done,
    /// A row with the same key exists already.
    Duplicate,
    RateLimited,
    Refused,
    Failed,
    Unknown,
}

impl WriteOutcome {
    fn from_error(error: &QueryError) -> Self {
        match error.kind {
            ErrorKind::Refused if error.code == RATE_LIMITED => WriteOutcome::RateLimited,
            ErrorKind::Refused => WriteOutcome::Refused,
            ErrorKind::Failed => WriteOutcome::Failed,
            ErrorKind::Unknown => WriteOutcome::Unknown,
        }
    }

    /// Outcome as recorded in a sample.
    pub fn operation_outcome(self) -> Outcome {
        match self {
            WriteOutcome::Done => Outcome::Done,
            WriteOutcome::RateLimited => Outcome::RateLimited,
            WriteOutcome::Refused => Outcome::Refused,
            WriteOutcome::Failed | WriteOutcome::Duplicate => Outcome::Failed,
            WriteOutcome::Unknown => Outcome::Unknown,
        }
    }
}
