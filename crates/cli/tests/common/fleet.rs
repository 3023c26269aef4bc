//! Local daemons with a fleet file, and the fleet tool that controls them.

use super::{PROGRAM, Proxy, start_over, world};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::time::Duration;

/// Reads one line, the response of a daemon; `null` if it is not JSON.
pub fn answer(stream: UnixStream) -> serde_json::Value {
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap_or(serde_json::Value::Null)
}

/// Starts a process that takes over from the first daemon of a fleet.
pub fn take_over(name: &str) -> Child {
    let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-0.star"));
    let mut command = Command::new(PROGRAM);
    command.args(["serve", "--takeover", "--log", "warn", "--settings"]).arg(settings);
    command.spawn().unwrap()
}

/// Daemons that run against one simulated site; the folder holds their state and the fleet file.
pub struct Fleet {
    pub folder: PathBuf,
    pub daemons: Vec<Proxy>,
    pub world: std::net::SocketAddr,
}

/// Creates the state directory of a daemon, and returns the arguments of `fleet(...)` that make its proxy a
/// daemon.
pub fn more(folder: &Path, n: usize) -> String {
    let folder = folder.join(n.to_string());
    std::fs::create_dir_all(&folder).unwrap();
    format!(", state_dir = \"{0}\", control = \"{0}/control\"", folder.display())
}

impl Fleet {
    /// Starts `count` daemons with a fleet file. The first half of them are in the group `early`.
    pub fn start(name: &str, count: usize) -> Fleet {
        Fleet::start_with_launcher(name, "", count)
    }

    /// The same as [`Fleet::start`]; `launch` is shell code that runs before each daemon's program.
    pub fn start_with_launcher(name: &str, launch: &str, count: usize) -> Fleet {
        Fleet::start_with_settings(name, launch, count, "")
    }

    /// The same as [`Fleet::start_with_launcher`]; `extra` is inserted into the settings before
    /// the closing parenthesis of `fleet(...)`.
    pub fn start_with_settings(name: &str, launch: &str, count: usize, extra: &str) -> Fleet {
        // The path of a Unix socket has at most 108 bytes, so the folder is not under the target directory.
        let folder = std::env::temp_dir().join(format!("vs-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let world = world();
        let daemons = (0..count).map(|n| {
            start_over(world, &format!("{name}-{n}"), launch, &format!("{}{extra}", more(&folder, n)))
        });
        let fleet = Fleet { daemons: daemons.collect(), folder, world };
        let member = |n: usize| {
            let groups = if n < count / 2 { "[\"early\"]" } else { "[]" };
            format!(
                "member(name = \"d{n}\", control = \"{}/{n}/control\", groups = {groups})\n",
                fleet.folder.display()
            )
        };
        let text: String = (0..count).map(member).collect();
        std::fs::write(fleet.folder.join("fleet.star"), text).unwrap();
        fleet
    }

    /// Runs the fleet tool; returns its exit status, its JSON report and its standard error.
    pub fn run_tool(&self, args: &[&str]) -> (i32, serde_json::Value, String) {
        let file = self.folder.join("fleet.star");
        let Output { status, stdout, stderr } = Command::new(PROGRAM)
            .args(["fleet", "--json", "--yes", "--issuer", "test", "--fleet"])
            .arg(file)
            .args(args)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&stderr).into_owned();
        let value = serde_json::from_slice(&stdout).unwrap_or(serde_json::Value::Null);
        (status.code().unwrap_or(-1), value, text)
    }

    /// Kills a daemon and starts it again with the same state.
    pub fn restart(&mut self, name: &str, n: usize) {
        self.daemons[n].child.kill().unwrap();
        self.daemons[n].child.wait().unwrap();
        self.daemons[n] = start_over(self.world, &format!("{name}-{n}"), "", &more(&self.folder, n));
    }

    pub fn control(&self, n: usize) -> PathBuf {
        self.folder.join(format!("{n}/control"))
    }

    /// Sends a command directly, without the fleet tool, and returns the response of the daemon.
    pub fn send_command(&self, n: usize, command: &serde_json::Value) -> serde_json::Value {
        let mut stream = UnixStream::connect(self.control(n)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(format!("{}\n", serde_json::json!({ "command": command })).as_bytes()).unwrap();
        answer(stream)
    }

    /// The name that a daemon reports over its local socket.
    pub fn local_name(&self, n: usize) -> String {
        let mut stream = UnixStream::connect(self.control(n)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(b"\"whoami\"\n").unwrap();
        answer(stream)["whoami"]["name"].as_str().unwrap_or("").to_owned()
    }

    pub fn state(&self, n: usize) -> serde_json::Value {
        daemon_states(&self.run_tool(&["state"]).1)[n].clone()
    }

    pub fn end(self) {
        self.daemons.into_iter().for_each(Proxy::end);
        std::fs::remove_dir_all(&self.folder).unwrap();
    }
}

/// Counts the daemons with this outcome in a report of the fleet tool.
pub fn count_outcomes(report: &serde_json::Value, outcome: &str) -> usize {
    let daemons = report["daemons"].as_array().map(Vec::as_slice).unwrap_or_default();
    daemons.iter().filter(|d| d["outcome"] == outcome).count()
}

/// Returns the state of each daemon from the output of the tool's command `state`.
pub fn daemon_states(value: &serde_json::Value) -> Vec<serde_json::Value> {
    value.as_array().unwrap().iter().map(|d| d["state"].clone()).collect()
}
