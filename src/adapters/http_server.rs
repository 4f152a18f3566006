//! HTTP server with limits on connections and times.
//!
//! Load: clients that connect and send nothing, or very slowly, or do not read the response.

use std::{
    convert::Infallible,
    future::Future,
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use axum::{Extension, Router, body::Body, http::Request};
use hyper::{body::Incoming, server::conn::http1, service::Service as _, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    time::{Sleep, sleep},
};

use super::{
    byte_budget::ByteBudget,
    connection_slots::{Admission, ConnectionSlot, ConnectionSlots},
    http_body::BodyLimits,
};
use crate::{clock::Millis, settings::session_limits::HttpListenerLimits};

/// Pause after a failed accept, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest header of a request, and the size up to which a body is read ahead.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Serves `router` without end. The bodies of requests are counted in `budget` by
/// [`super::http_body::HeldBody`].
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: HttpListenerLimits,
    budget: ByteBudget,
) -> Infallible {
    let slots = ConnectionSlots::new(limits.max_connections);
    let body_limits = BodyLimits { budget, timeout: limits.body_timeout };
    let router = router.layer(Extension(body_limits));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("cannot accept an HTTP connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (slot, replaced) = match slots.admit() {
            Admission::Free(slot) => (slot, false),
            Admission::Replaced(slot) => (slot, true),
            // The client sees a closed connection.
            Admission::Full => continue,
        };
        tokio::spawn(serve_connection(stream, router.clone(), limits.clone(), slot));
        if replaced {
            // Lets the replaced connection close its descriptor before the next accept.
            tokio::task::yield_now().await;
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    limits: HttpListenerLimits,
    slot: ConnectionSlot,
) {
    let slot = Arc::new(slot);
    let router = TowerToHyperService::new(router);
    let in_use = slot.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (router, slot) = (router.clone(), in_use.clone());
        async move {
            slot.set_waits_for_client(false);
            request.extensions_mut().insert(slot.clone());
            let response = router.call(request.map(Body::new)).await;
            slot.set_waits_for_client(true);
            response
        }
    });
    let io = TokioIo::new(WriteTimeout::new(stream, limits.response_timeout));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout.duration())
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(io, service);
    tokio::select! {
        biased;
        result = connection => {
            if let Err(error) = result {
                spdlog::debug!("HTTP connection failed: {error}");
            }
        }
        () = slot.closed() => {}
    }
}

/// Stream that fails when the peer does not read what was written within some time.
struct WriteTimeout {
    stream: TcpStream,
    timeout: Millis,
    /// Runs from a write that waits for the peer until everything is written.
    deadline: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeout {
    fn new(stream: TcpStream, timeout: Millis) -> Self {
        Self { stream, timeout, deadline: None }
    }

    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            return written;
        }
        let timeout = self.timeout;
        let deadline = self.deadline.get_or_insert_with(|| Box::pin(sleep(timeout.duration())));
        match deadline.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.deadline = None;
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
