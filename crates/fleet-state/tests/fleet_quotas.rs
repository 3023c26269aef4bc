//! Tests the messages of the lease protocol: valid messages lend quota, and any other input changes nothing.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use violetseam_fleet_state::OutgoingMessage;
use violetseam_fleet_state::fleet_quotas::{FleetQuotas, QuotaPlan, QuotaStatus};
use violetseam_fleet_state::lease_messages::{self, ClassMessage, LeaseMessage, LeasePayload};
use violetseam_fleet_state::quota_leases::{LeaseGrant, LeaseRequest};

const SECOND: u64 = 1_000_000;

fn plan(position: usize) -> QuotaPlan {
    QuotaPlan {
        members: 3,
        position,
        quota_by_class: vec![30_000, 0, 9_000],
        guaranteed_percent: 25,
        lease_duration: 2 * SECOND,
        max_drift_ppm: 1_000,
        burst: SECOND,
    }
}

/// Requests ten tokens of class 0 at once.
fn spend_ten(member: &mut FleetQuotas, now: u64) {
    for _ in 0..10 {
        member.try_spend(now, 0);
    }
}

/// Returns a member whose demand for class 0 is far above its quota. It has run for longer than a lease
/// duration, so it may also lend.
fn member_with_unmet_demand(position: usize) -> FleetQuotas {
    let mut member = FleetQuotas::new(0, plan(position), 7);
    for n in 0..300 {
        member.try_spend(3 * SECOND + n * 10_000, 0);
    }
    member
}

#[test]
fn encoded_messages_decode_to_the_same_and_stay_within_the_size_limit() {
    let request = LeaseMessage::Request(LeaseRequest { incarnation: 1, number: u32::MAX, wanted: u64::MAX });
    let grant = LeaseMessage::Grant(LeaseGrant { incarnation: u32::MAX, number: 0, amount: 1 });
    let alternating = |class| if class % 2 == 0 { request } else { grant };
    let messages: Vec<ClassMessage> = (0..lease_messages::MAX_MESSAGES)
        .map(|class| ClassMessage { class, message: alternating(class) })
        .collect();
    let bytes = lease_messages::encode(0xfeed, &messages).unwrap();
    assert!(bytes.len() <= lease_messages::MAX_PAYLOAD_BYTES, "{}", bytes.len());
    let payload = LeasePayload { plan_digest: 0xfeed, messages: messages.clone() };
    assert_eq!(lease_messages::decode(&bytes), Some(payload));
    let too_many = [messages, vec![ClassMessage { class: 0, message: request }]].concat();
    let class_out_of_range = ClassMessage { class: lease_messages::MAX_CLASSES, message: request };
    assert_eq!(lease_messages::encode(1, &[]), None);
    assert_eq!(lease_messages::encode(1, &too_many), None);
    assert_eq!(lease_messages::encode(1, &[class_out_of_range]), None);
    // A payload that is truncated, has an extra byte, has another layout version or is empty is rejected as a
    // whole.
    for invalid in
        [&bytes[..bytes.len() - 1], &[&bytes[..], &[0]].concat(), &[&[2], &bytes[1..]].concat(), &[]]
    {
        assert_eq!(lease_messages::decode(invalid), None);
    }
}

#[test]
fn unneeded_quota_is_lent_to_the_requester_until_the_lease_expires() {
    let (mut owner, mut member) = (FleetQuotas::new(0, plan(0), 1), member_with_unmet_demand(1));
    let mut now = 6 * SECOND;
    // The member sends requests to its peers in turn, so the owner gets one of the first few.
    let requested = (0..8).find_map(|_| {
        now += 300_000;
        spend_ten(&mut member, now);
        member.poll_requests(now).into_iter().find(|message| message.to == 0)
    });
    let request = requested.expect("a request is sent to the owner");
    assert_eq!(owner.on_message(now, 2, b"no message"), None);
    let grant = owner.on_message(now + 1_000, 1, &request.payload).expect("the owner lends");
    let before = member.status(now + 2_000)[0];
    assert_eq!(member.on_message(now + 2_000, 0, &grant), None);
    let after = member.status(now + 2_000)[0];
    assert!(after.rate > before.rate && after.borrowed > 0, "{before:?} {after:?}");
    let lender = owner.status(now + 2_000)[0];
    assert!(lender.granted >= after.borrowed && lender.rate + after.rate <= 20_000, "{lender:?} {after:?}");
    // A duplicate of the grant changes nothing.
    member.on_message(now + 3_000, 0, &grant);
    assert_eq!(member.status(now + 3_000)[0], after);
    // The lease expires for the borrower before it expires for the owner.
    let end = now + 2 * SECOND;
    assert_eq!(member.status(end)[0].borrowed, 0);
    assert_eq!(owner.status(end + SECOND / 100)[0].granted, 0);
}

#[test]
fn members_with_different_plans_ignore_each_other() {
    let other = QuotaPlan { quota_by_class: vec![30_000, 0, 10_000], ..plan(0) };
    let (mut owner, mut member) = (FleetQuotas::new(0, other, 1), member_with_unmet_demand(1));
    let mut now = 6 * SECOND;
    for _ in 0..16 {
        now += 300_000;
        spend_ten(&mut member, now);
        for OutgoingMessage { payload, .. } in member.poll_requests(now) {
            assert_eq!(owner.on_message(now, 1, &payload), None);
        }
    }
    assert_eq!(owner.status(now)[0].granted, 0);
}

#[test]
fn garbage_forged_incarnations_and_unsolicited_grants_change_nothing() {
    let mut rng = Pcg64::seed_from_u64(5);
    let (mut member, mut unaffected) = (member_with_unmet_demand(1), member_with_unmet_demand(1));
    let digest = {
        let mut requester = member_with_unmet_demand(1);
        let requests = requester.poll_requests(7 * SECOND);
        lease_messages::decode(&requests[0].payload).unwrap().plan_digest
    };
    let now = 7 * SECOND;
    let forged_grant = |rng: &mut Pcg64| {
        let amount = if rng.random() { u64::MAX } else { rng.random_range(0..20_000) };
        let grant = LeaseGrant {
            incarnation: if rng.random() { 7 } else { rng.random() },
            number: rng.random_range(0..64),
            amount,
        };
        let class = rng.random_range(0..4);
        lease_messages::encode(digest, &[ClassMessage { class, message: LeaseMessage::Grant(grant) }])
            .unwrap()
    };
    for n in 0..20_000 {
        let bytes: Vec<u8> = match n % 3 {
            0 => (0..rng.random_range(0..300)).map(|_| rng.random()).collect(),
            1 => forged_grant(&mut rng),
            _ => {
                let mut bytes = forged_grant(&mut rng);
                let index = rng.random_range(0..bytes.len());
                bytes[index] ^= 1 << rng.random_range(0..8);
                bytes
            }
        };
        // The sender can be any position, also one that is not in the fleet.
        let _ = member.on_message(now, rng.random_range(0..5), &bytes);
    }
    // A changed bit can turn a grant into a request, for which the member may have lent quota. That can only
    // lower its rate, and nothing else may differ.
    let status = |quotas: &mut FleetQuotas| -> Vec<QuotaStatus> { quotas.status(now) };
    for (expected, actual) in status(&mut unaffected).iter().zip(status(&mut member)) {
        assert!(
            actual.borrowed == 0
                && actual.rate <= expected.rate
                && actual.guaranteed_quota == expected.guaranteed_quota,
            "{expected:?} {actual:?}"
        );
    }
}

/// Members of different versions exchange messages, so neither the layout nor the digest of a plan may
/// change.
#[test]
fn the_layout_of_a_payload_is_unchanged() {
    let request = LeaseRequest { incarnation: 0x0102_0304, number: 5, wanted: 0x0607 };
    let grant = LeaseGrant { incarnation: 8, number: 9, amount: 10 };
    let messages = [
        ClassMessage { class: 2, message: LeaseMessage::Request(request) },
        ClassMessage { class: 3, message: LeaseMessage::Grant(grant) },
    ];
    let header = [1, 0xed, 0xfe, 0, 0, 2];
    let request_bytes = [2, 4, 3, 2, 1, 5, 0, 0, 0, 7, 6, 0, 0, 0, 0, 0, 0];
    let grant_bytes = [0x83, 8, 0, 0, 0, 9, 0, 0, 0, 10, 0, 0, 0, 0, 0, 0, 0];
    let expected = [&header[..], &request_bytes, &grant_bytes].concat();
    assert_eq!(lease_messages::encode(0xfeed, &messages), Some(expected));
    let message = member_with_unmet_demand(1).poll_requests(7 * SECOND).remove(0);
    let digest = lease_messages::decode(&message.payload).unwrap().plan_digest;
    assert_eq!(digest, 3_210_875_541);
}
