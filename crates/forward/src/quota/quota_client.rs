//! The client side of token quotas with owners: a node requests each admission from an owner of the tenant's
//! bucket, and decides by its own estimate while no owner replies.

use std::collections::BTreeMap;
use std::sync::Mutex;

use millford_api::config::{Tenant, TokenQuota};
use millford_api::exchange::{AdmissionRequest, PeerMessage};
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use prometheus::{IntCounterVec, Opts};

use super::grant::Grant;
use super::level_estimate::{DegradedReason, FleetSize, LevelEstimate};
use super::quota_service::grant_of;
use super::tenant_quotas::{TenantQuotas, limiting_quota};
use crate::lock::lock;
use crate::owners::{
    ByOwner, InFlightRequests, Owner, OwnerReply, OwnerRing, OwnerRoute, PeerLink,
};

/// How long after a request's timeout its reply is still applied to the uncharged tokens. Without a reply by then
/// the request counts as lost, and its tokens as not charged by the owner.
const LATE_REPLY_WINDOW: Duration = Duration::from_secs(2);

/// Most owners that are tried for one request, one after the other. Each failed one takes a request timeout.
const MAX_OWNERS_TRIED: usize = 3;

/// Counter of degraded decisions. Its label `reason` has the values of [`DegradedReason::name`].
const DEGRADED_DECISIONS_METRIC: &str = "millford_proxy_quota_decided_alone";

/// This node's estimate of the bucket of one tenant that it does not own.
#[derive(Clone, Copy, Debug)]
struct TenantEstimate {
    level: LevelEstimate,
    /// Tokens that this node admitted without a reply and for which it has received no late reply, so that no owner
    /// is assumed to have charged them. The next request reports them. Less than 0 if owners charged more than was
    /// admitted.
    uncharged: i64,
}

/// A request whose reply did not arrive in time. If the reply arrives late, the owner has charged the tokens.
#[derive(Clone, Debug)]
struct TimedOutRequest {
    tenant: String,
    timed_out_at: MonotonicTime,
    tokens: u64,
    /// Uncharged tokens that the request reported.
    carried: i64,
}

/// A caller's request for which an admission is needed.
#[derive(Clone, Copy, Debug)]
struct Admission<'a> {
    tenant: &'a str,
    quota: &'a TokenQuota,
    tokens: u64,
    /// Number of proxies that share the quota.
    fleet: FleetSize,
}

/// The outcome of a request to an owner.
#[derive(Clone, Copy, Debug)]
enum RequestOutcome {
    /// The owner admitted or refused the request.
    Decided(Grant),
    /// The owner has not received the tenant's quota yet.
    QuotaUnknown,
    /// No reply arrived in time.
    TimedOut,
}

/// Selects the owners of tenants' buckets for a node in `zone`.
#[derive(Clone, Copy, Debug)]
pub struct QuotaOwners<'a> {
    /// Sends requests to other nodes.
    pub link: &'a PeerLink,
    /// Determines the owners of a tenant.
    pub ring: &'a OwnerRing,
    /// Zone of the requesting node.
    pub zone: &'a str,
}

impl<'a> QuotaOwners<'a> {
    /// Returns the first owner that is not suspected of being unresponsive and was not `tried` for this request.
    /// Owners of the node's own zone come before those of other zones.
    fn next(&self, now: MonotonicTime, tenant: &str, tried: &[&str]) -> Option<&'a Owner> {
        let first_responsive = |mut owners: Vec<&'a Owner>| {
            owners.retain(|owner| !tried.contains(&owner.name.as_str()));
            self.link.first_responsive(now, &owners)
        };
        first_responsive(self.ring.owners_of_tenant_in(self.zone, tenant))
            .or_else(|| first_responsive(self.ring.owners_of_tenant_outside(self.zone, tenant)))
    }
}

/// Requests admissions from owners and keeps an estimate of each tenant's bucket.
#[derive(Debug)]
pub struct QuotaClient {
    estimates: Mutex<BTreeMap<String, TenantEstimate>>,
    degraded_decisions: IntCounterVec,
    timed_out: Mutex<BTreeMap<u64, TimedOutRequest>>,
}

impl Default for QuotaClient {
    fn default() -> Self {
        let help = "Admissions that were decided without an owner's reply, by reason.";
        let options = Opts::new(DEGRADED_DECISIONS_METRIC, help);
        let degraded_decisions = IntCounterVec::new(options, &["reason"]);
        Self {
            estimates: Mutex::default(),
            degraded_decisions: degraded_decisions.expect("the name and the label are valid"),
            timed_out: Mutex::default(),
        }
    }
}

impl QuotaClient {
    /// Returns the counter of degraded decisions, to be registered.
    #[must_use]
    pub fn metric(&self) -> IntCounterVec {
        self.degraded_decisions.clone()
    }

    /// Requests the admission of a tenant's request from an owner of its bucket. If no owner replies, the node
    /// decides by its own estimate.
    ///
    /// # Errors
    /// Returns the time until the tenant's bucket admits requests again.
    pub async fn admit(
        &self,
        owners: QuotaOwners<'_>,
        quotas: &TenantQuotas,
        tenant: &Tenant,
        tokens: u64,
    ) -> Result<(), Duration> {
        let Some(quota) = limiting_quota(tenant) else {
            return Ok(());
        };
        let admission = Admission {
            tenant: &tenant.name,
            quota,
            tokens,
            fleet: owners.ring.size_for(owners.zone),
        };
        let mut tried = Vec::with_capacity(MAX_OWNERS_TRIED);
        for _ in 0..MAX_OWNERS_TRIED {
            let now = monotonic_now();
            let Some(owner) = owners.next(now, admission.tenant, &tried) else {
                break;
            };
            if owners.link.route_to(owner) == OwnerRoute::Local {
                let grant = quotas.grant(now, tenant, tokens, 0);
                return grant.map_or(Ok(()), |grant| grant.decision);
            }
            let carried = self.take_uncharged(now, admission)?;
            match self.request(owners.link, owner, admission, carried).await {
                RequestOutcome::Decided(grant) => {
                    self.apply_grant(monotonic_now(), admission, &grant);
                    return grant.decision;
                }
                RequestOutcome::QuotaUnknown => {
                    let reason = DegradedReason::AnswerLost;
                    return self.admit_degraded(monotonic_now(), admission, reason);
                }
                RequestOutcome::TimedOut => tried.push(owner.name.as_str()),
            }
        }
        let now = monotonic_now();
        let reason = match owners.next(now, admission.tenant, &[]) {
            Some(_) => DegradedReason::AnswerLost,
            None => DegradedReason::OwnersUnreachable,
        };
        self.admit_degraded(now, admission, reason)
    }

    /// Returns the number of requests that this node has decided on without a reply, for all reasons.
    #[must_use]
    pub fn degraded_decisions(&self) -> u64 {
        let counts = DegradedReason::ALL.map(|reason| {
            let counter = self.degraded_decisions.with_label_values(&[reason.name()]);
            counter.get()
        });
        counts.iter().sum()
    }

    /// Applies an owner's reply. Returns `false` if the datagram contains none.
    pub fn receive(&self, link: &PeerLink, datagram: &PeerMessage) -> bool {
        let Some(reply) = &datagram.admission_reply else {
            return false;
        };
        let grant = grant_of(reply);
        if !link.complete(monotonic_now(), reply.id, OwnerReply::Admission(grant)) {
            self.complete_late(reply.id, grant);
        }
        true
    }

    /// Removes requests that timed out too long ago for a late reply to be applied.
    pub fn expire(&self, now: MonotonicTime) {
        let is_recent = |at: MonotonicTime| now.since(at) < LATE_REPLY_WINDOW;
        lock(&self.timed_out).retain(|_, request| is_recent(request.timed_out_at));
    }

    /// Requests admission from an owner and waits for its reply.
    async fn request(
        &self,
        link: &PeerLink,
        owner: &Owner,
        admission: Admission<'_>,
        carried: i64,
    ) -> RequestOutcome {
        let in_flight = send_request(link, owner, admission, carried);
        let id = in_flight.first_id().unwrap_or_default();
        let reply = link.wait(in_flight).await.pop();
        if let Some(OwnerReply::Admission(grant)) = reply {
            return grant.map_or(RequestOutcome::QuotaUnknown, RequestOutcome::Decided);
        }
        let now = monotonic_now();
        let timed_out = TimedOutRequest {
            tenant: admission.tenant.to_owned(),
            timed_out_at: now,
            tokens: admission.tokens,
            carried,
        };
        lock(&self.timed_out).insert(id, timed_out);
        self.update_estimate(now, admission, |estimate| {
            estimate.uncharged = estimate.uncharged.saturating_add(carried);
        });
        RequestOutcome::TimedOut
    }

    /// Applies a late reply: subtracts what the owner charged from the uncharged tokens.
    fn complete_late(&self, id: u64, grant: Option<Grant>) {
        let Some(request) = lock(&self.timed_out).remove(&id) else {
            return;
        };
        let Some(grant) = grant else {
            return;
        };
        let admitted = match grant.decision {
            Ok(()) => signed(request.tokens),
            Err(_) => 0,
        };
        if let Some(estimate) = lock(&self.estimates).get_mut(&request.tenant) {
            let charged = request.carried.saturating_add(admitted);
            estimate.uncharged = estimate.uncharged.saturating_sub(charged);
        }
    }

    /// Removes and returns the uncharged tokens, which the next request reports.
    ///
    /// # Errors
    /// Returns the time until the bucket can admit requests again, if a refusal is certain without a request.
    fn take_uncharged(
        &self,
        now: MonotonicTime,
        admission: Admission<'_>,
    ) -> Result<i64, Duration> {
        self.update_estimate(now, admission, |estimate| {
            match estimate.level.certain_wait(now) {
                Some(wait) => Err(wait),
                None => Ok(std::mem::take(&mut estimate.uncharged)),
            }
        })
    }

    fn apply_grant(&self, now: MonotonicTime, admission: Admission<'_>, grant: &Grant) {
        self.update_estimate(now, admission, |estimate| {
            let Admission { quota, fleet, .. } = admission;
            estimate.level.apply(now, quota, fleet, grant);
        });
    }

    fn admit_degraded(
        &self,
        now: MonotonicTime,
        admission: Admission<'_>,
        reason: DegradedReason,
    ) -> Result<(), Duration> {
        let labels = [reason.name()];
        self.degraded_decisions.with_label_values(&labels).inc();
        let tokens = admission.tokens;
        self.update_estimate(now, admission, |estimate| {
            estimate.level.admit_degraded(now, reason, tokens)?;
            estimate.uncharged = estimate.uncharged.saturating_add(signed(tokens));
            Ok(())
        })
    }

    fn update_estimate<T>(
        &self,
        now: MonotonicTime,
        admission: Admission<'_>,
        update: impl FnOnce(&mut TenantEstimate) -> T,
    ) -> T {
        let mut estimates = lock(&self.estimates);
        let estimate = estimates
            .entry(admission.tenant.to_owned())
            .or_insert_with(|| TenantEstimate {
                level: LevelEstimate::unknown(admission.quota, admission.fleet, now),
                uncharged: 0,
            });
        update(estimate)
    }
}

fn send_request(
    link: &PeerLink,
    owner: &Owner,
    admission: Admission<'_>,
    uncharged_tokens: i64,
) -> InFlightRequests {
    let mut by_owner = ByOwner::default();
    by_owner.add(owner, admission.tenant.to_owned());
    link.send_requests(by_owner, |id, tenants, datagram| {
        let request = tenants.into_iter().next().map(|tenant| AdmissionRequest {
            id,
            tenant,
            tokens: admission.tokens,
            uncharged_tokens,
        });
        datagram.admission_request = request;
    })
}

/// Converts a number of tokens to a signed one, saturating at the maximum.
fn signed(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
