//! Records the section calls of the script that is being evaluated, and provides its options.

use crate::call::Call;
use crate::error::OptionError;
use crate::evaluate::file_and_line;
use starlark::collections::SmallMap;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::Value;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// The state of one evaluation: the calls and option reads so far, and the options that the caller set.
#[derive(Default)]
struct Recorder {
    calls: Vec<Call>,
    options: BTreeMap<String, String>,
    requested_options: BTreeSet<String>,
}

/// The calls and option reads of a script that was evaluated.
pub(crate) struct Recording {
    /// The calls of section functions, in order.
    pub calls: Vec<Call>,
    /// The names of the options that the script read.
    pub requested_options: BTreeSet<String>,
}

thread_local! {
    /// The recorder of the script that is being evaluated on this thread. It is not stored in
    /// `Evaluator::extra`, because that field only accepts types that implement an `unsafe` trait, and this
    /// project forbids unsafe code.
    static RECORDER: RefCell<Recorder> = RefCell::default();
}

/// Starts a recording on this thread and discards an unfinished one.
pub(crate) fn start(options: &[(String, String)]) {
    RECORDER.set(Recorder { options: options.iter().cloned().collect(), ..Recorder::default() });
}

/// Ends the recording of this thread and returns it.
pub(crate) fn finish() -> Recording {
    let Recorder { calls, requested_options, .. } = RECORDER.take();
    Recording { calls, requested_options }
}

/// Records a call of a section function. The functions that [`functions!`](crate::functions) defines call
/// this.
///
/// # Errors
///
/// Returns an error if an argument cannot be converted to JSON.
pub fn record_call<'v>(
    eval: &Evaluator<'v, '_, '_>,
    function: &'static str,
    args: SmallMap<String, Value<'v>>,
) -> anyhow::Result<NoneType> {
    let mut arguments = serde_json::Map::new();
    for (name, value) in args {
        arguments.insert(name, value.to_json_value()?);
    }
    let location = match eval.call_stack_top_location() {
        Some(span) => file_and_line(&span),
        None => "script".to_owned(),
    };
    let call = Call { function, location, arguments };
    RECORDER.with_borrow_mut(|recorder| recorder.calls.push(call));
    Ok(NoneType)
}

/// Defines a function `$register` that adds the named section functions to a script's globals, for use with
/// [`evaluate`](crate::evaluate()). A package that uses this macro must depend on `starlark` and `anyhow`,
/// because the expansion refers to them.
#[macro_export]
macro_rules! functions {
    ($register:ident: $($name:ident),* $(,)?) => {
        #[starlark::starlark_module]
        fn $register(globals: &mut starlark::environment::GlobalsBuilder) {
            $(fn $name<'v>(
                #[starlark(kwargs)] args: starlark::collections::SmallMap<
                    String,
                    starlark::values::Value<'v>,
                >,
                eval: &mut starlark::eval::Evaluator<'v, '_, '_>,
            ) -> anyhow::Result<starlark::values::none::NoneType> {
                $crate::record_call(eval, stringify!($name), args)
            })*
        }
    };
}

/// Records that the script reads an option, and returns its value if the caller set one.
fn request_option(name: &str) -> Option<String> {
    RECORDER.with_borrow_mut(|recorder| {
        recorder.requested_options.insert(name.to_owned());
        recorder.options.get(name).cloned()
    })
}

/// Adds the functions that are available to every script.
#[starlark_module]
pub(crate) fn common_functions(globals: &mut GlobalsBuilder) {
    /// Returns the value that was set on the command line (`--set name=value`), or else the default. The type
    /// of the default determines whether the value is read as a string, a boolean or a number.
    fn option<'v>(
        #[starlark(require = pos)] name: &str,
        #[starlark(require = pos)] default: Value<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let Some(value) = request_option(name) else { return Ok(default) };
        if default.unpack_str().is_some() {
            return Ok(eval.heap().alloc(value));
        }
        let name = name.to_owned();
        if default.unpack_bool().is_some() {
            return match value.as_str() {
                "true" => Ok(Value::new_bool(true)),
                "false" => Ok(Value::new_bool(false)),
                _ => Err(OptionError::NotABool { name, value }.into()),
            };
        }
        match value.parse::<i32>() {
            Ok(number) => Ok(eval.heap().alloc(number)),
            Err(_) => Err(OptionError::NotANumber { name, value }.into()),
        }
    }
}
