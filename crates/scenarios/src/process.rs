//! Reads the CPU time and memory of a running process from `/proc`.

/// Clock ticks per second, the unit in which the kernel counts CPU time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields that follow the command name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time among the same fields.
const SYSTEM_TIME_FIELD: usize = 12;

fn read_proc(pid: u32, file: &str) -> Option<String> {
    std::fs::read_to_string(format!("/proc/{pid}/{file}")).ok()
}

/// Returns the CPU time of a process (user and system), in seconds.
pub(crate) fn cpu_seconds(pid: u32) -> Option<f64> {
    let text = read_proc(pid, "stat")?;
    let fields: Vec<&str> = text.rsplit(") ").next()?.split(' ').collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in bytes.
pub(crate) fn resident_bytes(pid: u32) -> Option<f64> {
    let text = read_proc(pid, "status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes = line.split_whitespace().next()?.parse::<f64>().ok()?;
    Some(kilobytes * 1024.0)
}
