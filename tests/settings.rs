//! Settings files are checked as a whole before a role starts.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

fn run(role: &str, text: &str) -> Output {
    let path = std::env::temp_dir().join(format!("settings-{:016x}.yaml", rand::random::<u64>()));
    std::fs::write(&path, text).unwrap();
    let args = [role, "--settings", path.to_str().unwrap()];
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodway")).args(args).output().unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

fn assert_refused(role: &str, text: &str, messages: &[&str]) {
    let output = run(role, text);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(String::from_utf8_lossy(&output.stdout), "");
    let stderr = String::from_utf8_lossy(&output.stderr);
    for message in messages {
        assert!(stderr.contains(message), "{message:?} is not in {stderr:?}");
    }
}

#[test]
fn all_faults_of_an_entry_are_named_at_once() {
    let text = "listen: nowhere\nzone: a b\nlog_url: ftp://x\nvms_url: http://x/\ncolour: red\n";
    assert_refused(
        "entry",
        text,
        &[
            "listen: \"nowhere\" is not allowed; expected an IP address and port",
            "zone: \"a b\" is not allowed",
            "log_url: \"ftp://x\" is not allowed; expected a base URL",
            "vms_url: \"http://x/\" is not allowed",
            "key_pepper: is missing",
            "colour: \"red\" is not allowed; expected no such field",
        ],
    );
}

#[test]
fn all_faults_of_an_agent_are_named_at_once() {
    let text = "kind: printer\nlisten: 127.0.0.1:0\n";
    let messages =
        ["kind: \"printer\" is not allowed; expected one of engine, service", "name: is missing"];
    assert_refused("agent", text, &messages);
}

#[test]
fn half_a_file_is_refused() {
    assert_refused("entry", "listen: [", &["the settings file is not valid"]);
}

#[test]
fn examples_in_the_repository_are_valid() {
    for role in ["entry", "agent"] {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("config/{role}.yaml"));
        let text = std::fs::read_to_string(path).unwrap();
        let unknown = format!("{text}\nunknown: 1\n");
        let output = run(role, &unknown);
        let stderr = String::from_utf8_lossy(&output.stderr);
        let faults: Vec<_> = stderr.lines().filter(|line| line.starts_with("  ")).collect();
        assert_eq!(faults, ["  unknown: \"1\" is not allowed; expected no such field"]);
    }
}
