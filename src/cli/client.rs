//! Client of the operator API.
//!
//! A request without a response is retried at the next control host until the deadline.
//! Retries are safe: an apply request carries an idempotency key, and a repeated request
//! gets the stored response to the first one.

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

/// Timeout of one attempt, in addition to the wait that the request asks for.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay after a round of attempts at all control hosts, and before an accepted request is
/// repeated.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest error response that is shown, in characters.
const MAX_ERROR_TEXT_CHARS: usize = 300;

/// Why a request failed.
#[derive(Debug, Display)]
pub enum ClientError {
    #[display("cannot create the HTTP client: {_0}")]
    Setup(reqwest::Error),
    Token(TokenError),
    #[display("the control hosts refused the operator token")]
    Unauthorized,
    #[display("the control hosts rejected the file: {} errors", _0.len())]
    Invalid(Vec<Finding>),
    #[display("{address} rejected the request with {status}: {text}")]
    Refused {
        address: String,
        status: StatusCode,
        text: String,
    },
    /// The request may or may not have taken effect.
    #[display("no answer within {timeout_ms} ms; last failure: {last_failure}")]
    Deadline {
        timeout_ms: u64,
        last_failure: String,
    },
}

impl std::error::Error for ClientError {}

/// Addresses of the control hosts, tried in turn.
#[derive(Debug, Clone)]
pub struct ControlHosts {
    addresses: Vec<String>,
    /// Index of the host to try now.
    current: usize,
    /// Attempts in the current round.
    attempts: usize,
}

impl ControlHosts {
    /// Creates a list whose hosts are tried in the given order.
    pub fn new(addresses: Vec<String>) -> Self {
        Self { addresses, current: 0, attempts: 0 }
    }

    /// Host to try now.
    pub fn current(&self) -> &str {
        self.addresses.get(self.current).map_or("", String::as_str)
    }

    /// Moves on to the next host. Returns whether this completes a round, that is, as many
    /// attempts as there are hosts.
    pub fn advance(&mut self) -> bool {
        self.current = (self.current + 1) % self.addresses.len().max(1);
        self.count_attempt()
    }

    /// Moves on to the leader named by a redirect, which is added if the settings lack it.
    /// Returns whether this completes a round.
    pub fn follow_redirect(&mut self, leader: &str) -> bool {
        let index = self.addresses.iter().position(|address| address == leader);
        self.current = index.unwrap_or_else(|| {
            self.addresses.push(leader.to_owned());
            self.addresses.len() - 1
        });
        self.count_attempt()
    }

    fn count_attempt(&mut self) -> bool {
        self.attempts += 1;
        let round_complete = self.attempts >= self.addresses.len();
        if round_complete {
            self.attempts = 0;
        }
        round_complete
    }
}

/// Outcome of one attempt.
enum Attempt<T> {
    Response(T),
    /// Address of the leader, as named by a host that is not the leader.
    Redirect(String),
    /// Failure after which another host may respond.
    Retry(String),
}

/// Client of the operator API. All its requests share one deadline.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    hosts: ControlHosts,
    token: OperatorToken,
    timeout_ms: u64,
    deadline: Instant,
}

impl Client {
    /// Creates a client; its deadline starts now.
    ///
    /// # Errors
    ///
    /// Fails if the operator token is missing or unusable, or the HTTP client cannot be
    /// created.
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

    /// Sends an apply request.
    ///
    /// # Errors
    ///
    /// Fails if the file is invalid or no response arrives before the deadline.
    pub async fn apply(&mut self, request: &ApplyRequest) -> Result<ApplyResponse, ClientError> {
        let wait = Duration::from_millis(request.wait_ms);
        self.send(Method::POST, APPLY_PATH, Some(request), wait).await
    }

    /// Fetches the status of the cluster.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives before the deadline.
    pub async fn status(&mut self) -> Result<StatusResponse, ClientError> {
        self.get(STATUS_PATH).await
    }

    /// Fetches the audit trail, starting at revision `from`.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives before the deadline.
    pub async fn audit(&mut self, from: Revision) -> Result<AuditResponse, ClientError> {
        self.get(&format!("{AUDIT_PATH}?from={from}")).await
    }

    /// Fetches the accepted configuration file.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives before the deadline.
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
        let mut last_failure = "no request was sent".to_owned();
        while !self.remaining().is_zero() {
            let address = self.hosts.current().to_owned();
            let mut request = self.http.request(method.clone(), format!("http://{address}{path}"));
            if let Some(body) = body {
                request = request.json(body);
            }
            let timeout = self.remaining().min(ATTEMPT_TIMEOUT + wait);
            let request = request.timeout(timeout).header(AUTHORIZATION, self.token.bearer());
            let round_complete = match attempt(&address, request).await? {
                Attempt::Response(response) => return Ok(response),
                Attempt::Redirect(leader) => {
                    last_failure = format!("{address} redirected to the leader {leader}");
                    self.hosts.follow_redirect(&leader)
                }
                Attempt::Retry(failure) => {
                    last_failure = failure;
                    self.hosts.advance()
                }
            };
            if round_complete {
                tokio::time::sleep(RETRY_DELAY.min(self.remaining())).await;
            }
        }
        Err(ClientError::Deadline { timeout_ms: self.timeout_ms, last_failure })
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
            Ok(response.json().await.map_or_else(retry, Attempt::Response))
        }
        StatusCode::MISDIRECTED_REQUEST => Ok(redirect(address, response).await),
        StatusCode::UNAUTHORIZED => Err(ClientError::Unauthorized),
        StatusCode::UNPROCESSABLE_ENTITY => match response.json::<InvalidFile>().await {
            Ok(invalid) => Err(ClientError::Invalid(invalid.findings)),
            Err(error) => Ok(retry(error)),
        },
        status if status.is_server_error() => Ok(Attempt::Retry(format!(
            "{address} returned {status}: {}",
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
    let body = response.json::<NotLeader>().await.ok();
    match body.and_then(|body| body.leader_http_addr).filter(|leader| leader != address) {
        Some(leader) => Attempt::Redirect(leader),
        None => Attempt::Retry(format!("{address} is not the leader and named no other")),
    }
}

async fn error_text(response: Response) -> String {
    let text = response.text().await.unwrap_or_default();
    text.chars().take(MAX_ERROR_TEXT_CHARS).collect()
}

/// Innermost cause of an error, which describes the failure on the network.
fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
