//! The command `check`, which validates settings and configuration files without starting or
//! publishing anything.

use std::{path::Path, process::ExitCode};

use dogwoodway_control::{ConfigChange, ConfigState, Verdict, config_warnings};
use dogwoodway_types::{ChangeId, Timestamp};

use crate::{
    cli::{CheckArgs, EXIT_INVALID},
    operator::read_edits,
    settings,
};

/// Validates all files and prints all errors.
pub(crate) fn check(args: &CheckArgs) -> ExitCode {
    let entries = args
        .entry
        .iter()
        .map(|path| (path, settings::load_entry(path).map(drop).map_err(|e| e.to_string())));
    let agents = args
        .agent
        .iter()
        .map(|path| (path, settings::load_agent(path).map(drop).map_err(|e| e.to_string())));
    let configs = args.config.iter().map(|path| (path, check_config(path)));
    let mut is_valid = true;
    for (path, result) in entries.chain(agents).chain(configs) {
        match result {
            Ok(()) => println!("{}: valid", path.display()),
            Err(e) => {
                is_valid = false;
                println!("{}: invalid\n{e}", path.display());
            }
        }
    }
    match is_valid {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_INVALID),
    }
}

/// Validates a file of edits as the first change of a new deployment.
fn check_config(path: &Path) -> Result<(), String> {
    let edits = read_edits(path)?;
    let state = ConfigState::new_deployment();
    let change = ConfigChange {
        id: ChangeId::try_from("check").map_err(|e| e.to_string())?,
        author: String::new(),
        made_at: Timestamp::default(),
        bases: state.base_versions(&edits),
        edits,
    };
    let (verdict, after) = state.evaluate(&change);
    if let Verdict::Invalid { diagnostics } = verdict {
        let lines: Vec<_> =
            diagnostics.iter().map(|diagnostic| format!("  {diagnostic}")).collect();
        return Err(lines.join("\n"));
    }
    config_warnings(&after)
        .iter()
        .for_each(|warning| eprintln!("warning: {}: {warning}", path.display()));
    Ok(())
}
