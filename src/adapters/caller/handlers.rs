//! `pgwire` handlers of one connection.

use std::{fmt::Debug, sync::Arc};

use async_trait::async_trait;
use futures::{Sink, SinkExt};
use indexmap::IndexMap;
use parking_lot::Mutex;
use pgwire::{
    api::{
        ClientInfo, ClientPortalStore, METADATA_DATABASE, METADATA_USER, Type,
        auth::{
            AuthDriver, DefaultServerParameterProvider, StartupHandler,
            driver::AuthOutcome,
            mechanism::{AuthMechanism, AuthState},
            protocol_negotiation, save_startup_parameters_to_metadata,
        },
        cancel::CancelHandler,
        portal::{Format, Portal},
        query::{ExtendedQueryHandler, SimpleQueryHandler},
        results::{DescribePortalResponse, DescribeStatementResponse, FieldInfo, Response},
        stmt::{QueryParser, StoredStatement},
        store::PortalStore,
    },
    error::{PgWireError, PgWireResult},
    messages::{
        PgWireBackendMessage, PgWireFrontendMessage,
        cancel::CancelRequest,
        response::TransactionStatus,
        startup::{Authentication, ParameterStatus, PasswordMessageFamily},
    },
};

use super::{
    CallerHandler, CancelSignal, Login, Reply, ReplyResult, convert, registry::CancelRegistry,
};
use crate::wire::peer::{Description, Statement};

/// Startup parameters that are not session options themselves.
const NON_OPTION_PARAMETERS: [&str; 3] = [METADATA_USER, METADATA_DATABASE, "options"];

/// State of one connection of a caller.
pub struct Connection<H: CallerHandler> {
    handler: Arc<H>,
    registry: Arc<CancelRegistry>,
    cancel: Arc<CancelSignal>,
    session: Mutex<Option<Arc<H::Session>>>,
    pid: Mutex<Option<i32>>,
    auth: AuthDriver<DefaultServerParameterProvider, String>,
}

impl<H: CallerHandler> Connection<H> {
    pub fn new(handler: Arc<H>, registry: Arc<CancelRegistry>) -> Self {
        Self {
            handler,
            registry,
            cancel: Arc::default(),
            session: Mutex::default(),
            pid: Mutex::default(),
            auth: AuthDriver::new(DefaultServerParameterProvider::default()),
        }
    }

    fn session(&self) -> PgWireResult<Arc<H::Session>> {
        self.session.lock().clone().ok_or(PgWireError::NoAuthenticationInProgress)
    }

    async fn run(&self, statement: Statement) -> PgWireResult<Reply> {
        let session = self.session()?;
        Ok(self.handler.run(&session, statement, &self.cancel).await)
    }

    async fn describe(&self, sql: &str) -> PgWireResult<Description> {
        let session = self.session()?;
        let description = self.handler.describe(&session, sql).await;
        description.map_err(|failure| convert::error(&failure))
    }

    async fn login<C: ClientInfo>(&self, client: &C, password: String) -> PgWireResult<()> {
        let metadata = client.metadata();
        let get = |name: &str| metadata.get(name).cloned().unwrap_or_default();
        let user = get(METADATA_USER);
        let database = Some(get(METADATA_DATABASE)).filter(|name| !name.is_empty());
        let login = Login {
            database: database.unwrap_or_else(|| user.clone()),
            user,
            password,
            options: session_options(metadata),
        };
        let session = self.handler.login(login).await.map_err(|f| convert::fatal(&f))?;
        *self.session.lock() = Some(Arc::new(session));
        Ok(())
    }

    /// Ends the session once the connection has closed.
    pub fn on_disconnect(&self) {
        if let Some(pid) = self.pid.lock().take() {
            self.registry.remove(pid);
        }
        if let Some(session) = self.session.lock().take() {
            self.handler.on_disconnect(&session);
        }
    }
}

/// Session options of the startup message: its other parameters and the `-c name=value`
/// pairs of `options`.
fn session_options(
    metadata: &std::collections::HashMap<String, String>,
) -> IndexMap<String, String> {
    let is_option = |name: &String| !NON_OPTION_PARAMETERS.contains(&name.as_str());
    let mut options: IndexMap<_, _> = metadata
        .iter()
        .filter(|(name, _)| is_option(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    let text = metadata.get("options").map_or("", String::as_str);
    for word in text.split_whitespace() {
        let pair = word.strip_prefix("-c").unwrap_or(word);
        if let Some((name, value)) = pair.split_once('=') {
            options.insert(name.to_owned(), value.to_owned());
        }
    }
    options.sort_unstable_keys();
    options
}

/// Requests a cleartext password and passes it to the login as the identity.
struct PasswordMechanism;

#[async_trait]
impl AuthMechanism<String> for PasswordMechanism {
    async fn begin(
        &mut self,
        _client: &(dyn ClientInfo + Send + Sync),
    ) -> PgWireResult<AuthState<String>> {
        Ok(AuthState::InProgress(Authentication::CleartextPassword))
    }

    async fn next(
        &mut self,
        _client: &(dyn ClientInfo + Send + Sync),
        message: PasswordMessageFamily,
    ) -> PgWireResult<AuthState<String>> {
        let password = message.into_password()?.password;
        Ok(AuthState::Ok { final_message: None, identity: Some(password) })
    }
}

/// Trust authentication: requests no password. The login limits the caller to open routes.
struct TrustMechanism;

#[async_trait]
impl AuthMechanism<String> for TrustMechanism {
    async fn begin(
        &mut self,
        _client: &(dyn ClientInfo + Send + Sync),
    ) -> PgWireResult<AuthState<String>> {
        Ok(AuthState::Ok { final_message: None, identity: None })
    }

    async fn next(
        &mut self,
        _client: &(dyn ClientInfo + Send + Sync),
        _message: PasswordMessageFamily,
    ) -> PgWireResult<AuthState<String>> {
        Err(PgWireError::NoAuthenticationInProgress)
    }
}

#[async_trait]
impl<H: CallerHandler> StartupHandler for Connection<H> {
    async fn on_startup<C>(
        &self,
        client: &mut C,
        message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let outcome = match message {
            PgWireFrontendMessage::Startup(ref startup) => {
                protocol_negotiation(client, startup).await?;
                save_startup_parameters_to_metadata(client, startup);
                let user = client.metadata().get(METADATA_USER);
                let is_anonymous = user.is_some_and(|user| self.handler.allows_anonymous(user));
                if is_anonymous {
                    self.auth.begin_authentication(client, Box::new(TrustMechanism)).await?
                } else {
                    self.auth.begin_authentication(client, Box::new(PasswordMechanism)).await?
                }
            }
            PgWireFrontendMessage::PasswordMessageFamily(message) => {
                self.auth.advance_authentication(client, message).await?
            }
            _ => return Ok(()),
        };
        let AuthOutcome::Authenticated { identity, final_message } = outcome else {
            return Ok(());
        };
        self.login(client, identity.unwrap_or_default()).await?;
        self.auth.complete_authentication(client, final_message).await?;
        let (pid, secret) = client.pid_and_secret_key();
        *self.pid.lock() = Some(pid);
        self.registry.insert(pid, secret, self.cancel.clone());
        Ok(())
    }
}

/// Sends the ParameterStatus messages of `reply` and converts its result.
async fn send_reply<C>(client: &mut C, reply: Reply) -> PgWireResult<Response>
where
    C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send,
    PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
{
    for (name, value) in reply.parameters {
        let status = ParameterStatus::new(name.to_owned(), value);
        client.feed(PgWireBackendMessage::ParameterStatus(status)).await?;
    }
    if matches!(reply.result, ReplyResult::TransactionFailed(_)) {
        client.set_transaction_status(TransactionStatus::Idle);
    }
    convert::response(reply.result)
}

#[async_trait]
impl<H: CallerHandler> SimpleQueryHandler for Connection<H> {
    async fn do_query<C>(&self, client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let reply = self.run(Statement { sql: query.to_owned(), bind: None }).await?;
        Ok(vec![send_reply(client, reply).await?])
    }
}

/// Keeps statements as text; they are parsed by the target.
pub struct VerbatimParser;

#[async_trait]
impl QueryParser for VerbatimParser {
    type Statement = String;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        sql: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<String>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        Ok(Some(sql.to_owned()))
    }

    fn get_parameter_types(&self, _stmt: &String) -> PgWireResult<Vec<Type>> {
        Ok(Vec::new())
    }

    fn get_result_schema(
        &self,
        _stmt: &String,
        _column_format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        Ok(Vec::new())
    }
}

#[async_trait]
impl<H: CallerHandler> ExtendedQueryHandler for Connection<H> {
    type Statement = String;
    type QueryParser = VerbatimParser;

    fn query_parser(&self) -> Arc<VerbatimParser> {
        Arc::new(VerbatimParser)
    }

    async fn do_describe_statement<C>(
        &self,
        _client: &mut C,
        target: &StoredStatement<String>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = String>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let description = self.describe(&target.statement).await?;
        let parameters = description.parameters.iter().map(|oid| convert::type_of(*oid)).collect();
        let fields = convert::fields(&description.fields, None);
        Ok(DescribeStatementResponse::new(parameters, fields))
    }

    async fn do_describe_portal<C>(
        &self,
        _client: &mut C,
        target: &Portal<String>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = String>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let description = self.describe(&target.statement.statement).await?;
        let format = &target.result_column_format;
        Ok(DescribePortalResponse::new(convert::fields(&description.fields, Some(format))))
    }

    async fn do_query<C>(
        &self,
        client: &mut C,
        portal: &Portal<String>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = String>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let reply = self.run(convert::statement(portal)).await?;
        send_reply(client, reply).await
    }
}

#[async_trait]
impl<H: CallerHandler> CancelHandler for Connection<H> {
    async fn on_cancel_request(&self, cancel: CancelRequest) {
        self.registry.cancel(cancel.pid, &cancel.secret_key);
    }
}
