//! Replication log against plain lists of terms.

use pomelopin::{
    ids::{Mark, Term},
    target::log::{Entry, Log},
};
use quickcheck::{Gen, QuickCheck};

/// Log of one entry per element; the elements are terms in order.
fn log(terms: &[u64]) -> Log {
    let mut log = Log::default();
    for term in terms {
        log.push(Entry { term: Term(*term), changes: Vec::new() });
    }
    log
}

/// Last entry of each term, found by a look at all entries.
fn ends(terms: &[u64]) -> Vec<Mark> {
    let mut ends = Vec::new();
    for (index, term) in terms.iter().enumerate() {
        if terms.get(index + 1) != Some(term) {
            ends.push(Mark::new(*term, index as u64 + 1));
        }
    }
    ends
}

/// Terms in order from random steps; a step of 0 stays in the term.
fn terms(steps: &[u8]) -> Vec<u64> {
    let step = |term: &mut u64, step: &u8| {
        *term += u64::from(step % 4 == 3);
        Some(*term)
    };
    steps.iter().scan(1, step).collect()
}

/// Guards against entries that survive a cut, and against wrong ends of terms after it.
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

/// Guards against acknowledgements of entries that only one of two logs holds.
#[test]
fn common_part_ends_at_the_first_difference() {
    fn agrees(shared: Vec<u8>, ours: Vec<u8>, theirs: Vec<u8>) -> bool {
        let shared = terms(&shared);
        let last = shared.last().copied().unwrap_or(0);
        // Different primaries wrote the branches, hence under different terms.
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
