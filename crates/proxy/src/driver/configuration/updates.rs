//! The publisher's messages, and the effects that the subscriber derives from them.

use super::super::Proxy;
use super::{ExchangeId, ExchangePurpose, Subscription};
use violetseam_distribution::subscriber::{Effect, InvalidProposal};
use violetseam_distribution::{Change, Message, Report, Version};

impl Proxy {
    /// Processes the lines of the watch that were received completely.
    pub(super) fn process_publisher_lines(&mut self, watch: ExchangeId) {
        let now = self.now();
        while let Some(subscription) = &mut self.subscription {
            let Some(exchange) = subscription.exchange_by_id(watch) else { return };
            let message = match exchange.line_reader.next_line() {
                Ok(None) => return,
                Ok(Some([])) => continue,
                Ok(Some(line)) => Message::parse(line),
                Err(_) => return self.end_exchange(ExchangePurpose::Watch),
            };
            let Subscription { subscriber, routes, .. } = &mut **subscription;
            let effects = match message {
                Ok(message) => subscriber.on_message(now, message, &mut |proposal| {
                    routes.check(proposal).map_err(InvalidProposal::new)
                }),
                Err(error) => {
                    tracing::warn!("publisher: malformed message: {error}");
                    subscriber.on_malformed(now, &error)
                }
            };
            self.apply_effects(effects);
        }
    }

    /// Performs the subscriber's effects in order.
    pub(super) fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Apply { version, changes } => self.apply_changes(version, changes),
                Effect::Replace { version } => self.replace_configuration(version),
                Effect::Report(report) => {
                    self.log_rejection(&report);
                    if let Some(subscription) = &mut self.subscription {
                        subscription.reports.push(report);
                    }
                }
                Effect::CloseWatch => self.close_exchange(ExchangePurpose::Watch),
            }
        }
    }

    fn apply_changes(&mut self, version: Version, changes: Vec<Change>) {
        let Some(subscription) = &mut self.subscription else { return };
        tracing::debug!(target: "configuration", %version, changes = changes.len(), "changes applied");
        subscription.routes.apply(&changes);
        if let Some(configuration) = subscription.subscriber.configuration() {
            subscription.storage.apply(configuration, changes);
        }
    }

    fn replace_configuration(&mut self, version: Version) {
        let Some(subscription) = &mut self.subscription else { return };
        let Some(configuration) = subscription.subscriber.configuration() else { return };
        let resources = configuration.len();
        tracing::info!(target: "configuration", %version, resources, "snapshot applied");
        subscription.routes.replace(configuration);
        subscription.storage.replace(configuration);
    }

    fn log_rejection(&mut self, report: &Report) {
        let now = self.now();
        if let Report::Reject { version, reason, .. } = report
            && self.log_limit.allows(now)
        {
            tracing::warn!(target: "configuration", %version, "version rejected: {reason}");
        }
    }
}
