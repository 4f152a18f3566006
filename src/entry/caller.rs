//! Caller connections: login, session variables and dispatch of statements.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::Mutex,
    time::{Instant, timeout},
};

use super::{cx::Cx, dispatch::OwnerRef, error, transaction::Transaction};
use crate::{
    adapters::caller::{CallerHandler, CancelSignal, Login, Reply, ReplyResult},
    ids::{HostId, Mark, RequestKey, Service, SessionId, Workspace},
    keys::authentication::{AuthenticatedKey, KeyAuthenticator},
    routing::classify::StatementClass,
    session::{history::HostListVersion, state::SessionState},
    settings::session::LookupPolicy,
    wire::peer::{Description, Failure, Field, Rows, Statement, TransactionId},
};

/// User name of callers that log in without a key.
pub const OPEN_USER: &str = "open";

/// Time limit for one statement, including queue waits and retries.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between attempts to cancel a running statement.
///
/// An attempt has no effect while the statement is being sent to the owner or waits
/// for a connection, so the attempts are repeated until it ends.
const CANCEL_INTERVAL: Duration = Duration::from_millis(20);

/// Object id of the PostgreSQL type `text`.
const TEXT_OID: u32 = 25;

/// State of one caller connection.
pub struct Caller {
    pub service: Service,
    /// Authenticated workspace and its key; without one only open routes are allowed.
    pub workspace: Option<(Workspace, AuthenticatedKey)>,
    /// Locked for the duration of a statement, so that the statements of one caller
    /// run one after another.
    pub state: Mutex<CallerState>,
    /// Statement that is running inside a transaction, for cancel requests.
    pub running: parking_lot::Mutex<Option<RunningStatement>>,
}

/// Statement that can be cancelled at the owner of its transaction.
#[derive(Debug, Clone)]
pub struct RunningStatement {
    pub owner: OwnerRef,
    pub transaction: TransactionId,
}

/// Mutable state of a caller connection.
pub struct CallerState {
    /// Named session, or one with a generated id that lasts as long as the connection.
    pub session: SessionState,
    lookup: LookupPolicy,
    /// Cached home hosts of the session, with the version of the host list that they
    /// were computed from.
    pub home_hosts: Option<(HostListVersion, Vec<HostId>)>,
    /// Idempotency key for the next write or transaction.
    pub request_key: Option<RequestKey>,
    pub transaction: Option<Transaction>,
}

impl Caller {
    /// Name of the authenticated workspace.
    pub fn workspace_name(&self) -> Option<&Workspace> {
        self.workspace.as_ref().map(|(workspace, _)| workspace)
    }
}

/// Handles the connections of all callers of this host.
pub struct CallerService {
    pub cx: Arc<Cx>,
}

impl CallerHandler for CallerService {
    type Session = Caller;

    fn allows_anonymous(&self, user: &str) -> bool {
        user == OPEN_USER
    }

    async fn login(&self, login: Login) -> Result<Caller, Failure> {
        let workspace = self.authenticate(&login)?;
        let service = Service::from(login.database.as_str());
        if !self.cx.view.load().view.desired.services.contains_key(&service) {
            let message = format!("service `{service}` does not exist");
            return Err(Failure { code: "3D000".to_owned(), message });
        }
        let mut state = CallerState::new(self.cx.session_settings.lookup);
        for (name, value) in &login.options {
            if name.starts_with("pomelopin.") {
                state.set(&service, name, value)?;
            }
        }
        let (state, running) = (Mutex::new(state), parking_lot::Mutex::default());
        Ok(Caller { service, workspace, state, running })
    }

    async fn run(&self, caller: &Caller, statement: Statement, cancel: &CancelSignal) -> Reply {
        let reply = self.run_until_done(caller, statement, cancel).await;
        self.cx.metrics.record_request(caller.workspace_name(), error::outcome(&reply.result));
        reply
    }

    async fn describe(&self, caller: &Caller, sql: &str) -> Result<Description, Failure> {
        self.cx.describe(caller, sql).await
    }

    fn on_disconnect(&self, caller: &Caller) {
        if let Ok(mut state) = caller.state.try_lock()
            && let Some(transaction) = state.transaction.take()
        {
            self.cx.clone().abandon(transaction);
        }
    }
}

impl CallerService {
    async fn run_until_done(
        &self,
        caller: &Caller,
        statement: Statement,
        cancel: &CancelSignal,
    ) -> Reply {
        let mut state = caller.state.lock().await;
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let execution = self.cx.statement(caller, &mut state, &statement, deadline);
        tokio::pin!(execution);
        // The future of a cancelled statement is not dropped, because its outcome must
        // be known. Statements outside transactions are short and run to completion.
        tokio::select! {
            reply = &mut execution => return reply,
            () = cancel.cancelled() => {}
        }
        loop {
            let running = caller.running.lock().clone();
            if let Some(running) = running {
                self.cx.cancel(running).await;
            }
            if let Ok(reply) = timeout(CANCEL_INTERVAL, &mut execution).await {
                return reply;
            }
        }
    }

    fn authenticate(
        &self,
        login: &Login,
    ) -> Result<Option<(Workspace, AuthenticatedKey)>, Failure> {
        if self.allows_anonymous(&login.user) {
            return Ok(None);
        }
        if !self.cx.has_lease() {
            return Err(error::no_lease());
        }
        let workspace = Workspace::from(login.user.as_str());
        let state = self.cx.view.load();
        let key = KeyAuthenticator::new(&state.view).authenticate(&workspace, &login.password);
        let key = key.map_err(|refusal| error::invalid_key(&refusal))?;
        Ok(Some((workspace, key)))
    }
}

impl CallerState {
    fn new(lookup: LookupPolicy) -> Self {
        let id = SessionId::from(hex::encode(rand::random::<[u8; 16]>()));
        let session = SessionState::with_generated_id(id, lookup);
        Self { session, lookup, home_hosts: None, request_key: None, transaction: None }
    }

    /// Sets a variable of the proxy; variables of other names are ignored.
    pub fn set(&mut self, service: &Service, name: &str, value: &str) -> Result<(), Failure> {
        match name {
            "pomelopin.session" => {
                let previous_mark = self.session.mark(service);
                self.session = SessionState::with_caller_id(SessionId::from(value), self.lookup);
                self.home_hosts = None;
                if let Some(mark) = previous_mark {
                    self.session.raise(service, mark);
                }
            }
            "pomelopin.request_key" => self.request_key = Some(RequestKey::from(value)),
            "pomelopin.mark" => self.raise_mark(service, value)?,
            _ => {}
        }
        Ok(())
    }

    /// Raises the session mark to a value in the form `service:term/position`; a mark of
    /// another service is ignored.
    fn raise_mark(&mut self, service: &Service, text: &str) -> Result<(), Failure> {
        let (of, mark) = text.rsplit_once(':').unwrap_or(("", text));
        let mark: Mark = mark.parse().map_err(error::invalid_value)?;
        if of == service.as_str() {
            self.session.raise(service, mark);
        }
        Ok(())
    }

    /// Value of a variable for `SHOW`; empty if unset or unknown.
    pub fn show(&self, service: &Service, name: &str) -> String {
        match name {
            "pomelopin.session" if self.session.is_shared() => self.session.id().to_string(),
            "pomelopin.mark" => {
                self.session.mark(service).map(|mark| mark_text(service, mark)).unwrap_or_default()
            }
            "pomelopin.request_key" => {
                self.request_key.as_ref().map(|key| key.as_str().to_owned()).unwrap_or_default()
            }
            "server_version" => "16.6".to_owned(),
            "transaction_isolation" => "read committed".to_owned(),
            "transaction_read_only" => "off".to_owned(),
            _ => String::new(),
        }
    }
}

/// Formats a mark as the value of `pomelopin.mark`.
pub fn mark_text(service: &Service, mark: Mark) -> String {
    format!("{service}:{mark}")
}

impl Cx {
    /// Runs one statement of a caller; an error fails its open transaction.
    pub(super) async fn statement(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        statement: &Statement,
        deadline: Instant,
    ) -> Reply {
        let classified = match self.statements.classify(&statement.sql) {
            Ok(classified) => classified,
            Err(unsupported) => {
                self.fail_transaction(state).await;
                return error::reply(error::unsupported(&unsupported));
            }
        };
        if state.is_failed()
            && !matches!(classified, StatementClass::Commit | StatementClass::Rollback)
        {
            return error::reply(error::failed_transaction());
        }
        let result = match &classified {
            StatementClass::Empty => Ok(ReplyResult::Empty.into()),
            StatementClass::Set { name, value } => state
                .set(&caller.service, name, value)
                .map(|()| ReplyResult::Command("SET".to_owned()).into()),
            StatementClass::Show { name } => {
                Ok(variable_row(&state.show(&caller.service, name), name).into())
            }
            StatementClass::Begin => Ok(state.begin().into()),
            StatementClass::Commit => Ok(self
                .commit(caller, state, deadline)
                .await
                .unwrap_or_else(|failure| ReplyResult::TransactionFailed(failure).into())),
            StatementClass::Rollback => Ok(self.rollback(state).await.into()),
            StatementClass::NoTable | StatementClass::TableAccess { .. } => {
                self.run_on_target(caller, state, statement, &classified, deadline).await
            }
        };
        match result {
            Ok(reply) => reply,
            Err(failure) => {
                self.fail_transaction(state).await;
                error::reply(failure)
            }
        }
    }

    async fn run_on_target(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        statement: &Statement,
        classified: &StatementClass,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        let policy = self.admit(caller, classified, deadline).await?;
        if state.transaction.is_some() {
            return self.run_in_transaction(caller, state, statement, &policy, deadline).await;
        }
        if policy.is_write {
            self.write(caller, state, statement, &policy, deadline).await
        } else {
            self.read(caller, state, statement, &policy, deadline).await
        }
    }
}

/// Result of `SHOW`: one row with the value of a variable.
fn variable_row(value: &str, name: &str) -> ReplyResult {
    let mut body = Vec::with_capacity(value.len() + 6);
    body.extend_from_slice(&1_i16.to_be_bytes());
    body.extend_from_slice(&i32::try_from(value.len()).unwrap_or(i32::MAX).to_be_bytes());
    body.extend_from_slice(value.as_bytes());
    ReplyResult::Rows(Rows {
        fields: vec![text_field(name)],
        rows: vec![body.into()],
        tag: "SHOW".to_owned(),
        ..Rows::default()
    })
}

/// Describes a result column of type `text`.
pub fn text_field(name: &str) -> Field {
    Field { name: name.to_owned(), type_oid: TEXT_OID, format: 0 }
}
