//! Local daemons with a fleet file, and the tool over them.

use super::{PROGRAM, Proxy, start_over, world};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::time::Duration;

/// One line from a daemon.
pub fn answer(stream: UnixStream) -> serde_json::Value {
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap_or(serde_json::Value::Null)
}

/// Starts a process that takes over from a fleet's first daemon.
pub fn take_over(name: &str) -> Child {
    let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-0.star"));
    let mut command = Command::new(PROGRAM);
    command.args(["serve", "--takeover", "--log", "warn", "--settings"]).arg(settings);
    command.spawn().unwrap()
}

pub struct Fleet {
    pub folder: PathBuf,
    pub daemons: Vec<Proxy>,
    pub world: std::net::SocketAddr,
}

pub fn more(folder: &Path, n: usize) -> String {
    let folder = folder.join(n.to_string());
    std::fs::create_dir_all(&folder).unwrap();
    format!(", state_dir = \"{0}\", control = \"{0}/control\"", folder.display())
}

impl Fleet {
    pub fn start(name: &str, count: usize) -> Fleet {
        Fleet::start_with(name, "", count)
    }

    /// The same; `launch` is shell before each daemon's program.
    pub fn start_with(name: &str, launch: &str, count: usize) -> Fleet {
        Fleet::start_more(name, launch, count, "")
    }

    /// The same; `extra` goes on in the settings where `fleet(...)` would close.
    pub fn start_more(name: &str, launch: &str, count: usize, extra: &str) -> Fleet {
        // Control sockets have short paths by nature: 108 bytes at most.
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

    pub fn tool(&self, args: &[&str]) -> (i32, serde_json::Value, String) {
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

    pub fn restart(&mut self, name: &str, n: usize) {
        self.daemons[n].child.kill().unwrap();
        self.daemons[n].child.wait().unwrap();
        self.daemons[n] = start_over(self.world, &format!("{name}-{n}"), "", &more(&self.folder, n));
    }

    pub fn control(&self, n: usize) -> PathBuf {
        self.folder.join(format!("{n}/control"))
    }

    /// Sends a command as it is, past the tool; the daemon's answer.
    pub fn raw(&self, n: usize, command: &serde_json::Value) -> serde_json::Value {
        let mut stream = UnixStream::connect(self.control(n)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(format!("{}\n", serde_json::json!({ "command": command })).as_bytes()).unwrap();
        answer(stream)
    }

    /// The name that a daemon gives over its local socket.
    pub fn state_local(&self, n: usize) -> String {
        let mut stream = UnixStream::connect(self.control(n)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(b"\"whoami\"\n").unwrap();
        answer(stream)["whoami"]["name"].as_str().unwrap_or("").to_owned()
    }

    pub fn state(&self, n: usize) -> serde_json::Value {
        states(&self.tool(&["state"]).1)[n].clone()
    }

    pub fn end(self) {
        self.daemons.into_iter().for_each(Proxy::end);
        std::fs::remove_dir_all(&self.folder).unwrap();
    }
}

pub fn count(told: &serde_json::Value, outcome: &str) -> usize {
    let daemons = told["daemons"].as_array().map(Vec::as_slice).unwrap_or_default();
    daemons.iter().filter(|d| d["outcome"] == outcome).count()
}

pub fn states(value: &serde_json::Value) -> Vec<serde_json::Value> {
    value.as_array().unwrap().iter().map(|d| d["state"].clone()).collect()
}
