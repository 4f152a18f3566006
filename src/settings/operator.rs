//! Settings of the operators' command line and of the operators' HTTP API.

use std::{env, fmt, fs, path::PathBuf, str::FromStr};

use bpaf::{Bpaf, Parser, long};
use derive_more::Display;
use subtle::ConstantTimeEq;

/// Shortest accepted operator token in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// Environment variable that holds the operator token.
pub const TOKEN_VARIABLE: &str = "POMELOPIN_OPERATOR_TOKEN";

/// Default deadline of a request in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 15_000;

/// Secret that authenticates operators at control hosts.
#[derive(Clone)]
pub struct OperatorToken(String);

/// Operator token that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("the operator token needs at least {MIN_TOKEN_BYTES} bytes")]
pub struct TokenError;

impl std::error::Error for TokenError {}

impl FromStr for OperatorToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let text = text.trim();
        if text.len() < MIN_TOKEN_BYTES {
            return Err(TokenError);
        }
        Ok(Self(text.to_owned()))
    }
}

impl OperatorToken {
    /// Value of the `Authorization` header of a request.
    pub fn bearer(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Whether an `Authorization` header holds this token; takes the same time for
    /// all tokens of one length.
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

/// How the command line reaches the control hosts.
#[derive(Debug, Clone, Bpaf)]
pub struct OperatorSettings {
    /// HTTP addresses of the control hosts, separated by commas
    #[bpaf(
        long("control"),
        env("POMELOPIN_CONTROL"),
        argument::<String>("IP:PORT,..."),
        parse(split_addresses)
    )]
    pub control: Vec<String>,
    #[bpaf(external)]
    pub token: OperatorToken,
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

fn split_addresses(list: String) -> Result<Vec<String>, &'static str> {
    let addresses = list.split(',').map(str::trim).filter(|address| !address.is_empty());
    let addresses = addresses.map(str::to_owned).collect::<Vec<_>>();
    if addresses.is_empty() { Err("at least one control host is needed") } else { Ok(addresses) }
}

/// Token from a file or the environment. It is no argument, because other users of
/// the machine can read the arguments of a process.
fn token() -> impl Parser<OperatorToken> {
    long("token-file")
        .help(
            "File with the operator token, at least 16 bytes; without it \
             POMELOPIN_OPERATOR_TOKEN holds the token",
        )
        .env("POMELOPIN_OPERATOR_TOKEN_FILE")
        .argument::<PathBuf>("FILE")
        .optional()
        .parse(read_token)
}

fn read_token(file: Option<PathBuf>) -> Result<OperatorToken, String> {
    let Some(file) = file else {
        let text = env::var(TOKEN_VARIABLE)
            .map_err(|_| format!("--token-file or {TOKEN_VARIABLE} is needed"))?;
        return text.parse().map_err(|error| format!("{TOKEN_VARIABLE}: {error}"));
    };
    let name = file.display();
    let text = fs::read_to_string(&file).map_err(|error| format!("{name}: {error}"))?;
    text.parse().map_err(|error| format!("{name}: {error}"))
}
