//! What a caller must see of its own writes.

use std::collections::BTreeMap;

use super::samples::Violations;

/// What the caller knows of a booking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    Acknowledged,
    /// May or may not have run.
    Unknown,
    /// Refused before it ran.
    Refused,
}

/// Booking of the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Booking {
    /// Unique value of the row.
    pub token: String,
    pub knowledge: Knowledge,
}

/// Bookings and credit counter of one caller in one service.
#[derive(Debug, Default)]
pub struct Expectation {
    bookings: BTreeMap<String, Booking>,
    /// Ids of acknowledged bookings in order, for choosing one to read.
    acknowledged: Vec<String>,
    /// Counter of the caller, if its row was created.
    pub credit: Option<Credit>,
}

/// Increments of a counter that starts at 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Credit {
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
    /// Notes the outcome of a booking.
    pub fn book(&mut self, id: String, token: String, knowledge: Knowledge) {
        if knowledge == Knowledge::Acknowledged {
            self.acknowledged.push(id.clone());
        }
        self.bookings.insert(id, Booking { token, knowledge });
    }

    /// Ids of acknowledged bookings, oldest first.
    pub fn acknowledged(&self) -> &[String] {
        &self.acknowledged
    }

    /// Checks the answer to a read of the acknowledged booking `id`.
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
        let expected = self.bookings.get(id).map(|booking| booking.token.as_str());
        row.id == id && row.value.as_deref() == expected
    }

    /// Checks the answer to a read of the counter `id`.
    ///
    /// A larger amount than expected is left to the audit, which counts each
    /// doubled increment once.
    pub fn check_credit(&self, id: &str, rows: &[(String, i64)]) -> Violations {
        let mut violations = Violations::default();
        let Some(credit) = self.credit else { return violations };
        match rows {
            [] => violations.stale_reads += 1,
            [(row, amount)] if row == id => {
                violations.stale_reads += u64::from(*amount < credit.acknowledged);
            }
            _ => violations.mixed += 1,
        }
        violations
    }

    /// Compares the final bookings, by id, with what the caller was told.
    pub fn audit_bookings(&self, rows: &BTreeMap<String, Option<String>>) -> Violations {
        let mut violations = Violations::default();
        for (id, booking) in &self.bookings {
            match (rows.get(id), booking.knowledge) {
                (None, Knowledge::Acknowledged) => violations.lost += 1,
                (None, _) => {}
                (Some(_), Knowledge::Refused) => violations.refused_but_ran += 1,
                (Some(value), _) if value.as_deref() != Some(&booking.token) => {
                    violations.mixed += 1;
                }
                (Some(_), _) => {}
            }
        }
        violations
    }

    /// Compares the final amount of the counter with the acknowledged increments.
    pub fn audit_credit(&self, amount: Option<i64>) -> Violations {
        let mut violations = Violations::default();
        let Some(credit) = self.credit else { return violations };
        let amount = amount.unwrap_or(0);
        let most = credit.acknowledged + credit.unknown;
        violations.lost += (credit.acknowledged - amount).max(0).unsigned_abs();
        violations.doubled += (amount - most).max(0).unsigned_abs();
        violations
    }
}
