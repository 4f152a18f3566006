//! Fake backend on loopback. It implements the part of the PostgreSQL protocol that
//! owners use, records the statements of each connection and injects faults.

#![allow(dead_code)]

pub mod fixture;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::{Buf, BufMut, BytesMut};
use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Whether a connection is closed before or after the statement runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisconnectAt {
    Before,
    After,
}

/// State of the fake backend, which tests read and change.
pub struct State {
    pub term: u64,
    pub position: u64,
    pub age_ms: u64,
    pub primary: bool,
    pub has_majority: bool,
    /// Committed request records: digest and tag by key.
    pub records: BTreeMap<String, (String, String)>,
    /// Committed statements that start with `INSERT INTO jobs`.
    pub committed: Vec<String>,
    /// Connection number and text of all statements, in order of arrival.
    pub log: Vec<(usize, String)>,
    /// Prefix of the statements at which a connection is closed.
    pub disconnect_at: Option<(&'static str, DisconnectAt)>,
    /// Whether new connections are accepted and closed at once.
    pub refuse: bool,
    /// Statements with this prefix, and new connections, get no answer while it is set.
    pub hang: Option<&'static str>,
    /// Whether a statement with the prefix `hang` has arrived.
    pub hung: bool,
    /// Authentication request to send, and the password message expected in response.
    pub password: Option<(Vec<u8>, String)>,
    /// Number of connections accepted so far, CancelRequests included.
    pub connections: usize,
    pub open: usize,
    /// Largest number of connections that were open at the same time.
    pub max_open: usize,
    /// Number of CancelRequests received.
    pub cancels: usize,
}

#[derive(Clone)]
pub struct FakeBackend {
    pub addr: String,
    pub state: Arc<Mutex<State>>,
}

/// Transaction of one connection, with its uncommitted writes.
#[derive(Default)]
struct TransactionState {
    open: bool,
    failed: bool,
    records: BTreeMap<String, (String, String)>,
    writes: Vec<String>,
}

impl FakeBackend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let state = State {
            term: 1,
            position: 10,
            age_ms: 0,
            primary: true,
            has_majority: true,
            records: BTreeMap::new(),
            committed: Vec::new(),
            log: Vec::new(),
            disconnect_at: None,
            refuse: false,
            hang: None,
            hung: false,
            password: None,
            connections: 0,
            open: 0,
            max_open: 0,
            cancels: 0,
        };
        let addr = listener.local_addr().unwrap().to_string();
        let backend = Self { addr, state: Arc::new(Mutex::new(state)) };
        let acceptor = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let backend = acceptor.clone();
                tokio::spawn(async move {
                    let number = backend.opened();
                    let _ = backend.serve(stream, number).await;
                    backend.state.lock().open -= 1;
                });
            }
        });
        backend
    }

    fn opened(&self) -> usize {
        let mut state = self.state.lock();
        state.connections += 1;
        state.open += 1;
        state.max_open = state.max_open.max(state.open);
        state.connections
    }

    async fn serve(&self, mut stream: TcpStream, number: usize) -> std::io::Result<()> {
        let len = stream.read_u32().await? as usize;
        let mut startup = vec![0; len - 4];
        stream.read_exact(&mut startup).await?;
        if startup.starts_with(&80_877_102_u32.to_be_bytes()) {
            self.state.lock().cancels += 1;
            return Ok(());
        }
        if self.state.lock().refuse {
            return Ok(());
        }
        self.hang("").await;
        let mut out = BytesMut::new();
        let password = self.state.lock().password.clone();
        if let Some((request, expected)) = password {
            message(&mut out, b'R', &request);
            stream.write_all(&out.split()).await?;
            let mut answer = vec![0; 5 + expected.len() + 1];
            stream.read_exact(&mut answer).await?;
            if text(&answer[5..]) != expected {
                error(&mut out, "28P01");
                return stream.write_all(&out).await;
            }
        }
        message(&mut out, b'R', &0_u32.to_be_bytes());
        message(&mut out, b'K', &[0, 0, 0, 1, 0, 0, 0, 2]);
        message(&mut out, b'Z', b"I");
        stream.write_all(&out).await?;
        let mut transaction = TransactionState::default();
        let mut parsed = String::new();
        loop {
            let tag = stream.read_u8().await?;
            let len = stream.read_u32().await? as usize;
            let mut body = vec![0; len - 4];
            stream.read_exact(&mut body).await?;
            let sql = match tag {
                b'Q' => text(&body),
                b'P' => {
                    parsed = text(&body[1..]);
                    continue;
                }
                b'S' => std::mem::take(&mut parsed),
                b'X' => return Ok(()),
                _ => continue,
            };
            if !self.answer(&mut stream, number, &sql, &mut transaction).await? {
                return Ok(());
            }
        }
    }

    /// Runs a statement and answers it; `false` if the connection is to be closed.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        number: usize,
        sql: &str,
        transaction: &mut TransactionState,
    ) -> std::io::Result<bool> {
        let disconnect = {
            let mut state = self.state.lock();
            state.log.push((number, sql.to_owned()));
            state.disconnect_at.filter(|(prefix, _)| sql.starts_with(prefix)).map(|(_, when)| when)
        };
        if disconnect == Some(DisconnectAt::Before) {
            return Ok(false);
        }
        self.hang(sql).await;
        if let Some(ms) = sql.split("SLOW ").nth(1) {
            sleep(Duration::from_millis(ms.parse().unwrap())).await;
        }
        let out = self.run(sql, transaction);
        if disconnect == Some(DisconnectAt::After) {
            return Ok(false);
        }
        stream.write_all(&out).await?;
        Ok(true)
    }

    /// Waits as long as `sql` must get no answer. New connections pass an empty `sql`.
    async fn hang(&self, sql: &str) {
        let hangs = || {
            self.state.lock().hang.is_some_and(|prefix| sql.starts_with(prefix) || sql.is_empty())
        };
        if !sql.is_empty() && hangs() {
            self.state.lock().hung = true;
        }
        while hangs() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn run(&self, sql: &str, transaction: &mut TransactionState) -> BytesMut {
        let state = &mut *self.state.lock();
        let mut out = BytesMut::new();
        let flag = |value: bool| if value { "t" } else { "f" }.to_owned();
        let (term, position) = (state.term.to_string(), state.position.to_string());
        let mut tag = "SELECT 1";
        if transaction.failed && !sql.starts_with("ROLLBACK") && !sql.starts_with("COMMIT") {
            error(&mut out, "25P02");
        } else if sql.starts_with("SELECT pomelopin_position") {
            row(&mut out, &[term, position, state.age_ms.to_string(), flag(state.primary)]);
        } else if sql.starts_with("SELECT pomelopin_wait_commit") {
            row(&mut out, &[term, position, flag(state.has_majority)]);
        } else if sql.starts_with("SELECT digest") {
            if let Some((digest, tag)) = state.records.get(literals(sql)[1]) {
                row(&mut out, &[digest.clone(), tag.clone()]);
            }
        } else if sql.starts_with("BEGIN") {
            transaction.open = true;
            tag = "BEGIN";
        } else if sql.starts_with("INSERT INTO pomelopin_requests") {
            tag = "INSERT 0 1";
            let values = literals(sql);
            if state.records.contains_key(values[1]) {
                error(&mut out, "23505");
                transaction.failed = true;
            } else {
                let record = (values[2].to_owned(), values[3].to_owned());
                transaction.records.insert(values[1].to_owned(), record);
            }
        } else if sql.starts_with("UPDATE pomelopin_requests") {
            let values = literals(sql);
            transaction.records.get_mut(values[2]).unwrap().1 = values[0].to_owned();
        } else if sql.starts_with("INSERT INTO jobs") {
            tag = "INSERT 0 1";
            transaction.writes.push(sql.to_owned());
        } else if sql.starts_with("FAIL") {
            error(&mut out, "22012");
            transaction.failed = transaction.open;
        } else if sql.starts_with("COMMIT") || sql.starts_with("ROLLBACK") {
            let ended = std::mem::take(transaction);
            tag = "ROLLBACK";
            if sql.starts_with("COMMIT") && !ended.failed {
                tag = "COMMIT";
                state.position += 1;
                state.records.extend(ended.records);
                state.committed.extend(ended.writes);
            }
        } else if sql.starts_with("SET") {
            tag = "SET";
        } else {
            row(&mut out, &["1".to_owned()]);
        }
        if !out.starts_with(b"E") {
            message(&mut out, b'C', format!("{tag}\0").as_bytes());
        }
        let status = match (transaction.failed, transaction.open) {
            (true, _) => b"E",
            (_, true) => b"T",
            _ => b"I",
        };
        message(&mut out, b'Z', status);
        out
    }
}

fn text(body: &[u8]) -> String {
    let end = body.iter().position(|byte| *byte == 0).unwrap();
    String::from_utf8(body[..end].to_vec()).unwrap()
}

/// String literals of a statement.
fn literals(sql: &str) -> Vec<&str> {
    sql.split('\'').skip(1).step_by(2).collect()
}

fn message(out: &mut BytesMut, tag: u8, body: &[u8]) {
    out.put_u8(tag);
    out.put_u32(body.len() as u32 + 4);
    out.put_slice(body);
}

fn error(out: &mut BytesMut, code: &str) {
    message(out, b'E', format!("SERROR\0C{code}\0Mrefused by the fake backend\0\0").as_bytes());
}

fn row(out: &mut BytesMut, values: &[String]) {
    let mut body = BytesMut::new();
    body.put_u16(values.len() as u16);
    for value in values {
        body.put_u32(value.len() as u32);
        body.put_slice(value.as_bytes());
    }
    message(out, b'D', &body);
}

/// First column of a DataRow body.
pub fn first_column(row: &bytes::Bytes) -> String {
    let mut row = row.clone();
    row.advance(2);
    let len = row.get_u32() as usize;
    String::from_utf8(row[..len].to_vec()).unwrap()
}
