//! The HTTP requests of proxies and the platform.

use super::Controller;
use super::batches::QueuedEvent;
use super::connections::ConnectionId;
use super::responses::Origin;
use http::{Method, StatusCode};
use std::collections::BTreeSet;
use std::time::Instant;
use violetseam_release::{Event, PlaceState, Verdict, Vote};
use violetseam_site_protocol::placement::{self, PlaceReport, PlaceStateName};
use violetseam_site_protocol::release_service::{self, VerdictName, VoteOutcome};

impl Controller {
    /// Handles a complete request.
    pub(super) fn on_request(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let body = std::mem::take(&mut connection.body);
        let Some(head) = connection.head.take() else { return };
        let id = ConnectionId { key, generation: connection.generation };
        connection.last_active = Instant::now();
        if self.term.is_none() {
            return self.respond(key, StatusCode::SERVICE_UNAVAILABLE, b"");
        }
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        match (&head.method, path) {
            (&Method::GET, "/v1/stage/watch") => self.watch_release(key),
            (&Method::GET, "/v1/places/watch") => self.watch_desired_builds(key),
            (&Method::POST, "/v1/vote") => self.on_vote(id, &body),
            (&Method::POST, "/v1/places") => match placement::parse_reports(&body) {
                Ok(reports) => {
                    let is_complete = query.split('&').any(|parameter| parameter == "whole=1");
                    self.on_place_reports(id, &reports, is_complete);
                }
                Err(_) => self.respond(key, StatusCode::BAD_REQUEST, b""),
            },
            _ => self.respond(key, StatusCode::NOT_FOUND, b""),
        }
    }

    /// Queues a vote as an event, unless the rate limit is exceeded or the vote is malformed.
    fn on_vote(&mut self, id: ConnectionId, body: &[u8]) {
        let steady = self.steady_micros();
        let Some(term) = &mut self.term else { return };
        if !term.vote_limit.try_take(steady) {
            return self.respond_to_vote(id, VoteOutcome::RateLimited);
        }
        match release_service::Vote::parse(body) {
            Ok(vote) => {
                let event = Event::Vote(to_vote(&vote));
                term.queue.push(QueuedEvent { event, origin: Origin::Vote(id) });
            }
            Err(_) => self.respond_to_vote(id, VoteOutcome::Error),
        }
    }

    /// Queues reports as events. Known builds that a complete report does not contain are reported as gone.
    fn on_place_reports(&mut self, id: ConnectionId, reports: &[PlaceReport], is_complete: bool) {
        let Some(term) = &mut self.term else { return };
        if is_complete {
            let reported: BTreeSet<(u32, u16)> =
                reports.iter().map(|report| (report.place, report.build)).collect();
            for (place, build) in term.release.reported_builds() {
                if !reported.contains(&(place, build)) {
                    let event = Event::Place { place, build, state: PlaceState::Gone };
                    term.queue.push(QueuedEvent { event, origin: Origin::Internal });
                }
            }
        }
        for report in reports {
            let state = to_place_state(report.state);
            let event = Event::Place { place: report.place, build: report.build, state };
            term.queue.push(QueuedEvent { event, origin: Origin::Internal });
        }
        // The response is sent with the outcome of the last report.
        match term.queue.last_mut() {
            Some(last) if !reports.is_empty() || is_complete => last.origin = Origin::PlaceReport(id),
            _ => self.respond(id.key, StatusCode::OK, b"{}"),
        }
    }
}

fn to_vote(vote: &release_service::Vote) -> Vote {
    let verdict = match vote.verdict {
        VerdictName::On => Verdict::On,
        VerdictName::Hold => Verdict::Hold,
        VerdictName::Back => Verdict::Back,
        VerdictName::Withdraw => Verdict::Withdraw,
    };
    let proxy = u32::try_from(vote.proxy).unwrap_or(u32::MAX);
    Vote { proxy, build: vote.build, stage: vote.stage, verdict }
}

fn to_place_state(state: PlaceStateName) -> PlaceState {
    match state {
        PlaceStateName::Starting => PlaceState::Starting,
        PlaceStateName::Running => PlaceState::Running,
        PlaceStateName::Draining => PlaceState::Draining,
        PlaceStateName::Gone => PlaceState::Gone,
    }
}
