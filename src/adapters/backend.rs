//! PostgreSQL client connection to a target instance.
//!
//! Requests are pipelined: a batch is written at once and its responses are received
//! in order. After an I/O or protocol error, or while responses are outstanding, the
//! connection cannot be reused and must be closed.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, From};
use futures::FutureExt;
use postgres_protocol::{
    IsNull,
    message::{
        backend::{ErrorResponseBody, Header, Message, RowDescriptionBody},
        frontend,
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::wire::peer::{Bind, Description, Failure, Field, Rows, Statement};

/// Largest message accepted from a target, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Largest response to one request, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Largest request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 16 << 20;
/// Initial capacity of the read and write buffers, in bytes.
const INITIAL_BUFFER_BYTES: usize = 8 << 10;
/// Size of a message's type byte and length field, in bytes.
const HEADER_BYTES: usize = 5;
/// Type byte of a DataRow message.
const DATA_ROW: u8 = b'D';

/// Error of a connection to a target.
#[derive(Debug, Display, From)]
pub enum BackendError {
    #[display("connection to the target failed: {_0}")]
    Io(io::Error),
    #[display("protocol error of the target: {_0}")]
    #[from(ignore)]
    Protocol(String),
    #[display("message of {_0} bytes is too large")]
    #[from(ignore)]
    TooLarge(usize),
    #[display("target refused the connection: {_0}")]
    Target(Failure),
    #[display("deadline passed")]
    TimedOut,
    #[display("connection was closed by its owner")]
    Closed,
}

impl std::error::Error for BackendError {}

/// Key that identifies a connection in a CancelRequest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelKey {
    pub process_id: i32,
    pub secret_key: i32,
}

/// Transaction status reported by ReadyForQuery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStatus {
    Idle,
    Transaction,
    FailedTransaction,
}

/// Response of the target to one request.
#[derive(Debug)]
pub struct Response {
    pub result: Result<Rows, Failure>,
    pub status: TransactionStatus,
}

/// Connection to a target instance.
pub struct Connection {
    stream: TcpStream,
    addr: String,
    read_buf: BytesMut,
    write_buf: BytesMut,
    /// Requests whose response is outstanding.
    pending: usize,
    broken: bool,
    status: TransactionStatus,
    cancel_key: Option<CancelKey>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, addr: &str) -> Self {
        Self {
            stream,
            addr: addr.to_owned(),
            read_buf: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            write_buf: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            pending: 0,
            broken: false,
            status: TransactionStatus::Idle,
            cancel_key: None,
        }
    }

    pub(crate) fn set_cancel_key(&mut self, key: CancelKey) {
        self.cancel_key = Some(key);
    }

    /// Address and key for [`cancel`].
    pub fn cancel_key(&self) -> Option<(String, CancelKey)> {
        self.cancel_key.map(|key| (self.addr.clone(), key))
    }

    /// Whether the connection can be reused: idle, no transaction, nothing left to read.
    pub fn is_clean(&self) -> bool {
        !self.broken
            && self.pending == 0
            && self.status == TransactionStatus::Idle
            && self.read_buf.is_empty()
    }

    /// Whether the target may still be running a request.
    pub fn is_running(&self) -> bool {
        !self.broken && self.pending > 0
    }

    /// Whether an idle connection is still open: the target sent neither data nor
    /// the end of the stream.
    pub fn is_open(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte).now_or_never();
        self.is_clean() && peeked.is_none()
    }

    /// Adds a simple query to the batch.
    pub fn queue_query(&mut self, sql: &str) -> Result<(), BackendError> {
        frontend::query(sql, &mut self.write_buf)?;
        self.pending += 1;
        Ok(())
    }

    /// Adds a statement to the batch, as an extended query if it has a bind.
    pub fn queue_statement(&mut self, statement: &Statement) -> Result<(), BackendError> {
        let Some(bind) = &statement.bind else { return self.queue_query(&statement.sql) };
        frontend::parse("", &statement.sql, bind.types.iter().copied(), &mut self.write_buf)?;
        write_bind(bind, &mut self.write_buf)?;
        frontend::describe(b'P', "", &mut self.write_buf)?;
        frontend::execute("", 0, &mut self.write_buf)?;
        frontend::sync(&mut self.write_buf);
        self.pending += 1;
        Ok(())
    }

    /// Writes the batch.
    pub async fn flush(&mut self) -> Result<(), BackendError> {
        if self.write_buf.len() > MAX_REQUEST_BYTES {
            self.broken = true;
            return Err(BackendError::TooLarge(self.write_buf.len()));
        }
        // If this future is dropped, the batch may have been written in part.
        self.broken = true;
        self.stream.write_all(&self.write_buf).await?;
        self.write_buf.clear();
        self.broken = false;
        Ok(())
    }

    /// Receives the response to the oldest outstanding request.
    pub async fn receive(&mut self) -> Result<Response, BackendError> {
        let (response, _) = self.receive_response().await?;
        Ok(response)
    }

    /// Fetches the types of a statement's parameters and columns.
    pub async fn describe(
        &mut self,
        sql: &str,
    ) -> Result<Result<Description, Failure>, BackendError> {
        frontend::parse("", sql, std::iter::empty(), &mut self.write_buf)?;
        frontend::describe(b'S', "", &mut self.write_buf)?;
        frontend::sync(&mut self.write_buf);
        self.pending += 1;
        self.flush().await?;
        let (response, parameters) = self.receive_response().await?;
        Ok(response.result.map(|rows| Description { parameters, fields: rows.fields }))
    }

    /// Sends Terminate and waits until the target has closed the connection.
    pub async fn close(mut self) {
        self.write_buf.clear();
        frontend::terminate(&mut self.write_buf);
        let mut discarded = [0; 1 << 10];
        if self.stream.write_all(&self.write_buf).await.is_ok()
            && self.stream.shutdown().await.is_ok()
        {
            while self.stream.read(&mut discarded).await.is_ok_and(|n| n > 0) {}
        }
    }

    pub(crate) fn write_buf(&mut self) -> &mut BytesMut {
        &mut self.write_buf
    }

    pub(crate) async fn read_message(&mut self) -> Result<Message, BackendError> {
        let mut frame = self.read_frame().await?;
        Message::parse(&mut frame)?.ok_or_else(|| protocol_error("incomplete message"))
    }

    async fn receive_response(&mut self) -> Result<(Response, Vec<u32>), BackendError> {
        let received = self.read_until_ready().await;
        self.broken |= received.is_err();
        if let Ok((response, _)) = &received {
            self.status = response.status;
            self.pending -= 1;
        }
        received
    }

    async fn read_until_ready(&mut self) -> Result<(Response, Vec<u32>), BackendError> {
        let mut rows = Rows::default();
        let mut parameters = Vec::new();
        let mut error = None;
        let mut response_bytes = 0;
        loop {
            let mut frame = self.read_frame().await?;
            response_bytes += frame.len();
            if response_bytes > MAX_RESPONSE_BYTES {
                return Err(BackendError::TooLarge(response_bytes));
            }
            if frame[0] == DATA_ROW {
                frame.advance(HEADER_BYTES);
                rows.rows.push(frame.freeze());
                continue;
            }
            match Message::parse(&mut frame)?.ok_or_else(|| protocol_error("incomplete message"))? {
                Message::RowDescription(body) => {
                    rows.fields = parse_fields(&body)?;
                    rows.rows.clear();
                }
                Message::ParameterDescription(body) => parameters = collect(body.parameters())?,
                Message::CommandComplete(body) => rows.tag = body.tag()?.to_owned(),
                Message::ErrorResponse(body) => error = Some(parse_error_response(&body)?),
                Message::ReadyForQuery(body) => {
                    let status = parse_status(body.status())?;
                    let result = error.map_or(Ok(rows), Err);
                    return Ok((Response { result, status }, parameters));
                }
                Message::ParseComplete
                | Message::BindComplete
                | Message::NoData
                | Message::EmptyQueryResponse
                | Message::NoticeResponse(_)
                | Message::NotificationResponse(_)
                | Message::ParameterStatus(_) => {}
                _ => return Err(protocol_error("unexpected message")),
            }
        }
    }

    /// Reads the next message, including its header.
    async fn read_frame(&mut self) -> Result<BytesMut, BackendError> {
        loop {
            if let Some(header) = Header::parse(&self.read_buf)? {
                let len =
                    usize::try_from(header.len()).map_err(|_| protocol_error("negative length"))?;
                if len > MAX_MESSAGE_BYTES {
                    return Err(BackendError::TooLarge(len));
                }
                if self.read_buf.len() > len {
                    return Ok(self.read_buf.split_to(len + 1));
                }
                self.read_buf.reserve(len + 1 - self.read_buf.len());
            }
            if self.stream.read_buf(&mut self.read_buf).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }
}

/// Asks the target at `addr` to cancel the running request of the connection with `key`.
pub async fn cancel(addr: &str, key: CancelKey) -> Result<(), BackendError> {
    let mut stream = TcpStream::connect(addr).await?;
    let mut buf = BytesMut::new();
    frontend::cancel_request(key.process_id, key.secret_key, &mut buf);
    stream.write_all(&buf).await?;
    stream.shutdown().await?;
    Ok(())
}

/// Extracts the SQLSTATE code and the message of an ErrorResponse.
pub(crate) fn parse_error_response(body: &ErrorResponseBody) -> Result<Failure, BackendError> {
    let mut failure = Failure { code: String::new(), message: String::new() };
    for field in collect(body.fields())? {
        let value = String::from_utf8_lossy(field.value_bytes()).into_owned();
        match field.type_() {
            b'C' => failure.code = value,
            b'M' => failure.message = value,
            _ => {}
        }
    }
    Ok(failure)
}

fn write_bind(bind: &Bind, out: &mut BytesMut) -> Result<(), BackendError> {
    let write_value = |value: &Option<Bytes>, buf: &mut BytesMut| match value {
        Some(value) => {
            buf.extend_from_slice(value);
            Ok(IsNull::No)
        }
        None => Ok(IsNull::Yes),
    };
    let formats = bind.formats.iter().copied();
    let result_formats = bind.result_formats.iter().copied();
    frontend::bind("", "", formats, &bind.values, write_value, result_formats, out).map_err(
        |error| match error {
            frontend::BindError::Conversion(error) => protocol_error(&error.to_string()),
            frontend::BindError::Serialization(error) => error.into(),
        },
    )
}

fn parse_fields(body: &RowDescriptionBody) -> Result<Vec<Field>, BackendError> {
    let fields = collect(body.fields())?;
    let field = |field: &postgres_protocol::message::backend::Field<'_>| Field {
        name: field.name().to_owned(),
        type_oid: field.type_oid(),
        format: field.format(),
    };
    Ok(fields.iter().map(field).collect())
}

fn collect<I>(items: I) -> Result<Vec<I::Item>, BackendError>
where
    I: tokio_postgres::fallible_iterator::FallibleIterator<Error = io::Error>,
{
    Ok(items.collect()?)
}

fn parse_status(byte: u8) -> Result<TransactionStatus, BackendError> {
    match byte {
        b'I' => Ok(TransactionStatus::Idle),
        b'T' => Ok(TransactionStatus::Transaction),
        b'E' => Ok(TransactionStatus::FailedTransaction),
        _ => Err(protocol_error("unknown transaction status")),
    }
}

fn protocol_error(message: &str) -> BackendError {
    BackendError::Protocol(message.to_owned())
}
