//! Property tests that compare the replication log with plain lists of terms.

use pomelopin::{
    ids::{Mark, Term},
    target::log::{Entry, Log},
};
use quickcheck::{Gen, QuickCheck};

/// Log with one entry per element of `terms`, which must be ascending.
fn log(terms: &[u64]) -> Log {
    let mut log = Log::default();
    for term in terms {
        log.push(Entry { term: Term(*term), changes: Vec::new() });
    }
    log
}

/// Reference result: marks of the last entry of each term, from a full scan.
fn ends(terms: &[u64]) -> Vec<Mark> {
    let mut ends = Vec::new();
    for (index, term) in terms.iter().enumerate() {
        if terms.get(index + 1) != Some(term) {
            ends.push(Mark::new(*term, index as u64 + 1));
        }
    }
    ends
}

/// Ascending terms from random steps; a quarter of the step values start a new term.
fn terms(steps: &[u8]) -> Vec<u64> {
    let step = |term: &mut u64, step: &u8| {
        *term += u64::from(step % 4 == 3);
        Some(*term)
    };
    steps.iter().scan(1, step).collect()
}

/// Guards against entries that survive truncation, and against wrong term ends after it.
#[test]
fn truncation_keeps_the_ends_of_terms() {
    fn agrees(steps: Vec<u8>, cut: u8) -> bool {
        let terms = terms(&steps);
        let keep = usize::from(cut).min(terms.len());
        let mut log = log(&terms);
        log.truncate(u64::from(cut));
        log.len() == keep as u64 && log.ends() == ends(&terms[..keep])
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .quickcheck(agrees as fn(Vec<u8>, u8) -> bool);
}

/// Guards against acknowledging entries that only one of two logs contains.
#[test]
fn common_prefix_ends_at_the_first_difference() {
    fn agrees(shared: Vec<u8>, ours: Vec<u8>, theirs: Vec<u8>) -> bool {
        let shared = terms(&shared);
        let last = shared.last().copied().unwrap_or(0);
        // The branches come from different primaries and therefore have different terms.
        let branch = |steps: &[u8], offset: u64| -> Vec<u64> {
            let mut all = shared.clone();
            all.extend(terms(steps).iter().map(|term| last + offset + 2 * term));
            all
        };
        let (ours, theirs) = (branch(&ours, 0), branch(&theirs, 1));
        let (our_log, their_log) = (log(&ours), log(&theirs));
        let common = shared.len() as u64;
        our_log.common(their_log.ends()) == common && their_log.common(our_log.ends()) == common
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 12))
        .quickcheck(agrees as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}
