//! Errors that are sent to callers, with their SQLSTATE codes.
//!
//! A message ends with "the statement did not run" only if that is certain.

use std::fmt::Display;

use crate::{
    adapters::{
        caller::{Reply, ReplyResult},
        metrics::RequestOutcome,
    },
    keys::authentication::AuthError,
    routing::{classify::ClassifyError, replica_selection::SelectionError, route::RouteError},
    wire::peer::{Failure, Outcome, Refusal},
};

fn failure(code: &str, message: impl Into<String>) -> Failure {
    Failure { code: code.to_owned(), message: message.into() }
}

/// Reply that reports `failure`.
pub fn reply(failure: Failure) -> Reply {
    ReplyResult::Error(failure).into()
}

/// This host has no lease.
pub fn no_lease() -> Failure {
    failure("57P03", "this host has no lease from the control group; the statement did not run")
}

/// The key is wrong or withdrawn.
pub fn invalid_key(refusal: &AuthError) -> Failure {
    failure(refusal.sqlstate(), format!("{refusal}; the statement did not run"))
}

/// The proxy does not support the statement.
pub fn unsupported(unsupported: &ClassifyError) -> Failure {
    failure(unsupported.code(), unsupported.to_string())
}

/// No route allows the statement.
pub fn no_route(error: &RouteError) -> Failure {
    failure(error.code(), error.to_string())
}

/// No instance can serve the statement.
pub fn choice(error: &SelectionError) -> Failure {
    failure(error.code(), format!("{error}; the statement did not run"))
}

/// A variable was set to an invalid value.
pub fn invalid_value(error: impl Display) -> Failure {
    failure("22023", error.to_string())
}

/// The transaction has failed and must be rolled back.
pub fn failed_transaction() -> Failure {
    failure("25P02", "the transaction has failed; statements are ignored until it is rolled back")
}

/// The statement was refused before it ran at a target.
pub fn refused(refusal: &Refusal) -> Failure {
    let code = match refusal {
        Refusal::Deadline => "57014",
        Refusal::UnknownTransaction => "40001",
        Refusal::QueueFull | Refusal::NoConnection => "53300",
        _ => "57P03",
    };
    failure(code, format!("{refusal}; the statement did not run"))
}

/// The statement may have run; `key` is the request key to repeat it with.
pub fn unknown(reason: &str, key: Option<&str>) -> Failure {
    let hint = key.map_or_else(String::new, |key| {
        format!("; repeat it with request key `{key}` to learn its outcome")
    });
    failure("08007", format!("the outcome of the statement is not known: {reason}{hint}"))
}

/// The transaction was rolled back because of a fault.
pub fn rolled_back(reason: &str) -> Failure {
    failure("40001", format!("the transaction was rolled back: {reason}"))
}

/// The workspace exceeds its rate limit.
pub fn over_rate() -> Failure {
    failure("53400", "the workspace is over its rate; the statement did not run")
}

/// The service had no available primary before the deadline.
pub fn no_primary() -> Failure {
    failure("57P03", "the service has no primary at present; the statement did not run")
}

/// A transaction uses both keyed and open routes.
pub fn mixed_routes() -> Failure {
    failure("0A000", "a transaction cannot use both keyed and open routes")
}

/// A read failed; `outcome` is that of its last attempt.
pub fn read_failed(outcome: &Outcome) -> Failure {
    match outcome {
        Outcome::Refused(refusal) => refused(refusal),
        _ => failure("57P03", "no instance answered the read in time"),
    }
}

/// Outcome of a statement for the request metrics.
pub fn outcome(result: &ReplyResult) -> RequestOutcome {
    let (ReplyResult::Error(failure) | ReplyResult::TransactionFailed(failure)) = result else {
        return RequestOutcome::Done;
    };
    match failure.code.as_str() {
        "53400" => RequestOutcome::OverRate,
        "08007" => RequestOutcome::Unknown,
        "57P03" | "57P01" | "57014" | "53300" | "28000" | "28P01" | "42501" | "0A000" => {
            RequestOutcome::Refused
        }
        _ => RequestOutcome::Failed,
    }
}
