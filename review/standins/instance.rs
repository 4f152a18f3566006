//! Server of a stand-in database: the wire protocol and the check-ins.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{SERVICE, Shared, http};

/// Time in ms that a read, a write or a commit takes.
pub static WORK_MS: AtomicU64 = AtomicU64::new(4);

/// Interval between check-ins (`heartbeatMs`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Least time until a lost packet is sent again.
const RETRANSMISSION: Duration = Duration::from_millis(200);

static SIGNATURES: AtomicU64 = AtomicU64::new(1);

/// Serves and announces an instance until the program ends.
pub fn start(shared: &Arc<Shared>, index: usize) {
    let server = shared.clone();
    thread::spawn(move || listen(&server, index));
    let announcer = shared.clone();
    thread::spawn(move || announce(&announcer, index));
}

/// Accepts connections while the process of the instance runs.
fn listen(shared: &Arc<Shared>, index: usize) {
    let addr = shared.world.lock().instances[index].addr;
    loop {
        while !runs(shared, index) {
            thread::sleep(Duration::from_millis(5));
        }
        let Ok(listener) = TcpListener::bind(addr) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let _ = listener.set_nonblocking(true);
        while runs(shared, index) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let shared = shared.clone();
                    thread::spawn(move || serve(&shared, index, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }
}

fn runs(shared: &Shared, index: usize) -> bool {
    let state = shared.world.lock();
    state.instances[index].up && !state.instances[index].gone
}

/// Open transaction of a connection.
struct Transaction {
    /// Term in which a plain transaction began; `None` for one that only reads.
    lead: Option<u64>,
    writes: Vec<(String, String)>,
    failed: bool,
}

struct Connection<'a> {
    shared: &'a Shared,
    index: usize,
    tenant: String,
    transaction: Option<Transaction>,
}

fn serve(shared: &Shared, index: usize, stream: TcpStream) {
    let Ok(copy) = stream.try_clone() else { return };
    shared.world.lock().instances[index].connections.push(copy);
    let addr = stream.peer_addr().ok();
    talk(shared, index, &stream);
    let mut state = shared.world.lock();
    state.instances[index].connections.retain(|it| it.peer_addr().ok() != addr);
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn talk(shared: &Shared, index: usize, stream: &TcpStream) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    let Some(start) = read_line(&mut reader) else { return };
    let fields: Vec<&str> = start.split(' ').collect();
    let ["START", service, tenant, rest @ ..] = &fields[..] else { return };
    // Control hosts send no tenant's name.
    if *tenant == "-" {
        // Behind the partition nothing is answered.
        while shared.world.lock().instances[index].cut_from_control {
            thread::sleep(Duration::from_millis(20));
        }
    }
    let id = shared.world.lock().instances[index].id.clone();
    if *service != SERVICE || rest.first().is_some_and(|expected| *expected != id) {
        let _ = send(stream, "ERR MISROUTED no such instance here\r\n");
        return;
    }
    let ready = format!("READY I {}\r\n", shared.world.lock().position(index));
    if send(stream, &ready).is_err() {
        return;
    }
    let entry = if *tenant == "-" { None } else { entry_of(shared, stream) };
    let mut connection =
        Connection { shared, index, tenant: (*tenant).to_owned(), transaction: None };
    while let Some(line) = read_line(&mut reader) {
        if line == "BYE" {
            return;
        }
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|it| it.split_once(' ')) else {
            return;
        };
        let Some(answer) = connection.run(id, text) else { return };
        let state = match &connection.transaction {
            None => "I",
            Some(transaction) if transaction.failed => "E",
            Some(_) => "T",
        };
        let position = shared.world.lock().position(index);
        let lossy = shared.world.lock().instances[index].lossy_entry;
        if lossy.is_some() && lossy == entry && is_lost() {
            thread::sleep(RETRANSMISSION);
        }
        if send(stream, &format!("{answer}READY {state} {position}\r\n")).is_err() {
            return;
        }
    }
}

/// Reads a message, which ends with CR LF. A line feed alone is part of the last field.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).ok()
}

fn send(mut stream: &TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(text.as_bytes())
}

/// Takes the time of a statement.
fn work() {
    thread::sleep(Duration::from_millis(WORK_MS.load(Ordering::Relaxed)));
}

/// Whether the packet of the next answer is lost, three times in ten.
fn is_lost() -> bool {
    let number = SIGNATURES.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (number >> 33) % 10 < 3
}

/// Entry host at the other end of a connection: that whose process holds its socket.
fn entry_of(shared: &Shared, stream: &TcpStream) -> Option<usize> {
    let (peer, own) = (stream.peer_addr().ok()?.port(), stream.local_addr().ok()?.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (format!(":{peer:04X}"), format!(":{own:04X}"));
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| {
        row.len() > 9 && row[1].ends_with(&local) && row[2].ends_with(&remote) && row[9] != "0"
    })?;
    let socket = format!("socket:[{}]", row[9]);
    let pids = shared.entry_pids.lock().ok()?.clone();
    pids.iter().position(|pid| {
        let files = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
        let mut links = files.filter_map(|file| fs::read_link(file.path()).ok());
        links.any(|link| link.as_os_str() == socket.as_str())
    })
}

fn signature() -> String {
    format!("7.{:x}", SIGNATURES.fetch_add(1, Ordering::Relaxed) + 0x10_0000)
}

impl Connection<'_> {
    /// Answer without its `READY`; `None` closes the connection without an answer.
    fn run(&mut self, id: &str, text: &str) -> Option<String> {
        let (shared, index) = (self.shared, self.index);
        let own = shared.world.lock().instances[index].id.clone();
        let asked = text;
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ')?;
            if !self.has(position) {
                return Some(format!("ERR LAGGING {own}\r\n"));
            }
            text = rest;
        }
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        if matches!(words[0], "READ" | "WRITE" | "BEGIN" | "COMMIT" | "EXEC") {
            let bound = if asked == text { "" } else { " after a position" };
            let role = if self.lead().is_some() { "primary" } else { "replica" };
            shared
                .record
                .add(&format!("{own} ({role}) gets {id} {text:?}{bound} for {}", self.tenant));
            shared.arrived(index, id, words[0], self.transaction.is_some());
        }
        if self.transaction.as_ref().is_some_and(|it| it.failed) && words[0] != "ROLLBACK" {
            return Some("ERR MALFORMED the transaction failed\r\n".to_owned());
        }
        match words[..] {
            ["STATUS"] => {}
            ["PAUSE", term] => {
                let term: u64 = term.parse().ok()?;
                shared.world.change(|state| {
                    let newest = state.instances[index].term;
                    if state.instances[index].lead_term.is_none() && term > newest {
                        state.instances[index].paused_under = term;
                    }
                });
                shared.record.add(&format!("{own} runs PAUSE {term}"));
            }
            ["RESUME"] => {
                shared.world.change(|state| state.instances[index].paused_under = 0);
                shared.record.add(&format!("{own} runs RESUME"));
            }
            ["DEMOTE", term] => {
                let term: u64 = term.parse().ok()?;
                shared.world.change(|state| {
                    if state.instances[index].lead_term.is_some_and(|own| own < term) {
                        state.instances[index].lead_term = None;
                    }
                });
            }
            ["BEGIN"] => {
                let Some(lead) = self.lead() else {
                    return Some(format!("ERR READONLY {own}\r\n"));
                };
                self.transaction =
                    Some(Transaction { lead: Some(lead), writes: Vec::new(), failed: false });
                return Some("DONE -\r\n".to_owned());
            }
            ["BEGIN", "READ"] => {
                self.transaction =
                    Some(Transaction { lead: None, writes: Vec::new(), failed: false });
                return Some("DONE -\r\n".to_owned());
            }
            ["ROLLBACK"] => {
                self.transaction = None;
                return Some("DONE -\r\n".to_owned());
            }
            ["READ", item] => {
                work();
                shared.check_read(index, id);
                let row = shared.world.lock().read(index, item).unwrap_or_else(|| "none".into());
                return Some(format!("ROW {row}\r\nDONE {}\r\n", signature()));
            }
            ["WRITE", item, data] => return self.write(&own, id, item, data),
            ["COMMIT"] => return self.commit(&own, id),
            // SET, PREPARE, RESET and DEALLOCATE.
            _ => return Some("DONE -\r\n".to_owned()),
        }
        Some(format!("ROW {}\r\nDONE -\r\n", shared.world.lock().status(index)))
    }

    fn lead(&self) -> Option<u64> {
        self.shared.world.lock().instances[self.index].lead_term
    }

    /// Whether the log holds `position` and has applied it.
    fn has(&self, position: &str) -> bool {
        let state = self.shared.world.lock();
        let own = (state.instances[self.index].term, state.applied(self.index) as u64);
        let parsed = position.split_once('.').and_then(|(term, number)| {
            Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
        });
        parsed.is_some_and(|(term, number)| {
            (term == own.0 && number <= own.1) || (term < own.0 && number <= own.1)
        })
    }

    fn write(&mut self, own: &str, id: &str, item: &str, data: &str) -> Option<String> {
        let lead = self.lead();
        if let Some(transaction) = &mut self.transaction {
            if transaction.lead.is_none() || transaction.lead != lead {
                transaction.failed = true;
                return Some(format!("ERR READONLY {own}\r\n"));
            }
            work();
            transaction.writes.push((item.to_owned(), data.to_owned()));
            return Some(format!("DONE {}\r\n", signature()));
        }
        let Some(lead) = lead else { return Some(format!("ERR READONLY {own}\r\n")) };
        work();
        let write = (item.to_owned(), data.to_owned());
        self.shared.world.commit(self.index, lead, id, &[write])?;
        self.shared.record.add(&format!("{own} committed {id}"));
        Some(format!("DONE {}\r\n", signature()))
    }

    fn commit(&mut self, own: &str, id: &str) -> Option<String> {
        let Some(transaction) = self.transaction.take() else {
            return Some("ERR MALFORMED no transaction\r\n".to_owned());
        };
        work();
        if !transaction.writes.is_empty() {
            let lead = transaction.lead?;
            if self.lead() != Some(lead) {
                return Some(format!("ERR READONLY {own}\r\n"));
            }
            self.shared.world.commit(self.index, lead, id, &transaction.writes)?;
            self.shared.record.add(&format!("{own} committed {id}"));
        }
        Some(format!("DONE {}\r\n", signature()))
    }
}

/// Sends check-ins: each [`HEARTBEAT`], and at once when the role or the state changes.
fn announce(shared: &Arc<Shared>, index: usize) {
    let mut said = (String::new(), false, 0);
    let mut said_at: Option<Instant> = None;
    loop {
        thread::sleep(Duration::from_millis(20));
        let (id, body, now) = {
            let mut state = shared.world.lock();
            let it = &mut state.instances[index];
            if !it.up || it.gone || it.cut_from_control {
                continue;
            }
            let role = if it.lead_term.is_some() { "primary" } else { "replica" };
            let now = (role.to_owned(), it.draining, it.born);
            if now == said && said_at.is_some_and(|at| at.elapsed() < HEARTBEAT) {
                continue;
            }
            it.sequence += 1;
            let state = if it.draining { "draining" } else { "ready" };
            let body = format!(
                r#"{{"service":"{SERVICE}","address":"{}","zone":"{}","version":"v1","slots":4,"state":"{state}","coldRemainingMs":0,"dbRole":"{role}","sequence":{},"born":{}}}"#,
                it.addr, it.zone, it.sequence, it.born
            );
            (it.id.clone(), body, now)
        };
        let controls: Vec<SocketAddr> = shared.control_addrs.clone();
        let answer = http::call_any(&controls, "PUT", &format!("/api/instances/{id}"), &body);
        if answer.is_some_and(|it| it.status == 200) {
            if now.1 && !said.1 {
                shared.record.say(&format!("{id}: its check-in `draining` is acknowledged"));
                shared.drain_acknowledged(index);
            }
            said = now;
            said_at = Some(Instant::now());
        }
    }
}
