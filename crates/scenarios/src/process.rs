//! What the kernel tells about a running process.

/// Clock ticks a second in which the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields after the command in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time among them.
const SYSTEM_TIME_FIELD: usize = 12;

fn read_proc(pid: u32, file: &str) -> Option<String> {
    std::fs::read_to_string(format!("/proc/{pid}/{file}")).ok()
}

/// User and system time of a process, in seconds.
pub(crate) fn cpu_seconds(pid: u32) -> Option<f64> {
    let text = read_proc(pid, "stat")?;
    let fields: Vec<&str> = text.rsplit(") ").next()?.split(' ').collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / TICKS_PER_SECOND)
}

/// Resident memory of a process, in bytes.
pub(crate) fn resident_bytes(pid: u32) -> Option<f64> {
    let text = read_proc(pid, "status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes = line.split_whitespace().next()?.parse::<f64>().ok()?;
    Some(kilobytes * 1024.0)
}
