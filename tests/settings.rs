//! A settings file is validated completely before an entry or agent starts, and all errors are
//! reported together.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

/// Runs a role with a temporary settings file until the process exits.
fn run(role: &str, text: &str) -> Output {
    let path = std::env::temp_dir().join(format!("settings-{:016x}.yaml", rand::random::<u64>()));
    std::fs::write(&path, text).unwrap();
    let args = [role, "--settings", path.to_str().unwrap()];
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodway")).args(args).output().unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

/// Asserts that a role exits with code 1 and prints all `messages` to standard error, and nothing to
/// standard output.
fn assert_refused(role: &str, text: &str, messages: &[&str]) {
    let output = run(role, text);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(String::from_utf8_lossy(&output.stdout), "");
    let stderr = String::from_utf8_lossy(&output.stderr);
    for message in messages {
        assert!(stderr.contains(message), "{message:?} is missing on standard error: {stderr:?}");
    }
}

#[test]
fn all_errors_in_the_settings_of_an_entry_are_reported_together() {
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
fn all_errors_in_the_settings_of_an_agent_are_reported_together() {
    let text = "kind: printer\nlisten: 127.0.0.1:0\n";
    let messages =
        ["kind: \"printer\" is not allowed; expected one of engine, service", "name: is missing"];
    assert_refused("agent", text, &messages);
}

#[test]
fn incomplete_file_is_refused() {
    assert_refused("entry", "listen: [", &["the settings file is not valid"]);
}

#[test]
fn example_settings_are_valid() {
    // The role would run without end on a valid file. With an unknown field added, it exits and must
    // report that field only.
    for role in ["entry", "agent"] {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("config/{role}.yaml"));
        let text = std::fs::read_to_string(path).unwrap();
        let with_unknown_field = format!("{text}\nunknown: 1\n");
        let output = run(role, &with_unknown_field);
        let stderr = String::from_utf8_lossy(&output.stderr);
        let errors: Vec<_> = stderr.lines().filter(|line| line.starts_with("  ")).collect();
        assert_eq!(errors, ["  unknown: \"1\" is not allowed; expected no such field"]);
    }
}
