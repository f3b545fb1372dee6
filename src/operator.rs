//! The operator's commands.
//!
//! Results go to standard output, diagnostics to standard error.

mod audit;
mod check;
mod diff;
mod get;
mod publish;
mod reader;
mod status;

pub(crate) use self::{audit::audit, check::check, get::get, publish::publish, status::status};

use std::{fmt::Display, path::Path, process::ExitCode};

use dogwoodway_types::{ConfigEdit, KeyHash};

use crate::cli::{EXIT_FAILURE, HashKeyArgs};

/// Runs `hash-key`: prints the hash of the bearer key that is read from standard input.
pub(crate) fn hash_key(args: &HashKeyArgs) -> ExitCode {
    let mut key = String::new();
    if let Err(e) = std::io::stdin().read_line(&mut key) {
        return fail(format!("cannot read the key from standard input: {e}"));
    }
    println!("{}", String::from(KeyHash::new(&args.pepper, key.trim_end())));
    ExitCode::SUCCESS
}

/// Prints an error and returns the exit code of a failed command.
fn fail<T>(message: T) -> ExitCode
where
    T: Display,
{
    eprintln!("dogwoodway: {message}");
    EXIT_FAILURE
}

/// Reads a file of configuration edits.
fn read_edits(path: &Path) -> Result<Vec<ConfigEdit>, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    serde_yaml_ng::from_str(&text).map_err(|e| format!("{} is not valid: {e}", path.display()))
}
