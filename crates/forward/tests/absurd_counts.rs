//! Extreme token counts from peers and callers neither overflow nor block a tenant for long.

mod support;

use millford_api::config::{Tenant, TokenQuota};
use millford_core::{Duration, MonotonicTime};
use millford_forward::quota::{PeerCount, TenantQuotas};
use quickcheck::{Arbitrary, Gen, quickcheck};

const RATE: u64 = 1000;
/// Longest time until a tenant is served again after any sequence of reports and requests.
const SERVED_AGAIN_WITHIN: Duration = Duration::from_secs(61);

/// Either an arbitrary number or a boundary value.
#[derive(Clone, Copy, Debug)]
struct ExtremeNumber(u64);

impl Arbitrary for ExtremeNumber {
    fn arbitrary(generator: &mut Gen) -> Self {
        let boundaries = [0, 1, RATE, u64::from(u32::MAX), i64::MAX as u64, u64::MAX];
        let boundary = *generator
            .choose(&boundaries)
            .expect("the list is not empty");
        if bool::arbitrary(generator) {
            Self(boundary)
        } else {
            Self(u64::arbitrary(generator))
        }
    }
}

impl ExtremeNumber {
    fn signed(self) -> i64 {
        self.0.cast_signed()
    }
}

/// One report of a peer, or one request, grant or refund.
#[derive(Clone, Debug)]
struct Input {
    /// Selects the operation; see [`apply`].
    kind: u8,
    /// Tokens of the operation.
    number: ExtremeNumber,
    /// Second number of the operation, such as the reported level.
    other: ExtremeNumber,
    /// Time until the next input, in milliseconds.
    after_ms: u16,
}

impl Arbitrary for Input {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(generator) % 5,
            number: ExtremeNumber::arbitrary(generator),
            other: ExtremeNumber::arbitrary(generator),
            after_ms: u16::arbitrary(generator) % 3000,
        }
    }
}

fn quota() -> TokenQuota {
    TokenQuota {
        tokens_per_second: RATE,
        burst: RATE,
        default_tokens: 1,
    }
}

fn tenant() -> Tenant {
    support::tenant::tenant(quota())
}

fn apply(quotas: &TenantQuotas, now: MonotonicTime, input: &Input) {
    let count = |owner_zone, boot_id| PeerCount {
        member: "peer",
        boot_id,
        tenant: "tenant",
        used_tokens: input.number.0,
        level_tokens: input.other.signed(),
        counted_for: Some(Duration::from_millis(input.other.0)),
        owner_zone,
    };
    match input.kind {
        0 => quotas.apply_peer_count(now, &quota(), count(None, 1)),
        1 => quotas.apply_peer_count(now, &quota(), count(Some("elsewhere"), input.other.0 % 3)),
        2 => _ = quotas.grant(now, &tenant(), input.number.0, input.other.signed()),
        3 => _ = quotas.admit(now, &tenant(), input.number.0),
        _ => quotas.refund(now, &tenant(), input.number.0),
    }
}

quickcheck! {
    fn a_tenant_is_served_again_whatever_counts_were_received(inputs: Vec<Input>) -> bool {
        let quotas = TenantQuotas::default();
        // From a debt of slightly over a minute of the rate to a burst with its headroom.
        let possible = -61 * RATE.cast_signed()..=2 * RATE.cast_signed();
        let mut now = MonotonicTime::from_millis(1000);
        for input in &inputs {
            apply(&quotas, now, input);
            quotas.tick(now, "here");
            let levels = quotas.levels(now);
            if levels.iter().any(|level| !possible.contains(&level.level_tokens)) {
                return false;
            }
            now = now + Duration::from_millis(u64::from(input.after_ms));
        }
        for _ in 0..SERVED_AGAIN_WITHIN.as_secs() {
            now = now + Duration::from_secs(1);
            quotas.tick(now, "here");
        }
        quotas.admit(now, &tenant(), 1).is_ok()
    }
}

#[test]
fn an_extreme_token_count_blocks_its_tenant_for_at_most_a_minute() {
    let quotas = TenantQuotas::default();
    let now = MonotonicTime::from_millis(1000);
    assert!(quotas.admit(now, &tenant(), u64::MAX).is_ok());
    let wait = quotas
        .admit(now, &tenant(), 1)
        .expect_err("nothing is left");
    assert!(wait <= SERVED_AGAIN_WITHIN, "{wait:?}");
    assert!(quotas.admit(now + wait, &tenant(), 1).is_ok());
}
