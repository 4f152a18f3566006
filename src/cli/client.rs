//! Client of the operators' HTTP API.
//!
//! A request whose answer is lost is sent again, to the next control host, until
//! the deadline. Requests have no effect when repeated: an apply request carries an
//! id under which its first answer is stored.

use std::time::{Duration, Instant};

use derive_more::Display;
use reqwest::{Method, RequestBuilder, Response, StatusCode, header::AUTHORIZATION};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    configuration::finding::Finding,
    ids::Revision,
    settings::operator::{OperatorSettings, OperatorToken, TokenError},
    wire::operator::{
        APPLY_PATH, AUDIT_PATH, ApplyRequest, ApplyResponse, AuditResponse, FILE_PATH,
        FileResponse, InvalidFile, NotLeader, STATUS_PATH, StatusResponse,
    },
};

/// Longest time for one attempt beyond the time that the request asks to wait.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Pause after each control host was tried once.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Largest part of an error text that is shown, in characters.
const MAX_ERROR_TEXT_CHARS: usize = 300;

/// Why a request failed.
#[derive(Debug, Display)]
pub enum ClientError {
    #[display("the HTTP client did not start: {_0}")]
    Setup(reqwest::Error),
    Token(TokenError),
    #[display("the control hosts refused the operator token")]
    Unauthorized,
    /// File has faults.
    #[display("the file has {} faults", _0.len())]
    Invalid(Vec<Finding>),
    #[display("{address} answered {status}: {text}")]
    Refused {
        address: String,
        status: StatusCode,
        text: String,
    },
    /// Whether the request has taken effect is not known.
    #[display("no answer within {timeout_ms} ms; last failure: {last}")]
    Deadline {
        timeout_ms: u64,
        last: String,
    },
}

impl std::error::Error for ClientError {}

/// Control hosts in the order in which they are tried.
#[derive(Debug, Clone)]
pub struct ControlHosts {
    addresses: Vec<String>,
    next: usize,
    tried: usize,
}

impl ControlHosts {
    /// Hosts that are tried in the given order.
    pub fn new(addresses: Vec<String>) -> Self {
        Self { addresses, next: 0, tried: 0 }
    }

    /// Host to try now.
    pub fn current(&self) -> &str {
        self.addresses.get(self.next).map_or("", String::as_str)
    }

    /// Goes on to the next host; returns whether all were tried since the last pause.
    pub fn advance(&mut self) -> bool {
        self.next = (self.next + 1) % self.addresses.len().max(1);
        self.count_attempt()
    }

    /// Goes on to the named leader, which may be a host that the settings lack.
    pub fn follow(&mut self, leader: &str) -> bool {
        let known = self.addresses.iter().position(|address| address == leader);
        self.next = known.unwrap_or_else(|| {
            self.addresses.push(leader.to_owned());
            self.addresses.len() - 1
        });
        self.count_attempt()
    }

    fn count_attempt(&mut self) -> bool {
        self.tried += 1;
        let all = self.tried >= self.addresses.len();
        if all {
            self.tried = 0;
        }
        all
    }
}

/// What follows from one attempt.
enum Attempt<T> {
    Answer(T),
    /// Other host leads.
    Redirect(String),
    /// Next host may answer.
    Retry(String),
}

/// Client that knows the control hosts.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    hosts: ControlHosts,
    token: OperatorToken,
    timeout_ms: u64,
    deadline: Instant,
}

impl Client {
    /// Client whose deadline counts from now.
    ///
    /// # Errors
    ///
    /// Fails if there is no operator token or the HTTP client cannot be set up.
    pub fn new(settings: &OperatorSettings) -> Result<Self, ClientError> {
        let http = reqwest::Client::builder().no_proxy().build().map_err(ClientError::Setup)?;
        Ok(Self {
            http,
            hosts: ControlHosts::new(settings.control.clone()),
            token: OperatorToken::load(settings.token_file.as_deref())
                .map_err(ClientError::Token)?,
            timeout_ms: settings.timeout_ms,
            deadline: Instant::now() + Duration::from_millis(settings.timeout_ms),
        })
    }

    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Applies a file.
    ///
    /// # Errors
    ///
    /// Fails if the file is refused or no answer arrives before the deadline.
    pub async fn apply(&mut self, request: &ApplyRequest) -> Result<ApplyResponse, ClientError> {
        let wait = Duration::from_millis(request.wait_ms);
        self.send(Method::POST, APPLY_PATH, Some(request), wait).await
    }

    /// Fetches the status.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives before the deadline.
    pub async fn status(&mut self) -> Result<StatusResponse, ClientError> {
        self.get(STATUS_PATH).await
    }

    /// Fetches the audit trail from a revision on.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives before the deadline.
    pub async fn audit(&mut self, from: Revision) -> Result<AuditResponse, ClientError> {
        self.get(&format!("{AUDIT_PATH}?from={from}")).await
    }

    /// Fetches the accepted file.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives before the deadline.
    pub async fn file(&mut self) -> Result<FileResponse, ClientError> {
        self.get(FILE_PATH).await
    }

    async fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, ClientError> {
        self.send(Method::GET, path, None::<&()>, Duration::ZERO).await
    }

    async fn send<B: Serialize, T: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: Option<&B>,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let mut last = "no attempt was made".to_owned();
        while !self.remaining().is_zero() {
            let address = self.hosts.current().to_owned();
            let mut request = self.http.request(method.clone(), format!("http://{address}{path}"));
            if let Some(body) = body {
                request = request.json(body);
            }
            let limit = self.remaining().min(ATTEMPT_TIMEOUT + wait);
            let request = request.timeout(limit).header(AUTHORIZATION, self.token.bearer());
            let all_tried = match attempt(&address, request).await? {
                Attempt::Answer(answer) => return Ok(answer),
                Attempt::Redirect(leader) => {
                    last = format!("{address} named {leader} as leader");
                    self.hosts.follow(&leader)
                }
                Attempt::Retry(failure) => {
                    last = failure;
                    self.hosts.advance()
                }
            };
            if all_tried {
                tokio::time::sleep(RETRY_DELAY.min(self.remaining())).await;
            }
        }
        Err(ClientError::Deadline { timeout_ms: self.timeout_ms, last })
    }
}

async fn attempt<T: DeserializeOwned>(
    address: &str,
    request: RequestBuilder,
) -> Result<Attempt<T>, ClientError> {
    let retry =
        |error: reqwest::Error| Attempt::Retry(format!("{address}: {}", root_cause(&error)));
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) => return Ok(retry(error)),
    };
    match response.status() {
        StatusCode::OK | StatusCode::CONFLICT => {
            Ok(response.json().await.map_or_else(retry, Attempt::Answer))
        }
        StatusCode::MISDIRECTED_REQUEST => Ok(redirect(address, response).await),
        StatusCode::UNAUTHORIZED => Err(ClientError::Unauthorized),
        StatusCode::UNPROCESSABLE_ENTITY => match response.json::<InvalidFile>().await {
            Ok(invalid) => Err(ClientError::Invalid(invalid.findings)),
            Err(error) => Ok(retry(error)),
        },
        status if status.is_server_error() => Ok(Attempt::Retry(format!(
            "{address} answered {status}: {}",
            error_text(response).await
        ))),
        status => Err(ClientError::Refused {
            address: address.to_owned(),
            status,
            text: error_text(response).await,
        }),
    }
}

async fn redirect<T>(address: &str, response: Response) -> Attempt<T> {
    let answer = response.json::<NotLeader>().await.ok();
    match answer.and_then(|answer| answer.leader_http_addr).filter(|leader| leader != address) {
        Some(leader) => Attempt::Redirect(leader),
        None => Attempt::Retry(format!("{address} knows no leader")),
    }
}

async fn error_text(response: Response) -> String {
    let text = response.text().await.unwrap_or_default();
    text.chars().take(MAX_ERROR_TEXT_CHARS).collect()
}

/// Innermost cause, which names what happened on the network.
fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
