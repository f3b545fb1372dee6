//! The example configurations, and `check` on files that are not valid.

use std::process::{Command, Output};

fn check(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodway"));
    command.current_dir(env!("CARGO_MANIFEST_DIR")).arg("check").args(args).output().unwrap()
}

#[test]
fn examples_are_valid_and_raise_no_warning() {
    let output = check(&[
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
fn all_faults_are_printed_at_once_and_typos_warned_about() {
    let dir = std::env::temp_dir().join(format!("check-{:016x}", rand::random::<u64>()));
    std::fs::create_dir_all(&dir).unwrap();
    let faulty = dir.join("faulty.yaml");
    let text = "- !class {name: c, paths: [x], priority: 1, repeatable: true, \
                answer_within_ms: 0}\n- !selector {name: s, teams: [nobody], labels: {}}\n";
    std::fs::write(&faulty, text).unwrap();
    let typo = dir.join("typo.yaml");
    let text = "- !labels {name: w, labels: {pool: models}}\n\
                - !selector {name: s, model: m, labels: {pool: modles}}\n";
    std::fs::write(&typo, text).unwrap();
    let output = check(&["--config", faulty.to_str().unwrap(), "--config", typo.to_str().unwrap()]);
    let stdout = String::from_utf8_lossy(&output.stdout);
    for fault in ["class/c: answer_within_ms", "class/c: paths", "selector/s: teams"] {
        assert!(stdout.contains(fault), "{fault} is not in {stdout}");
    }
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("no labelled backend server carries pool=modles"), "{stderr}");
    assert_eq!(output.status.code(), Some(4));
    std::fs::remove_dir_all(dir).unwrap();
}
