//! Attempts to run one request: choosing a backend server, sending, and retrying
//! where that is allowed.

use super::Ingress;
use crate::body::RequestBody;
use crate::carrier::{Carrier, Response};
use crate::protocol::SERVER_ERROR;
use crate::request_log::{FailedAttempt, IngressLog, LoadAtSend};
use bytes::Bytes;
use knapweed_host::choice::{Exclusions, HomeRegions, Query, Scope};
use knapweed_host::crash::{CrashId, CrashSubjects, MAX_CRASHES, Suspicion};
use knapweed_host::request::Request;
use knapweed_host::retry::{Body, Decision, Failure, Stop, may_have_arrived};
use knapweed_host::{Answer, NotRun, Outcome, SendId, SendOutcomes, Unknown};
use knapweed_wire::{Header, RequestHead, ResponseHead};
use knapweed_world::link::Distance;
use knapweed_world::{BackendServer, BackendServerKey, Flow, Organisation, Share, Snapshot, Time};

/// One request, with the data that all its attempts share.
pub(super) struct Attempts<'a> {
    pub(super) ingress: &'a Ingress,
    pub(super) snapshot: &'a Snapshot,
    pub(super) request: Request,
    pub(super) caller_id: Option<Bytes>,
    /// What the crashes of the request are attributed to.
    pub(super) subjects: CrashSubjects,
    pub(super) method: Bytes,
    pub(super) path: Bytes,
    pub(super) headers: Vec<Header>,
}

impl Attempts<'_> {
    /// Sends the request until it has an outcome that is not retried.
    pub(super) async fn run(
        self,
        mut body: RequestBody,
        log: &mut IngressLog<'_>,
    ) -> Result<Response, Outcome> {
        let mut excluded = Exclusions::default();
        let version_draw = rand::random_range(0..Share::ALL.0);
        let mut outcomes = SendOutcomes::default();
        let service = self.snapshot.service(self.request.service);
        let policy = &self.ingress.dependencies.retries;
        policy.arrived(self.request.depth, &service.retry_tokens);
        let (mut crashes, mut sends) = (0, 0);
        let mut is_suspect = false;
        let mut soonest_retry_us = None;
        for tries in 1..=u8::MAX {
            match self.ingress.dependencies.crashes.suspicion(&self.subjects) {
                Suspicion::None => {}
                Suspicion::Suspected => is_suspect = true,
                Suspicion::Convicted => {
                    let refused = Outcome::NotRun(NotRun::CrashesServers);
                    return Err(outcomes.reported().unwrap_or(refused));
                }
            }
            let query = Query {
                route: self.request.route,
                service: self.request.service,
                homes: self.homes(),
                rank: self.request.rank,
                objective: self.request.objective,
                now: self.ingress.dependencies.timer.now(),
                version_draw,
                server_draw: rand::random(),
                excluded: &excluded,
            };
            let choice = self
                .ingress
                .dependencies
                .choice
                .choose(self.snapshot, &query);
            let choice = match choice {
                Ok(choice) => choice,
                // When every backend server was tried, the outcomes of the sends are more
                // informative than the failed choice.
                Err(reason) => {
                    log.not_placed(reason);
                    let outcome = outcomes.reported().unwrap_or(Outcome::NotRun(reason));
                    return Ok(with_retry_after(
                        Response::without_answer(outcome),
                        soonest_retry_us,
                    ));
                }
            };
            let server = self.snapshot.backend_server(choice.server);
            let load_at_send = LoadAtSend::of(server, self.request.rank, query.now);
            log.count_attempt();
            let response = self.send(choice.server, &mut body, is_suspect).await;
            let outcome = response.head.outcome;
            if outcome == Outcome::Answered(Answer::Complete) {
                return Ok(response);
            }
            soonest_retry_us = soonest_retry_us
                .into_iter()
                .chain(response.head.retry_after_us)
                .min();
            is_suspect |= response.head.crashed;
            // The request may have caused the crash, so it may crash at most
            // MAX_CRASHES backend servers (requirement B7).
            crashes += usize::from(outcome == Outcome::Unknown(Unknown::ServerCrashed));
            sends += u8::from(may_have_arrived(outcome));
            outcomes.add(outcome);
            let failure = self.failure(outcome, tries, sends, &body);
            let now = self.ingress.dependencies.timer.now();
            let decision = match crashes >= MAX_CRASHES {
                true => Decision::Stop(Stop::Outcome),
                false => policy.decide(&failure, &service.retry_tokens, now),
            };
            log.attempt_failed(&FailedAttempt {
                server,
                reason: choice.reason,
                load_at_send,
                response: &response.head,
                decision,
            });
            if decision != Decision::Retry || !self.is_retry_in_quota(outcome) {
                let response = match outcomes.reported() {
                    Some(reported) if reported != outcome => Response::without_answer(reported),
                    _ => response,
                };
                return Ok(with_retry_after(response, soonest_retry_us));
            }
            excluded.add(choice.server, exclusion_scope(outcome));
        }
        Err(Outcome::NotRun(NotRun::NoServer))
    }

    fn organisation(&self) -> Option<&Organisation> {
        let key = self.request.organisation;
        key.map(|key| self.snapshot.organisation(key))
    }

    /// Regions in which the request may run. The body is sent only to the node beside the
    /// chosen backend server, so it stays in these regions too.
    fn homes(&self) -> HomeRegions<'_> {
        let organisation = self.organisation();
        HomeRegions {
            route: self.snapshot.route(self.request.route).homes.as_ref(),
            organisation: organisation.and_then(|o| o.homes.as_ref()),
        }
    }

    /// Takes another token for a retry when the last send may have run: it counts as well.
    fn is_retry_in_quota(&self, last: Outcome) -> bool {
        let is_counted = may_have_arrived(last);
        !is_counted || self.ingress.admit(self.snapshot, &self.request).is_ok()
    }

    fn failure(&self, outcome: Outcome, tries: u8, sends: u8, body: &RequestBody) -> Failure {
        Failure {
            depth: self.request.depth,
            tries,
            sends,
            max_sends: self.snapshot.route(self.request.route).max_attempts,
            outcome,
            idempotent: self.request.idempotent,
            body: match body {
                RequestBody::Buffered(bytes) if bytes.is_empty() => Body::Empty,
                RequestBody::Buffered(_) | RequestBody::Streaming(_) => Body::Unread,
                RequestBody::Taken => Body::Consumed,
            },
            arrived: self.request.arrived,
            objective: self.request.objective,
            deadline: self.request.deadline,
        }
    }

    async fn send(
        &self,
        key: BackendServerKey,
        body: &mut RequestBody,
        is_suspect: bool,
    ) -> Response {
        let server = self.snapshot.backend_server(key);
        let host = self.snapshot.host(server.host);
        if !self.fits_region_budget(server, body) {
            return Response::without_answer(Outcome::NotRun(NotRun::Overloaded));
        }
        let carrier = self.carrier(server);
        let mut head = self.head(server, body);
        head.is_suspect = is_suspect;
        let in_flight = InFlight::start(server);
        let crash = CrashId::of(head.id);
        let response = carrier.carry(host.address, head, body).await;
        if response.head.crashed {
            self.ingress
                .dependencies
                .crashes
                .record(&self.subjects, crash);
        }
        let flow = self.snapshot.route(self.request.route).flow;
        in_flight.finish(&response.head, flow, self.ingress.dependencies.timer.now());
        response
    }

    /// Charges a request to another region to the byte budget; `false` when it does
    /// not fit. The link between regions is narrow and billed by volume, and calls
    /// must leave bandwidth for control messages.
    fn fits_region_budget(&self, server: &BackendServer, body: &RequestBody) -> bool {
        if self.snapshot.distance(server.host) != Distance::Remote {
            return true;
        }
        let headers = self.headers.iter().map(|h| h.name.len() + h.value.len());
        let len = self.path.len() + headers.sum::<usize>() + body.len_or_max_buffered();
        let now = self.ingress.dependencies.timer.now();
        self.ingress
            .dependencies
            .region_budget
            .try_take(len as u64, now)
    }

    fn carrier(&self, server: &BackendServer) -> &dyn Carrier {
        let dependencies = &self.ingress.dependencies;
        match server.host == self.snapshot.local() {
            true => &*dependencies.local,
            false => &*dependencies.link,
        }
    }

    fn head(&self, server: &BackendServer, body: &RequestBody) -> RequestHead {
        let now = self.ingress.dependencies.timer.now();
        let route = self.snapshot.route(self.request.route);
        let objective = self.request.objective.map(|time| time.since(now));
        let organisation = self.organisation();
        RequestHead {
            id: SendId {
                request: self.request.identity,
                attempt: rand::random(),
            },
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            route: route.name.clone(),
            service: self.snapshot.service(server.service).name.clone(),
            version: server.version.clone(),
            address: server.address,
            time_left_us: self.request.deadline.since(now).as_micros() as u64,
            objective_left_us: objective.map(|left| left.as_micros() as u64),
            rank: self.request.rank,
            caller_id: self.caller_id.clone(),
            origin: self.ingress.dependencies.origin.clone(),
            organisation: organisation.map(|o| o.name.clone()),
            organisation_rate: organisation.and_then(|o| o.quota).map(|quota| quota.rate),
            depth: self.request.depth,
            content: self.subjects.content,
            rate_limit: server.load.rate_limit(),
            is_suspect: false,
            has_body: !body.is_empty(),
        }
    }
}

/// Sets the retry time to the earliest of those in the refusals of the backend
/// servers.
fn with_retry_after(mut response: Response, soonest_retry_us: Option<u64>) -> Response {
    response.head.retry_after_us = soonest_retry_us.or(response.head.retry_after_us);
    response
}

/// What the next attempt excludes after this outcome: the backend server, or all
/// backend servers of its version or its availability zone.
fn exclusion_scope(outcome: Outcome) -> Scope {
    match outcome {
        Outcome::NotRun(NotRun::Guarded) => Scope::Version,
        Outcome::NotRun(NotRun::Evacuated) => Scope::Zone,
        _ => Scope::Server,
    }
}

/// Counts a request as in flight on a backend server until the head of its
/// response has arrived.
struct InFlight<'a>(&'a BackendServer);

impl<'a> InFlight<'a> {
    fn start(server: &'a BackendServer) -> Self {
        server.load.start();
        Self(server)
    }

    fn finish(self, head: &ResponseHead, flow: Flow, now: Time) {
        let load = &self.0.load;
        if let Some(report) = &head.load {
            load.record_report(report, flow, now);
        }
        match head.outcome {
            Outcome::Answered(_) => load.record_response(head.status >= SERVER_ERROR, now),
            Outcome::NotRun(NotRun::ConnectFailed | NotRun::NoServer) => {
                load.record_unreachable(now)
            }
            Outcome::Unknown(Unknown::ConnectionLost) => load.record_unreachable(now),
            // Without a load report, the egress was not reached before the deadline.
            Outcome::NotRun(NotRun::DeadlinePassed) if head.load.is_none() => {
                load.record_response(true, now)
            }
            Outcome::Unknown(Unknown::CallerLeft) => {}
            Outcome::Unknown(_) => load.record_response(true, now),
            Outcome::NotRun(_) => {}
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.load.finish();
    }
}
