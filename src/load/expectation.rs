//! Rows that a caller must see after its own writes.

use std::collections::BTreeMap;

use super::samples::Violations;

/// Outcome of a booking as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BookingStatus {
    Acknowledged,
    /// The insert may have been executed.
    Unknown,
    /// The insert was refused or failed, so the row must not exist.
    Refused,
}

/// Booking that the caller tried to insert.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Booking {
    /// Random value that identifies the insert.
    pub value: String,
    pub status: BookingStatus,
}

/// Expected bookings and counter of one caller in one service.
#[derive(Debug, Default)]
pub struct Expectation {
    bookings: BTreeMap<String, Booking>,
    /// Ids of acknowledged bookings, oldest first, from which reads choose.
    acknowledged_ids: Vec<String>,
    /// Counter of the caller; `None` if its row could not be created.
    pub counter: Option<Counter>,
}

/// Increments of a counter that starts at 0, by their outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counter {
    pub acknowledged: i64,
    pub unknown: i64,
}

/// Row of the bookings table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BookingRow {
    pub id: String,
    pub value: Option<String>,
}

impl Expectation {
    /// Records the outcome of an insert.
    pub fn record_booking(&mut self, id: String, value: String, status: BookingStatus) {
        if status == BookingStatus::Acknowledged {
            self.acknowledged_ids.push(id.clone());
        }
        self.bookings.insert(id, Booking { value, status });
    }

    /// Ids of acknowledged bookings, oldest first.
    pub fn acknowledged_ids(&self) -> &[String] {
        &self.acknowledged_ids
    }

    /// Checks the result of reading the acknowledged booking `id`.
    pub fn check_booking(&self, id: &str, rows: &[BookingRow]) -> Violations {
        let mut violations = Violations::default();
        match rows {
            [] => violations.stale_reads += 1,
            [row] if self.matches(id, row) => {}
            _ => violations.mixed += 1,
        }
        violations
    }

    fn matches(&self, id: &str, row: &BookingRow) -> bool {
        let expected = self.bookings.get(id).map(|booking| booking.value.as_str());
        row.id == id && row.value.as_deref() == expected
    }

    /// Checks the result of reading the counter `id`.
    ///
    /// Amounts that are too large are left to the audit, so that each increment executed twice
    /// is counted only once.
    pub fn check_counter(&self, id: &str, rows: &[(String, i64)]) -> Violations {
        let mut violations = Violations::default();
        let Some(counter) = self.counter else { return violations };
        match rows {
            [] => violations.stale_reads += 1,
            [(row, amount)] if row == id => {
                violations.stale_reads += u64::from(*amount < counter.acknowledged);
            }
            _ => violations.mixed += 1,
        }
        violations
    }

    /// Compares the final values, by booking id, with the reported outcomes.
    pub fn audit_bookings(&self, rows: &BTreeMap<String, Option<String>>) -> Violations {
        let mut violations = Violations::default();
        for (id, booking) in &self.bookings {
            match (rows.get(id), booking.status) {
                (None, BookingStatus::Acknowledged) => violations.lost += 1,
                (None, _) => {}
                (Some(_), BookingStatus::Refused) => violations.refused_but_ran += 1,
                (Some(value), _) if value.as_deref() != Some(&booking.value) => {
                    violations.mixed += 1;
                }
                (Some(_), _) => {}
            }
        }
        violations
    }

    /// Compares the counter's final amount with the acknowledged and unknown increments.
    pub fn audit_counter(&self, amount: Option<i64>) -> Violations {
        let mut violations = Violations::default();
        let Some(counter) = self.counter else { return violations };
        let amount = amount.unwrap_or(0);
        let max_amount = counter.acknowledged + counter.unknown;
        violations.lost += (counter.acknowledged - amount).max(0).unsigned_abs();
        violations.doubled += (amount - max_amount).max(0).unsigned_abs();
        violations
    }
}
