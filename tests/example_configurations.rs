//! `dogwoodway check` accepts the example configurations and rejects invalid ones.

use std::process::{Command, Output};

fn run_check(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodway"));
    command.current_dir(env!("CARGO_MANIFEST_DIR")).arg("check").args(args).output().unwrap()
}

#[test]
fn examples_are_valid_without_warnings() {
    let output = run_check(&[
        "--config",
        "config/smrekar.yaml",
        "--config",
        "config/manizales.yaml",
        "--entry",
        "config/entry.yaml",
        "--agent",
        "config/agent.yaml",
    ]);
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn check_reports_all_errors_and_warns_about_unmatched_labels() {
    let dir = std::env::temp_dir().join(format!("check-{:016x}", rand::random::<u64>()));
    std::fs::create_dir_all(&dir).unwrap();
    let invalid = dir.join("faulty.yaml");
    let text = "- !class {name: c, paths: [x], priority: 1, repeatable: true, \
                answer_within_ms: 0}\n- !selector {name: s, teams: [nobody], labels: {}}\n";
    std::fs::write(&invalid, text).unwrap();
    let typo = dir.join("typo.yaml");
    let text = "- !labels {name: w, labels: {pool: models}}\n\
                - !selector {name: s, model: m, labels: {pool: modles}}\n";
    std::fs::write(&typo, text).unwrap();
    let output =
        run_check(&["--config", invalid.to_str().unwrap(), "--config", typo.to_str().unwrap()]);
    let stdout = String::from_utf8_lossy(&output.stdout);
    for error in ["class/c: answer_within_ms", "class/c: paths", "selector/s: teams"] {
        assert!(stdout.contains(error), "{error:?} is not in the output of check: {stdout}");
    }
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("no labelled backend server carries pool=modles"), "{stderr}");
    assert_eq!(output.status.code(), Some(4));
    std::fs::remove_dir_all(dir).unwrap();
}
