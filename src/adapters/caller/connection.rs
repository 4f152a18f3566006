//! Listener for callers and the message loop of each connection.

use std::{future::poll_fn, sync::Arc, task::Poll, time::Duration};

use futures::{SinkExt, StreamExt};
use pgwire::{
    api::{ClientInfo, NoopHandler, PgWireConnectionState},
    error::PgWireError,
    messages::{PgWireBackendMessage, PgWireFrontendMessage, response::TransactionStatus},
    tokio::{
        TlsAcceptor,
        server::{
            MaybeTls, PgWireMessageServerCodec, negotiate_tls, process_error, process_message,
        },
    },
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};
use tokio_util::codec::Framed;

use super::{CallerHandler, convert, handlers::Connection, registry::CancelRegistry};
use crate::wire::peer::Failure;

/// Time limit for TLS negotiation and authentication.
///
/// Without it, half-open connections would hold memory forever.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest accepted message, in bytes.
///
/// `pgwire` would accept and buffer 1 GiB, even before authentication.
pub const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for a caller to close its side after the final error message.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

type Socket = Framed<MaybeTls, PgWireMessageServerCodec<String>>;

/// Listener and the state shared by its connections.
pub struct CallerListener<H> {
    pub listener: TcpListener,
    pub tls: Option<TlsAcceptor>,
    pub handler: Arc<H>,
    /// Becomes true when connections are to be closed between transactions.
    pub disconnect_idle: watch::Receiver<bool>,
    /// Becomes true when no further connections are to be accepted.
    pub stop_accepting: watch::Receiver<bool>,
}

/// Accepts callers until `stop_accepting` is set, then waits until their connections have
/// ended.
pub async fn serve<H: CallerHandler>(server: CallerListener<H>) -> eyre::Result<()> {
    let CallerListener { listener, tls, handler, disconnect_idle, mut stop_accepting } = server;
    let registry = Arc::new(CancelRegistry::default());
    // Nothing is sent: the receiver ends when all connections have dropped their sender.
    let (open_tx, mut open_rx) = tokio::sync::mpsc::channel::<()>(1);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_set(&mut stop_accepting) => break,
        };
        let stream = match stream {
            Ok((stream, _)) => stream,
            Err(error) => {
                // An immediate retry would spin, for example with too many open files.
                spdlog::warn!("cannot accept a caller connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection = Connection::new(handler.clone(), registry.clone());
        let (tls, disconnect_idle, guard) = (tls.clone(), disconnect_idle.clone(), open_tx.clone());
        tokio::spawn(async move {
            let connection = Arc::new(connection);
            if let Err(error) = run(stream, tls, connection.clone(), disconnect_idle).await {
                spdlog::debug!("caller connection ended: {error}");
            }
            connection.on_disconnect();
            drop(guard);
        });
    }
    drop(listener);
    drop(open_tx);
    open_rx.recv().await;
    Ok(())
}

/// Waits until `signal` is true or its sender is dropped.
async fn wait_until_set(signal: &mut watch::Receiver<bool>) {
    let _ = signal.wait_for(|set| *set).await;
}

async fn run<H: CallerHandler>(
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
    connection: Arc<Connection<H>>,
    mut disconnect_idle: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let started = timeout(STARTUP_TIMEOUT, startup(stream, tls, &connection)).await;
    let Ok(socket) = started else { return Ok(()) };
    let Some(mut socket) = socket? else { return Ok(()) };
    let mut is_query_complete = true;
    loop {
        let idle = is_query_complete && socket.transaction_status() == TransactionStatus::Idle;
        let message = tokio::select! {
            biased;
            message = read_message(&mut socket) => message,
            () = wait_until_set(&mut disconnect_idle), if idle => return disconnect(socket).await,
        };
        // Between the messages of an extended query a response may still be outstanding.
        is_query_complete = matches!(
            message,
            Some(Ok(PgWireFrontendMessage::Query(_) | PgWireFrontendMessage::Sync(_)))
        );
        if !handle_message(&mut socket, message, &connection).await? {
            return Ok(());
        }
    }
}

/// Negotiates TLS and authenticates; `None` if the connection ended.
async fn startup<H: CallerHandler>(
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
    connection: &Arc<Connection<H>>,
) -> std::io::Result<Option<Socket>> {
    let Some(mut socket) = negotiate_tls(stream, tls).await? else { return Ok(None) };
    while !matches!(socket.state(), PgWireConnectionState::ReadyForQuery) {
        let message = read_message(&mut socket).await;
        if !handle_message(&mut socket, message, connection).await? {
            return Ok(None);
        }
    }
    Ok(Some(socket))
}

/// Reads the next message; fails as soon as a header announces a length over the limit.
async fn read_message(socket: &mut Socket) -> Option<Result<PgWireFrontendMessage, PgWireError>> {
    poll_fn(|cx| match socket.poll_next_unpin(cx) {
        // The runtime returns Pending after a bounded number of reads, so a fast sender
        // cannot fill the buffer without reaching this check.
        Poll::Pending if exceeds_limit(socket) => {
            Poll::Ready(Some(Err(convert::message_too_long())))
        }
        polled => polled,
    })
    .await
}

/// Whether the incomplete message in the buffer is longer than [`MAX_MESSAGE_BYTES`].
fn exceeds_limit(socket: &Socket) -> bool {
    // Messages before the startup message have no type byte; `pgwire` limits them.
    let has_type_byte = !matches!(
        socket.state(),
        PgWireConnectionState::AwaitingSslRequest | PgWireConnectionState::AwaitingStartup
    );
    let message_len = socket.read_buffer().get(1..5).and_then(|bytes| bytes.try_into().ok());
    has_type_byte && message_len.is_some_and(|bytes| u32::from_be_bytes(bytes) > MAX_MESSAGE_BYTES)
}

/// Processes one message; false if the connection must end.
async fn handle_message<H: CallerHandler>(
    socket: &mut Socket,
    message: Option<Result<PgWireFrontendMessage, PgWireError>>,
    connection: &Arc<Connection<H>>,
) -> std::io::Result<bool> {
    let message = match message {
        None => return Ok(false),
        Some(Ok(PgWireFrontendMessage::Terminate(_))) => return Ok(false),
        Some(Ok(message)) => message,
        Some(Err(error)) => {
            process_error(socket, error, false).await?;
            return Ok(false);
        }
    };
    let wait_for_sync = message.is_extended_query();
    let is_cancel = matches!(message, PgWireFrontendMessage::CancelRequest(_));
    let copy_handler = Arc::new(NoopHandler);
    let result = process_message(
        message,
        socket,
        connection.clone(),
        connection.clone(),
        connection.clone(),
        copy_handler,
        connection.clone(),
    )
    .await;
    let Err(error) = result else { return Ok(!is_cancel) };
    let fatal = error.is_fatal();
    process_error(socket, error, wait_for_sync).await?;
    Ok(!fatal)
}

/// Reports the shutdown of this host to an idle caller and closes the connection.
async fn disconnect(mut socket: Socket) -> std::io::Result<()> {
    let failure = Failure {
        code: "57P01".to_owned(),
        message: "this host is stopping; connect again to reach another one".to_owned(),
    };
    let info: pgwire::error::ErrorInfo = convert::fatal(&failure).into();
    socket.send(PgWireBackendMessage::ErrorResponse(info.into())).await?;
    socket.close().await?;
    // The caller may have just sent a statement. Closing with unread bytes would reset
    // the connection, and the caller might not receive the error message.
    let discard_unread = async { while let Some(Ok(_)) = socket.next().await {} };
    let _ = timeout(CLOSE_TIMEOUT, discard_unread).await;
    Ok(())
}
