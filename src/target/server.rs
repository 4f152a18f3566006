//! Listener for PostgreSQL connections and their start.

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
    protocol::{Next, Protocol},
    session::{Session, Status},
    wire,
};

/// User of the project's own credentials.
pub const USER: &str = "pomelopin";

/// Startup option and setting that selects the workspace.
const WORKSPACE_OPTION: &str = "pomelopin.workspace";

/// Severity of errors that end the connection.
const FATAL: &str = "FATAL";

/// Answers are sent early beyond this size, in bytes.
const OUTPUT_LIMIT: usize = 64 << 10;

/// Initial size of the buffers of a connection, in bytes.
const BUFFER_SIZE: usize = 4 << 10;

/// Pause after a failed accept, which usually means too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Parameters that a connection reports at its start.
const PARAMETERS: [(&str, &str); 4] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
];

/// Serves connections until the task is dropped.
pub async fn serve(instance: Arc<Instance>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                let instance = instance.clone();
                connections.spawn(async move {
                    if let Err(error) = connection(instance, stream).await {
                        spdlog::debug!("connection ended: {error}");
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Error that ends a connection.
#[derive(Debug, derive_more::Display, derive_more::From)]
enum ConnectionError {
    Io(io::Error),
    Protocol(PgWireError),
}

type Outcome<T> = Result<T, ConnectionError>;

/// Socket with its buffers.
struct Channel {
    instance: Arc<Instance>,
    stream: TcpStream,
    input: BytesMut,
    out: BytesMut,
    context: DecodeContext,
    /// Name under which faults know the caller.
    host: String,
}

impl Channel {
    /// Next message; `None` at the end of the connection.
    async fn read(&mut self) -> Outcome<Option<Frontend>> {
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

    async fn flush(&mut self) -> Outcome<()> {
        self.instance.faults.wait_until_reachable(&self.host).await;
        self.stream.write_all(&self.out).await?;
        self.out.clear();
        Ok(())
    }

    async fn reject(&mut self, error: &SqlError) -> Outcome<()> {
        wire::error(FATAL, error, &mut self.out)?;
        self.flush().await
    }
}

async fn connection(instance: Arc<Instance>, stream: TcpStream) -> Outcome<()> {
    stream.set_nodelay(true)?;
    let mut channel = Channel {
        instance: instance.clone(),
        stream,
        input: BytesMut::with_capacity(BUFFER_SIZE),
        out: BytesMut::with_capacity(BUFFER_SIZE),
        context: DecodeContext::default(),
        host: String::new(),
    };
    let Some(options) = startup(&mut channel).await? else { return Ok(()) };
    if !instance.try_connect() {
        return channel.reject(&SqlError::new("53300", "too many connections")).await;
    }
    let _connected = Connected(&instance);
    if !authenticate(&mut channel, &options).await? {
        return Ok(());
    }
    let identity = Identity::new(&instance);
    channel.context.protocol_version = ProtocolVersion::PROTOCOL3_0;
    welcome(&mut channel, &identity).await?;
    let mut session = Session::new(instance.clone());
    session.set_workspace(options.get(WORKSPACE_OPTION).map_or("", String::as_str));
    let protocol = Protocol::new(session, identity.cancel.clone());
    messages(&mut channel, protocol).await
}

/// Counted connection.
struct Connected<'a>(&'a Instance);

impl Drop for Connected<'_> {
    fn drop(&mut self) {
        self.0.disconnect();
    }
}

/// Numbers with which a statement of the connection can be cancelled.
struct Identity<'a> {
    instance: &'a Instance,
    pid: i32,
    secret: i32,
    cancel: Arc<tokio::sync::Notify>,
}

impl<'a> Identity<'a> {
    fn new(instance: &'a Instance) -> Self {
        let (pid, secret) = (rand::random_range(1..i32::MAX), rand::random());
        let cancel = instance.cancellations.register(pid, secret);
        Self { instance, pid, secret, cancel }
    }
}

impl Drop for Identity<'_> {
    fn drop(&mut self) {
        self.instance.cancellations.remove(self.pid, self.secret);
    }
}

/// Handles messages up to the startup message and returns its options.
async fn startup(channel: &mut Channel) -> Outcome<Option<BTreeMap<String, String>>> {
    while let Some(message) = channel.read().await? {
        match message {
            Frontend::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                SslResponse::Refuse.encode(&mut channel.out)?;
                channel.flush().await?;
            }
            Frontend::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                GssEncResponse::Refuse.encode(&mut channel.out)?;
                channel.flush().await?;
            }
            Frontend::SslNegotiation(SslNegotiationMetaMessage::None) => {
                channel.context.awaiting_frontend_ssl = false;
            }
            Frontend::CancelRequest(cancel) => {
                if let Some(secret) = cancel.secret_key.as_i32() {
                    channel.instance.cancellations.cancel(cancel.pid, secret);
                }
                return Ok(None);
            }
            Frontend::Startup(startup) => {
                channel.context.awaiting_frontend_startup = false;
                channel.host =
                    startup.parameters.get("application_name").cloned().unwrap_or_default();
                channel.instance.faults.wait_until_reachable(&channel.host).await;
                return Ok(Some(startup.parameters));
            }
            _ => return Ok(None),
        }
    }
    Ok(None)
}

/// Checks the project's own credentials.
async fn authenticate(channel: &mut Channel, options: &BTreeMap<String, String>) -> Outcome<bool> {
    tokio::time::sleep(channel.instance.settings.connect_delay.duration()).await;
    Authentication::CleartextPassword.encode(&mut channel.out)?;
    channel.flush().await?;
    let Some(Frontend::PasswordMessageFamily(message)) = channel.read().await? else {
        return Ok(false);
    };
    let given = message.into_password()?.password;
    let expected = &channel.instance.settings.password;
    let matches = bool::from(given.as_bytes().ct_eq(expected.as_bytes()));
    if matches && options.get("user").is_some_and(|user| user == USER) {
        return Ok(true);
    }
    channel.reject(&SqlError::new("28P01", "password authentication failed")).await?;
    Ok(false)
}

async fn welcome(channel: &mut Channel, identity: &Identity<'_>) -> Outcome<()> {
    Authentication::Ok.encode(&mut channel.out)?;
    for (name, value) in PARAMETERS {
        ParameterStatus::new(name.to_owned(), value.to_owned()).encode(&mut channel.out)?;
    }
    BackendKeyData::new(identity.pid, SecretKey::I32(identity.secret)).encode(&mut channel.out)?;
    wire::ready(Status::Idle, &mut channel.out)?;
    channel.flush().await
}

async fn messages(channel: &mut Channel, mut protocol: Protocol) -> Outcome<()> {
    while let Some(message) = channel.read().await? {
        match protocol.handle(message, &mut channel.out).await? {
            Next::Close => break,
            Next::Flush => channel.flush().await?,
            Next::Continue if channel.out.len() > OUTPUT_LIMIT => channel.flush().await?,
            Next::Continue => {}
        }
    }
    Ok(())
}
