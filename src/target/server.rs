//! Listener for PostgreSQL connections, with the startup phase of each connection.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use bytes::BytesMut;
use pgwire::{
    error::PgWireError,
    messages::{
        DecodeContext, Message, PgWireFrontendMessage as Frontend, ProtocolVersion,
        SslNegotiationMetaMessage,
        response::{GssEncResponse, SslResponse},
        startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
    },
};
use subtle::ConstantTimeEq;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use super::{
    error::SqlError,
    instance::Instance,
    protocol::{Action, Protocol},
    session::{Session, Status},
    wire,
};

/// User name that clients must log in with.
pub const USER: &str = "pomelopin";

/// Startup parameter that selects the workspace; also a variable for SET.
const WORKSPACE_OPTION: &str = "pomelopin.workspace";

/// Severity of errors that close the connection.
const FATAL: &str = "FATAL";

/// Buffered output, in bytes, above which responses are sent before a Flush or Sync.
const FLUSH_THRESHOLD: usize = 64 << 10;

/// Initial capacity of the input and output buffers of a connection, in bytes.
const BUFFER_SIZE: usize = 4 << 10;

/// Delay after a failed accept, which usually means too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Values of the ParameterStatus messages sent at startup.
const PARAMETERS: [(&str, &str); 4] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
];

/// Accepts and serves connections until the task is aborted.
pub async fn serve(instance: Arc<Instance>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                let instance = instance.clone();
                connections.spawn(async move {
                    if let Err(error) = handle_connection(instance, stream).await {
                        spdlog::debug!("SQL connection failed: {error}");
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("cannot accept SQL connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Error that closes a connection.
#[derive(Debug, derive_more::Display, derive_more::From)]
enum ConnectionError {
    Io(io::Error),
    Protocol(PgWireError),
}

type ConnectionResult<T> = Result<T, ConnectionError>;

/// Client socket with its buffers and decoder state.
struct Connection {
    instance: Arc<Instance>,
    stream: TcpStream,
    input: BytesMut,
    out: BytesMut,
    context: DecodeContext,
    /// Client's `application_name`, by which injected faults select connections.
    host: String,
}

impl Connection {
    /// Next message; `None` when the client has closed the connection.
    async fn read(&mut self) -> ConnectionResult<Option<Frontend>> {
        loop {
            if let Some(message) = Frontend::decode(&mut self.input, &self.context)? {
                return Ok(Some(message));
            }
            let start = self.input.len();
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
            self.instance.capture.add(&self.input[start..]);
            self.instance.faults.wait_until_reachable(&self.host).await;
        }
    }

    async fn flush(&mut self) -> ConnectionResult<()> {
        self.instance.faults.wait_until_reachable(&self.host).await;
        self.stream.write_all(&self.out).await?;
        self.out.clear();
        Ok(())
    }

    async fn reject(&mut self, error: &SqlError) -> ConnectionResult<()> {
        wire::error_response(FATAL, error, &mut self.out)?;
        self.flush().await
    }
}

async fn handle_connection(instance: Arc<Instance>, stream: TcpStream) -> ConnectionResult<()> {
    stream.set_nodelay(true)?;
    let mut connection = Connection {
        instance: instance.clone(),
        stream,
        input: BytesMut::with_capacity(BUFFER_SIZE),
        out: BytesMut::with_capacity(BUFFER_SIZE),
        context: DecodeContext::default(),
        host: String::new(),
    };
    let Some(options) = read_startup(&mut connection).await? else { return Ok(()) };
    if !instance.try_connect() {
        return connection.reject(&SqlError::new("53300", "too many connections")).await;
    }
    let _guard = ConnectionGuard(&instance);
    if !authenticate(&mut connection, &options).await? {
        return Ok(());
    }
    let cancel_key = CancelKey::new(&instance);
    connection.context.protocol_version = ProtocolVersion::PROTOCOL3_0;
    complete_startup(&mut connection, &cancel_key).await?;
    let mut session = Session::new(instance.clone());
    session.set_workspace(options.get(WORKSPACE_OPTION).map_or("", String::as_str));
    let protocol = Protocol::new(session, cancel_key.cancel.clone());
    process_messages(&mut connection, protocol).await
}

/// Counts the connection against the connection limit until dropped.
struct ConnectionGuard<'a>(&'a Instance);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.disconnect();
    }
}

/// Process id and secret that a CancelRequest must present; unregistered when dropped.
struct CancelKey<'a> {
    instance: &'a Instance,
    pid: i32,
    secret: i32,
    cancel: Arc<tokio::sync::Notify>,
}

impl<'a> CancelKey<'a> {
    fn new(instance: &'a Instance) -> Self {
        let (pid, secret) = (rand::random_range(1..i32::MAX), rand::random());
        let cancel = instance.cancellations.register(pid, secret);
        Self { instance, pid, secret, cancel }
    }
}

impl Drop for CancelKey<'_> {
    fn drop(&mut self) {
        self.instance.cancellations.remove(self.pid, self.secret);
    }
}

/// Reads up to the startup message and returns its parameters.
///
/// `None` if the connection only carried a CancelRequest or ended early.
async fn read_startup(
    connection: &mut Connection,
) -> ConnectionResult<Option<BTreeMap<String, String>>> {
    while let Some(message) = connection.read().await? {
        match message {
            Frontend::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                SslResponse::Refuse.encode(&mut connection.out)?;
                connection.flush().await?;
            }
            Frontend::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                GssEncResponse::Refuse.encode(&mut connection.out)?;
                connection.flush().await?;
            }
            Frontend::SslNegotiation(SslNegotiationMetaMessage::None) => {
                connection.context.awaiting_frontend_ssl = false;
            }
            Frontend::CancelRequest(cancel) => {
                if let Some(secret) = cancel.secret_key.as_i32() {
                    connection.instance.cancellations.cancel(cancel.pid, secret);
                }
                return Ok(None);
            }
            Frontend::Startup(startup) => {
                connection.context.awaiting_frontend_startup = false;
                connection.host =
                    startup.parameters.get("application_name").cloned().unwrap_or_default();
                connection.instance.faults.wait_until_reachable(&connection.host).await;
                return Ok(Some(startup.parameters));
            }
            _ => return Ok(None),
        }
    }
    Ok(None)
}

/// Checks user name and password; rejects the connection if the credentials are wrong.
async fn authenticate(
    connection: &mut Connection,
    options: &BTreeMap<String, String>,
) -> ConnectionResult<bool> {
    tokio::time::sleep(connection.instance.settings.connect_delay.duration()).await;
    Authentication::CleartextPassword.encode(&mut connection.out)?;
    connection.flush().await?;
    let Some(Frontend::PasswordMessageFamily(message)) = connection.read().await? else {
        return Ok(false);
    };
    let given = message.into_password()?.password;
    let expected = &connection.instance.settings.password;
    let matches = bool::from(given.as_bytes().ct_eq(expected.as_bytes()));
    if matches && options.get("user").is_some_and(|user| user == USER) {
        return Ok(true);
    }
    connection.reject(&SqlError::new("28P01", "password authentication failed")).await?;
    Ok(false)
}

async fn complete_startup(
    connection: &mut Connection,
    cancel_key: &CancelKey<'_>,
) -> ConnectionResult<()> {
    Authentication::Ok.encode(&mut connection.out)?;
    for (name, value) in PARAMETERS {
        ParameterStatus::new(name.to_owned(), value.to_owned()).encode(&mut connection.out)?;
    }
    BackendKeyData::new(cancel_key.pid, SecretKey::I32(cancel_key.secret))
        .encode(&mut connection.out)?;
    wire::ready_for_query(Status::Idle, &mut connection.out)?;
    connection.flush().await
}

async fn process_messages(
    connection: &mut Connection,
    mut protocol: Protocol,
) -> ConnectionResult<()> {
    while let Some(message) = connection.read().await? {
        match protocol.handle(message, &mut connection.out).await? {
            Action::Close => break,
            Action::Flush => connection.flush().await?,
            Action::Continue if connection.out.len() > FLUSH_THRESHOLD => {
                connection.flush().await?
            }
            Action::Continue => {}
        }
    }
    Ok(())
}
