//! What the platform's standing test asks of `run`, read off /proc without the bench: one process by `exec`, linked
//! dynamically against the C library, no child, IPv4 TCP and UDP alone, no Unix socket, no io_uring, and no
//! thread that neither waits nor ends.

mod common;

use common::PROGRAM;
use common::platform::{
    Heard, PATIENCE, Proxy, Say, config, discovery, good, look, pipeline, server, start, value,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// What /proc says of a process.
#[derive(Debug, Default)]
struct Seen {
    program: String,
    /// File names of the libraries mapped, without their versions.
    libraries: BTreeSet<String>,
    children: Vec<u32>,
    threads: usize,
    /// Descriptors by kind: `tcp`, `udp`, `tcp6`, `udp6`, `unix`, `other socket`, `anon_inode:...`, `pipe`, `file`.
    kinds: BTreeMap<String, usize>,
}

fn text(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

/// The sockets that the kernel lists in one table, by inode. In those of TCP and UDP the inode stands in the tenth
/// column, in that of Unix sockets in the seventh.
fn inodes(table: &str) -> BTreeSet<String> {
    let column = if table == "unix" { 6 } else { 9 };
    let lines = text(&format!("/proc/net/{table}"));
    lines.lines().skip(1).filter_map(|l| l.split_whitespace().nth(column).map(str::to_owned)).collect()
}

fn look_at(pid: u32) -> Seen {
    let mut seen = Seen::default();
    let link = |path: String| std::fs::read_link(path).map_or(String::new(), |p| p.display().to_string());
    seen.program = link(format!("/proc/{pid}/exe"));
    for line in text(&format!("/proc/{pid}/maps")).lines() {
        let file = line.rsplit('/').next().unwrap_or("");
        if line.contains('/') && file.contains(".so") {
            seen.libraries.insert(file.split(".so").next().unwrap_or("").to_owned());
        }
    }
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).unwrap().flatten() {
        seen.threads += 1;
        let children = text(&format!("{}/children", task.path().display()));
        seen.children.extend(children.split_whitespace().filter_map(|c| c.parse::<u32>().ok()));
    }
    let tables: Vec<(&str, BTreeSet<String>)> =
        ["tcp", "udp", "tcp6", "udp6", "unix"].map(|table| (table, inodes(table))).into();
    for fd in std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten() {
        let target = link(fd.path().display().to_string());
        let kind = match target.split_once(':') {
            Some(("socket", inode)) => {
                let inode = inode.trim_matches(['[', ']']);
                let table = tables.iter().find(|(_, of)| of.contains(inode));
                table.map_or("other socket", |(table, _)| table).to_owned()
            }
            Some(("anon_inode", _)) => target,
            Some(("pipe", _)) => "pipe".to_owned(),
            _ => "file".to_owned(),
        };
        *seen.kinds.entry(kind).or_default() += 1;
    }
    seen
}

/// What the page allows and this is not.
fn faults(seen: &Seen) -> Vec<String> {
    let mut faults = Vec::new();
    let mut fault = |is: bool, what: String| faults.extend(is.then_some(what));
    fault(seen.program != PROGRAM, format!("it is {} and not the program", seen.program));
    fault(!seen.libraries.contains("libc"), "not linked dynamically against the C library".into());
    let usual = ["ld-linux-x86-64", "ld-linux-aarch64", "libc", "libm", "libgcc_s"];
    for other in seen.libraries.iter().filter(|l| !usual.contains(&l.as_str())) {
        fault(true, format!("a library more: {other}"));
    }
    fault(!seen.children.is_empty(), format!("children: {:?}", seen.children));
    fault(seen.threads != 1, format!("{} threads", seen.threads));
    let allowed = ["tcp", "udp", "file", "pipe", "anon_inode:[eventpoll]", "anon_inode:[eventfd]"];
    let allowed = [&allowed[..], &["anon_inode:[signalfd]", "anon_inode:[timerfd]"]].concat();
    for (kind, count) in seen.kinds.iter().filter(|(kind, _)| !allowed.contains(&kind.as_str())) {
        fault(true, format!("{count} x {kind}"));
    }
    faults
}

/// Processor time used so far, in clock ticks: the 14th and 15th fields of `stat`, counted behind the name.
fn ticks(pid: u32) -> u64 {
    let stat = text(&format!("/proc/{pid}/stat"));
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn ask_some(proxy: &Proxy, from: usize) {
    let mut client = proxy.open();
    for n in from..from + 50 {
        let id = format!("n{n}");
        assert_eq!(client.ask(&look(&id, 1000)), Heard::Value(value(&id)));
    }
}

#[test]
fn the_run_line_is_one_process_with_ipv4_sockets_alone() {
    let one = server(|words, _| Say::Bytes(good(words)));
    // Three peers, so that the datagrams' socket is open.
    let peers = [(); 3].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap());
    let addr = |n: usize| peers[n].local_addr().unwrap();
    let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let told = format!(r#""peer_listen":"{free}","peers":["{}","{}","{}"]"#, addr(0), addr(1), addr(2));
    let text = config(discovery(&[one.addr]), pipeline().0, &[one.addr], 256)
        .replace(r#""peers":[]"#, &told)
        .replace(r#""RetryAfter":true"#, r#""MayTell":true,"RetryAfter":true"#);
    let proxy = start("run-line", &text);
    let pid = proxy.child.id();
    let before = look_at(pid);
    assert_eq!(faults(&before), Vec::<String>::new(), "{before:?}");
    assert!(before.kinds["udp"] == 1 && before.kinds["tcp"] >= 1, "{before:?}");
    // The same under load, after SIGHUP, and with the same threads.
    ask_some(&proxy, 0);
    proxy.signal(rustix::process::Signal::HUP);
    ask_some(&proxy, 50);
    let after = look_at(pid);
    assert_eq!(faults(&after), Vec::<String>::new(), "{after:?}");
    // Left alone it waits: an idle second costs less than a twentieth of a core. Clock ticks are 10 ms.
    let until = Instant::now() + PATIENCE;
    loop {
        let used = ticks(pid);
        std::thread::sleep(Duration::from_secs(1));
        if ticks(pid) - used <= 5 {
            break;
        }
        assert!(Instant::now() < until, "it never rests");
    }
    proxy.end();
}

/// The look at /proc sees what it is there to refuse: this very process has threads, a child, an IPv6 listener and
/// Unix sockets, and is another program.
#[test]
fn the_look_notices_what_is_not_allowed() {
    let _six = TcpListener::bind("[::1]:0").ok();
    let _unix = UnixStream::pair().unwrap();
    let mut child = std::process::Command::new("sleep").arg("30").spawn().unwrap();
    let found = faults(&look_at(std::process::id())).join("; ");
    child.kill().unwrap();
    child.wait().unwrap();
    for what in ["not the program", "children: [", " threads", "x unix"] {
        assert!(found.contains(what), "{what:?} was not noticed: {found}");
    }
    assert!(_six.is_none() || found.contains("x tcp6"), "{found}");
}
