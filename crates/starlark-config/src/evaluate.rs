//! Evaluates scripts within resource limits.

use crate::call::Call;
use crate::error::{LoadError, ReadFileError, ScriptError};
use crate::recorder;
use starlark::codemap::FileSpan;
use starlark::environment::{FrozenModule, Globals, GlobalsBuilder, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::syntax::{AstModule, Dialect};
use std::path::{Path, PathBuf};

/// Maximum number of function calls and loop iterations of a script.
const MAX_TICKS: u64 = 2_000_000;
/// Maximum size of the interpreter's heap.
const MAX_HEAP_BYTES: usize = 16 << 20;
/// Maximum depth of nested function calls.
const MAX_CALL_DEPTH: usize = 200;
/// Maximum depth of nested `load(...)` statements.
const MAX_LOAD_DEPTH: usize = 8;
/// Maximum size of a script file.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Evaluates a script file and returns the section calls that it made, in order. `options` are the names and
/// values that `option(...)` returns to the script. `register_functions` adds the section functions.
///
/// # Errors
///
/// [`ScriptError::Read`] if the file cannot be read, and the errors of [`evaluate`].
pub fn evaluate_file(
    path: &Path,
    options: &[(String, String)],
    register_functions: fn(&mut GlobalsBuilder),
) -> Result<Vec<Call>, ScriptError> {
    let text = match read_bounded(path) {
        Ok(text) => text,
        Err(source) => return Err(ScriptError::Read { path: path.to_owned(), source }),
    };
    let folder = path.parent().map(folder_or_current);
    evaluate(&path.display().to_string(), text, folder, options, register_functions)
}

/// Replaces the empty path, which `Path::parent` returns for a plain file name, by the working directory `.`.
fn folder_or_current(folder: &Path) -> PathBuf {
    if folder.as_os_str().is_empty() { PathBuf::from(".") } else { folder.to_owned() }
}

/// Evaluates a script given as text and returns the section calls that it made, in order. `name` takes the
/// place of the file name in errors. The script can load files from `folder`, and none if `folder` is `None`.
/// `options` and `register_functions` are those of [`evaluate_file`].
///
/// # Errors
///
/// [`ScriptError::Evaluation`] if the script has a syntax error, fails or exceeds a resource limit, and
/// [`ScriptError::UnknownOption`] if the script does not read one of the options.
pub fn evaluate(
    name: &str,
    text: String,
    folder: Option<PathBuf>,
    options: &[(String, String)],
    register_functions: fn(&mut GlobalsBuilder),
) -> Result<Vec<Call>, ScriptError> {
    let globals =
        GlobalsBuilder::standard().with(recorder::common_functions).with(register_functions).build();
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
    let loader = Loader { folder, globals, load_depth: 0 };
    Module::with_temp_heap(|module| {
        let mut evaluator = Evaluator::new(&module);
        set_limits(&mut evaluator)?;
        evaluator.set_loader(&loader);
        evaluator.eval_module(ast, globals)?;
        Ok(())
    })
}

fn evaluation_error(script_name: &str, error: starlark::Error) -> ScriptError {
    let reason = error.without_diagnostic().to_string();
    let location = match error.span() {
        Some(span) => file_and_line(span),
        None => script_name.to_owned(),
    };
    ScriptError::Evaluation { location, reason }
}

/// Formats the location of a span of a script as `FILE:LINE`. Line numbers start at 1.
pub(crate) fn file_and_line(span: &FileSpan) -> String {
    let resolved = span.resolve();
    format!("{}:{}", resolved.file, resolved.span.begin.line + 1)
}

/// Resolves `load(...)` statements with files from the script's folder.
struct Loader<'a> {
    /// `None` if the script must not load files.
    folder: Option<PathBuf>,
    globals: &'a Globals,
    /// Number of enclosing `load(...)` statements that are being resolved.
    load_depth: usize,
}

impl Loader<'_> {
    /// Reads a file from the script's folder. The name must not contain a path separator or start with a dot,
    /// so that a script cannot read files elsewhere.
    fn read(&self, file: &str) -> Result<String, LoadError> {
        let is_plain_name = !file.is_empty() && !file.starts_with('.') && !file.contains(['/', '\\', '\0']);
        let Some(folder) = self.folder.as_ref().filter(|_| is_plain_name) else {
            return Err(LoadError::OutsideFolder { file: file.to_owned() });
        };
        if self.load_depth >= MAX_LOAD_DEPTH {
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
        let nested_loader =
            Loader { folder: self.folder.clone(), globals: self.globals, load_depth: self.load_depth + 1 };
        Module::with_temp_heap(|module| {
            {
                let mut evaluator = Evaluator::new(&module);
                set_limits(&mut evaluator)?;
                evaluator.set_loader(&nested_loader);
                evaluator.eval_module(ast, self.globals)?;
            }
            module.freeze().map_err(|error| starlark::Error::new_other(anyhow::anyhow!("{error:?}")))
        })
    }
}

fn set_limits(evaluator: &mut Evaluator<'_, '_, '_>) -> starlark::Result<()> {
    evaluator.set_max_tick_count(MAX_TICKS).map_err(starlark::Error::new_other)?;
    evaluator.set_max_heap_size(MAX_HEAP_BYTES).map_err(starlark::Error::new_other)?;
    evaluator.set_max_callstack_size(MAX_CALL_DEPTH).map_err(starlark::Error::new_other)
}

/// Reads a regular file of at most [`MAX_FILE_BYTES`].
fn read_bounded(path: &Path) -> Result<String, ReadFileError> {
    let metadata = std::fs::metadata(path)?;
    if !metadata.is_file() || metadata.len() > MAX_FILE_BYTES {
        return Err(ReadFileError::NotARegularFileOrTooLarge);
    }
    Ok(std::fs::read_to_string(path)?)
}
