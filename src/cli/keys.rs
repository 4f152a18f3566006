//! `keys` command.

use crate::{
    cli::{CliError, Cx, Exit},
    ids::KeyId,
    keys::key::Key,
};

/// Generates a key; prints it for the caller and its entry for the configuration file.
///
/// # Errors
///
/// Fails if `id` is not a valid key id.
pub fn new(id: KeyId, cx: &mut Cx<'_>) -> Result<Exit, CliError> {
    let key = Key::generate(id)?;
    writeln!(cx.out, "# Key for the caller; it is shown only once.")?;
    writeln!(cx.out, "{}", key.reveal())?;
    writeln!(cx.out)?;
    writeln!(cx.out, "# Lines for the file, below the [[workspace]] of the caller.")?;
    writeln!(cx.out, "[[workspace.key]]")?;
    writeln!(cx.out, "id = \"{}\"", key.id())?;
    writeln!(cx.out, "verifier = \"{}\"", key.verifier())?;
    writeln!(cx.out, "state = \"active\"")?;
    Ok(Exit::Success)
}
