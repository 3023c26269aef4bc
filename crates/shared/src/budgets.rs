//! The budgets of a fleet as one member holds them: a [`Rights`] for each class that has one, and the messages between
//! members. What may be spent is decided here and in `rights.rs`; carrying the messages is the driver's.

use crate::rights::{Micros, Rate, Rights, Settings};
use crate::wire::{self, Item, Word};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// What all members of a fleet must have alike, but for the position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// How many members there are.
    pub members: usize,
    /// This one's number, below that.
    pub position: usize,
    /// By class: how much all members together may spend; 0: no bound is kept for the class.
    pub by_class: Vec<Rate>,
    /// See [`Settings::floor_percent`].
    pub floor_percent: u64,
    /// See [`Settings::lease`].
    pub lease: Micros,
    /// See [`Settings::drift_ppm`].
    pub drift_ppm: u64,
    /// See [`Settings::burst`].
    pub burst: Micros,
}

/// What a member holds of one budget at a moment, for people to read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sight {
    /// The class.
    pub class: usize,
    /// What the fleet has.
    pub budget: Rate,
    /// The member's own under all circumstances.
    pub floor: Rate,
    /// Its own beyond that, which it may lend.
    pub lot: Rate,
    /// What of that is lent, or may have been by an earlier life.
    pub lent: Rate,
    /// What it has borrowed.
    pub borrowed: Rate,
    /// What it may spend.
    pub rate: Rate,
    /// Spent since the start, in whole tokens.
    pub spent: u64,
    /// Wanted in vain since the start.
    pub denied: u64,
}

#[derive(Debug)]
struct Budget {
    rights: Rights,
    spent: u64,
    denied: u64,
}

/// All budgets of one member.
#[derive(Debug)]
pub struct Budgets {
    plan: Plan,
    digest: u32,
    by_class: BTreeMap<usize, Budget>,
}

impl Plan {
    /// The settings of one class's rights; none where it has no budget.
    fn rights(&self, class: usize) -> Option<Settings> {
        let budget = self.by_class.get(class).copied().filter(|b| *b > 0)?;
        let Plan { members, position, floor_percent, lease, drift_ppm, burst, .. } = *self;
        Some(Settings { members, position, budget, floor_percent, lease, drift_ppm, burst })
    }

    /// What is wrong with it, if anything is, and with which class.
    pub fn fault(&self) -> Option<(usize, &'static str)> {
        if self.by_class.len() > wire::CLASSES_MOST {
            return Some((wire::CLASSES_MOST, "more classes than messages can name"));
        }
        let settings = (0..self.by_class.len()).filter_map(|class| Some((class, self.rights(class)?)));
        settings.into_iter().find_map(|(class, set)| Some((class, set.fault()?)))
    }

    /// Names the plan, less the position: members whose plans differ neither ask nor lend each other.
    fn digest(&self) -> u32 {
        let own = [self.members as u64, self.floor_percent, self.lease, self.drift_ppm, self.burst];
        let bytes: Vec<u8> = own.iter().chain(&self.by_class).flat_map(|word| word.to_le_bytes()).collect();
        xxh3_64(&bytes) as u32
    }
}

impl Budgets {
    /// The budgets of a life that begins now; see [`Rights::new`].
    pub fn new(now: Micros, plan: Plan, life: u32) -> Budgets {
        let budget = |set| Budget { rights: Rights::new(now, set, life), spent: 0, denied: 0 };
        let by_class = (0..plan.by_class.len()).filter_map(|c| Some((c, budget(plan.rights(c)?)))).collect();
        Budgets { digest: plan.digest(), by_class, plan }
    }

    /// Takes a token of a class; always true for a class without a budget.
    pub fn spend(&mut self, now: Micros, class: usize) -> bool {
        let Some(budget) = self.by_class.get_mut(&class) else { return true };
        let may = budget.rights.spend(now);
        budget.spent += u64::from(may);
        budget.denied += u64::from(!may);
        may
    }

    /// Between two calls of [`Budgets::turn`].
    pub fn every(&self) -> Micros {
        (self.plan.lease / 16).max(1)
    }

    /// What to ask of whom: payloads by member. Over any lease at most eight asks a class, whatever the fleet's size.
    pub fn turn(&mut self, now: Micros) -> Vec<(usize, Vec<u8>)> {
        let mut asks: BTreeMap<usize, Vec<Item>> = BTreeMap::new();
        for (&class, budget) in &mut self.by_class {
            if let Some((owner, ask)) = budget.rights.ask(now) {
                asks.entry(owner).or_default().push((class, Word::Ask(ask)));
            }
        }
        let digest = self.digest;
        let payloads = |(to, items): (usize, Vec<Item>)| {
            let parts: Vec<_> =
                items.chunks(wire::ITEMS_MOST).filter_map(|part| wire::encode(digest, part)).collect();
            parts.into_iter().map(move |payload| (to, payload))
        };
        asks.into_iter().flat_map(payloads).collect()
    }

    /// A message from a member: the answer, if one is due. What does not read, is of another plan or names no budget
    /// changes nothing.
    pub fn on_message(&mut self, now: Micros, from: usize, payload: &[u8]) -> Option<Vec<u8>> {
        let (_, items) = wire::decode(payload).filter(|(digest, _)| *digest == self.digest)?;
        let mut grants: Vec<Item> = Vec::new();
        for (class, word) in items {
            let Some(budget) = self.by_class.get_mut(&class) else { continue };
            match word {
                Word::Ask(ask) => {
                    let grant = budget.rights.on_ask(now, from, ask);
                    grants.extend(grant.map(|grant| (class, Word::Grant(grant))));
                }
                Word::Grant(grant) => budget.rights.on_grant(now, from, grant),
            }
        }
        wire::encode(self.digest, &grants)
    }

    /// What is held now, by class.
    pub fn sights(&self, now: Micros) -> Vec<Sight> {
        let sight = |(&class, budget): (&usize, &Budget)| {
            let rights = &budget.rights;
            Sight {
                class,
                budget: self.plan.by_class[class],
                floor: rights.floor(),
                lot: rights.lot(),
                lent: rights.lent(now),
                borrowed: rights.borrowed(now),
                rate: rights.rate(now),
                spent: budget.spent,
                denied: budget.denied,
            }
        };
        self.by_class.iter().map(sight).collect()
    }
}
