//! Listener for callers and the message loop of one connection.

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

use super::{CallerHandler, convert, handlers::Connection, registry::Registry};
use crate::wire::peer::Failure;

/// Time from the connect to the end of authentication.
///
/// Half-open connections would otherwise hold memory for ever.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest accepted message in bytes.
///
/// `pgwire` accepts 1 GiB and would buffer it, also before the password is checked.
pub const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// Time for a caller to close its side after the last message.
const LAST_BYTES_TIMEOUT: Duration = Duration::from_secs(1);

type Socket = Framed<MaybeTls, PgWireMessageServerCodec<String>>;

/// Listener with what its connections share.
pub struct CallerListener<H> {
    pub listener: TcpListener,
    pub tls: Option<TlsAcceptor>,
    pub handler: Arc<H>,
    /// Becomes true when callers must leave between transactions.
    pub disconnect_idle: watch::Receiver<bool>,
    /// Becomes true when no further connections are accepted.
    pub stop_accepting: watch::Receiver<bool>,
}

/// Accepts callers until `stop_accepting` is set, then waits until all have left.
pub async fn serve<H: CallerHandler>(server: CallerListener<H>) -> eyre::Result<()> {
    let CallerListener { listener, tls, handler, disconnect_idle, mut stop_accepting } = server;
    let registry = Arc::new(Registry::default());
    let tracker = tokio::sync::mpsc::channel::<()>(1);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_set(&mut stop_accepting) => break,
        };
        let stream = match stream {
            Ok((stream, _)) => stream,
            Err(error) => {
                // For example too many open files; accepting again at once would spin.
                spdlog::warn!("cannot accept a caller: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let connection = Connection::new(handler.clone(), registry.clone());
        let (tls, disconnect_idle, guard) =
            (tls.clone(), disconnect_idle.clone(), tracker.0.clone());
        tokio::spawn(async move {
            let connection = Arc::new(connection);
            if let Err(error) = run(stream, tls, connection.clone(), disconnect_idle).await {
                spdlog::debug!("caller's connection ended: {error}");
            }
            connection.on_disconnect();
            drop(guard);
        });
    }
    drop(listener);
    let (tx, mut rx) = tracker;
    drop(tx);
    rx.recv().await;
    Ok(())
}

/// Waits until `signal` is true or its sender is gone.
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
    let mut cycle_ended = true;
    loop {
        let idle = cycle_ended && socket.transaction_status() == TransactionStatus::Idle;
        let message = tokio::select! {
            biased;
            message = next(&mut socket) => message,
            () = wait_until_set(&mut disconnect_idle), if idle => return disconnect(socket).await,
        };
        // Between the messages of an extended query an answer may still be due.
        cycle_ended = matches!(
            message,
            Some(Ok(PgWireFrontendMessage::Query(_) | PgWireFrontendMessage::Sync(_)))
        );
        if !handle(&mut socket, message, &connection).await? {
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
        let message = next(&mut socket).await;
        if !handle(&mut socket, message, connection).await? {
            return Ok(None);
        }
    }
    Ok(Some(socket))
}

/// Next message; an error as soon as its header states more than the limit.
async fn next(socket: &mut Socket) -> Option<Result<PgWireFrontendMessage, PgWireError>> {
    poll_fn(|cx| match socket.poll_next_unpin(cx) {
        // The runtime makes a reader pending after a bounded number of reads, so a
        // fast sender cannot fill the buffer without this check.
        Poll::Pending if is_too_long(socket) => Poll::Ready(Some(Err(convert::too_long()))),
        polled => polled,
    })
    .await
}

/// Whether the incomplete message in the buffer is longer than the limit.
fn is_too_long(socket: &Socket) -> bool {
    // Messages before the startup message have no type byte; `pgwire` limits them.
    let has_type = !matches!(
        socket.state(),
        PgWireConnectionState::AwaitingSslRequest | PgWireConnectionState::AwaitingStartup
    );
    let length = socket.read_buffer().get(1..5).and_then(|bytes| bytes.try_into().ok());
    has_type && length.is_some_and(|bytes| u32::from_be_bytes(bytes) > MAX_MESSAGE_BYTES)
}

/// Handles one message; false if the connection must end.
async fn handle<H: CallerHandler>(
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
    let copy = Arc::new(NoopHandler);
    let result = process_message(
        message,
        socket,
        connection.clone(),
        connection.clone(),
        connection.clone(),
        copy,
        connection.clone(),
    )
    .await;
    let Err(error) = result else { return Ok(!is_cancel) };
    let fatal = error.is_fatal();
    process_error(socket, error, wait_for_sync).await?;
    Ok(!fatal)
}

/// Tells an idle caller that this host is stopping.
async fn disconnect(mut socket: Socket) -> std::io::Result<()> {
    let failure = Failure {
        code: "57P01".to_owned(),
        message: "this host is stopping; connect again to reach another one".to_owned(),
    };
    let info: pgwire::error::ErrorInfo = convert::fatal(&failure).into();
    socket.send(PgWireBackendMessage::ErrorResponse(info.into())).await?;
    socket.close().await?;
    // A statement may be under way to this host. Closing with unread bytes would
    // reset the connection, and the caller could lose the message.
    let unread = async { while let Some(Ok(_)) = socket.next().await {} };
    let _ = timeout(LAST_BYTES_TIMEOUT, unread).await;
    Ok(())
}
