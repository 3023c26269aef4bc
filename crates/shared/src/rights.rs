//! A fleet-wide rate as rights that move between its members, so that the sum of what all may spend is never over the
//! budget, whatever becomes of messages and members.
//!
//! The budget is parted for good into a *floor* and a *lot* for each member. The floor is the member's own under all
//! circumstances and needs no message. Of its lot a member may lend to others what it does not need: the one that
//! wants more asks, the owner grants a part for the span of a lease (escrow after O'Neil, "The Escrow Transactional
//! Method", 1986; leases after Gray and Cheriton, 1989). Three rules make the sum safe without common clocks:
//!
//! 1. A borrower's lease runs from the moment it **asked**, by its own clock, and is shortened by the drift that clocks
//!    may have; the owner counts it from the moment it granted, lengthened by the same. A grant can only be made after
//!    it was asked for, so the borrower's end always comes first, however late the grant arrives.
//! 2. An owner sets aside the largest of the grants to one borrower that may still stand: a newer one replaces an older
//!    only for a borrower that hears of it.
//! 3. A new life knows nothing of what its predecessor lent: its lot rests until every lease of that life is over.
//!    Grants name the life that asked; they are nobody's after a restart.
//!
//! Spending is a token bucket over the present rate. When rights end, what was saved by them ends with them: over any
//! span W all members together spend at most `budget * (W + burst)`.

/// Microseconds on a member's own steady clock.
pub type Micros = u64;
/// Thousandths of a token a second.
pub type Rate = u64;

/// One token in the unit of a bucket's level: thousandths of a token a second, times microseconds.
const TOKEN: u64 = 1_000_000_000;
/// Grants to one borrower that may stand at once; asked more often, the owner says nothing.
const STANDING_MOST: usize = 4;
/// Asks that may still be answered; an answer to an older one is not taken.
const ASKED_MOST: usize = 8;
/// The share of a lease after which a borrower asks anew, in percent.
const RENEW_AT: u64 = 50;
/// Least wait between two asks, as a part of the lease: a member asks at most eight times a lease.
const ASK_EVERY: u64 = 8;

/// What all members of a fleet must have alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How many members there are, 1 or more.
    pub members: usize,
    /// This one's number, below that.
    pub position: usize,
    /// What all may spend together.
    pub budget: Rate,
    /// The part of it that is never lent, in percent, at most 100.
    pub floor_percent: u64,
    /// How long a grant stands.
    pub lease: Micros,
    /// How much faster or slower than true a member's clock may run, in parts per million, below a million.
    pub drift_ppm: u64,
    /// Rights of so long a span may be saved up.
    pub burst: Micros,
}

/// A member wants more than it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// The life of the one that asks.
    pub life: u32,
    /// Its number within that life.
    pub number: u32,
    /// How much it wants in all from this owner.
    pub want: Rate,
}

/// An owner lends a part of its lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// The life that asked.
    pub life: u32,
    /// The ask that this answers.
    pub number: u32,
    /// How much: in place of what this owner granted before; 0 takes it back at once.
    pub amount: Rate,
}

/// What an owner lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lent {
    amount: Rate,
    /// Until then the borrower may believe in it.
    until: Micros,
}

/// What was borrowed from one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Borrowed {
    amount: Rate,
    until: Micros,
    /// The ask that was answered by it: an answer to an earlier one changes nothing.
    number: u32,
}

/// An ask whose answer may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asked {
    to: usize,
    number: u32,
    at: Micros,
}

/// One member's rights.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rights {
    set: Settings,
    life: u32,
    /// From then on nothing that an earlier life lent can stand.
    lot_from: Micros,
    /// By borrower.
    lent: Vec<Vec<Lent>>,
    /// By owner.
    borrowed: Vec<Borrowed>,
    asked: Vec<Asked>,
    next_number: u32,
    next_ask: Micros,
    /// Whom it asks next.
    turn: usize,
    /// The bucket.
    level: u64,
    filled_at: Micros,
    /// Tokens wanted, as a rate: a mean over about a lease.
    demand: Rate,
    wanted: u64,
    demand_from: Micros,
}

impl Settings {
    /// What is wrong with them, if anything is.
    pub fn fault(&self) -> Option<&'static str> {
        let floor = self.budget * self.floor_percent.min(100) / 100 / self.members.max(1) as u64;
        [
            (self.members == 0 || self.position >= self.members, "a position outside the members"),
            (self.floor_percent > 100, "a floor over 100 percent"),
            (self.drift_ppm >= 1_000_000, "a drift of a whole"),
            (self.lease < 8, "a lease under 8 microseconds"),
            (
                self.budget.checked_mul(self.burst).is_none(),
                "a budget and a burst that are too large together",
            ),
            (
                floor.saturating_mul(self.burst) < TOKEN,
                "a floor that never saves up one token within the burst",
            ),
        ]
        .into_iter()
        .find_map(|(wrong, why)| wrong.then_some(why))
    }
}

impl Rights {
    /// The rights of a life that begins now. `life` must differ from the lives of this member whose messages may still
    /// be under way (a boot number, or drawn).
    pub fn new(now: Micros, set: Settings, life: u32) -> Rights {
        let members = set.members.max(1);
        let set = Settings { members, position: set.position.min(members - 1), ..set };
        Rights {
            life,
            lot_from: now + longer(set.lease, set.drift_ppm) + 1,
            lent: vec![Vec::new(); members],
            borrowed: vec![Borrowed::default(); members],
            asked: Vec::new(),
            next_number: 1,
            next_ask: now,
            turn: (set.position + 1) % members,
            level: 0,
            filled_at: now,
            demand: 0,
            wanted: 0,
            demand_from: now,
            set,
        }
    }

    /// What is this member's own under all circumstances.
    pub fn floor(&self) -> Rate {
        self.set.budget * self.set.floor_percent.min(100) / 100 / self.set.members as u64
    }

    /// What it owns beyond that and may lend.
    pub fn lot(&self) -> Rate {
        self.set.budget / self.set.members as u64 - self.floor()
    }

    /// What of its lot may not be spent here, as it is lent or may have been lent by an earlier life.
    pub fn lent(&self, now: Micros) -> Rate {
        if now < self.lot_from {
            return self.lot();
        }
        let standing = |lent: &Vec<Lent>| lent.iter().filter(|l| now <= l.until).map(|l| l.amount).max();
        self.lent.iter().filter_map(standing).sum::<Rate>().min(self.lot())
    }

    /// What was borrowed and still stands.
    pub fn borrowed(&self, now: Micros) -> Rate {
        self.borrowed.iter().filter(|b| now < b.until).map(|b| b.amount).sum()
    }

    /// What this member may spend now. The sum over all members is never over the budget.
    pub fn rate(&self, now: Micros) -> Rate {
        self.floor() + self.lot() - self.lent(now) + self.borrowed(now)
    }

    /// Takes a token if there is one.
    pub fn spend(&mut self, now: Micros) -> bool {
        self.fill(now);
        self.wanted += 1;
        let may = self.level >= TOKEN;
        self.level -= if may { TOKEN } else { 0 };
        may
    }

    /// Brings the bucket up to date. Between two calls rights only end by the clock, at unknown moments of the span: it
    /// fills as if all that was lent stood to its end and all that was borrowed went at its beginning. What is
    /// saved is cut to what the present rate may save.
    fn fill(&mut self, now: Micros) {
        let span = now.saturating_sub(self.filled_at).min(self.set.burst);
        let least = self.floor() + self.lot() - self.lent(self.filled_at) + self.borrowed(now);
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + least * span).min(self.rate(now) * self.set.burst);
        let age = now.saturating_sub(self.demand_from);
        if age >= self.set.lease / 4 && age > 0 {
            let seen = self.wanted.saturating_mul(TOKEN) / age;
            self.demand = (self.demand + seen) / 2;
            (self.wanted, self.demand_from) = (0, now);
        }
    }

    /// Whom to ask for how much, if more is wanted than is there: one owner after another, at most eight times a lease.
    pub fn ask(&mut self, now: Micros) -> Option<(usize, Ask)> {
        self.fill(now);
        let members = self.set.members;
        if members < 2 || now < self.next_ask {
            return None;
        }
        // What ends soon counts as gone: it is asked for anew before it does.
        let soon = now + self.set.lease * RENEW_AT / 100;
        let missing = self.demand.saturating_sub(self.rate(soon));
        if missing == 0 {
            return None;
        }
        self.turn = (self.turn + 1) % members;
        if self.turn == self.set.position {
            self.turn = (self.turn + 1) % members;
        }
        self.next_ask = now + self.set.lease / ASK_EVERY;
        let held = self.borrowed[self.turn];
        let renewed = if soon < held.until { held.amount } else { 0 };
        Some((self.turn, self.ask_of(now, self.turn, missing + renewed)))
    }

    /// Asks one owner. What is asked for is bounded by the owner's lot.
    pub fn ask_of(&mut self, now: Micros, owner: usize, want: Rate) -> Ask {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        if self.asked.len() >= ASKED_MOST {
            self.asked.remove(0);
        }
        self.asked.push(Asked { to: owner, number, at: now });
        Ask { life: self.life, number, want: want.min(self.lot()) }
    }

    /// A member asks. Nothing is said where nothing can be lent: the one that asks goes on to the next.
    pub fn on_ask(&mut self, now: Micros, from: usize, ask: Ask) -> Option<Grant> {
        self.fill(now);
        if from >= self.set.members || from == self.set.position || now < self.lot_from {
            return None;
        }
        self.lent[from].retain(|l| now <= l.until);
        if self.lent[from].len() >= STANDING_MOST {
            return None;
        }
        let standing = self.lent[from].iter().map(|l| l.amount).max().unwrap_or(0);
        // What the others may believe in, and what this member needs itself beyond its floor, is not to be had.
        let others = self.lent(now) - standing;
        let own = self.demand.saturating_sub(self.floor());
        let spare = self.lot().saturating_sub(others).saturating_sub(own);
        let amount = ask.want.min(spare);
        if amount == 0 && standing == 0 {
            return None;
        }
        let until = now + longer(self.set.lease, self.set.drift_ppm);
        self.lent[from].push(Lent { amount, until });
        // What was saved by rights that are lent now goes with them.
        self.level = self.level.min(self.rate(now) * self.set.burst);
        Some(Grant { life: ask.life, number: ask.number, amount })
    }

    /// An owner lends. Taken only as the answer to an ask of this life that is newer than what was answered before.
    pub fn on_grant(&mut self, now: Micros, from: usize, grant: Grant) {
        self.fill(now);
        if grant.life != self.life || from >= self.set.members || grant.amount > self.lot() {
            return;
        }
        let Some(asked) = self.asked.iter().find(|a| a.number == grant.number && a.to == from).copied()
        else {
            return;
        };
        let held = &mut self.borrowed[from];
        if grant.number > held.number {
            let until = asked.at + shorter(self.set.lease, self.set.drift_ppm);
            *held = Borrowed { amount: grant.amount, until, number: grant.number };
        }
        self.level = self.level.min(self.rate(now) * self.set.burst);
    }
}

/// A span that has surely passed elsewhere once it has passed here: clocks drift apart by twice the drift.
fn longer(span: Micros, drift_ppm: u64) -> Micros {
    span + (span as u128 * u128::from(drift_ppm) / 1_000_000) as Micros + 1
}

/// A span that has surely not passed elsewhere while it passes here.
fn shorter(span: Micros, drift_ppm: u64) -> Micros {
    span - (span as u128 * u128::from(drift_ppm).min(1_000_000) / 1_000_000) as Micros
}
