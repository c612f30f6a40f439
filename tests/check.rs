//! `cloverrack check` on valid and invalid files, and invalid arguments of both programs.

use std::process::{Command, Output};

fn cloverrack(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cloverrack"))
        .args(arguments)
        .output()
        .expect("failed to run `cloverrack`")
}

fn daemon(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cloverrackd"))
        .args(arguments)
        .env_clear()
        .output()
        .expect("failed to run `cloverrackd`")
}

/// Formats the exit code, standard output and standard error as one text.
fn format_output(output: &Output) -> String {
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    )
}

/// Guards against an invalid file that is accepted, or rejected with a message that lacks the file,
/// line, key or expected value.
#[test]
fn each_bad_file_is_named_with_line_and_key() {
    let names = [
        "broken",
        "few_connections",
        "host_name",
        "missing_key",
        "mistyped",
        "not_text",
        "same_layout",
        "undeclared_leaf",
        "unknown_key",
        "zero_slots",
    ];
    let mut all = String::new();
    for name in names {
        let output = cloverrack(&["check", &format!("tests/inputs/{name}.toml")]);
        assert_eq!(output.status.code(), Some(2), "{name}");
        all += &format_output(&output);
    }
    insta::assert_snapshot!(all);
}

/// Guards against a check of several files that rejects a valid one.
#[test]
fn valid_files_pass() {
    let output = cloverrack(&[
        "check",
        "tests/inputs/valid.toml",
        "examples/cooperative.toml",
        "examples/association.toml",
    ]);
    insta::assert_snapshot!(format_output(&output), @r"
    exit 0
    tests/inputs/valid.toml: valid, 1 services
    examples/cooperative.toml: valid, 4 services
    examples/association.toml: valid, 4 services
    ");
}

/// Guards against exit code 0 when only one of several files is invalid, here the first one,
/// followed by a valid file.
#[test]
fn one_invalid_file_among_valid_ones_fails() {
    let output = cloverrack(&[
        "check",
        "tests/inputs/broken.toml",
        "tests/inputs/valid.toml",
    ]);
    assert_eq!(output.status.code(), Some(2));
}

/// Guards against invalid arguments that are accepted as a command, or whose error message has more
/// than one line.
#[test]
fn bad_usage_is_one_line_and_exit_code_2() {
    let cases: &[&[&str]] = &[
        &[],
        &["fetch"],
        &["check"],
        &["check", "tests/inputs/no_such_file.toml"],
        &["query", "--entry", "here"],
        &["entries", "--entry", "127.0.0.1:1", "--deadline"],
        &["status"],
    ];
    let mut all = String::new();
    for case in cases {
        let output = cloverrack(case);
        assert_eq!(output.status.code(), Some(2), "{case:?}");
        assert_eq!(
            String::from_utf8_lossy(&output.stderr).lines().count(),
            1,
            "{case:?}"
        );
        all += &format_output(&output);
    }
    insta::assert_snapshot!(all);
}

/// Arguments with which the daemon starts.
const VALID_ARGUMENTS: &[&str] = &[
    "--vm",
    "a",
    "--region",
    "r",
    "--failure-domain",
    "f",
    "--listen",
    "127.0.0.1:0",
    "--internal",
    "127.0.0.1:0",
    "--operator",
    "127.0.0.1:0",
    "--platform",
    "127.0.0.1:1",
];

/// Guards against a daemon that starts with a missing, malformed, out-of-range or unknown setting.
#[test]
fn bad_daemon_settings_are_one_line_and_exit_code_2() {
    let changes: &[&[&str]] = &[
        &["--keep-ms", "soon"],
        &["--keep-ms", "600001"],
        &["--log", "=="],
        &["--peers", "127.0.0.1:1,here"],
        &["--unknown", "1"],
    ];
    let mut all =
        format_output(&daemon(&["--vm", "a"])) + &format_output(&daemon(&["--vm", "a b"]));
    for change in changes {
        let arguments: Vec<&str> = VALID_ARGUMENTS
            .iter()
            .chain(change.iter())
            .copied()
            .collect();
        let output = daemon(&arguments);
        assert_eq!(output.status.code(), Some(2), "{change:?}");
        assert_eq!(
            String::from_utf8_lossy(&output.stderr).lines().count(),
            1,
            "{change:?}"
        );
        all += &format_output(&output);
    }
    insta::assert_snapshot!(all);
}

/// Guards against `--help` or `--version` failing or printing nothing.
#[test]
fn help_and_version_are_given() {
    for flag in ["--help", "--version"] {
        for output in [cloverrack(&[flag]), daemon(&[flag])] {
            assert!(output.status.success());
            assert!(!output.stdout.is_empty());
        }
    }
}
