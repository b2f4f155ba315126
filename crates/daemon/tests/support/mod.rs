//! The program and the examples that are shipped with it.

use std::process::Command;

/// The program.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_oliveshift");
/// Where the examples are.
pub const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/examples/cwl");

/// Exit code, output and error of `oliveshift cwl`, run where the examples are.
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
