//! Evaluates a script: each section function reads its arguments into the section's type at once, so that
//! a fault is reported at the very call.

use crate::check::{self, FleetFile, ProxySettings};
use crate::sections::*;
use serde::de::DeserializeOwned;
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

/// Why settings were refused: file, line and reason in one text.
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
pub(crate) struct Placed<T> {
    pub at: String,
    pub is: T,
}

impl<T> Placed<T> {
    pub fn fault<R>(&self, reason: impl std::fmt::Display) -> Result<R, Fault> {
        Err(Fault(format!("{}: {reason}", self.at)))
    }
}

/// All sections of a script, as called.
#[derive(Debug, Default)]
pub(crate) struct Sections {
    pub fleet: Vec<Placed<Fleet>>,
    pub listen: Vec<Placed<Listen>>,
    pub roster: Vec<Placed<Roster>>,
    pub desk: Vec<Placed<Desk>>,
    pub peers: Vec<Placed<Peers>>,
    pub classes: Vec<Placed<RequestClass>>,
    pub routes: Vec<Placed<RouteTo>>,
    pub tenants: Vec<Placed<Tenant>>,
    pub headers: Vec<Placed<HeaderNames>>,
    pub rollout: Vec<Placed<Rollout>>,
    pub limits: Vec<Placed<Limits>>,
    pub contract: Vec<Placed<Contract>>,
    pub connections: Vec<Placed<ConnectionLimits>>,
    pub members: Vec<Placed<Member>>,
    pub identity: Vec<Placed<Identity>>,
    pub control_tls: Vec<Placed<ControlTls>>,
}

#[derive(Default)]
struct Store {
    sections: Sections,
    options: BTreeMap<String, String>,
    asked: Vec<String>,
}

thread_local! {
    /// What the script under evaluation on this thread has called so far. The evaluator's own place for
    /// such a thing (`extra`) takes only types with an `unsafe` trait, which this project forbids.
    static STORE: RefCell<Store> = RefCell::default();
}

/// Reads one call's arguments and keeps the section.
fn keep<'v, T: DeserializeOwned>(
    eval: &Evaluator<'v, '_, '_>,
    section: &str,
    args: SmallMap<String, Value<'v>>,
    list: impl FnOnce(&mut Sections) -> &mut Vec<Placed<T>>,
) -> anyhow::Result<NoneType> {
    let mut object = serde_json::Map::new();
    for (name, value) in args {
        object.insert(name, value.to_json_value()?);
    }
    let is = serde_path_to_error::deserialize(serde_json::Value::Object(object))
        .map_err(|e| anyhow::anyhow!("{section}: {e}"))?;
    let at = eval.call_stack_top_location().map_or_else(
        || "settings".to_owned(),
        |span| {
            let place = span.resolve();
            format!("{}:{}", place.file, place.span.begin.line + 1)
        },
    );
    STORE.with_borrow_mut(|store| list(&mut store.sections).push(Placed { at, is }));
    Ok(NoneType)
}

#[starlark_module]
fn sections(globals: &mut GlobalsBuilder) {
    fn fleet<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "fleet", args, |s| &mut s.fleet)
    }
    fn listen<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "listen", args, |s| &mut s.listen)
    }
    fn roster<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "roster", args, |s| &mut s.roster)
    }
    fn desk<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "desk", args, |s| &mut s.desk)
    }
    fn peers<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "peers", args, |s| &mut s.peers)
    }
    fn request_class<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "request_class", args, |s| &mut s.classes)
    }
    fn route<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "route", args, |s| &mut s.routes)
    }
    fn tenant<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "tenant", args, |s| &mut s.tenants)
    }
    fn headers<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "headers", args, |s| &mut s.headers)
    }
    fn rollout<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "rollout", args, |s| &mut s.rollout)
    }
    fn limits<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "limits", args, |s| &mut s.limits)
    }
    fn contract<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "contract", args, |s| &mut s.contract)
    }
    fn connections<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "connections", args, |s| &mut s.connections)
    }

    fn member<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "member", args, |s| &mut s.members)
    }
    fn identity<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "identity", args, |s| &mut s.identity)
    }
    fn control_tls<'v>(
        #[starlark(kwargs)] args: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        keep(eval, "control_tls", args, |s| &mut s.control_tls)
    }

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

/// Loads files of the script's own folder, by plain name.
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

/// Reads and checks a settings file. `options` are what `option(...)` gives.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<ProxySettings, Fault> {
    let text = read_bounded(path).map_err(|e| Fault(format!("{}: {e}", path.display())))?;
    let folder = path.parent().map(|p| if p.as_os_str().is_empty() { PathBuf::from(".") } else { p.into() });
    read(&path.display().to_string(), text, folder, options)
}

/// Reads and checks a fleet file: the daemons that it lists and what it speaks to them with.
pub fn read_fleet(path: &Path, options: &[(String, String)]) -> Result<FleetFile, Fault> {
    let text = read_bounded(path).map_err(|e| Fault(format!("{}: {e}", path.display())))?;
    let folder = path.parent().map(|p| if p.as_os_str().is_empty() { PathBuf::from(".") } else { p.into() });
    let name = path.display().to_string();
    check::members(&name, &evaluate(&name, text, folder, options)?)
}

/// Reads and checks settings from a text, which can load no files.
pub fn read_text(name: &str, text: &str, options: &[(String, String)]) -> Result<ProxySettings, Fault> {
    read(name, text.to_owned(), None, options)
}

fn read(
    name: &str,
    text: String,
    folder: Option<PathBuf>,
    options: &[(String, String)],
) -> Result<ProxySettings, Fault> {
    check::check(name, &evaluate(name, text, folder, options)?)
}

fn evaluate(
    name: &str,
    text: String,
    folder: Option<PathBuf>,
    options: &[(String, String)],
) -> Result<Sections, Fault> {
    let globals = GlobalsBuilder::standard().with(sections).build();
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
    Ok(store.sections)
}
