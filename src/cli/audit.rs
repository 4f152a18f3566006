//! Command `audit`.

use crate::{
    cli::{CliError, Cx, Exit, client::Client, table::Table, time::format_utc},
    ids::Revision,
    settings::operator::OperatorSettings,
    state::model::AuditEntry,
};

/// Prints the audit trail from a revision on.
///
/// # Errors
///
/// Fails if the control hosts give no answer in time.
pub async fn audit(
    settings: &OperatorSettings,
    from: Revision,
    cx: &mut Cx<'_>,
) -> Result<Exit, CliError> {
    let audit = Client::new(settings)?.audit(from).await?;
    write!(cx.out, "{}", table(&audit.entries))?;
    Ok(Exit::Success)
}

/// Table of audit entries.
pub fn table(entries: &[AuditEntry]) -> Table {
    let mut table = Table::new(["REVISION", "TIME", "ACTOR", "ITEM", "BEFORE", "AFTER"]);
    for entry in entries {
        table.row([
            entry.revision.to_string(),
            format_utc(entry.at_unix_ms),
            entry.actor.clone(),
            entry.item.clone(),
            entry.before.clone(),
            entry.after.clone(),
        ]);
    }
    table
}
