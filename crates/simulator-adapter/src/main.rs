//! Reads batches on standard input, writes replies on standard output, until the input ends.

use std::io::{self, BufReader, BufWriter, ErrorKind, Read, Write};
use std::process::ExitCode;
use violetseam_simulator_adapter::host::Host;
use violetseam_simulator_adapter::reader::WireError;

/// Why the adapter ends before its input does.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// The input ends within a frame's length.
    #[error("input ends inside a frame's length")]
    LengthCutShort,
    /// The input ends within a frame.
    #[error("frame cut short: {have} of {length} bytes")]
    FrameCutShort {
        /// Bytes read.
        have: usize,
        /// Bytes announced.
        length: usize,
    },
    /// The input cannot be read.
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    /// The output cannot be written.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    /// A batch cannot be played.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Reads a frame's length; `None` where the input ends between two frames.
fn frame_length(input: &mut impl Read) -> Result<Option<usize>, AdapterError> {
    let mut length = [0; 4];
    let mut have = 0;
    while have < 4 {
        match input.read(&mut length[have..]) {
            Ok(0) if have == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::LengthCutShort),
            Ok(count) => have += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::Read(error)),
        }
    }
    Ok(Some(u32::from_le_bytes(length) as usize))
}

fn serve() -> Result<(), AdapterError> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut body = Vec::new();
    while let Some(length) = frame_length(&mut input)? {
        body.clear();
        input.by_ref().take(length as u64).read_to_end(&mut body).map_err(AdapterError::Read)?;
        if body.len() < length {
            return Err(AdapterError::FrameCutShort { have: body.len(), length });
        }
        let reply = host.batch(&body)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A failure of decision code is told on the wire, so the default trace is not wanted as well.
    std::panic::set_hook(Box::new(|info| eprintln!("violetseam-simulator-adapter: {info}")));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("violetseam-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
