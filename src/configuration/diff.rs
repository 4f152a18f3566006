//! Differences between two configuration files, as text.

use crate::state::{difference, model::DesiredState};

/// One line for each item that differs, without secrets.
///
/// A line starts with `+` for an added, `-` for a removed and `~` for a changed item.
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
