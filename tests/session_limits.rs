//! Limits on the values and prepared statements of a session.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use futures::FutureExt;
use pomelopin::{
    adapters::byte_budget::ByteBudget,
    gateway::{
        session::Session,
        session_limits::{StoredBytes, check_stored},
        statement::{ErrorCode, PreparedStatement, Statement, TransactionState},
        transaction::apply_session_statement,
    },
    settings::session_limits::{ByteLimits, MachineLimits, SessionLimits},
};

/// Largest value that fits into a message of 1 MiB.
const LARGEST_VALUE: usize = 1024 * 1024 - 64;

fn set(name: &str, bytes: usize) -> Statement {
    Statement::Set { name: name.to_owned(), value: "x".repeat(bytes) }
}

fn prepare(name: &str, bytes: usize) -> Statement {
    let statement = PreparedStatement { writes: false, text: "x".repeat(bytes) };
    Statement::Prepare { name: name.to_owned(), statement }
}

fn apply(session: &mut Session, statement: &Statement) -> Result<(), ErrorCode> {
    check_stored(session, statement, &SessionLimits::default()).map_err(|error| error.code)?;
    apply_session_statement(session, statement, TransactionState::Idle).unwrap();
    Ok(())
}

/// Guards against a default limit that refuses a single message of legal size, or a value that
/// replaces another.
#[test]
fn the_largest_value_is_accepted_and_replaced() {
    let mut session = Session::default();
    for _ in 0..3 {
        apply(&mut session, &set("a", LARGEST_VALUE)).unwrap();
    }
    apply(&mut session, &prepare("a", LARGEST_VALUE / 2)).unwrap();
}

/// Guards against sessions that store without a limit, by size or by number.
#[test]
fn stored_bytes_and_numbers_are_limited() {
    let mut session = Session::default();
    apply(&mut session, &set("a", LARGEST_VALUE)).unwrap();
    assert_eq!(apply(&mut session, &prepare("b", LARGEST_VALUE)), Err(ErrorCode::TooBig));
    assert!(session.prepared.is_empty());
    let mut session = Session::default();
    let max = SessionLimits::default().max_values;
    for number in 0..max {
        apply(&mut session, &set(&format!("v{number}"), 1)).unwrap();
        apply(&mut session, &prepare(&format!("p{number}"), 1)).unwrap();
    }
    assert_eq!(apply(&mut session, &set("one-more", 1)), Err(ErrorCode::TooBig));
    assert_eq!(apply(&mut session, &prepare("one-more", 1)), Err(ErrorCode::TooBig));
    apply(&mut session, &set("v0", 2)).unwrap();
    apply(&mut session, &Statement::Deallocate { name: "p0".into() }).unwrap();
    apply(&mut session, &prepare("one-more", 1)).unwrap();
}

/// Guards against stored values that the budget of the process does not count, or counts after
/// they are removed.
#[test]
fn stored_bytes_count_in_the_budget() {
    let machine = MachineLimits { memory_mb: Some(112), descriptors: Some(3_010) };
    let budget = ByteBudget::new(ByteLimits::for_machine(machine));
    let holder = budget.holder();
    let (mut session, mut stored) = (Session::default(), StoredBytes::default());
    let mut apply = |statement: &Statement| {
        stored.reserve(Some(&holder), statement).now_or_never().unwrap().unwrap();
        apply_session_statement(&mut session, statement, TransactionState::Idle).unwrap();
        stored.settle(Some(&holder), &session);
    };
    apply(&prepare("p", LARGEST_VALUE));
    apply(&prepare("p", LARGEST_VALUE));
    assert!((LARGEST_VALUE..LARGEST_VALUE + 1_024).contains(&(budget.held() as usize)));
    apply(&Statement::Deallocate { name: "p".into() });
    assert_eq!(budget.held(), 0);
}
