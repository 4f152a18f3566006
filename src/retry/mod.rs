//! Retries, budgets and unknown outcomes.
