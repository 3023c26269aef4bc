//! Reports to the publisher: acknowledgements and rejections, sent one at a time and again until received.

use super::super::Proxy;
use super::super::timers::TimerKind;
use super::{ExchangeId, ExchangePurpose};
use violetseam::interface::Micros;
use violetseam_distribution::Report;

/// Where the publisher receives acknowledgements and rejections.
const ACKNOWLEDGE_PATH: &str = "/v1/configuration/acknowledge";
/// A report that takes longer has failed.
const REPORT_TIMEOUT: Micros = 3_000_000;
/// A report that failed is sent again after this.
const REPORT_RETRY_DELAY: Micros = 1_000_000;

/// The reports that have still to be sent: the latest of each kind.
#[derive(Default)]
pub(super) struct ReportQueue {
    acknowledgement: Option<Report>,
    rejection: Option<Report>,
    /// What the open exchange reports, to be sent again if that fails.
    in_flight: Option<Report>,
    /// No report is sent before.
    not_before: Micros,
}

impl ReportQueue {
    /// Queues a report in place of an earlier one of its kind.
    pub(super) fn push(&mut self, report: Report) {
        let slot = self.slot(&report);
        *slot = Some(report);
    }

    /// The report in flight was received.
    pub(super) fn on_received(&mut self) {
        self.in_flight = None;
    }

    /// Queues the report in flight again, unless a newer one of its kind has come; whether there was one.
    fn requeue_in_flight(&mut self, not_before: Micros) -> bool {
        let Some(report) = self.in_flight.take() else { return false };
        self.slot(&report).get_or_insert(report);
        self.not_before = not_before;
        true
    }

    /// The next report to be sent, which is in flight from here on.
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
    /// Sends the next report, one at a time.
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
            None => self.on_report_failed(),
        }
    }

    /// The exchange of a report has ended; nothing failed if the report was received.
    pub(super) fn on_report_failed(&mut self) {
        let retry_at = self.now() + REPORT_RETRY_DELAY;
        let Some(subscription) = &mut self.subscription else { return };
        if subscription.reports.requeue_in_flight(retry_at) {
            self.timers.set(retry_at, TimerKind::Configuration);
        }
    }

    /// A report has had its time.
    pub(in super::super) fn report_timeout(&mut self, generation: u64) {
        let id = ExchangeId { purpose: ExchangePurpose::Report, generation };
        let subscription = self.subscription.as_mut();
        if subscription.is_some_and(|subscription| subscription.open_exchange(id).is_some()) {
            self.exchange_ended(ExchangePurpose::Report);
        }
        self.run_subscription();
    }
}
