//! Comparison and text form of session marks.

use pomelopin::ids::Mark;

/// Guards against a read from an instance with a replaced history, whose position is
/// larger although it lacks the acknowledged write.
#[test]
fn larger_position_of_an_older_term_does_not_pass() {
    let acknowledged = Mark::new(2, 12);
    assert!(!Mark::new(1, 15).has_reached(acknowledged));
    assert!(!Mark::new(2, 11).has_reached(acknowledged));
    assert!(Mark::new(3, 12).has_reached(acknowledged));
}

/// Guards against a mark that a caller cannot send back in the form it received, and
/// against malformed text that is accepted.
#[test]
fn mark_text_round_trips_and_rejects_other_forms() {
    assert_eq!("2/12".parse(), Ok(Mark::new(2, 12)));
    assert_eq!(Mark::new(2, 12).to_string(), "2/12");
    for text in ["", "2", "2/", "/12", "a/b", "2/12/1"] {
        assert!(text.parse::<Mark>().is_err(), "{text}");
    }
}
