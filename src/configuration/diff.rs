//! What an operator's file would change.

use crate::state::{difference, model::DesiredState};

/// One line for each item that differs, without secrets.
///
/// Lines start with `+` for added, `-` for removed and `~` for changed items.
pub fn diff(before: &DesiredState, after: &DesiredState) -> Vec<String> {
    let found = difference::differences(before, after);
    found.into_iter().map(|found| line(&found)).collect()
}

fn line(found: &difference::Difference) -> String {
    let difference::Difference { item, before, after } = found;
    if before == difference::ABSENT {
        format!("+ {item}: {after}")
    } else if after == difference::ABSENT {
        format!("- {item}: {before}")
    } else {
        format!("~ {item}: {before} -> {after}")
    }
}
