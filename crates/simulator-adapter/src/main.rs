//! Reads batches from standard input and writes their replies to standard output, until the input ends.

use std::io::{self, BufReader, BufWriter, ErrorKind, Read, Write};
use std::process::ExitCode;
use violetseam_simulator_adapter::host::Host;
use violetseam_simulator_adapter::reader::WireError;

/// Why the adapter stops before its input ends.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// The input ends within the length field of a frame.
    #[error("standard input ends within the length field of a frame")]
    TruncatedLength,
    /// The input ends within the body of a frame.
    #[error("standard input ends within a frame: got {received} of {length} bytes")]
    TruncatedFrame {
        /// The number of bytes read.
        received: usize,
        /// The number of bytes that the length field states.
        length: usize,
    },
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write to standard output: {0}")]
    Write(#[source] io::Error),
    /// A batch cannot be processed.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Reads the length field of a frame; `None` if the input ends between two frames.
fn read_frame_length(input: &mut impl Read) -> Result<Option<usize>, AdapterError> {
    let mut length = [0; 4];
    let mut filled = 0;
    while filled < 4 {
        match input.read(&mut length[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::TruncatedLength),
            Ok(count) => filled += count,
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
    while let Some(length) = read_frame_length(&mut input)? {
        body.clear();
        input.by_ref().take(length as u64).read_to_end(&mut body).map_err(AdapterError::Read)?;
        if body.len() < length {
            return Err(AdapterError::TruncatedFrame { received: body.len(), length });
        }
        let reply = host.process_batch(&body)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic of the decision module is reported on the wire, so one line replaces the default panic output.
    std::panic::set_hook(Box::new(|info| eprintln!("violetseam-simulator-adapter: {info}")));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("violetseam-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
