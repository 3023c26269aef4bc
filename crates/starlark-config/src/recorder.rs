//! Records the calls of the script that is being evaluated, and gives it its options.

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

/// What a script has done so far, and the options that it was given.
#[derive(Default)]
struct Recorder {
    calls: Vec<Call>,
    options: BTreeMap<String, String>,
    requested_options: BTreeSet<String>,
}

/// What an evaluated script did.
pub(crate) struct Recording {
    /// The calls of section functions, in order.
    pub calls: Vec<Call>,
    /// The names of the options that it read.
    pub requested_options: BTreeSet<String>,
}

thread_local! {
    /// Of the script under evaluation on this thread. The evaluator's own place for such state (`extra`)
    /// takes only types with an `unsafe` trait, which this project forbids.
    static RECORDER: RefCell<Recorder> = RefCell::default();
}

/// Starts a recording on this thread; drops an earlier one.
pub(crate) fn start(options: &[(String, String)]) {
    RECORDER.set(Recorder { options: options.iter().cloned().collect(), ..Recorder::default() });
}

/// Ends this thread's recording.
pub(crate) fn finish() -> Recording {
    let Recorder { calls, requested_options, .. } = RECORDER.take();
    Recording { calls, requested_options }
}

/// Records a call; each function that [`functions!`](crate::functions) makes calls this.
///
/// # Errors
///
/// If an argument cannot be expressed as JSON.
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

/// Defines a function `$register` that gives a script these section functions; for
/// [`evaluate`](crate::evaluate()). The package that uses it depends on `starlark` and `anyhow`, which the
/// expansion names.
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

/// Notes that the script reads an option: the value given, if any.
fn request_option(name: &str) -> Option<String> {
    RECORDER.with_borrow_mut(|recorder| {
        recorder.requested_options.insert(name.to_owned());
        recorder.options.get(name).cloned()
    })
}

/// The functions that every script has.
#[starlark_module]
pub(crate) fn common_functions(globals: &mut GlobalsBuilder) {
    /// The value given on the command line (`--set name=value`), else the default, which also determines
    /// whether a text, a boolean or a number is expected.
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
