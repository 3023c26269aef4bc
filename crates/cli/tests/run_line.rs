//! Checks in /proc, without the bench, what the platform's standing test requires of `run`: a single process,
//! started by `exec` and linked dynamically against the C library; no child process; only IPv4 TCP and UDP
//! sockets, no Unix socket; no io_uring; and no thread that neither waits nor ends.

mod common;

use common::PROGRAM;
use common::platform::{
    Heard, PATIENCE, Proxy, Say, config, discovery, good, look, pipeline, server, start, value,
};
use rustix::io::Errno;
use rustix::net::sockopt::{socket_domain, socket_type};
use rustix::net::{AddressFamily, SocketType};
use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{TcpListener, UdpSocket};
use std::os::fd::{OwnedFd, RawFd};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// The properties of a process, as /proc shows them.
#[derive(Debug, Default)]
struct ProcessInfo {
    program: String,
    /// The file names of the mapped libraries, without their versions.
    libraries: BTreeSet<String>,
    children: Vec<u32>,
    threads: usize,
    /// The number of open descriptors of each kind: `tcp`, `udp`, `tcp6`, `udp6`, `unix`, `other socket`,
    /// `anon_inode:...`, `pipe`, `file`.
    descriptor_counts: BTreeMap<String, usize>,
}

fn read_proc_file(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Returns the kind of a socket of another process, as the socket itself states it. The tables in /proc/net
/// leave out a socket between `socket` and `connect`, and one that its peer has reset and that is not closed yet.
/// `None` if the process has closed the descriptor in the meantime.
fn socket_kind(process: &OwnedFd, descriptor: RawFd) -> Option<&'static str> {
    let socket = match pidfd_getfd(process, descriptor, PidfdGetfdFlags::empty()) {
        Err(Errno::BADF) => return None,
        result => result.unwrap(),
    };
    Some(match (socket_domain(&socket).unwrap(), socket_type(&socket).unwrap()) {
        (AddressFamily::INET, SocketType::STREAM) => "tcp",
        (AddressFamily::INET, SocketType::DGRAM) => "udp",
        (AddressFamily::INET6, SocketType::STREAM) => "tcp6",
        (AddressFamily::INET6, SocketType::DGRAM) => "udp6",
        (AddressFamily::UNIX, _) => "unix",
        _ => "other socket",
    })
}

fn inspect(pid: u32) -> ProcessInfo {
    let mut info = ProcessInfo::default();
    let link = |path: String| std::fs::read_link(path).map_or(String::new(), |p| p.display().to_string());
    info.program = link(format!("/proc/{pid}/exe"));
    for line in read_proc_file(&format!("/proc/{pid}/maps")).lines() {
        let file = line.rsplit('/').next().unwrap_or("");
        if line.contains('/') && file.contains(".so") {
            info.libraries.insert(file.split(".so").next().unwrap_or("").to_owned());
        }
    }
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).unwrap().flatten() {
        info.threads += 1;
        let children = read_proc_file(&format!("{}/children", task.path().display()));
        info.children.extend(children.split_whitespace().filter_map(|c| c.parse::<u32>().ok()));
    }
    let process = pidfd_open(Pid::from_raw(pid as i32).unwrap(), PidfdFlags::empty()).unwrap();
    for fd in std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten() {
        let target = link(fd.path().display().to_string());
        let kind = match target.split_once(':') {
            Some(("socket", _)) => {
                let descriptor = fd.file_name().to_str().unwrap().parse().unwrap();
                let Some(kind) = socket_kind(&process, descriptor) else { continue };
                kind.to_owned()
            }
            Some(("anon_inode", _)) => target,
            Some(("pipe", _)) => "pipe".to_owned(),
            _ => "file".to_owned(),
        };
        *info.descriptor_counts.entry(kind).or_default() += 1;
    }
    info
}

/// Returns a description of each property of a process that the platform does not allow.
fn violations(info: &ProcessInfo) -> Vec<String> {
    let mut violations = Vec::new();
    let mut check =
        |is_violated: bool, description: String| violations.extend(is_violated.then_some(description));
    check(info.program != PROGRAM, format!("it is {} and not the program", info.program));
    check(!info.libraries.contains("libc"), "not linked dynamically against the C library".into());
    let allowed_libraries = ["ld-linux-x86-64", "ld-linux-aarch64", "libc", "libm", "libgcc_s"];
    for other in info.libraries.iter().filter(|l| !allowed_libraries.contains(&l.as_str())) {
        check(true, format!("unexpected library: {other}"));
    }
    check(!info.children.is_empty(), format!("children: {:?}", info.children));
    check(info.threads != 1, format!("{} threads", info.threads));
    let allowed = ["tcp", "udp", "file", "pipe", "anon_inode:[eventpoll]", "anon_inode:[eventfd]"];
    let allowed = [&allowed[..], &["anon_inode:[signalfd]", "anon_inode:[timerfd]"]].concat();
    for (kind, count) in info.descriptor_counts.iter().filter(|(kind, _)| !allowed.contains(&kind.as_str())) {
        check(true, format!("{count} x {kind}"));
    }
    violations
}

/// Returns the CPU time used so far, in clock ticks. It is the sum of the 14th and 15th fields of `stat`,
/// which are counted from the closing parenthesis of the name because the name may contain spaces.
fn cpu_ticks(pid: u32) -> u64 {
    let stat = read_proc_file(&format!("/proc/{pid}/stat"));
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn send_requests(proxy: &Proxy, first: usize) {
    let mut client = proxy.open();
    for n in first..first + 50 {
        let id = format!("n{n}");
        assert_eq!(client.ask(&look(&id, 1000)), Heard::Value(value(&id)));
    }
}

#[test]
fn the_run_line_starts_one_process_with_only_ipv4_sockets() {
    let server = server(|words, _| Say::Bytes(good(words)));
    // The proxy has three peers, so that its UDP socket is open.
    let peers = [(); 3].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap());
    let peer_addr = |n: usize| peers[n].local_addr().unwrap();
    let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let peer_settings = format!(
        r#""peer_listen":"{free}","peers":["{}","{}","{}"]"#,
        peer_addr(0),
        peer_addr(1),
        peer_addr(2)
    );
    let text = config(discovery(&[server.addr]), pipeline().0, &[server.addr], 256)
        .replace(r#""peers":[]"#, &peer_settings)
        .replace(r#""RetryAfter":true"#, r#""MayTell":true,"RetryAfter":true"#);
    let proxy = start("run-line", &text);
    let pid = proxy.child.id();
    let before = inspect(pid);
    assert_eq!(violations(&before), Vec::<String>::new(), "{before:?}");
    assert!(before.descriptor_counts["udp"] == 1 && before.descriptor_counts["tcp"] >= 1, "{before:?}");
    // The properties must be the same under load, after SIGHUP, and with the same number of threads.
    send_requests(&proxy, 0);
    proxy.signal(rustix::process::Signal::HUP);
    send_requests(&proxy, 50);
    let after = inspect(pid);
    assert_eq!(violations(&after), Vec::<String>::new(), "{after:?}");
    // An idle process waits: in an idle second it uses at most a twentieth of a core. A clock tick is 10 ms.
    let deadline = Instant::now() + PATIENCE;
    loop {
        let used = cpu_ticks(pid);
        std::thread::sleep(Duration::from_secs(1));
        if cpu_ticks(pid) - used <= 5 {
            break;
        }
        assert!(Instant::now() < deadline, "the idle process uses more than a twentieth of a core");
    }
    proxy.end();
}

/// The inspection of /proc must detect what is not allowed. The process of this test has threads, a child, an
/// IPv6 listener and Unix sockets, and it runs another program.
#[test]
fn the_inspection_detects_what_is_not_allowed() {
    let _ipv6_listener = TcpListener::bind("[::1]:0").ok();
    let _unix_sockets = UnixStream::pair().unwrap();
    let mut child = std::process::Command::new("sleep").arg("30").spawn().unwrap();
    let found = violations(&inspect(std::process::id())).join("; ");
    child.kill().unwrap();
    child.wait().unwrap();
    for expected in ["not the program", "children: [", " threads", "x unix"] {
        assert!(found.contains(expected), "{expected:?} was not detected: {found}");
    }
    assert!(_ipv6_listener.is_none() || found.contains("x tcp6"), "{found}");
}
