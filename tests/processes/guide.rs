//! Runs the commands of the operations guide as they are written there.

use std::process::Command;

use super::deployment::Deployment;

/// Names in the guide, and the names in the test deployment that replace them.
const RENAMES: [(&str, &str); 2] = [("orders-1", "u1"), ("south-2", "s2")];

#[test]
fn the_guides_commands_run_as_written() {
    let deployment = Deployment::start();
    deployment.wait_all_ready();
    let guide = include_str!("../../docs/OPERATIONS.md");
    let lines: Vec<&str> = guide.lines().filter_map(|line| line.strip_prefix("    $ ")).collect();
    assert!(lines.len() > 10, "only {} commands found in the guide", lines.len());
    for line in lines {
        let command =
            RENAMES.iter().fold(line.to_owned(), |line, (old, new)| line.replace(old, new));
        let program = env!("CARGO_BIN_EXE_bulrushspan");
        let shell = format!("bulrushspan() {{ '{program}' \"$@\"; }}; {command}");
        let output = Command::new("sh")
            .args(["-c", &shell])
            .current_dir(deployment.settings_file().parent().unwrap())
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{line}: {stderr}");
    }
}
