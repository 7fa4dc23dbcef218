//! The memory of processes.

use std::fs;

/// Returns the resident memory of a process in MB, or 0 if it has ended.
pub fn resident_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|kb| kb.parse().ok());
    kb.unwrap_or(0) / 1024
}
