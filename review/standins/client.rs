//! Stand-in clients.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::Shared;

/// Codes that promise that nothing of the attempt is kept.
const PROMISES: [&str; 6] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"];

/// Longest wait for a message.
const PATIENCE: Duration = Duration::from_millis(2_500);

static IDS: AtomicU64 = AtomicU64::new(1);

/// New id of a request.
pub fn new_id() -> String {
    format!("{:016x}", IDS.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Answer to a request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub rows: Vec<String>,
    pub signature: Option<String>,
    pub error: Option<String>,
    /// State after the request.
    pub state: String,
}

impl Answer {
    /// Whether the answer is a success.
    pub fn is_done(&self) -> bool {
        self.error.is_none()
    }

    /// Whether the answer promises that nothing is kept.
    pub fn is_promise(&self) -> bool {
        self.error
            .as_deref()
            .is_some_and(|it| PROMISES.contains(&it.split(' ').next().unwrap_or_default()))
    }
}

/// Session of a client.
pub struct Session {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Session {
    /// Connects and starts a session; an error message or `None` if that fails.
    pub fn open(addr: SocketAddr, database: &str, key: &str) -> Result<Self, Option<String>> {
        let stream =
            TcpStream::connect_timeout(&addr, Duration::from_millis(1_000)).map_err(|_| None)?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(PATIENCE));
        let reader = BufReader::new(stream.try_clone().map_err(|_| None)?);
        let mut session = Self { reader, stream };
        session.send(&format!("START {database} {key}\r\n")).ok_or(None)?;
        match session.line() {
            Some(line) if line.starts_with("READY") => Ok(session),
            Some(line) => Err(Some(line)),
            None => Err(None),
        }
    }

    pub fn send(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        Some(line.trim_end().to_owned())
    }

    /// Sends a request and waits for its answer; `None` if the connection ends before.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}\r\n"))?;
        self.receive()
    }

    pub fn receive(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "DONE" => answer.signature = Some(rest.to_owned()),
                "ERR" => answer.error = Some(rest.to_owned()),
                "READY" => {
                    answer.state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Some(answer);
                }
                _ => return None,
            }
        }
    }
}

/// Writes single statements through the entry host `addr` until the run stops, and records
/// their answers.
pub fn write_until_stopped(shared: &Shared, addr: SocketAddr, database: &str, pause: Duration) {
    let mut session = None;
    while !shared.is_stopping() {
        std::thread::sleep(pause);
        if session.is_none() {
            session = Session::open(addr, database, crate::KEY).ok();
        }
        let Some(open) = &mut session else { continue };
        let id = new_id();
        shared.record.add(&format!("client sends {id} WRITE to {addr}"));
        shared.sent(&id);
        let answer = open.query(&id, &format!("WRITE item{} data{id}", id.len()));
        match &answer {
            Some(answer) if answer.is_done() => {
                shared.record.add(&format!("client gets success for {id}"));
                shared.world.lock().acknowledge(id);
            }
            Some(answer) => {
                let error = answer.error.clone().unwrap_or_default();
                shared.record.add(&format!("client gets {error} for {id}"));
                let mut state = shared.world.lock();
                let list =
                    if answer.is_promise() { &mut state.promised } else { &mut state.unclear };
                list.push(id);
            }
            None => {
                shared.record.add(&format!("client's connection ended without an answer to {id}"));
                shared.world.lock().unclear.push(id);
                session = None;
            }
        }
    }
}

/// Reads single items through the entry host `addr` on the `primary` route until the run stops.
pub fn read_until_stopped(shared: &Shared, addr: SocketAddr, pause: Duration) {
    let mut session = None;
    while !shared.is_stopping() {
        std::thread::sleep(pause);
        if session.is_none() {
            session = Session::open(addr, crate::PRIMARY_DATABASE, crate::KEY).ok();
        }
        let Some(open) = &mut session else { continue };
        let id = new_id();
        shared.sent(&id);
        shared.record.add(&format!("client sends {id} READ to {addr}"));
        match open.query(&id, "READ item16") {
            Some(answer) => {
                let error = answer.error.unwrap_or_else(|| "success".to_owned());
                shared.record.add(&format!("client gets {error} for {id}"));
            }
            None => session = None,
        }
    }
}
