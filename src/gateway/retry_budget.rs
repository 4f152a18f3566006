//! Budget of further attempts that the proxy itself makes.
//!
//! The load: most requests of a service fail or are refused. Every further attempt then costs
//! capacity that first attempts lack. Further attempts are therefore bounded to a tenth of the
//! first ones, and to a few at a time.

use indexmap::IndexMap;

use crate::{
    gateway::{
        job::JobError,
        statement::{Answer, ErrorCode},
    },
    ids::Service,
};

/// Tokens that a first attempt adds.
const TOKENS_PER_FIRST_ATTEMPT: f32 = 0.1;

/// Maximum number of tokens of a service: about the number of outstanding requests that one host
/// loses with a target.
const MAX_TOKENS: f32 = 20.0;

/// Whether an attempt with this result may have put load on a target or its queue, so that a
/// further one takes a token. An answer that another target must run the statement is free.
pub fn is_costly(result: &Result<Answer, JobError>) -> bool {
    match result {
        Ok(answer) => answer.code() == Some(ErrorCode::Busy),
        Err(JobError::Rejected(..) | JobError::Lost) => true,
        Err(JobError::Unreachable) => false,
    }
}

/// Budgets of one host by service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    tokens: IndexMap<Service, f32>,
}

impl RetryBudgets {
    /// Records the first attempt of an operation.
    pub fn record_first_attempt(&mut self, service: &Service) {
        if let Some(tokens) = self.tokens.get_mut(service) {
            *tokens = (*tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
        }
    }

    /// Takes a token for a further attempt; `false` if there is none.
    pub fn take(&mut self, service: &Service) -> bool {
        if !self.tokens.contains_key(service) {
            self.tokens.insert(service.clone(), MAX_TOKENS);
        }
        let tokens = &mut self.tokens[service];
        let is_available = *tokens >= 1.0;
        if is_available {
            *tokens -= 1.0;
        }
        is_available
    }
}
