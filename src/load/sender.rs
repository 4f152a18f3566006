//! Statements of a caller: connections, idempotency keys and repetition.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};
use tokio_postgres::{
    Client, Row,
    types::{ToSql, Type},
};

use super::{
    caller::Context,
    connection::{DUPLICATE, Fate, OVER_RATE, STOPPING, Trouble, connect, quote, within},
    samples::{Outcome, Record},
};

/// Attempts of a statement that is known not to have run.
const ATTEMPTS: u32 = 3;

/// Time for settling a write with an unknown outcome.
const SETTLE_BUDGET: Duration = Duration::from_secs(15);

/// Pause between attempts to settle a write.
pub const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Typed parameter of a statement.
pub type Parameter<'a> = (&'a (dyn ToSql + Sync), Type);

/// Sends the statements of one caller.
#[derive(Debug)]
pub struct Sender {
    cx: Arc<Context>,
    workspace: usize,
    /// Session id.
    session: String,
    start: Instant,
    /// Index of the entry in use.
    entry: usize,
    clients: BTreeMap<usize, Arc<Client>>,
    pub record: Record,
}

impl Sender {
    /// Sender that begins at the entry with index `entry`.
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

    /// Begins the measured part of the run; earlier records are dropped.
    pub fn begin(&mut self, start: Instant) {
        self.start = start;
        self.record = Record::default();
    }

    /// Time since the start in microseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Moves to another entry.
    pub fn roam(&mut self, entry: usize) {
        self.clients.clear();
        self.entry = entry;
    }

    /// Closes the connections.
    pub fn disconnect(&mut self) {
        self.clients.clear();
    }

    /// Runs a read; repeats it if it got no answer.
    pub async fn query(
        &mut self,
        service: usize,
        sql: &str,
        id: &str,
    ) -> (u64, Result<Vec<Row>, Trouble>) {
        let mut attempt = 1;
        loop {
            let mut sent = self.now();
            let result = match self.client(service).await {
                Err(trouble) => Err(trouble),
                Ok(client) => {
                    sent = self.now();
                    self.record.attempts.push((self.workspace, sent));
                    within(client.query_typed(sql, &[(&id, Type::TEXT)])).await
                }
            };
            let Err(trouble) = result else { return (sent, result) };
            let again = self.note(service, &trouble) || trouble.fate == Fate::Unknown;
            if !again || attempt == ATTEMPTS {
                return (sent, Err(trouble));
            }
            attempt += 1;
        }
    }

    /// Runs a write under an idempotency key until its outcome is known.
    pub async fn write(
        &mut self,
        service: usize,
        sql: &str,
        parameters: &[Parameter<'_>],
        key: &str,
    ) -> Written {
        let end = Instant::now() + SETTLE_BUDGET;
        let mut may_have_run = false;
        let mut attempt = 1;
        loop {
            let mut sent = self.now();
            let result = self.attempt_write(service, sql, parameters, key, &mut sent).await;
            let trouble = match result {
                Ok(1) => return Written { sent, end: End::Done },
                Ok(count) => Trouble { fate: Fate::Failed, code: format!("{count} rows") },
                Err(trouble) => trouble,
            };
            let moved = self.note(service, &trouble);
            if trouble.code == DUPLICATE {
                return Written { sent, end: End::Duplicate };
            }
            may_have_run |= trouble.fate == Fate::Unknown;
            if may_have_run {
                if Instant::now() > end {
                    return Written { sent, end: End::Unknown };
                }
                sleep(SETTLE_PAUSE).await;
            } else if !moved || attempt == ATTEMPTS {
                return Written { sent, end: End::of(&trouble) };
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
    ) -> Result<u64, Trouble> {
        let client = self.client(service).await?;
        let set = format!("SET pomelopin.request_key = {}", quote(key));
        // The write itself is not sent yet, so it has not run.
        within(client.batch_execute(&set))
            .await
            .map_err(|trouble| Trouble::before(trouble.code))?;
        *sent = self.now();
        self.record.attempts.push((self.workspace, *sent));
        within(client.execute_typed(sql, parameters)).await
    }

    /// Counts the trouble; true if the caller has moved to another entry because of it.
    fn note(&mut self, service: usize, trouble: &Trouble) -> bool {
        self.record.error(&trouble.code);
        let closed = self.clients.get(&service).is_none_or(|client| client.is_closed());
        if !closed && !trouble.ends_connection() {
            return false;
        }
        self.clients.clear();
        self.entry = (self.entry + 1) % self.cx.settings.entries.len();
        trouble.code != OVER_RATE && (closed || trouble.code == STOPPING)
    }

    /// Connection to a service with the session set.
    async fn client(&mut self, service: usize) -> Result<Arc<Client>, Trouble> {
        if let Some(client) = self.clients.get(&service).filter(|client| !client.is_closed()) {
            return Ok(client.clone());
        }
        let settings = &self.cx.settings;
        let (workspace, key) = &self.cx.workspaces[self.workspace];
        let entry = settings.entries[self.entry];
        let client = connect(entry, &settings.services[service], workspace, key).await?;
        let set = format!("SET pomelopin.session = {}", quote(&self.session));
        within(client.batch_execute(&set))
            .await
            .map_err(|trouble| Trouble::before(trouble.code))?;
        let client = Arc::new(client);
        self.clients.insert(service, client.clone());
        Ok(client)
    }
}

/// End of a write with the time at which the last attempt was sent.
#[derive(Debug, Clone, Copy)]
pub struct Written {
    pub sent: u64,
    pub end: End,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Done,
    /// The row exists already.
    Duplicate,
    OverRate,
    Refused,
    Failed,
    Unknown,
}

impl End {
    fn of(trouble: &Trouble) -> Self {
        match trouble.fate {
            Fate::Refused if trouble.code == OVER_RATE => End::OverRate,
            Fate::Refused => End::Refused,
            Fate::Failed => End::Failed,
            Fate::Unknown => End::Unknown,
        }
    }

    /// Outcome for the record.
    pub fn outcome(self) -> Outcome {
        match self {
            End::Done => Outcome::Done,
            End::OverRate => Outcome::OverRate,
            End::Refused => Outcome::Refused,
            End::Failed | End::Duplicate => Outcome::Failed,
            End::Unknown => Outcome::Unknown,
        }
    }
}
