//! Retries: policy, budget, backoff and queues for a lost primary.

pub mod budget;
pub mod deadline;
pub mod policy;
pub mod wait_queue;
