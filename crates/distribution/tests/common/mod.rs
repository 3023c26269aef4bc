//! What the tests of subscribers share.

use violetseam_distribution::subscriber::{Effect, InvalidProposal, Proposal, Subscriber};
use violetseam_distribution::{Change, Configuration, Message, Micros, Resource};

pub const SECOND: Micros = 1_000_000;

/// The class that subscribers of these tests do not know.
pub const UNKNOWN_CLASS: &str = "unknown";

/// The check of meaning that these tests use: no route to [`UNKNOWN_CLASS`].
pub fn validate(proposal: Proposal<'_>) -> Result<(), InvalidProposal> {
    let is_unknown = |class: &str| class == UNKNOWN_CLASS;
    let refused = match proposal {
        Proposal::Changes(changes) => changes.iter().any(
            |change| matches!(change, Change::Put(Resource::Route(route)) if is_unknown(&route.value.class)),
        ),
        Proposal::Replacement(configuration) => {
            configuration.routes().any(|(_, value)| is_unknown(&value.class))
        }
    };
    if refused { Err(InvalidProposal::new(format!("no class {UNKNOWN_CLASS:?}"))) } else { Ok(()) }
}

/// Hands a message over with the check of these tests.
pub fn receive(subscriber: &mut Subscriber, now: Micros, message: Message) -> Vec<Effect> {
    subscriber.on_message(now, message, &mut validate)
}

/// Puts effects in force as a driver does: on a configuration of its own.
#[derive(Debug, Default)]
pub struct InForce {
    pub configuration: Option<Configuration>,
}

impl InForce {
    /// Takes the effects of one message, in their order.
    pub fn take(&mut self, subscriber: &Subscriber, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::Apply { version, changes } => {
                    let held = self.configuration.as_mut().expect("changes go onto something");
                    let digest = held.validate_changes(*version, changes).expect("changes check");
                    let delta = violetseam_distribution::Delta {
                        base: held.version(),
                        version: *version,
                        changes: changes.clone(),
                        digest,
                    };
                    held.apply(&delta).expect("changes apply");
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
