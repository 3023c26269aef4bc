//! Helpers shared by the tests that run a subscriber.

use violetseam_distribution::subscriber::{Effect, InvalidProposal, Proposal, Subscriber};
use violetseam_distribution::{Change, Configuration, Message, Micros, Resource};

pub const SECOND: Micros = 1_000_000;

/// A request class that the subscribers in these tests do not know, so that they reject routes to it.
pub const UNKNOWN_CLASS: &str = "unknown";

/// The validator of these tests: it rejects every proposal with a route to [`UNKNOWN_CLASS`].
pub fn validate(proposal: Proposal<'_>) -> Result<(), InvalidProposal> {
    let is_unknown = |class: &str| class == UNKNOWN_CLASS;
    let is_invalid = match proposal {
        Proposal::Changes(changes) => changes.iter().any(
            |change| matches!(change, Change::Put(Resource::Route(route)) if is_unknown(&route.value.class)),
        ),
        Proposal::Replacement(configuration) => {
            configuration.routes().any(|(_, value)| is_unknown(&value.class))
        }
    };
    if is_invalid { Err(InvalidProposal::new(format!("no class {UNKNOWN_CLASS:?}"))) } else { Ok(()) }
}

/// Passes a message to the subscriber together with the validator of these tests.
pub fn receive(subscriber: &mut Subscriber, now: Micros, message: Message) -> Vec<Effect> {
    subscriber.on_message(now, message, &mut validate)
}

/// Stands for the driver of a subscriber: it applies the subscriber's effects to its own copy of the
/// configuration.
#[derive(Debug, Default)]
pub struct TestDriver {
    pub configuration: Option<Configuration>,
}

impl TestDriver {
    /// Applies the effects of one message in order. Reports and the closing of the watch are left to the
    /// caller.
    pub fn apply_effects(&mut self, subscriber: &Subscriber, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::Apply { version, changes } => {
                    let current = self.configuration.as_mut().expect("changes need a configuration");
                    let digest = current.validate_changes(*version, changes).expect("changes are valid");
                    let delta = violetseam_distribution::Delta {
                        base: current.version(),
                        version: *version,
                        changes: changes.clone(),
                        digest,
                    };
                    current.apply(&delta).expect("changes apply");
                }
                Effect::Replace { version } => {
                    self.configuration = subscriber.configuration().cloned();
                    assert_eq!(self.configuration.as_ref().map(Configuration::version), Some(*version));
                }
                Effect::Report(_) | Effect::CloseWatch => {}
            }
        }
    }
}
