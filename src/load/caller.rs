//! Simulated client that inserts bookings, increments its counter and reads both on a schedule.

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_postgres::{Row, types::Type};

use super::{
    connection::{ErrorKind, RATE_LIMITED},
    expectation::{BookingRow, BookingStatus, Counter, Expectation},
    samples::{Kind, Outcome, Record, Sample, Violations},
    schedule::Schedule,
    sender::{Parameter, RESOLVE_RETRY_DELAY, Sender, WriteOutcome},
};
use crate::{ids::Workspace, settings::load::LoadSettings};

/// Limit for creating a caller's counter in one service.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(30);

/// Share of writes that increment the counter.
const INCREMENT_SHARE: f64 = 0.3;

/// Share of reads that read the counter.
const COUNTER_READ_SHARE: f64 = 0.2;

/// Share of booking reads that read the newest booking, which is the likeliest to be stale.
const NEWEST_BOOKING_SHARE: f64 = 0.5;

/// Settings shared by all callers of a run.
#[derive(Debug)]
pub struct Context {
    pub settings: LoadSettings,
    pub run_id: String,
    /// Workspaces and their access keys.
    pub workspaces: Vec<(Workspace, String)>,
}

impl Context {
    /// Operations per second of a workspace, over all its callers.
    pub fn rate(&self, workspace: usize) -> f64 {
        let (name, _) = &self.workspaces[workspace];
        self.settings.rates.get(name).copied().unwrap_or(self.settings.rate)
    }
}

/// Client that runs one operation at a time and checks the results.
#[derive(Debug)]
pub struct Caller {
    cx: Arc<Context>,
    pub workspace: usize,
    /// Session id, also used as the id of the caller's counter.
    name: String,
    seed: u64,
    rng: SmallRng,
    sender: Sender,
    writes: u64,
    /// Expected rows by index of the service.
    pub expectations: Vec<Expectation>,
}

/// Operation on a service; the scheduled start is in microseconds since the start of the run.
#[derive(Debug, Clone, Copy)]
struct Operation {
    service: usize,
    scheduled: u64,
}

impl Caller {
    /// Caller number `index` of a workspace.
    pub fn new(cx: Arc<Context>, workspace: usize, index: u32) -> Self {
        let name = format!("{}-{}-{index}", cx.run_id, cx.workspaces[workspace].0);
        let seed = cx.settings.seed ^ xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let services = cx.settings.services.len();
        let mut rng = SmallRng::seed_from_u64(seed);
        let entry = rng.random_range(0..cx.settings.entries.len());
        Self {
            workspace,
            sender: Sender::new(cx.clone(), workspace, name.clone(), entry),
            name,
            seed,
            rng,
            writes: 0,
            expectations: (0..services).map(|_| Expectation::default()).collect(),
            cx,
        }
    }

    pub fn counter_id(&self) -> &str {
        &self.name
    }

    /// Creates the caller's counter in each service, with retries until the time-out.
    pub async fn prepare(&mut self) {
        let sql =
            format!("INSERT INTO {} (id, amount) VALUES ($1, 0)", self.cx.settings.credits_table);
        for service in 0..self.expectations.len() {
            let deadline = Instant::now() + PREPARE_TIMEOUT;
            let key = format!("{}-counter-{service}", self.name);
            while Instant::now() < deadline {
                let name = self.name.clone();
                let result = self.sender.write(service, &sql, &[(&name, Type::TEXT)], &key).await;
                if matches!(result.outcome, WriteOutcome::Done | WriteOutcome::Duplicate) {
                    self.expectations[service].counter = Some(Counter::default());
                    break;
                }
                sleep(RESOLVE_RETRY_DELAY).await;
            }
        }
    }

    /// Runs all operations of the schedule, which begins at `start`.
    pub async fn run(&mut self, start: Instant) {
        self.sender.start_measurement(start);
        let rate = self.cx.rate(self.workspace) / f64::from(self.cx.settings.callers);
        let end_us = self.cx.settings.duration.0 * 1_000;
        let mut schedule = Schedule::new(rate, end_us, self.seed);
        while let Some(scheduled) = schedule.next() {
            // Latency excludes timer inaccuracy, but includes time lost to earlier slow answers.
            let waited = self.sender.now() < scheduled;
            sleep_until(start + Duration::from_micros(scheduled)).await;
            let now = self.sender.now();
            // An operation for which the caller was ready is sent, also if its timer was late.
            if !waited && now > end_us {
                let unsent = 1 + schedule.count() as u64;
                self.sender.record.unsent.insert(self.workspace, unsent);
                break;
            }
            self.run_operation(if waited { now } else { scheduled }).await;
        }
        self.sender.disconnect();
    }

    pub fn into_record(self) -> Record {
        self.sender.record
    }

    async fn run_operation(&mut self, scheduled: u64) {
        if self.rng.random_bool(self.cx.settings.roam) {
            self.sender.switch_entry(self.rng.random_range(0..self.cx.settings.entries.len()));
        }
        let service = self.rng.random_range(0..self.expectations.len());
        let operation = Operation { service, scheduled };
        if self.rng.random_bool(self.cx.settings.read_share) {
            self.read(operation).await;
        } else if self.expectations[service].counter.is_some()
            && self.rng.random_bool(INCREMENT_SHARE)
        {
            self.increment_counter(operation).await;
        } else {
            self.insert_booking(operation).await;
        }
    }

    fn record_sample(&mut self, operation: Operation, kind: Kind, sent: u64, outcome: Outcome) {
        let Operation { service, scheduled } = operation;
        let (workspace, done) = (self.workspace, self.sender.now());
        let sample = Sample { workspace, service, kind, scheduled, sent, done, outcome };
        self.sender.record.samples.push(sample);
    }

    async fn insert_booking(&mut self, operation: Operation) {
        self.writes += 1;
        let id = format!("{}-{}", self.name, self.writes);
        let value = format!("{:016x}", self.rng.random::<u64>());
        let table = &self.cx.settings.bookings_table;
        let sql = format!("INSERT INTO {table} (id, value, amount) VALUES ($1, $2, $3)");
        let amount = self.writes as i64;
        let parameters: [Parameter<'_>; 3] =
            [(&id, Type::TEXT), (&value, Type::TEXT), (&amount, Type::INT8)];
        let result = self.sender.write(operation.service, &sql, &parameters, &id).await;
        self.record_sample(
            operation,
            Kind::Insert,
            result.sent,
            result.outcome.operation_outcome(),
        );
        // The insert was executed twice, which its request key should have prevented.
        self.sender.record.violations.doubled +=
            u64::from(result.outcome == WriteOutcome::Duplicate);
        let status = match result.outcome {
            WriteOutcome::Done | WriteOutcome::Duplicate => BookingStatus::Acknowledged,
            WriteOutcome::Unknown => BookingStatus::Unknown,
            WriteOutcome::RateLimited | WriteOutcome::Refused | WriteOutcome::Failed => {
                BookingStatus::Refused
            }
        };
        self.expectations[operation.service].record_booking(id, value, status);
    }

    async fn increment_counter(&mut self, operation: Operation) {
        self.writes += 1;
        let table = &self.cx.settings.credits_table;
        let sql = format!("UPDATE {table} SET amount = amount + 1 WHERE id = $1");
        let key = format!("{}-credit-{}", self.name, self.writes);
        let name = self.name.clone();
        let result = self.sender.write(operation.service, &sql, &[(&name, Type::TEXT)], &key).await;
        self.record_sample(
            operation,
            Kind::Increment,
            result.sent,
            result.outcome.operation_outcome(),
        );
        if let Some(counter) = &mut self.expectations[operation.service].counter {
            match result.outcome {
                WriteOutcome::Done => counter.acknowledged += 1,
                WriteOutcome::Unknown => counter.unknown += 1,
                _ => {}
            }
        }
    }

    async fn read(&mut self, operation: Operation) {
        let expectation = &self.expectations[operation.service];
        let bookings = expectation.acknowledged_ids();
        let read_counter = bookings.is_empty() || self.rng.random_bool(COUNTER_READ_SHARE);
        let id = if read_counter {
            self.name.clone()
        } else if self.rng.random_bool(NEWEST_BOOKING_SHARE) {
            bookings[bookings.len() - 1].clone()
        } else {
            bookings[self.rng.random_range(0..bookings.len())].clone()
        };
        let settings = &self.cx.settings;
        let sql = if read_counter {
            format!("SELECT id, amount FROM {} WHERE id = $1", settings.credits_table)
        } else {
            format!("SELECT id, value FROM {} WHERE id = $1", settings.bookings_table)
        };
        let (sent, result) = self.sender.query(operation.service, &sql, &id).await;
        let outcome = match &result {
            Ok(_) => Outcome::Done,
            Err(error) if error.code == RATE_LIMITED => Outcome::RateLimited,
            Err(error) if error.kind == ErrorKind::Refused => Outcome::Refused,
            Err(_) => Outcome::Failed,
        };
        self.record_sample(operation, Kind::Read, sent, outcome);
        let expectation = &self.expectations[operation.service];
        let Ok(rows) = result else { return };
        self.sender.record.violations += match (read_counter, decode(read_counter, &rows)) {
            (true, Some(Decoded::Counters(rows))) => expectation.check_counter(&id, &rows),
            (false, Some(Decoded::Bookings(rows))) => expectation.check_booking(&id, &rows),
            // Columns of unexpected types mean that the answer belongs to another statement.
            _ => Violations { mixed: 1, ..Default::default() },
        };
    }
}

/// Result rows converted to the expected column types.
enum Decoded {
    Bookings(Vec<BookingRow>),
    Counters(Vec<(String, i64)>),
}

/// Converts rows; `None` if a column has an unexpected type.
fn decode(read_counter: bool, rows: &[Row]) -> Option<Decoded> {
    if read_counter {
        let pairs = rows.iter().map(|row| Some((row.try_get(0).ok()?, row.try_get(1).ok()?)));
        return pairs.collect::<Option<_>>().map(Decoded::Counters);
    }
    let bookings = rows
        .iter()
        .map(|row| Some(BookingRow { id: row.try_get(0).ok()?, value: row.try_get(1).ok()? }));
    bookings.collect::<Option<_>>().map(Decoded::Bookings)
}
