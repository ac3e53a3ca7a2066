//! Absurd counts, of peers and of callers: nothing overflows, and no tenant is shut out for long.

mod support;

use millford_api::config::{Tenant, TokenQuota};
use millford_core::{Duration, MonotonicTime};
use millford_forward::quota::{PeerCount, TenantQuotas};
use quickcheck::{Arbitrary, Gen, quickcheck};

const RATE: u64 = 1000;
/// Whatever was reported or requested before, a tenant is served again within this time.
const SERVED_AGAIN_WITHIN: Duration = Duration::from_secs(61);

/// A number that is small, huge or on a border.
#[derive(Clone, Copy, Debug)]
struct Absurd(u64);

impl Arbitrary for Absurd {
    fn arbitrary(generator: &mut Gen) -> Self {
        let borders = [0, 1, RATE, u64::from(u32::MAX), i64::MAX as u64, u64::MAX];
        let border = *generator.choose(&borders).expect("not empty");
        if bool::arbitrary(generator) {
            Self(border)
        } else {
            Self(u64::arbitrary(generator))
        }
    }
}

impl Absurd {
    fn signed(self) -> i64 {
        self.0.cast_signed()
    }
}

/// One count of a peer or request of a caller.
#[derive(Clone, Debug)]
struct Input {
    kind: u8,
    number: Absurd,
    other: Absurd,
    after_ms: u16,
}

impl Arbitrary for Input {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(generator) % 5,
            number: Absurd::arbitrary(generator),
            other: Absurd::arbitrary(generator),
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

fn take(quotas: &TenantQuotas, now: MonotonicTime, input: &Input) {
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
        // At least a minute of debt, at most a burst with its headroom.
        let possible = -61 * RATE.cast_signed()..=2 * RATE.cast_signed();
        let mut now = MonotonicTime::from_millis(1000);
        for input in &inputs {
            take(&quotas, now, input);
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
fn an_absurd_token_count_blocks_its_tenant_for_at_most_a_minute() {
    let quotas = TenantQuotas::default();
    let now = MonotonicTime::from_millis(1000);
    assert!(quotas.admit(now, &tenant(), u64::MAX).is_ok());
    let wait = quotas
        .admit(now, &tenant(), 1)
        .expect_err("nothing is left");
    assert!(wait <= SERVED_AGAIN_WITHIN, "{wait:?}");
    assert!(quotas.admit(now + wait, &tenant(), 1).is_ok());
}
