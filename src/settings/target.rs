//! Settings of `pomelopin-target`, a stand-in database instance.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{Parser, construct, long};

use crate::{
    clock::Millis,
    ids::{FailureDomain, InstanceId, Service},
    settings::arguments::{Finding, Validator, list, text},
};

/// Validated settings of a simulated instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSettings {
    pub name: InstanceId,
    pub service: Service,
    pub failure_domain: FailureDomain,
    pub sql_listen: SocketAddr,
    pub http_listen: SocketAddr,
    /// Other instances of the group with their HTTP addresses.
    pub peers: Vec<Peer>,
    /// Whether the instance starts as the primary of term 1, unless a peer already has a
    /// term.
    pub primary: bool,
    /// Password of the user `pomelopin`.
    pub password: String,
    /// Maximum number of concurrent statements.
    pub slots: u32,
    /// Time that a statement holds its slot, in microseconds.
    pub service_time_us: u64,
    /// Maximum number of connections.
    pub connections: u32,
    /// Delay of the response to a new connection.
    pub connect_delay: Millis,
    /// Delay between receiving and applying a log entry.
    pub lag: Millis,
    /// HTTP addresses of the entry hosts that receive announcements.
    pub announce_to: Vec<SocketAddr>,
    pub announce_interval: Millis,
    /// Key that signs announcements.
    pub announcement_key: Vec<u8>,
    /// Maximum number of received bytes that are recorded for tests.
    pub capture_bytes: usize,
}

impl Default for TargetSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: InstanceId::from("target"),
            service: Service::from("service"),
            failure_domain: FailureDomain::from("domain"),
            sql_listen: any_port,
            http_listen: any_port,
            peers: Vec::new(),
            primary: false,
            password: "pomelopin".to_owned(),
            slots: 2,
            service_time_us: 0,
            connections: 15,
            connect_delay: Millis(0),
            lag: Millis(0),
            announce_to: Vec::new(),
            announce_interval: Millis(500),
            announcement_key: Vec::new(),
            capture_bytes: 16 << 20,
        }
    }
}

/// Another instance of the same group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    pub name: InstanceId,
    pub http: SocketAddr,
}

/// Command line and environment before validation.
///
/// Values are kept as text so that all invalid settings are reported at once.
#[derive(Debug, Clone)]
pub struct TargetArguments {
    name: String,
    service: String,
    failure_domain: String,
    sql_listen: String,
    http_listen: String,
    peers: Vec<String>,
    primary: bool,
    password: Option<String>,
    password_file: Option<PathBuf>,
    slots: String,
    service_time_us: String,
    connections: String,
    connect_delay_ms: String,
    lag_ms: String,
    announce_to: Vec<String>,
    announce_interval_ms: String,
    announcement_key: Option<String>,
    announcement_key_file: Option<PathBuf>,
    capture_bytes: String,
    /// Validate the settings and exit.
    pub check_settings: bool,
}

/// Parser of the command line and environment.
pub fn target_arguments() -> impl Parser<TargetArguments> {
    let name = text("name", "POMELOPIN_TARGET_NAME", "NAME", "Name of the instance", "target");
    let service =
        text("service", "POMELOPIN_TARGET_SERVICE", "NAME", "Service of the instance", "service");
    let failure_domain = text(
        "failure-domain",
        "POMELOPIN_TARGET_FAILURE_DOMAIN",
        "NAME",
        "Failure domain of the instance",
        "domain",
    );
    let sql_listen = text(
        "sql-listen",
        "POMELOPIN_TARGET_SQL_LISTEN",
        "IP:PORT",
        "Address for PostgreSQL connections",
        "127.0.0.1:5433",
    );
    let http_listen = text(
        "http-listen",
        "POMELOPIN_TARGET_HTTP_LISTEN",
        "IP:PORT",
        "Address for HTTP requests and replication",
        "127.0.0.1:8433",
    );
    let peers = list(
        "peer",
        "POMELOPIN_TARGET_PEERS",
        "NAME=IP:PORT",
        "Name and HTTP address of another instance of the group; may be repeated",
    );
    let primary = long("primary")
        .env("POMELOPIN_TARGET_PRIMARY")
        .help("Start as primary of term 1 unless a peer already has a term")
        .switch();
    let password = long("password")
        .env("POMELOPIN_TARGET_PASSWORD")
        .help("Password of the user pomelopin [default: pomelopin]")
        .argument::<String>("TEXT")
        .optional();
    let password_file = long("password-file")
        .env("POMELOPIN_TARGET_PASSWORD_FILE")
        .help("File that holds the password of the user pomelopin")
        .argument::<PathBuf>("FILE")
        .optional();
    let slots =
        text("slots", "POMELOPIN_TARGET_SLOTS", "COUNT", "Statements that execute at once", "2");
    let service_time_us = text(
        "service-time-us",
        "POMELOPIN_TARGET_SERVICE_TIME_US",
        "US",
        "Time that a statement holds its slot, in microseconds",
        "0",
    );
    let connections = text(
        "connections",
        "POMELOPIN_TARGET_CONNECTIONS",
        "COUNT",
        "Connections that the instance accepts",
        "15",
    );
    let connect_delay_ms = text(
        "connect-delay-ms",
        "POMELOPIN_TARGET_CONNECT_DELAY_MS",
        "MS",
        "Delay of the answer to a new connection, in milliseconds",
        "0",
    );
    let lag_ms = text(
        "lag-ms",
        "POMELOPIN_TARGET_LAG_MS",
        "MS",
        "Delay between receiving and applying a log entry, in milliseconds",
        "0",
    );
    let announce_to = list(
        "announce-to",
        "POMELOPIN_TARGET_ANNOUNCE_TO",
        "IP:PORT",
        "HTTP address of an entry host; may be repeated",
    );
    let announce_interval_ms = text(
        "announce-interval-ms",
        "POMELOPIN_TARGET_ANNOUNCE_INTERVAL_MS",
        "MS",
        "Time between announcements, in milliseconds",
        "500",
    );
    let announcement_key = long("announcement-key")
        .env("POMELOPIN_ANNOUNCEMENT_KEY")
        .help("Key that signs announcements")
        .argument::<String>("TEXT")
        .optional();
    let announcement_key_file = long("announcement-key-file")
        .env("POMELOPIN_ANNOUNCEMENT_KEY_FILE")
        .help("File that holds the key that signs announcements")
        .argument::<PathBuf>("FILE")
        .optional();
    let capture_bytes = text(
        "capture-bytes",
        "POMELOPIN_TARGET_CAPTURE_BYTES",
        "BYTES",
        "Size of the record of received bytes for tests, in bytes",
        "16777216",
    );
    let check_settings =
        long("check-settings").help("Report all faulty settings and exit").switch();
    construct!(TargetArguments {
        name,
        service,
        failure_domain,
        sql_listen,
        http_listen,
        peers,
        primary,
        password,
        password_file,
        slots,
        service_time_us,
        connections,
        connect_delay_ms,
        lag_ms,
        announce_to,
        announce_interval_ms,
        announcement_key,
        announcement_key_file,
        capture_bytes,
        check_settings,
    })
}

impl Validator {
    fn peer(&mut self, value: &str) -> Option<Peer> {
        let Some((name, addr)) = value.split_once('=') else {
            self.fail("peer", format!("`{value}` is not of the form NAME=IP:PORT"));
            return None;
        };
        self.name("peer", name);
        Some(Peer { name: InstanceId::from(name), http: self.addr("peer", addr) })
    }
}

impl TargetArguments {
    /// Returns the validated settings, or a finding for each invalid one.
    pub fn validate(&self) -> Result<TargetSettings, Vec<Finding>> {
        let mut validator = Validator::default();
        validator.name("name", &self.name);
        validator.name("service", &self.service);
        validator.name("failure-domain", &self.failure_domain);
        let password =
            validator.secret("password-file", self.password.as_ref(), self.password_file.as_ref());
        let key = validator.secret(
            "announcement-key-file",
            self.announcement_key.as_ref(),
            self.announcement_key_file.as_ref(),
        );
        if key.as_ref().is_none_or(String::is_empty) && !self.announce_to.is_empty() {
            validator
                .fail("announcement-key-file", "a key is needed to sign announcements".to_owned());
        }
        let settings = TargetSettings {
            name: InstanceId::from(self.name.as_str()),
            service: Service::from(self.service.as_str()),
            failure_domain: FailureDomain::from(self.failure_domain.as_str()),
            sql_listen: validator.addr("sql-listen", &self.sql_listen),
            http_listen: validator.addr("http-listen", &self.http_listen),
            peers: self.peers.iter().filter_map(|peer| validator.peer(peer)).collect(),
            primary: self.primary,
            password: password.unwrap_or_else(|| "pomelopin".to_owned()),
            slots: validator.number("slots", &self.slots, 1, 1_000) as u32,
            service_time_us: validator.number(
                "service-time-us",
                &self.service_time_us,
                0,
                10_000_000,
            ),
            connections: validator.number("connections", &self.connections, 1, 100_000) as u32,
            connect_delay: Millis(validator.number(
                "connect-delay-ms",
                &self.connect_delay_ms,
                0,
                60_000,
            )),
            lag: Millis(validator.number("lag-ms", &self.lag_ms, 0, 600_000)),
            announce_to: self
                .announce_to
                .iter()
                .map(|addr| validator.addr("announce-to", addr))
                .collect(),
            announce_interval: Millis(validator.number(
                "announce-interval-ms",
                &self.announce_interval_ms,
                10,
                60_000,
            )),
            announcement_key: key.unwrap_or_default().into_bytes(),
            capture_bytes: validator.number("capture-bytes", &self.capture_bytes, 0, 1 << 30)
                as usize,
        };
        validator.finish(settings)
    }
}
