//! Scripts in Starlark: a file calls one function for each section of what it describes, and every call is
//! kept with the place it was made at, so that a fault found later is told with file and line.
//!
//! A script has no clock, no network and no files but `load` of its own folder; its steps and memory are
//! bounded. What the sections mean is the business of those who read them ([`Call::read`]).

mod span;

use serde::de::DeserializeOwned;
pub use span::Span;
use starlark::collections::SmallMap;
use starlark::environment::{FrozenModule, Globals, GlobalsBuilder, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Function calls and loop rounds a script may take.
const TICKS_MOST: u64 = 2_000_000;
/// Bytes a script may hold.
const HEAP_MOST: usize = 16 << 20;
/// Files loaded by files loaded ...
const LOADS_DEEP: usize = 8;
const FILE_MOST: u64 = 1 << 20;

/// Why a script was refused: file, line and reason in one text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault(pub String);

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

/// A section and where the script called it.
#[derive(Clone, Debug)]
pub struct Placed<T> {
    /// File and line.
    pub at: String,
    /// The section.
    pub is: T,
}

impl<T> Placed<T> {
    /// A fault at this place.
    pub fn fault<R>(&self, reason: impl std::fmt::Display) -> Result<R, Fault> {
        Err(Fault(format!("{}: {reason}", self.at)))
    }
}

/// One call of a section's function.
#[derive(Clone, Debug)]
pub struct Call {
    /// The function.
    pub function: &'static str,
    /// File and line.
    pub at: String,
    /// Its arguments.
    pub args: serde_json::Map<String, serde_json::Value>,
}

impl Call {
    /// Reads the arguments into the section's type.
    pub fn read<T: DeserializeOwned>(self) -> Result<Placed<T>, Fault> {
        let is = serde_path_to_error::deserialize(serde_json::Value::Object(self.args))
            .map_err(|e| Fault(format!("{}: {}: {e}", self.at, self.function)))?;
        Ok(Placed { at: self.at, is })
    }
}

/// The one call of a section that may be called once only.
pub fn one<'a, T>(section: &str, calls: &'a [Placed<T>]) -> Result<Option<&'a Placed<T>>, Fault> {
    match calls {
        [] => Ok(None),
        [only] => Ok(Some(only)),
        [first, second, ..] => second.fault(format!("{section}: called before, at {}", first.at)),
    }
}

/// The one call of a section that must be called once.
pub fn needed<'a, T>(script: &str, section: &str, calls: &'a [Placed<T>]) -> Result<&'a Placed<T>, Fault> {
    one(section, calls)?.ok_or_else(|| Fault(format!("{script}: no {section}(...)")))
}

#[derive(Default)]
struct Store {
    calls: Vec<Call>,
    options: BTreeMap<String, String>,
    asked: Vec<String>,
}

thread_local! {
    /// What the script under evaluation on this thread has called so far. The evaluator's own place for
    /// such a thing (`extra`) takes only types with an `unsafe` trait, which this project forbids.
    static STORE: RefCell<Store> = RefCell::default();
}

/// Keeps a call; what [`functions!`] makes of each name.
pub fn keep<'v>(
    eval: &Evaluator<'v, '_, '_>,
    function: &'static str,
    args: SmallMap<String, Value<'v>>,
) -> anyhow::Result<NoneType> {
    let mut object = serde_json::Map::new();
    for (name, value) in args {
        object.insert(name, value.to_json_value()?);
    }
    let at = eval.call_stack_top_location().map_or_else(
        || "script".to_owned(),
        |span| {
            let place = span.resolve();
            format!("{}:{}", place.file, place.span.begin.line + 1)
        },
    );
    STORE.with_borrow_mut(|store| store.calls.push(Call { function, at, args: object }));
    Ok(NoneType)
}

/// Makes a function `$register` that gives a script these section functions; for [`evaluate`]. Who uses it
/// depends on `starlark` and `anyhow`, which its expansion names.
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
                $crate::keep(eval, stringify!($name), args)
            })*
        }
    };
}

#[starlark_module]
fn common(globals: &mut GlobalsBuilder) {
    /// The value given on the command line (`--set name=value`), else the default, which also says
    /// whether a number or a text is wanted.
    fn option<'v>(
        #[starlark(require = pos)] name: &str,
        #[starlark(require = pos)] default: Value<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let given = STORE.with_borrow_mut(|store| {
            store.asked.push(name.to_owned());
            store.options.get(name).cloned()
        });
        let Some(text) = given else { return Ok(default) };
        if default.unpack_str().is_some() {
            return Ok(eval.heap().alloc(text));
        }
        if default.unpack_bool().is_some() {
            return match text.as_str() {
                "true" => Ok(Value::new_bool(true)),
                "false" => Ok(Value::new_bool(false)),
                _ => Err(anyhow::anyhow!("option {name}: {text:?} is neither true nor false")),
            };
        }
        let number =
            text.parse::<i32>().map_err(|_| anyhow::anyhow!("option {name}: {text:?} is no number"))?;
        Ok(eval.heap().alloc(number))
    }
}
struct Loader<'a> {
    folder: Option<PathBuf>,
    globals: &'a Globals,
    depth: usize,
}

impl FileLoader for Loader<'_> {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        let refuse = |why: &str| Err(starlark::Error::new_other(anyhow::anyhow!("load({path:?}): {why}")));
        let plain = !path.is_empty() && !path.starts_with('.') && !path.contains(['/', '\\', '\0']);
        let (Some(folder), true) = (&self.folder, plain) else {
            return refuse("only plain names of files in the script's own folder");
        };
        if self.depth >= LOADS_DEEP {
            return refuse("loaded too deep, or in a circle");
        }
        let text = match read_bounded(&folder.join(path)) {
            Ok(text) => text,
            Err(why) => return refuse(&why),
        };
        let ast = AstModule::parse(path, text, &Dialect::Extended)?;
        let deeper = Loader { folder: self.folder.clone(), globals: self.globals, depth: self.depth + 1 };
        Module::with_temp_heap(|module| {
            {
                let mut eval = Evaluator::new(&module);
                bound(&mut eval)?;
                eval.set_loader(&deeper);
                eval.eval_module(ast, self.globals)?;
            }
            module.freeze().map_err(|e| starlark::Error::new_other(anyhow::anyhow!("{e:?}")))
        })
    }
}

fn bound(eval: &mut Evaluator<'_, '_, '_>) -> starlark::Result<()> {
    eval.set_max_tick_count(TICKS_MOST).map_err(starlark::Error::new_other)?;
    eval.set_max_heap_size(HEAP_MOST).map_err(starlark::Error::new_other)?;
    eval.set_max_callstack_size(200).map_err(starlark::Error::new_other)
}

fn read_bounded(path: &Path) -> Result<String, String> {
    let meta = std::fs::metadata(path).map_err(|e| e.to_string())?;
    if !meta.is_file() || meta.len() > FILE_MOST {
        return Err("not a file, or over 1 MiB".into());
    }
    std::fs::read_to_string(path).map_err(|e| e.to_string())
}

/// Evaluates a file: the calls it made, in order. `options` are what `option(...)` gives.
pub fn evaluate_file(
    path: &Path,
    options: &[(String, String)],
    functions: fn(&mut GlobalsBuilder),
) -> Result<Vec<Call>, Fault> {
    let text = read_bounded(path).map_err(|e| Fault(format!("{}: {e}", path.display())))?;
    let folder = path.parent().map(|p| if p.as_os_str().is_empty() { PathBuf::from(".") } else { p.into() });
    evaluate(&path.display().to_string(), text, folder, options, functions)
}

/// Evaluates a text; without a folder it can load no files.
pub fn evaluate(
    name: &str,
    text: String,
    folder: Option<PathBuf>,
    options: &[(String, String)],
    functions: fn(&mut GlobalsBuilder),
) -> Result<Vec<Call>, Fault> {
    let globals = GlobalsBuilder::standard().with(common).with(functions).build();
    STORE.set(Store { options: options.iter().cloned().collect(), ..Store::default() });
    let loader = Loader { folder, globals: &globals, depth: 0 };
    let evaluated: starlark::Result<()> = AstModule::parse(name, text, &Dialect::Extended).and_then(|ast| {
        Module::with_temp_heap(|module| {
            let mut eval = Evaluator::new(&module);
            bound(&mut eval)?;
            eval.set_loader(&loader);
            eval.eval_module(ast, &globals).map(|_| ())
        })
    });
    let store = STORE.take();
    evaluated.map_err(|e| {
        let reason = e.without_diagnostic().to_string();
        Fault(match e.span() {
            Some(span) => {
                let place = span.resolve();
                format!("{}:{}: {reason}", place.file, place.span.begin.line + 1)
            }
            None => format!("{name}: {reason}"),
        })
    })?;
    if let Some((unknown, _)) = options.iter().find(|(name, _)| !store.asked.contains(name)) {
        return Err(Fault(format!("{name}: asks for no option {unknown:?}")));
    }
    Ok(store.calls)
}
