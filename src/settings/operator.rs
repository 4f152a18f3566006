//! Settings of the operator command line and the token of the operator HTTP API.

use std::{
    env, fmt, fs, io,
    path::{Path, PathBuf},
    str::FromStr,
};

use bpaf::Bpaf;
use derive_more::Display;
use subtle::ConstantTimeEq;

/// Minimum length of an operator token in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// Environment variable that holds the operator token.
pub const TOKEN_VARIABLE: &str = "POMELOPIN_OPERATOR_TOKEN";

/// Default time limit of a command in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 15_000;

/// Secret that authenticates operators at control hosts.
#[derive(Clone)]
pub struct OperatorToken(String);

/// Missing or invalid operator token.
#[derive(Debug, Display)]
pub enum TokenError {
    #[display("the operator token needs at least {MIN_TOKEN_BYTES} bytes")]
    TooShort,
    #[display("the operator token is missing: set --token-file or {TOKEN_VARIABLE}")]
    Missing,
    #[display("operator token file {}: {_1}", _0.display())]
    Unreadable(PathBuf, io::Error),
}

impl std::error::Error for TokenError {}

impl FromStr for OperatorToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let text = text.trim();
        if text.len() < MIN_TOKEN_BYTES {
            return Err(TokenError::TooShort);
        }
        Ok(Self(text.to_owned()))
    }
}

impl OperatorToken {
    /// Loads the token from `file`, or from [`TOKEN_VARIABLE`] if there is none. The token
    /// is not accepted as an argument, because other users of the machine can read the
    /// arguments of a process.
    ///
    /// # Errors
    ///
    /// Fails if the token is missing or too short, or if the file cannot be read.
    pub fn load(file: Option<&Path>) -> Result<Self, TokenError> {
        let text = match file {
            Some(file) => fs::read_to_string(file)
                .map_err(|error| TokenError::Unreadable(file.to_owned(), error))?,
            None => env::var(TOKEN_VARIABLE).map_err(|_| TokenError::Missing)?,
        };
        text.parse()
    }

    /// Value of the `Authorization` header of a request.
    pub fn bearer(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Whether an `Authorization` header holds this token. Takes constant time for tokens
    /// of one length, so that timing does not reveal how many bytes match.
    pub fn accepts(&self, header: &str) -> bool {
        let token = header.strip_prefix("Bearer ").unwrap_or_default();
        self.0.as_bytes().ct_eq(token.as_bytes()).into()
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken(redacted)")
    }
}

/// How the command line reaches the control hosts
#[derive(Debug, Clone, Bpaf)]
pub struct OperatorSettings {
    /// HTTP addresses of the control hosts, separated by commas
    #[bpaf(
        long("control"),
        env("POMELOPIN_CONTROL"),
        argument::<String>("IP:PORT,..."),
        parse(split_addrs)
    )]
    pub control: Vec<String>,
    /// File with the operator token, at least 16 bytes; without it
    /// POMELOPIN_OPERATOR_TOKEN holds the token
    #[bpaf(long("token-file"), env("POMELOPIN_OPERATOR_TOKEN_FILE"), argument("FILE"))]
    pub token_file: Option<PathBuf>,
    /// Operator's name in the audit trail
    #[bpaf(
        long("operator"),
        env("POMELOPIN_OPERATOR"),
        argument("NAME"),
        fallback("operator".to_owned()),
        display_fallback
    )]
    pub operator: String,
    /// Deadline of the command in milliseconds, resent requests included
    #[bpaf(
        long("timeout-ms"),
        env("POMELOPIN_TIMEOUT_MS"),
        argument("MS"),
        fallback(DEFAULT_TIMEOUT_MS),
        display_fallback
    )]
    pub timeout_ms: u64,
}

fn split_addrs(list: String) -> Result<Vec<String>, &'static str> {
    let addrs = list.split(',').map(str::trim).filter(|addr| !addr.is_empty());
    let addrs = addrs.map(str::to_owned).collect::<Vec<_>>();
    if addrs.is_empty() { Err("at least one control host is needed") } else { Ok(addrs) }
}
