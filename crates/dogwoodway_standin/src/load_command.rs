//! Commands of the load tool: `load`, `fleet-sizes` and `compare`.

use std::path::{Path, PathBuf};

use clap::Args;
use dogwoodway_standin::{
    LoadReport, LoadTargets, Scenario, comparison_table, run_load, write_plot,
};

/// Arguments of the command `load`.
#[derive(Debug, Args)]
pub(crate) struct LoadArgs {
    /// Scenario file in YAML.
    #[arg(long)]
    scenario: PathBuf,
    /// Offered load as a fraction of the scenario's capacity.
    #[arg(long, default_value_t = 0.9)]
    load: f64,
    /// Label of the run in its report.
    #[arg(long)]
    name: String,
    /// Base URL of an entry; may be repeated.
    #[arg(long = "entry")]
    entries: Vec<String>,
    /// Base URL of an engine stand-in; may be repeated.
    #[arg(long = "engine")]
    engines: Vec<String>,
    /// Base URL of the log stand-in.
    #[arg(long)]
    log: String,
    /// File to write the report to, as JSON.
    #[arg(long)]
    out: PathBuf,
}

/// Runs a scenario, writes its report as JSON and prints it as a table.
pub(crate) async fn load(args: &LoadArgs) -> Result<(), String> {
    let scenario = read_scenario(&args.scenario)?;
    let targets = LoadTargets {
        entries: args.entries.clone(),
        engines: args.engines.clone(),
        log: args.log.clone(),
    };
    let report = run_load(&scenario, &targets, args.load, &args.name).await?;
    let json = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    std::fs::write(&args.out, json)
        .map_err(|e| format!("failed to write the report {}: {e}", args.out.display()))?;
    print!("{}", comparison_table(&[report]));
    Ok(())
}

/// Prints the fleet of a scenario as shell variables, for `scripts/load.sh`.
pub(crate) fn print_fleet_sizes(scenario: &Path) -> Result<(), String> {
    let scenario = read_scenario(scenario)?;
    let fleet = &scenario.fleet;
    println!("entries={}\nengines={}", fleet.entries, fleet.engines);
    println!("engine_args=({})\nmodel={}", fleet.engine_args, scenario.model);
    println!("teams={}", scenario.team_weights.len());
    Ok(())
}

/// Prints the reports of several runs as one table and writes their plot, if a file is given.
pub(crate) fn compare(files: &[PathBuf], plot: Option<&Path>) -> Result<(), String> {
    let mut reports: Vec<LoadReport> = Vec::new();
    for file in files {
        let invalid = |e: String| format!("failed to read the report {}: {e}", file.display());
        let text = std::fs::read_to_string(file).map_err(|e| invalid(e.to_string()))?;
        reports.push(serde_json::from_str(&text).map_err(|e| invalid(e.to_string()))?);
    }
    print!("{}", comparison_table(&reports));
    plot.map_or(Ok(()), |file| write_plot(&reports, file))
}

fn read_scenario(file: &Path) -> Result<Scenario, String> {
    let invalid = |e: String| format!("failed to read the scenario {}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| invalid(e.to_string()))?;
    serde_yaml_ng::from_str(&text).map_err(|e| invalid(e.to_string()))
}
