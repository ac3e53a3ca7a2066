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
use super::known_level::{Alone, FleetSize, KnownLevel};
use super::tenant_quotas::{TenantQuotas, limiting};
use crate::owners::peer_link::{Asked, lock};
use crate::owners::{Answer, ByOwner, Owner, OwnerRing, PeerLink, Pending};

/// Answers that come later than this after their time are not waited for: the owner is gone.
const ANSWERED_WITHIN: Duration = Duration::from_secs(2);

/// Owners that are asked about one request, one after the other: each costs the usual time for an answer.
const MOST_ASKED: usize = 3;

/// What this node knows of one tenant that it does not own.
#[derive(Clone, Copy, Debug)]
struct Asking {
    known: KnownLevel,
    /// Admitted here without an answer and charged by nobody, as far as is known; goes along with the next
    /// question. Less than 0 where an owner charged what was not admitted.
    uncharged: i64,
}

/// A question whose answer did not come in time. If it comes yet, the owner has charged the tokens.
#[derive(Clone, Debug)]
struct Unanswered {
    tenant: String,
    given_up: MonotonicTime,
    tokens: u64,
    /// Tokens that the question brought along.
    carried: i64,
}

/// A request that wants to be admitted.
#[derive(Clone, Copy, Debug)]
struct Wanted<'a> {
    tenant: &'a str,
    quota: &'a TokenQuota,
    tokens: u64,
    /// Proxies that hold the quota.
    fleet: FleetSize,
}

/// Tenants that this node asks owners about.
#[derive(Debug)]
pub struct SharedQuotas {
    asking: Mutex<BTreeMap<String, Asking>>,
    decided_alone: IntCounterVec,
    unanswered: Mutex<BTreeMap<u64, Unanswered>>,
}

impl Default for SharedQuotas {
    fn default() -> Self {
        let help = "Admissions that were decided without an owner's answer, by the reason.";
        let options = Opts::new("millford_proxy_quota_decided_alone", help);
        let decided_alone = IntCounterVec::new(options, &["reason"]);
        Self {
            asking: Mutex::default(),
            decided_alone: decided_alone.expect("the name and the label are valid"),
            unanswered: Mutex::default(),
        }
    }
}

impl SharedQuotas {
    /// The metric of what was decided alone.
    #[must_use]
    pub fn metric(&self) -> IntCounterVec {
        self.decided_alone.clone()
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
        let wanted = Wanted {
            tenant: &tenant.name,
            quota,
            tokens,
            fleet: ring.size_for(zone),
        };
        let mut asked_before = Vec::with_capacity(MOST_ASKED);
        for _ in 0..MOST_ASKED {
            let now = monotonic_now();
            let owner = owner_to_ask(now, link, ring, zone, &tenant.name, &asked_before);
            let Some(owner) = owner else {
                break;
            };
            if link.way_to(owner) == Asked::Itself {
                let grant = quotas.grant(now, tenant, tokens, 0);
                return grant.map_or(Ok(()), |grant| grant.decision);
            }
            let carried = self.begin(now, wanted)?;
            if let Some(grant) = self.ask(link, owner, wanted, carried).await {
                return self.take(monotonic_now(), wanted, grant);
            }
            asked_before.push(owner.name.as_str());
        }
        let now = monotonic_now();
        let why = match owner_to_ask(now, link, ring, zone, &tenant.name, &[]) {
            Some(_) => Alone::AnswerLost,
            None => Alone::OwnersUnreachable,
        };
        self.admit_degraded(now, wanted, why)
    }

    /// Asks an owner. Nothing: its answer did not come in time.
    async fn ask(
        &self,
        link: &PeerLink,
        owner: &Owner,
        wanted: Wanted<'_>,
        carried: i64,
    ) -> Option<Option<Grant>> {
        let pending = question_to(link, owner, wanted, carried);
        let id = pending.first_id().unwrap_or_default();
        let answer = link.wait(pending).await.pop();
        if let Some(Answer::Quota(grant)) = answer {
            return Some(grant);
        }
        let now = monotonic_now();
        let unanswered = Unanswered {
            tenant: wanted.tenant.to_owned(),
            given_up: now,
            tokens: wanted.tokens,
            carried,
        };
        lock(&self.unanswered).insert(id, unanswered);
        self.change(now, wanted, |asking| {
            asking.uncharged = asking.uncharged.saturating_add(carried);
        });
        None
    }

    /// Requests that this node decided on without an answer so far.
    #[must_use]
    pub fn decided_alone(&self) -> u64 {
        let reasons = [Alone::AnswerLost, Alone::OwnersUnreachable].map(Alone::name);
        let counts = reasons.map(|reason| self.decided_alone.with_label_values(&[reason]).get());
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
        if let Some(question) = &datagram.admission_request {
            let mut reply = link.datagram();
            reply.admission_reply = Some(answer_to(now, table, quotas, question));
            link.send(from, &reply);
            return true;
        }
        let Some(answer) = &datagram.admission_reply else {
            return false;
        };
        let grant = grant_of(answer);
        if !link.answered(now, answer.id, Answer::Quota(grant)) {
            self.answered_late(answer.id, grant);
        }
        true
    }

    /// Forgets what is old.
    pub fn expire(&self, now: MonotonicTime) {
        lock(&self.unanswered).retain(|_, question| now.since(question.given_up) < ANSWERED_WITHIN);
    }

    /// The owner charged what this node counted as uncharged.
    fn answered_late(&self, id: u64, grant: Option<Grant>) {
        let Some(question) = lock(&self.unanswered).remove(&id) else {
            return;
        };
        let Some(grant) = grant else {
            return;
        };
        let admitted = match grant.decision {
            Ok(()) => tokens_of(question.tokens),
            Err(_) => 0,
        };
        if let Some(asking) = lock(&self.asking).get_mut(&question.tenant) {
            let charged = question.carried.saturating_add(admitted);
            asking.uncharged = asking.uncharged.saturating_sub(charged);
        }
    }

    /// What the next question has to bring along, unless it is certain what its answer would be.
    fn begin(&self, now: MonotonicTime, wanted: Wanted<'_>) -> Result<i64, Duration> {
        self.change(now, wanted, |asking| match asking.known.certain_wait(now) {
            Some(wait) => Err(wait),
            None => Ok(std::mem::take(&mut asking.uncharged)),
        })
    }

    fn take(
        &self,
        now: MonotonicTime,
        wanted: Wanted<'_>,
        grant: Option<Grant>,
    ) -> Result<(), Duration> {
        let Some(grant) = grant else {
            // The owner has not heard of the quota yet.
            return self.admit_degraded(now, wanted, Alone::AnswerLost);
        };
        self.change(now, wanted, |asking| {
            asking.known.take(now, wanted.quota, wanted.fleet, &grant);
        });
        grant.decision
    }

    fn admit_degraded(
        &self,
        now: MonotonicTime,
        wanted: Wanted<'_>,
        why: Alone,
    ) -> Result<(), Duration> {
        self.decided_alone.with_label_values(&[why.name()]).inc();
        self.change(now, wanted, |asking| {
            asking.known.admit_degraded(now, why, wanted.tokens)?;
            asking.uncharged = asking.uncharged.saturating_add(tokens_of(wanted.tokens));
            Ok(())
        })
    }

    fn change<T>(
        &self,
        now: MonotonicTime,
        wanted: Wanted<'_>,
        change: impl FnOnce(&mut Asking) -> T,
    ) -> T {
        let mut all = lock(&self.asking);
        let asking = all
            .entry(wanted.tenant.to_owned())
            .or_insert_with(|| Asking {
                known: KnownLevel::unknown(wanted.quota, wanted.fleet, now),
                uncharged: 0,
            });
        change(asking)
    }
}

/// The first owner that is believed to answer, of this zone before the others, passing over those that were
/// asked in vain for this very request.
fn owner_to_ask<'a>(
    now: MonotonicTime,
    link: &PeerLink,
    ring: &'a OwnerRing,
    zone: &str,
    tenant: &str,
    asked_before: &[&str],
) -> Option<&'a Owner> {
    let first_sound = |mut owners: Vec<&'a Owner>| {
        owners.retain(|owner| !asked_before.contains(&owner.name.as_str()));
        link.sound(now, &owners)
    };
    first_sound(ring.owners_of_tenant_in(zone, tenant))
        .or_else(|| first_sound(ring.owners_of_tenant_outside(zone, tenant)))
}

fn question_to(
    link: &PeerLink,
    owner: &Owner,
    wanted: Wanted<'_>,
    uncharged_tokens: i64,
) -> Pending {
    let mut questions = ByOwner::default();
    questions.add(owner, wanted.tenant.to_owned());
    link.send_questions(questions, |id, tenants, datagram| {
        let question = tenants.into_iter().next().map(|tenant| AdmissionRequest {
            id,
            tenant,
            tokens: wanted.tokens,
            uncharged_tokens,
        });
        datagram.admission_request = question;
    })
}

fn answer_to(
    now: MonotonicTime,
    table: &RoutingTable,
    quotas: &TenantQuotas,
    question: &AdmissionRequest,
) -> AdmissionReply {
    let tenant = table.tenant_named(&question.tenant);
    let grant = tenant
        .and_then(|tenant| quotas.grant(now, tenant, question.tokens, question.uncharged_tokens));
    let Some(grant) = grant else {
        return AdmissionReply {
            id: question.id,
            unlimited: true,
            ..AdmissionReply::default()
        };
    };
    let wait = grant.decision.err().unwrap_or_default();
    AdmissionReply {
        id: question.id,
        unlimited: false,
        admitted: grant.decision.is_ok(),
        retry_after_us: u64::try_from(wait.as_micros()).unwrap_or(u64::MAX),
        level_tokens: grant.level_tokens,
        admitted_tokens_per_second: grant.admitted_per_second,
    }
}

fn grant_of(answer: &AdmissionReply) -> Option<Grant> {
    let wait = Duration::from_micros(answer.retry_after_us);
    (!answer.unlimited).then_some(Grant {
        decision: if answer.admitted { Ok(()) } else { Err(wait) },
        level_tokens: answer.level_tokens,
        admitted_per_second: answer.admitted_tokens_per_second,
    })
}

fn tokens_of(tokens: u64) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
