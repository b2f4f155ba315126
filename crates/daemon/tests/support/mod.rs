//! Support for tests of the program: its path, and the CWL examples in `deploy/examples`.

use std::process::Command;

/// Path of the program.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_oliveshift");
/// Directory of the CWL examples.
pub const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/examples/cwl");

/// Runs `oliveshift cwl` in the directory of the examples and returns its exit code, standard
/// output and standard error.
pub fn cwl(args: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(PROGRAM)
        .arg("cwl")
        .args(args)
        .current_dir(EXAMPLES)
        .output()
        .expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}
