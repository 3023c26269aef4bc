//! Reports to the publisher: acknowledgements and rejections. They are sent one at a time, and each is sent
//! again until the publisher has received it.

use super::super::Proxy;
use super::super::timers::TimerKind;
use super::{ExchangeId, ExchangePurpose};
use violetseam::interface::Micros;
use violetseam_distribution::Report;

/// The path on which the publisher receives acknowledgements and rejections.
const ACKNOWLEDGE_PATH: &str = "/v1/configuration/acknowledge";
/// How long the exchange of a report may take before it has failed.
const REPORT_TIMEOUT: Micros = 3_000_000;
/// How long after a failed report no report is sent.
const REPORT_RETRY_DELAY: Micros = 1_000_000;

/// The reports that have not been received yet: at most the latest acknowledgement and the latest rejection.
#[derive(Default)]
pub(super) struct ReportQueue {
    acknowledgement: Option<Report>,
    rejection: Option<Report>,
    /// The report of the open exchange, which is sent again if the exchange fails.
    in_flight: Option<Report>,
    /// The time before which no report is sent, because an earlier one failed.
    not_before: Micros,
}

impl ReportQueue {
    /// Queues a report. It replaces a queued one of the same kind.
    pub(super) fn push(&mut self, report: Report) {
        let slot = self.slot(&report);
        *slot = Some(report);
    }

    /// Handles that the publisher has received the report in flight.
    pub(super) fn on_received(&mut self) {
        self.in_flight = None;
    }

    /// Queues the report in flight again, unless a newer one of its kind is queued. Returns whether a report
    /// was in flight.
    fn requeue_in_flight(&mut self, not_before: Micros) -> bool {
        let Some(report) = self.in_flight.take() else { return false };
        self.slot(&report).get_or_insert(report);
        self.not_before = not_before;
        true
    }

    /// Removes the next report from the queue and marks it as in flight.
    fn take_next(&mut self) -> Option<&Report> {
        let next = self.acknowledgement.take().or_else(|| self.rejection.take())?;
        Some(self.in_flight.insert(next))
    }

    fn slot(&mut self, report: &Report) -> &mut Option<Report> {
        match report {
            Report::Acknowledge { .. } => &mut self.acknowledgement,
            Report::Reject { .. } => &mut self.rejection,
        }
    }
}

impl Proxy {
    /// Sends the next report, unless one is in flight or the delay after a failure has not passed.
    pub(super) fn send_next_report(&mut self) {
        let now = self.now();
        let Some(subscription) = &mut self.subscription else { return };
        if subscription.report.is_some() || subscription.reports.not_before > now {
            return;
        }
        let Some(report) = subscription.reports.take_next() else { return };
        let body = report.write();
        match self.start_exchange(ExchangePurpose::Report, ACKNOWLEDGE_PATH, &body) {
            Some(ExchangeId { generation, .. }) => {
                self.timers.set(now + REPORT_TIMEOUT, TimerKind::ConfigurationReport(generation));
            }
            None => self.on_report_exchange_ended(),
        }
    }

    /// Handles the end of a report's exchange. If the report was not received, it is queued again.
    pub(super) fn on_report_exchange_ended(&mut self) {
        let retry_at = self.now() + REPORT_RETRY_DELAY;
        let Some(subscription) = &mut self.subscription else { return };
        if subscription.reports.requeue_in_flight(retry_at) {
            self.timers.set(retry_at, TimerKind::Configuration);
        }
    }

    /// Ends the exchange of a report whose time-out has expired.
    pub(in super::super) fn report_timeout(&mut self, generation: u64) {
        let id = ExchangeId { purpose: ExchangePurpose::Report, generation };
        let subscription = self.subscription.as_mut();
        if subscription.is_some_and(|subscription| subscription.exchange_by_id(id).is_some()) {
            self.end_exchange(ExchangePurpose::Report);
        }
        self.run_subscription();
    }
}
