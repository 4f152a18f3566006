//! Settings of the load tool.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use bpaf::{Parser, construct, long};

use crate::{
    clock::Millis,
    ids::{Service, Workspace},
    load::{faults::Fault, limits::Limit},
    settings::arguments::{Finding, Validator, list, repeated, text},
};

/// Mode of operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Sends reads and writes, and checks the results that callers see.
    #[default]
    Check,
    /// Compares the latency of reads through the proxy and directly at a target.
    Latency,
    /// Holds idle connections.
    Idle,
    /// Sends reads as fast as possible.
    Throughput,
}

/// Output format of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportFormat {
    #[default]
    Table,
    Json,
}

/// Validated settings of the load tool.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSettings {
    pub mode: Mode,
    /// SQL addresses of entry hosts.
    pub entries: Vec<SocketAddr>,
    /// HTTP addresses of entry hosts, whose `/metrics` are read.
    pub metrics: Vec<SocketAddr>,
    pub services: Vec<Service>,
    /// Keys of the workspaces that generate load.
    pub keys: BTreeMap<Workspace, String>,
    /// Callers per workspace.
    pub callers: u32,
    /// Statements per second of each workspace that is not in `rates`.
    pub rate: f64,
    pub rates: BTreeMap<Workspace, f64>,
    pub limits: BTreeMap<Workspace, Limit>,
    /// Share of reads among the operations, 0 to 1.
    pub read_share: f64,
    /// Probability that a caller reconnects to another entry host before an operation.
    pub roam: f64,
    pub duration: Millis,
    pub seed: u64,
    /// Included in row names, so that runs with different ids use different rows.
    pub run_id: Option<String>,
    pub bookings_table: String,
    pub credits_table: String,
    /// SQL addresses of targets for the latency mode.
    pub targets: Vec<SocketAddr>,
    /// Password of the user `pomelopin` at the targets.
    pub target_password: String,
    pub faults: Vec<Fault>,
    /// Connections opened in the idle mode.
    pub connections: u32,
    /// Entry process whose memory and CPU time are reported.
    pub pid: Option<u32>,
    /// Maximum share of wrongly refused requests that is not reported as a violation.
    pub allowed_wrongly_refused_share: f64,
    pub report: ReportFormat,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            mode: Mode::Check,
            entries: Vec::new(),
            metrics: Vec::new(),
            services: Vec::new(),
            keys: BTreeMap::new(),
            callers: 4,
            rate: 20.0,
            rates: BTreeMap::new(),
            limits: BTreeMap::new(),
            read_share: 0.8,
            roam: 0.02,
            duration: Millis(10_000),
            seed: 1,
            run_id: None,
            bookings_table: "bookings".to_owned(),
            credits_table: "credits".to_owned(),
            targets: Vec::new(),
            target_password: "pomelopin".to_owned(),
            faults: Vec::new(),
            connections: 100,
            pid: None,
            allowed_wrongly_refused_share: 0.0,
            report: ReportFormat::Table,
        }
    }
}

/// Command line and environment before validation.
///
/// Values are kept as text so that all invalid settings are reported at once.
#[derive(Debug, Clone)]
pub struct LoadArguments {
    mode: String,
    entries: Vec<String>,
    metrics: Vec<String>,
    services: Vec<String>,
    workspaces: Vec<String>,
    keys: Option<PathBuf>,
    callers: String,
    rate: String,
    rates: Vec<String>,
    limits: Vec<String>,
    read_share: String,
    roam: String,
    duration_ms: String,
    seed: String,
    run_id: Option<String>,
    bookings_table: String,
    credits_table: String,
    targets: Vec<String>,
    target_password: String,
    faults: Vec<String>,
    connections: String,
    pid: Option<String>,
    allowed_wrongly_refused_share: String,
    report: String,
    /// Validate the settings and exit.
    pub check_settings: bool,
}

/// Declares option parsers: variable, constructor, flag, suffix of the environment
/// variable, metavariable, help text and, for `text`, the default.
macro_rules! options {
    ($($name:ident = $kind:ident($flag:literal, $env:literal $(, $rest:literal)*);)*) => {
        $(let $name = $kind($flag, concat!("POMELOPIN_LOAD_", $env) $(, $rest)*);)*
    };
}

/// Parser of the command line and environment.
pub fn load_arguments() -> impl Parser<LoadArguments> {
    options! {
        mode = text("mode", "MODE", "check|latency|idle|throughput", "What to do", "check");
        entries = list("entry", "ENTRIES", "IP:PORT", "SQL address of an entry host; repeatable");
        metrics = list("metrics", "METRICS", "IP:PORT", "HTTP address of an entry host; repeatable");
        services = list("service", "SERVICES", "NAME", "Service to use; repeatable");
        workspaces = list("workspace", "WORKSPACES", "NAME", "Workspace to use [default: all in the keys file]");
        callers = text("callers", "CALLERS", "COUNT", "Callers per workspace", "4");
        rate = text("rate", "RATE", "PER_SECOND", "Statements per second of a workspace", "20");
        rates = list("workspace-rate", "WORKSPACE_RATES", "NAME=PER_SECOND", "Statements per second of one workspace; repeatable");
        limits = list("limits", "LIMITS", "NAME=RATE/BURST", "Rate (per second) and burst that the proxy enforces; repeatable");
        read_share = text("read-share", "READ_SHARE", "SHARE", "Share of operations that read, 0 to 1", "0.8");
        roam = text("roam", "ROAM", "PROBABILITY", "Probability of moving to another entry before an operation", "0.02");
        duration_ms = text("duration-ms", "DURATION_MS", "MS", "Length of the run, in milliseconds", "10000");
        seed = text("seed", "SEED", "NUMBER", "Seed of the schedule and choices", "1");
        bookings_table = text("bookings-table", "BOOKINGS_TABLE", "NAME", "Table for bookings", "bookings");
        credits_table = text("credits-table", "CREDITS_TABLE", "NAME", "Table for credit counters", "credits");
        targets = list("target", "TARGETS", "IP:PORT", "SQL address of a target, for the latency mode; repeatable");
        target_password = text("target-password", "TARGET_PASSWORD", "TEXT", "Password of the user pomelopin at targets", "pomelopin");
        faults = repeated("fault", "FAULT", "SPEC", "Fault such as at=5s,action=partition,target=http://IP:PORT; repeatable");
        connections = text("connections", "CONNECTIONS", "COUNT", "Connections of the idle mode", "100");
        allowed_wrongly_refused_share = text("allow-wrongly-refused-share", "ALLOW_WRONGLY_REFUSED_SHARE", "SHARE", "Share of wrongly refused requests that is no violation, 0 to 1", "0");
        report = text("report", "REPORT", "table|json", "Form of the report", "table");
    }
    let keys = long("keys")
        .env("POMELOPIN_LOAD_KEYS")
        .help("File with a line NAME=KEY for each workspace")
        .argument::<PathBuf>("FILE")
        .optional();
    let run_id = long("run-id")
        .env("POMELOPIN_LOAD_RUN_ID")
        .help("Part of the names of rows [default: from the wall clock]")
        .argument::<String>("TEXT")
        .optional();
    let pid = long("pid")
        .env("POMELOPIN_LOAD_PID")
        .help("Entry process whose memory and processor time are reported")
        .argument::<String>("PID")
        .optional();
    let check_settings =
        long("check-settings").help("Report all faulty settings and exit").switch();
    construct!(LoadArguments {
        mode,
        entries,
        metrics,
        services,
        workspaces,
        keys,
        callers,
        rate,
        rates,
        limits,
        read_share,
        roam,
        duration_ms,
        seed,
        run_id,
        bookings_table,
        credits_table,
        targets,
        target_password,
        faults,
        connections,
        pid,
        allowed_wrongly_refused_share,
        report,
        check_settings,
    })
}

impl Validator {
    fn mode(&mut self, value: &str) -> Mode {
        match value {
            "check" => Mode::Check,
            "latency" => Mode::Latency,
            "idle" => Mode::Idle,
            "throughput" => Mode::Throughput,
            _ => {
                self.fail(
                    "mode",
                    format!("`{value}` is not one of check, latency, idle and throughput"),
                );
                Mode::Check
            }
        }
    }

    fn report(&mut self, value: &str) -> ReportFormat {
        match value {
            "table" => ReportFormat::Table,
            "json" => ReportFormat::Json,
            _ => {
                self.fail("report", format!("`{value}` is neither table nor json"));
                ReportFormat::Table
            }
        }
    }

    /// Parses values of the form `NAME=VALUE`.
    fn pairs<'a>(
        &mut self,
        flag: &'static str,
        values: impl IntoIterator<Item = &'a str>,
    ) -> BTreeMap<Workspace, &'a str> {
        let mut pairs = BTreeMap::new();
        for value in values {
            match value.split_once('=') {
                Some((name, value)) => {
                    self.name(flag, name);
                    pairs.insert(Workspace::from(name), value);
                }
                None => self.fail(flag, "a value is not of the form NAME=VALUE".to_owned()),
            }
        }
        pairs
    }

    /// Reads the keys file; keeps only the `wanted` workspaces, if any are given.
    fn keys(&mut self, file: Option<&PathBuf>, wanted: &[String]) -> BTreeMap<Workspace, String> {
        let Some(file) = file else {
            self.fail("keys", "a file with the keys of the workspaces is needed".to_owned());
            return BTreeMap::new();
        };
        let text = self.file("keys", file).unwrap_or_default();
        let lines = text.lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        let mut keys: BTreeMap<_, _> = self
            .pairs("keys", lines)
            .into_iter()
            .map(|(name, key)| (name, key.to_owned()))
            .collect();
        for name in wanted {
            if !keys.contains_key(&Workspace::from(name.as_str())) {
                self.fail("workspace", format!("the keys file has no key for `{name}`"));
            }
        }
        if !wanted.is_empty() {
            keys.retain(|name, _| wanted.iter().any(|wanted| wanted == name.as_str()));
        }
        keys
    }

    fn ok_or_fail<T, E: ToString>(&mut self, flag: &'static str, value: Result<T, E>) -> Option<T> {
        value.map_err(|error| self.fail(flag, error.to_string())).ok()
    }
}

impl LoadArguments {
    /// Returns the validated settings, or a finding for each invalid one.
    pub fn validate(&self) -> Result<LoadSettings, Vec<Finding>> {
        let mut validator = Validator::default();
        let mode = validator.mode(&self.mode);
        if self.entries.is_empty() {
            validator.fail("entry", "at least one entry is needed".to_owned());
        }
        if self.services.is_empty() {
            validator.fail("service", "at least one service is needed".to_owned());
        }
        if mode == Mode::Latency && self.targets.is_empty() {
            validator.fail("target", "the latency mode needs a target".to_owned());
        }
        let rates = validator.pairs("workspace-rate", self.rates.iter().map(String::as_str));
        let limits = validator.pairs("limits", self.limits.iter().map(String::as_str));
        let settings = LoadSettings {
            mode,
            entries: addrs(&mut validator, "entry", &self.entries),
            metrics: addrs(&mut validator, "metrics", &self.metrics),
            services: self.services.iter().map(|name| Service::from(name.as_str())).collect(),
            keys: validator.keys(self.keys.as_ref(), &self.workspaces),
            callers: validator.number("callers", &self.callers, 1, 10_000) as u32,
            rate: validator.decimal("rate", &self.rate, MAX_RATE),
            rates: rates
                .into_iter()
                .map(|(name, rate)| (name, validator.decimal("workspace-rate", rate, MAX_RATE)))
                .collect(),
            limits: limits
                .into_iter()
                .filter_map(|(name, limit)| {
                    Some((name, validator.ok_or_fail("limits", limit.parse())?))
                })
                .collect(),
            read_share: validator.decimal("read-share", &self.read_share, 1.0),
            roam: validator.decimal("roam", &self.roam, 1.0),
            duration: Millis(validator.number(
                "duration-ms",
                &self.duration_ms,
                1,
                MAX_DURATION_MS,
            )),
            seed: validator.number("seed", &self.seed, 0, u64::MAX),
            run_id: self.run_id.clone(),
            bookings_table: table_name(&mut validator, "bookings-table", &self.bookings_table),
            credits_table: table_name(&mut validator, "credits-table", &self.credits_table),
            targets: addrs(&mut validator, "target", &self.targets),
            target_password: self.target_password.clone(),
            faults: self
                .faults
                .iter()
                .filter_map(|fault| validator.ok_or_fail("fault", fault.parse()))
                .collect(),
            connections: validator.number("connections", &self.connections, 1, 100_000) as u32,
            pid: self
                .pid
                .as_ref()
                .map(|pid| validator.number("pid", pid, 1, u64::from(u32::MAX)) as u32),
            allowed_wrongly_refused_share: validator.decimal(
                "allow-wrongly-refused-share",
                &self.allowed_wrongly_refused_share,
                1.0,
            ),
            report: validator.report(&self.report),
        };
        validator.finish(settings)
    }
}

/// Maximum rate of a workspace, in statements per second.
const MAX_RATE: f64 = 1_000_000.0;

/// Maximum duration of a run, in milliseconds.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;

fn addrs(validator: &mut Validator, flag: &'static str, values: &[String]) -> Vec<SocketAddr> {
    values.iter().map(|value| validator.addr(flag, value)).collect()
}

/// Checks a table name. Names are inserted into statements unquoted, so only lower-case
/// letters, digits and underscores are allowed.
fn table_name(validator: &mut Validator, flag: &'static str, value: &str) -> String {
    let is_plain = value.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
    if !is_plain || value.is_empty() {
        validator
            .fail(flag, format!("`{value}` is not made of lower-case letters, digits and `_`"));
    }
    value.to_owned()
}
