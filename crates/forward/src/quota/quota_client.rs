//! This node's part in quotas with owners: asks before each admission, answers as an owner, and tells
//! the other owners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use millford_api::config::{Tenant, TokenQuota};
use millford_api::exchange::{AdmissionReply, AdmissionRequest, PeerMessage};
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_routing::RoutingTable;
use prometheus::{IntCounterVec, Opts};

use super::grant::Grant;
use super::level_estimate::{DegradedReason, FleetSize, LevelEstimate};
use super::tenant_quotas::{TenantQuotas, limiting};
use crate::owners::peer_link::{OwnerRoute, lock};
use crate::owners::{ByOwner, InFlightRequests, Owner, OwnerReply, OwnerRing, PeerLink};

/// Answers that come later than this after their time are not waited for: the owner is gone.
const LATE_RESPONSE_WINDOW: Duration = Duration::from_secs(2);

/// Owners that are asked about one request, one after the other: each costs the usual time for an answer.
const MAX_OWNERS_TRIED: usize = 3;

/// What this node knows of one tenant that it does not own.
#[derive(Clone, Copy, Debug)]
struct TenantEstimate {
    known: LevelEstimate,
    /// Admitted here without an answer and charged by nobody, as far as is known; goes along with the next
    /// question. Less than 0 where an owner charged what was not admitted.
    uncharged: i64,
}

/// A question whose answer did not come in time. If it comes yet, the owner has charged the tokens.
#[derive(Clone, Debug)]
struct TimedOutRequest {
    tenant: String,
    timed_out_at: MonotonicTime,
    tokens: u64,
    /// Tokens that the question brought along.
    carried: i64,
}

/// A request that wants to be admitted.
#[derive(Clone, Copy, Debug)]
struct Admission<'a> {
    tenant: &'a str,
    quota: &'a TokenQuota,
    tokens: u64,
    /// Proxies that hold the quota.
    fleet: FleetSize,
}

/// Tenants that this node asks owners about.
#[derive(Debug)]
pub struct QuotaClient {
    estimates: Mutex<BTreeMap<String, TenantEstimate>>,
    degraded_decisions: IntCounterVec,
    timed_out: Mutex<BTreeMap<u64, TimedOutRequest>>,
}

impl Default for QuotaClient {
    fn default() -> Self {
        let help = "Admissions that were decided without an owner's answer, by the reason.";
        let options = Opts::new("millford_proxy_quota_decided_alone", help);
        let degraded_decisions = IntCounterVec::new(options, &["reason"]);
        Self {
            estimates: Mutex::default(),
            degraded_decisions: degraded_decisions.expect("the name and the label are valid"),
            timed_out: Mutex::default(),
        }
    }
}

impl QuotaClient {
    /// The metric of what was decided alone.
    #[must_use]
    pub fn metric(&self) -> IntCounterVec {
        self.degraded_decisions.clone()
    }

    /// Admits a request of a tenant by an owner of its bucket, of `zone` where one answers, or says when to
    /// come back. Without any answer the node decides by what it was told last.
    ///
    /// # Errors
    /// The time until the tenant's bucket holds anything.
    pub async fn admit(
        &self,
        link: &PeerLink,
        ring: &OwnerRing,
        zone: &str,
        quotas: &TenantQuotas,
        tenant: &Tenant,
        tokens: u64,
    ) -> Result<(), Duration> {
        let Some(quota) = limiting(tenant) else {
            return Ok(());
        };
        let request = Admission {
            tenant: &tenant.name,
            quota,
            tokens,
            fleet: ring.size_for(zone),
        };
        let mut tried = Vec::with_capacity(MAX_OWNERS_TRIED);
        for _ in 0..MAX_OWNERS_TRIED {
            let now = monotonic_now();
            let owner = next_owner(now, link, ring, zone, &tenant.name, &tried);
            let Some(owner) = owner else {
                break;
            };
            if link.route_to(owner) == OwnerRoute::Local {
                let grant = quotas.grant(now, tenant, tokens, 0);
                return grant.map_or(Ok(()), |grant| grant.decision);
            }
            let carried = self.begin(now, request)?;
            if let Some(grant) = self.ask(link, owner, request, carried).await {
                return self.take(monotonic_now(), request, grant);
            }
            tried.push(owner.name.as_str());
        }
        let now = monotonic_now();
        let reason = match next_owner(now, link, ring, zone, &tenant.name, &[]) {
            Some(_) => DegradedReason::AnswerLost,
            None => DegradedReason::OwnersUnreachable,
        };
        self.admit_degraded(now, request, reason)
    }

    /// Asks an owner. Nothing: its answer did not come in time.
    async fn ask(
        &self,
        link: &PeerLink,
        owner: &Owner,
        request: Admission<'_>,
        carried: i64,
    ) -> Option<Option<Grant>> {
        let pending = send_request(link, owner, request, carried);
        let id = pending.first_id().unwrap_or_default();
        let reply = link.wait(pending).await.pop();
        if let Some(OwnerReply::Quota(grant)) = reply {
            return Some(grant);
        }
        let now = monotonic_now();
        let timed_out = TimedOutRequest {
            tenant: request.tenant.to_owned(),
            timed_out_at: now,
            tokens: request.tokens,
            carried,
        };
        lock(&self.timed_out).insert(id, timed_out);
        self.change(now, request, |estimates| {
            estimates.uncharged = estimates.uncharged.saturating_add(carried);
        });
        None
    }

    /// Requests that this node decided on without an answer so far.
    #[must_use]
    pub fn degraded_decisions(&self) -> u64 {
        let reasons = [
            DegradedReason::AnswerLost,
            DegradedReason::OwnersUnreachable,
        ]
        .map(DegradedReason::name);
        let counts =
            reasons.map(|reason| self.degraded_decisions.with_label_values(&[reason]).get());
        counts.iter().sum()
    }

    /// Takes a datagram about quotas with owners. False: it is about something else.
    pub fn receive(
        &self,
        link: &PeerLink,
        table: &RoutingTable,
        quotas: &TenantQuotas,
        from: SocketAddr,
        datagram: &PeerMessage,
    ) -> bool {
        let now = monotonic_now();
        if let Some(timed_out) = &datagram.admission_request {
            let mut reply = link.datagram();
            reply.admission_reply = Some(reply_to(now, table, quotas, timed_out));
            link.send(from, &reply);
            return true;
        }
        let Some(reply) = &datagram.admission_reply else {
            return false;
        };
        let grant = grant_of(reply);
        if !link.complete(now, reply.id, OwnerReply::Quota(grant)) {
            self.complete_late(reply.id, grant);
        }
        true
    }

    /// Forgets what is old.
    pub fn expire(&self, now: MonotonicTime) {
        lock(&self.timed_out)
            .retain(|_, timed_out| now.since(timed_out.timed_out_at) < LATE_RESPONSE_WINDOW);
    }

    /// The owner charged what this node counted as uncharged.
    fn complete_late(&self, id: u64, grant: Option<Grant>) {
        let Some(timed_out) = lock(&self.timed_out).remove(&id) else {
            return;
        };
        let Some(grant) = grant else {
            return;
        };
        let admitted = match grant.decision {
            Ok(()) => tokens_of(timed_out.tokens),
            Err(_) => 0,
        };
        if let Some(estimates) = lock(&self.estimates).get_mut(&timed_out.tenant) {
            let charged = timed_out.carried.saturating_add(admitted);
            estimates.uncharged = estimates.uncharged.saturating_sub(charged);
        }
    }

    /// What the next question has to bring along, unless it is certain what its answer would be.
    fn begin(&self, now: MonotonicTime, request: Admission<'_>) -> Result<i64, Duration> {
        self.change(now, request, |estimates| {
            match estimates.known.certain_wait(now) {
                Some(wait) => Err(wait),
                None => Ok(std::mem::take(&mut estimates.uncharged)),
            }
        })
    }

    fn take(
        &self,
        now: MonotonicTime,
        request: Admission<'_>,
        grant: Option<Grant>,
    ) -> Result<(), Duration> {
        let Some(grant) = grant else {
            // The owner has not heard of the quota yet.
            return self.admit_degraded(now, request, DegradedReason::AnswerLost);
        };
        self.change(now, request, |estimates| {
            estimates
                .known
                .take(now, request.quota, request.fleet, &grant);
        });
        grant.decision
    }

    fn admit_degraded(
        &self,
        now: MonotonicTime,
        request: Admission<'_>,
        reason: DegradedReason,
    ) -> Result<(), Duration> {
        self.degraded_decisions
            .with_label_values(&[reason.name()])
            .inc();
        self.change(now, request, |estimates| {
            estimates
                .known
                .admit_degraded(now, reason, request.tokens)?;
            estimates.uncharged = estimates
                .uncharged
                .saturating_add(tokens_of(request.tokens));
            Ok(())
        })
    }

    fn change<T>(
        &self,
        now: MonotonicTime,
        request: Admission<'_>,
        change: impl FnOnce(&mut TenantEstimate) -> T,
    ) -> T {
        let mut all = lock(&self.estimates);
        let estimates = all
            .entry(request.tenant.to_owned())
            .or_insert_with(|| TenantEstimate {
                known: LevelEstimate::unknown(request.quota, request.fleet, now),
                uncharged: 0,
            });
        change(estimates)
    }
}

/// The first owner that is believed to answer, of this zone before the others, passing over those that were
/// asked in vain for this very request.
fn next_owner<'a>(
    now: MonotonicTime,
    link: &PeerLink,
    ring: &'a OwnerRing,
    zone: &str,
    tenant: &str,
    tried: &[&str],
) -> Option<&'a Owner> {
    let first_sound = |mut owners: Vec<&'a Owner>| {
        owners.retain(|owner| !tried.contains(&owner.name.as_str()));
        link.first_responsive(now, &owners)
    };
    first_sound(ring.owners_of_tenant_in(zone, tenant))
        .or_else(|| first_sound(ring.owners_of_tenant_outside(zone, tenant)))
}

fn send_request(
    link: &PeerLink,
    owner: &Owner,
    request: Admission<'_>,
    uncharged_tokens: i64,
) -> InFlightRequests {
    let mut questions = ByOwner::default();
    questions.add(owner, request.tenant.to_owned());
    link.send_requests(questions, |id, tenants, datagram| {
        let timed_out = tenants.into_iter().next().map(|tenant| AdmissionRequest {
            id,
            tenant,
            tokens: request.tokens,
            uncharged_tokens,
        });
        datagram.admission_request = timed_out;
    })
}

fn reply_to(
    now: MonotonicTime,
    table: &RoutingTable,
    quotas: &TenantQuotas,
    timed_out: &AdmissionRequest,
) -> AdmissionReply {
    let tenant = table.tenant_named(&timed_out.tenant);
    let grant = tenant
        .and_then(|tenant| quotas.grant(now, tenant, timed_out.tokens, timed_out.uncharged_tokens));
    let Some(grant) = grant else {
        return AdmissionReply {
            id: timed_out.id,
            unlimited: true,
            ..AdmissionReply::default()
        };
    };
    let wait = grant.decision.err().unwrap_or_default();
    AdmissionReply {
        id: timed_out.id,
        unlimited: false,
        admitted: grant.decision.is_ok(),
        retry_after_us: u64::try_from(wait.as_micros()).unwrap_or(u64::MAX),
        level_tokens: grant.level_tokens,
        admitted_tokens_per_second: grant.admitted_per_second,
    }
}

fn grant_of(reply: &AdmissionReply) -> Option<Grant> {
    let wait = Duration::from_micros(reply.retry_after_us);
    (!reply.unlimited).then_some(Grant {
        decision: if reply.admitted { Ok(()) } else { Err(wait) },
        level_tokens: reply.level_tokens,
        admitted_per_second: reply.admitted_tokens_per_second,
    })
}

fn tokens_of(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
