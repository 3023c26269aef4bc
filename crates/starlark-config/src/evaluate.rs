//! Evaluates scripts within bounds.

use crate::call::Call;
use crate::error::{LoadError, ReadFileError, ScriptError};
use crate::recorder;
use starlark::codemap::FileSpan;
use starlark::environment::{FrozenModule, Globals, GlobalsBuilder, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::syntax::{AstModule, Dialect};
use std::path::{Path, PathBuf};

/// The most function calls and loop iterations of a script.
const MAX_TICKS: u64 = 2_000_000;
/// The most bytes of a script's values.
const MAX_HEAP_BYTES: usize = 16 << 20;
/// The deepest nesting of function calls.
const MAX_CALL_DEPTH: usize = 200;
/// The deepest nesting of `load(...)`.
const MAX_LOAD_DEPTH: usize = 8;
/// The most bytes of one file.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Evaluates a file: the calls that it made, in order. `options` are the names and values that `option(...)`
/// returns.
///
/// # Errors
///
/// [`ScriptError::Read`] if the file cannot be read, and those of [`evaluate`].
pub fn evaluate_file(
    path: &Path,
    options: &[(String, String)],
    functions: fn(&mut GlobalsBuilder),
) -> Result<Vec<Call>, ScriptError> {
    let text = match read_bounded(path) {
        Ok(text) => text,
        Err(source) => return Err(ScriptError::Read { path: path.to_owned(), source }),
    };
    let folder = path.parent().map(folder_or_current);
    evaluate(&path.display().to_string(), text, folder, options, functions)
}

/// `Path::parent` gives an empty path for a plain file name, which stands for the working directory.
fn folder_or_current(folder: &Path) -> PathBuf {
    if folder.as_os_str().is_empty() { PathBuf::from(".") } else { folder.to_owned() }
}

/// Evaluates a text: the calls that it made, in order. `name` stands for the file in errors; without a folder
/// the script can load no files.
///
/// # Errors
///
/// [`ScriptError::Evaluation`] if the script does not parse, fails or goes past a bound, and
/// [`ScriptError::UnknownOption`] if it does not read one of the options.
pub fn evaluate(
    name: &str,
    text: String,
    folder: Option<PathBuf>,
    options: &[(String, String)],
    functions: fn(&mut GlobalsBuilder),
) -> Result<Vec<Call>, ScriptError> {
    let globals = GlobalsBuilder::standard().with(recorder::common_functions).with(functions).build();
    recorder::start(options);
    let evaluated = evaluate_module(name, text, folder, &globals);
    let recording = recorder::finish();
    evaluated.map_err(|error| evaluation_error(name, error))?;
    match options.iter().find(|(option, _)| !recording.requested_options.contains(option)) {
        Some((option, _)) => {
            Err(ScriptError::UnknownOption { script: name.to_owned(), option: option.clone() })
        }
        None => Ok(recording.calls),
    }
}

fn evaluate_module(
    name: &str,
    text: String,
    folder: Option<PathBuf>,
    globals: &Globals,
) -> starlark::Result<()> {
    let ast = AstModule::parse(name, text, &Dialect::Extended)?;
    let loader = Loader { folder, globals, depth: 0 };
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        set_limits(&mut eval)?;
        eval.set_loader(&loader);
        eval.eval_module(ast, globals)?;
        Ok(())
    })
}

fn evaluation_error(name: &str, error: starlark::Error) -> ScriptError {
    let reason = error.without_diagnostic().to_string();
    let location = match error.span() {
        Some(span) => file_and_line(span),
        None => name.to_owned(),
    };
    ScriptError::Evaluation { location, reason }
}

/// The location of a piece of a script, as `FILE:LINE`; lines count from 1.
pub(crate) fn file_and_line(span: &FileSpan) -> String {
    let resolved = span.resolve();
    format!("{}:{}", resolved.file, resolved.span.begin.line + 1)
}

/// Loads files from the script's folder.
struct Loader<'a> {
    folder: Option<PathBuf>,
    globals: &'a Globals,
    /// How many files are being loaded already.
    depth: usize,
}

impl Loader<'_> {
    /// Reads a file of the script's folder.
    fn read(&self, file: &str) -> Result<String, LoadError> {
        let is_plain_name = !file.is_empty() && !file.starts_with('.') && !file.contains(['/', '\\', '\0']);
        let Some(folder) = self.folder.as_ref().filter(|_| is_plain_name) else {
            return Err(LoadError::OutsideFolder { file: file.to_owned() });
        };
        if self.depth >= MAX_LOAD_DEPTH {
            return Err(LoadError::TooDeep { file: file.to_owned() });
        }
        read_bounded(&folder.join(file))
            .map_err(|reason| LoadError::Unreadable { file: file.to_owned(), reason })
    }
}

impl FileLoader for Loader<'_> {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        let text = self.read(path).map_err(|error| starlark::Error::new_other(anyhow::Error::from(error)))?;
        let ast = AstModule::parse(path, text, &Dialect::Extended)?;
        let deeper = Loader { folder: self.folder.clone(), globals: self.globals, depth: self.depth + 1 };
        Module::with_temp_heap(|module| {
            {
                let mut eval = Evaluator::new(&module);
                set_limits(&mut eval)?;
                eval.set_loader(&deeper);
                eval.eval_module(ast, self.globals)?;
            }
            module.freeze().map_err(|error| starlark::Error::new_other(anyhow::anyhow!("{error:?}")))
        })
    }
}

fn set_limits(eval: &mut Evaluator<'_, '_, '_>) -> starlark::Result<()> {
    eval.set_max_tick_count(MAX_TICKS).map_err(starlark::Error::new_other)?;
    eval.set_max_heap_size(MAX_HEAP_BYTES).map_err(starlark::Error::new_other)?;
    eval.set_max_callstack_size(MAX_CALL_DEPTH).map_err(starlark::Error::new_other)
}

fn read_bounded(path: &Path) -> Result<String, ReadFileError> {
    let metadata = std::fs::metadata(path)?;
    if !metadata.is_file() || metadata.len() > MAX_FILE_BYTES {
        return Err(ReadFileError::NotASmallFile);
    }
    Ok(std::fs::read_to_string(path)?)
}
