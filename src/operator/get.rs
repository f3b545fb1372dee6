//! The command `get`, which prints the configuration in force.

use std::process::ExitCode;

use dogwoodway_log::HttpLog;

use crate::{
    cli::{ConfigOutputFormat, GetArgs},
    operator::{fail, reader::read_state},
};

/// Reads the configuration in force from the log and prints it.
pub(crate) async fn get(args: &GetArgs) -> ExitCode {
    let state = match read_state(&HttpLog::new(args.log_url.clone())).await {
        Ok(state) => state,
        Err(e) => return fail(e),
    };
    let text = match args.output {
        ConfigOutputFormat::Yaml => {
            serde_yaml_ng::to_string(&state.configuration).map_err(|e| e.to_string())
        }
        ConfigOutputFormat::Json => {
            serde_json::to_string_pretty(&state.configuration).map_err(|e| e.to_string())
        }
    };
    match text {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(e) => fail(e),
    }
}
