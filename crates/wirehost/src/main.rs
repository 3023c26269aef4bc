//! Reads batches on standard input, writes replies on standard output, until the input ends.

use std::io::{self, BufReader, BufWriter, ErrorKind, Read, Write};
use std::process::ExitCode;
use violetseam_wirehost::host::Host;

/// Reads a frame's length; `None` where the input ends between two frames.
fn frame_length(input: &mut impl Read) -> Result<Option<usize>, String> {
    let mut length = [0; 4];
    let mut have = 0;
    while have < 4 {
        match input.read(&mut length[have..]) {
            Ok(0) if have == 0 => return Ok(None),
            Ok(0) => return Err("input ends inside a frame's length".into()),
            Ok(n) => have += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("reading: {e}")),
        }
    }
    Ok(Some(u32::from_le_bytes(length) as usize))
}

fn serve() -> Result<(), String> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut body = Vec::new();
    while let Some(length) = frame_length(&mut input)? {
        body.clear();
        input.by_ref().take(length as u64).read_to_end(&mut body).map_err(|e| format!("reading: {e}"))?;
        if body.len() < length {
            return Err(format!("frame cut short: {} of {length} bytes", body.len()));
        }
        let reply = host.batch(&body)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| format!("writing: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A failure of decision code is told on the wire, so the default trace is not wanted as well.
    std::panic::set_hook(Box::new(|info| eprintln!("violetseam-wirehost: {info}")));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("violetseam-wirehost: {message}");
            ExitCode::FAILURE
        }
    }
}
