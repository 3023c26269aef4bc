//! Members' messages: what they carry arrives, and whatever else arrives changes nothing.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use violetseam_shared::budgets::{Budgets, Plan, Sight};
use violetseam_shared::rights::{Ask, Grant};
use violetseam_shared::wire::{self, Item, Word};

const SECOND: u64 = 1_000_000;

fn plan(position: usize) -> Plan {
    Plan {
        members: 3,
        position,
        by_class: vec![30_000, 0, 9_000],
        floor_percent: 25,
        lease: 2 * SECOND,
        drift_ppm: 1_000,
        burst: SECOND,
    }
}

/// Ten wants at once.
fn want(member: &mut Budgets, now: u64) {
    for _ in 0..10 {
        member.spend(now, 0);
    }
}

/// A member whose lot is free, and who wants far more of class 0 than it has.
fn wanting(position: usize) -> Budgets {
    let mut member = Budgets::new(0, plan(position), 7);
    for n in 0..300 {
        member.spend(3 * SECOND + n * 10_000, 0);
    }
    member
}

#[test]
fn what_is_written_reads_the_same_and_stays_within_its_bytes() {
    let ask = Word::Ask(Ask { life: 1, number: u32::MAX, want: u64::MAX });
    let grant = Word::Grant(Grant { life: u32::MAX, number: 0, amount: 1 });
    let items: Vec<Item> = (0..wire::ITEMS_MOST).map(|n| (n, if n % 2 == 0 { ask } else { grant })).collect();
    let bytes = wire::encode(0xfeed, &items).unwrap();
    assert!(bytes.len() <= wire::PAYLOAD_MOST, "{}", bytes.len());
    assert_eq!(wire::decode(&bytes), Some((0xfeed, items.clone())));
    assert_eq!(wire::encode(1, &[]), None);
    assert_eq!(wire::encode(1, &[items, vec![(0, ask)]].concat()), None);
    assert_eq!(wire::encode(1, &[(wire::CLASSES_MOST, ask)]), None);
    // Cut, longer, of another layout, or of another count: nothing of it is read.
    for changed in
        [&bytes[..bytes.len() - 1], &[&bytes[..], &[0]].concat(), &[&[2], &bytes[1..]].concat(), &[]]
    {
        assert_eq!(wire::decode(changed), None);
    }
}

#[test]
fn rights_that_one_does_not_need_go_to_the_one_that_asks_and_come_back() {
    let (mut owner, mut member) = (Budgets::new(0, plan(0), 1), wanting(1));
    let mut now = 6 * SECOND;
    // It asks its peers in turn.
    let asked = (0..8).find_map(|_| {
        now += 300_000;
        want(&mut member, now);
        member.turn(now).into_iter().find(|(to, _)| *to == 0)
    });
    let (_, ask) = asked.expect("the first member is asked");
    assert_eq!(owner.on_message(now, 2, b"no message"), None);
    let grant = owner.on_message(now + 1_000, 1, &ask).expect("it lends");
    let before = member.sights(now + 2_000)[0];
    assert_eq!(member.on_message(now + 2_000, 0, &grant), None);
    let after = member.sights(now + 2_000)[0];
    assert!(after.rate > before.rate && after.borrowed > 0, "{before:?} {after:?}");
    let lender = owner.sights(now + 2_000)[0];
    assert!(lender.lent >= after.borrowed && lender.rate + after.rate <= 20_000, "{lender:?} {after:?}");
    // The same answer again, and to another member: nothing more.
    member.on_message(now + 3_000, 0, &grant);
    assert_eq!(member.sights(now + 3_000)[0], after);
    // After the lease all is as before, the borrower's end first.
    let end = now + 2 * SECOND;
    assert_eq!(member.sights(end)[0].borrowed, 0);
    assert_eq!(owner.sights(end + SECOND / 100)[0].lent, 0);
}

#[test]
fn members_with_unlike_budgets_neither_ask_nor_lend_each_other() {
    let other = Plan { by_class: vec![30_000, 0, 10_000], ..plan(0) };
    let (mut owner, mut member) = (Budgets::new(0, other, 1), wanting(1));
    let mut now = 6 * SECOND;
    for _ in 0..16 {
        now += 300_000;
        want(&mut member, now);
        for (_, ask) in member.turn(now) {
            assert_eq!(owner.on_message(now, 1, &ask), None);
        }
    }
    assert_eq!(owner.sights(now)[0].lent, 0);
}

#[test]
fn garbage_forged_lives_and_grants_that_nobody_asked_for_change_nothing() {
    let mut rng = Pcg64::seed_from_u64(5);
    let (mut member, mut untouched) = (wanting(1), wanting(1));
    let digest = {
        let mut asking = wanting(1);
        let asks = asking.turn(7 * SECOND);
        wire::decode(&asks[0].1).unwrap().0
    };
    let now = 7 * SECOND;
    let forged = |rng: &mut Pcg64| {
        let amount = if rng.random() { u64::MAX } else { rng.random_range(0..20_000) };
        let grant = Grant {
            life: if rng.random() { 7 } else { rng.random() },
            number: rng.random_range(0..64),
            amount,
        };
        wire::encode(digest, &[(rng.random_range(0..4), Word::Grant(grant))]).unwrap()
    };
    for n in 0..20_000 {
        let bytes: Vec<u8> = match n % 3 {
            0 => (0..rng.random_range(0..300)).map(|_| rng.random()).collect(),
            1 => forged(&mut rng),
            _ => {
                let mut bytes = forged(&mut rng);
                let at = rng.random_range(0..bytes.len());
                bytes[at] ^= 1 << rng.random_range(0..8);
                bytes
            }
        };
        // From any number, also none that is a member's.
        let _ = member.on_message(now, rng.random_range(0..5), &bytes);
    }
    // Changed bytes may have made an ask: what was lent for it is all that may differ, and it only takes away.
    let sights = |b: &mut Budgets| -> Vec<Sight> { b.sights(now) };
    for (was, is) in sights(&mut untouched).iter().zip(sights(&mut member)) {
        assert!(is.borrowed == 0 && is.rate <= was.rate && is.floor == was.floor, "{was:?} {is:?}");
    }
}
