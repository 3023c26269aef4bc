//! Stubs of discovery and of the release service, whose responses never change, and the settings of proxies
//! that use them.

use super::MeasurementError;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

/// The status of a release that has ended.
const RELEASE_STATUS: &str = r#"{"build":1,"stage":0,"phase":"released","cap":1.0}"#;
/// Prefix of the paths of discovery.
const DISCOVERY_PATH: &str = "/v1/roster";

/// Starts a thread that serves as discovery, which lists the given servers, and as release service, whose
/// status never changes. Returns the address of both.
pub(super) fn start(servers: &[SocketAddr]) -> Result<SocketAddr, MeasurementError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .map_err(MeasurementError::io("listening as the stub of discovery and release service"))?;
    let address = listener
        .local_addr()
        .map_err(MeasurementError::io("listening as the stub of discovery and release service"))?;
    let list = endpoint_list(servers);
    std::thread::spawn(move || serve(&listener, &list));
    Ok(address)
}

fn endpoint_list(servers: &[SocketAddr]) -> String {
    let endpoint = |(index, address): (usize, &SocketAddr)| {
        format!(r#"{{"id":{},"addr":"{address}","build":1,"state":"ready"}}"#, index + 1)
    };
    let endpoints: Vec<String> = servers.iter().enumerate().map(endpoint).collect();
    format!(r#"{{"kind":"full","version":1,"servers":[{}]}}"#, endpoints.join(","))
}

/// Responds to each watch with its first line and keeps the connection open, as a watch requires.
fn serve(listener: &TcpListener, list: &str) {
    let mut watches = Vec::new();
    for mut stream in listener.incoming().flatten() {
        if answer(&mut stream, list).is_ok() {
            watches.push(stream);
        }
    }
}

fn answer(stream: &mut TcpStream, list: &str) -> std::io::Result<()> {
    let mut request_line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut request_line)?;
    let line = if request_line.contains(DISCOVERY_PATH) { list } else { RELEASE_STATUS };
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

/// Returns the settings of a proxy that uses the stubs; `fleet_options` are inserted into `fleet(...)`.
pub(super) fn proxy_script(site: SocketAddr, fleet_options: &str, deadline: &str) -> String {
    format!(
        "fleet(name = \"measure\", size = 1, position = 0, {fleet_options})\n\
         listen(addr = \"127.0.0.1:0\")\n\
         roster(addr = \"{site}\")\ndesk(addr = \"{site}\")\n\
         request_class(name = \"read\", aim = \"{deadline}\", deadline = \"{deadline}\", \
         effect = \"retryable\")\n\
         route(prefix = \"/\", to = \"read\")\n\
         rollout(stage_caps = [1.0], counted_over = \"2s\", vote_ttl = \"4s\")\n\
         contract(ask_within = \"1h\", cold_from = 0.5, cold_span = \"1s\", drain_grace = \"1s\", \
         fall_multiple = 3.0, fall_span = \"1s\")\n"
    )
}
